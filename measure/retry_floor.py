"""Measure how the exact retry budget affects sites of few requests.

Ten organisations send requests to one daemon at random for an hour;
the first sends a third of them, and one attempt in a hundred fails.
One JSON line for each rate and rule gives the share of failed attempts
that were retried, and the largest excess of retries over a tenth of the
first attempts within 10 s, measured at each retry.  "exact" allows no
retry below ten first attempts, as the daemon does; "organisation floor"
allows one in 10 s for each organisation, within the daemon's tenth;
"both floors" allows one in 10 s for the daemon too.
"""

import argparse
import json
import random

from plantainsail.policy.retries import (
    ATTEMPTS_PER_RETRY,
    RetryBudget,
    RetryBudgets,
)

RUN_S = 3_600.0
RATES = (0.5, 2.0, 5.0, 20.0, 80.0)
FAILURE_RATE = 0.01
ORGANISATIONS = 10
LARGE_ORGANISATION_SHARE = 1 / 3
RULES = ("exact", "organisation floor", "both floors")


class BudgetWithFloor(RetryBudget):
    """Allows one retry in 10 s even with few first attempts."""

    def has_room(self, now_s: float) -> bool:
        """Return whether one more retry fits."""
        return super().has_room(now_s) or not self.retries


class BudgetsWithFloors(RetryBudgets):
    """Retry budgets that have a floor for each organisation."""

    def _budget(self, organisation: str) -> RetryBudget:
        self.organisations.setdefault(organisation, BudgetWithFloor())
        return super()._budget(organisation)


def make_budgets(rule: str) -> RetryBudgets:
    """Return new budgets under a rule."""
    budgets = RetryBudgets() if rule == "exact" else BudgetsWithFloors()
    if rule == "both floors":
        budgets.daemon = BudgetWithFloor()
    return budgets


def simulate_hour(rule: str, rate: float, seed: int) -> dict[str, float]:
    """Return the figures of one simulated hour under a rule."""
    source = random.Random(seed)
    budgets = make_budgets(rule)
    failed = 0
    retried = 0
    excess = 0.0
    now_s = source.expovariate(rate)
    while now_s < RUN_S:
        number = 0
        if source.random() > LARGE_ORGANISATION_SHARE:
            number = source.randrange(1, ORGANISATIONS)
        name = f"organisation-{number}"
        budgets.note_first_attempt(name, now_s)
        if source.random() < FAILURE_RATE:
            failed += 1
            if budgets.try_spend(name, now_s):
                retried += 1
                excess = max(excess, _max_excess(budgets, name))
        now_s += source.expovariate(rate)
    return {
        "failed": failed,
        "run_again": round(retried / max(1, failed), 3),
        "excess": round(excess, 2),
    }


def _max_excess(budgets: RetryBudgets, name: str) -> float:
    """Return the larger excess of the two budgets after a retry."""
    return max(
        len(budget.retries) - budget.first_attempts / ATTEMPTS_PER_RETRY
        for budget in (budgets.daemon, budgets.organisations[name])
    )


def main() -> None:
    """Print one line for each rate and rule."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    for rate in RATES:
        for rule in RULES:
            figures = {"rate": rate, "rule": rule} | simulate_hour(
                rule, rate, seed
            )
            print(json.dumps(figures))


if __name__ == "__main__":
    main()
