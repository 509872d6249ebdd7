"""Simulate orders after changes of demand, without connections.

    python -m measure orders --seed N

prints one JSON line for each variant of the planner.  Each daemon sees
a sample of the demand and gives orders to the engines that it owns,
after the demand moves between models and while it only varies.
`needed` counts the engines that would change if the new demand were
known exactly.  `taken_back` counts the orders to load a model again
that the engine had unloaded for the same demand.  `loads_in_window` is
the most loads in any window of the weight store.
"""

import argparse
import json
import math
import random
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from plantainsail.lists.model import Artifact, HostEntry, HostList, Role
from plantainsail.policy import replica_plan
from plantainsail.policy.demand import SMOOTHING_S
from plantainsail.policy.orders import (
    AnswerKind,
    Order,
    OrderAnswer,
    OrderLimits,
    OrderPlanner,
    OrderView,
)
from plantainsail.policy.replica_plan import EngineSlots, plan_moves

DAEMONS = 9
ENGINES = 24
MODELS = tuple(f"model-{n}" for n in range(6))
DEMAND_SHARES = (0.4, 0.25, 0.15, 0.1, 0.07, 0.03)
TOTAL_REQUESTS = 240.0
DEMAND_CHANGES = 8
CHANGE_INTERVAL_S = 1_800
REQUEST_DURATION_S = 10
LIST_INTERVAL_S = 60
LIMITS = OrderLimits()


class PlanningVariant(NamedTuple):
    """One variant of the planner's limits and hysteresis."""

    name: str
    limits: OrderLimits
    hysteresis: float


VARIANTS = (
    PlanningVariant("chosen", LIMITS, replica_plan.HYSTERESIS_FACTOR),
    PlanningVariant("no hysteresis", LIMITS, 1.0),
    PlanningVariant(
        "no dwell",
        LIMITS._replace(dwell_s=0.0, stable_s=0.0),
        replica_plan.HYSTERESIS_FACTOR,
    ),
    PlanningVariant(
        "neither", LIMITS._replace(dwell_s=0.0, stable_s=0.0), 1.0
    ),
)


class Fleet:
    """Daemons and engines, with a host list published at intervals."""

    def __init__(self, seed: int, variant: PlanningVariant) -> None:
        """Distribute the models over the engines."""
        self.random = random.Random(seed)
        self.limits = variant.limits
        self.loaded_models = {
            f"engine-{n}": MODELS[n % len(MODELS)] for n in range(ENGINES)
        }
        self.daemons = [
            OrderPlanner(f"entry-{n}", variant.limits) for n in range(DAEMONS)
        ]
        self.smoothed_demands: list[dict[str, float]] = [
            {} for _ in self.daemons
        ]
        self.observed_demands = [
            dict.fromkeys(MODELS, 0.0) for _ in self.daemons
        ]
        self.hosts = HostList(0, {})
        self.load_times_s: list[float] = []
        self.unloaded: set[tuple[str, str]] = set()
        self.taken_back = 0
        self.publish()

    def publish(self) -> None:
        """Publish the engines' loaded models if they changed."""
        entries = [
            HostEntry(f"entry-{n}", Role.ENTRY, f"10.0.0.{n}:1", "z")
            for n in range(DAEMONS)
        ]
        entries += [
            HostEntry(
                host,
                Role.ENGINE,
                "10.1.0.1:1",
                "z",
                models=(model,),
                may_hold=MODELS,
            )
            for host, model in self.loaded_models.items()
        ]
        hosts = {entry.host: entry for entry in entries}
        if hosts != self.hosts.hosts:
            self.hosts = HostList(self.hosts.revision + 1, hosts)

    def step(self, now_s: int, demand: Mapping[str, float]) -> None:
        """Simulate one second."""
        if now_s % LIST_INTERVAL_S == 0:
            self.publish()
        for index, daemon in enumerate(self.daemons):
            if (now_s + index) % REQUEST_DURATION_S == 0:
                self.observed_demands[index] = self._draw(demand)
            decay = math.exp(-1.0 / SMOOTHING_S)
            self.smoothed_demands[index] = {
                name: decay * self.smoothed_demands[index].get(name, 0.0)
                + (1.0 - decay) * self.observed_demands[index][name]
                for name in MODELS
            }
            self._plan(daemon, self.smoothed_demands[index], float(now_s))

    def _draw(self, demand: Mapping[str, float]) -> dict[str, float]:
        """Return a random sample of one daemon's running requests."""
        return {
            name: max(
                0.0, self.random.gauss(mean / DAEMONS, (mean / DAEMONS) ** 0.5)
            )
            for name, mean in demand.items()
        }

    def _plan(
        self,
        daemon: OrderPlanner,
        smoothed_demand: Mapping[str, float],
        now_s: float,
    ) -> None:
        artifacts = {name: Artifact(name) for name in MODELS}
        view = OrderView(self.hosts, artifacts, smoothed_demand, {}, 0.0)
        daemon.evaluate(view, now_s)
        for order in daemon.issue(view, now_s):
            if daemon.reason_to_withhold(order, view, now_s) is None:
                self._apply_order(order, now_s)
                answer = OrderAnswer(AnswerKind.ACCEPTED)
                daemon.note_answer(order, answer, now_s)

    def _apply_order(self, order: Order, now_s: float) -> None:
        self.load_times_s.append(now_s)
        self.taken_back += (order.host, order.subject) in self.unloaded
        self.unloaded.add((order.host, self.loaded_models[order.host]))
        self.loaded_models[order.host] = order.subject

    def count_needed_changes(self, demand: Mapping[str, float]) -> int:
        """Return the engines that exact planning would change."""
        loaded_models = dict(self.loaded_models)
        for _ in range(ENGINES):
            engine_slots = [
                EngineSlots(host, 1, MODELS, (model,))
                for host, model in loaded_models.items()
            ]
            moves = plan_moves(engine_slots, dict.fromkeys(MODELS, 1), demand)
            loaded_models.update((move.host, move.load) for move in moves)
            if not moves:
                break
        return sum(
            loaded_models[host] != model
            for host, model in self.loaded_models.items()
        )

    def max_loads_in_window(self) -> int:
        """Return the most loads in any window of the weight store."""
        window_s = self.limits.window_s
        return max(
            (
                sum(first <= t < first + window_s for t in self.load_times_s)
                for first in self.load_times_s
            ),
            default=0,
        )


def demands(seed: int) -> Iterator[dict[str, float]]:
    """Yield demands whose shares move between models."""
    source = random.Random(seed)
    for _ in range(DEMAND_CHANGES):
        shares = source.sample(DEMAND_SHARES, len(DEMAND_SHARES))
        yield {
            name: TOTAL_REQUESTS * share
            for name, share in zip(MODELS, shares, strict=True)
        }


def measure(variant: PlanningVariant, seed: int) -> dict[str, float | str]:
    """Return the figures of one variant of the planner."""
    replica_plan.HYSTERESIS_FACTOR = variant.hysteresis
    fleet = Fleet(seed, variant)
    needed_changes = 0
    orders: list[int] = []
    orders_in_second_half = 0
    now_s = 0
    for demand in demands(seed):
        needed_changes += fleet.count_needed_changes(demand)
        fleet.unloaded.clear()
        loads_before = len(fleet.load_times_s)
        for second in range(CHANGE_INTERVAL_S):
            now_s += 1
            count = len(fleet.load_times_s)
            fleet.step(now_s, demand)
            if second >= CHANGE_INTERVAL_S // 2:
                orders_in_second_half += len(fleet.load_times_s) - count
        orders.append(len(fleet.load_times_s) - loads_before)
    return {
        "way": variant.name,
        "seed": seed,
        "changes": DEMAND_CHANGES,
        "needed": needed_changes,
        "orders": sum(orders),
        "most_orders_a_change": max(orders),
        "orders_an_engine_needed": round(
            sum(orders) / max(1, needed_changes), 2
        ),
        "orders_in_second_half": orders_in_second_half,
        "taken_back": fleet.taken_back,
        "loads_in_window": fleet.max_loads_in_window(),
    }


def main() -> None:
    """Print the figures of all variants."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for variant in VARIANTS:
        print(json.dumps(measure(variant, options.seed)), flush=True)


if __name__ == "__main__":
    main()
