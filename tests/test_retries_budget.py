"""Only some failures are retried, and only within the retry budget.

A wrong table would run work twice that may run once.  A budget that is
exceeded lets retries multiply the load on upstreams that already fail.
"""

import random
import re
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from plantainsail.policy.hedges import READS_PER_HEDGE, HedgePolicy
from plantainsail.policy.retries import (
    BACK_OFF_LIMIT_S,
    BUDGET_WINDOW_S,
    RETRYABLE,
    RetryBudgets,
    WorkKind,
    back_off_s,
    may_retry,
    surely_not_run,
)
from plantainsail.results import Code, Failure

DOC = Path("docs/RETRIES.md")
ROW = re.compile(r"^\| (\d{4}) (\w+) \| (.+) \|$", re.MULTILINE)
ORGANISATIONS = ("desk", "store")


def test_the_table_in_the_docs_is_the_table_in_the_code() -> None:
    text = DOC.read_text(encoding="utf-8")
    assert "| code | " + " | ".join(WorkKind) + " |" in text
    listed_codes = set()
    for number, name, cells in ROW.findall(text):
        code = Code(int(number))
        listed_codes.add(code)
        assert name == code.name.lower()
        for kind, cell in zip(WorkKind, cells.split(" | "), strict=True):
            assert cell == ("yes" if may_retry(kind, code) else "-")
    assert listed_codes == {code for code in Code if 4000 <= code < 5000}
    for codes in RETRYABLE.values():
        assert codes <= listed_codes


class RetryHistory:
    """Records the time of each first attempt and of each retry."""

    def __init__(self) -> None:
        self.first: list[float] = []
        self.retries: list[float] = []

    def check(self) -> None:
        """Check each window of 10 s that ends with a retry."""
        for end_s in self.retries:
            inside = [
                t for t in self.retries if end_s - BUDGET_WINDOW_S < t <= end_s
            ]
            firsts = [
                t for t in self.first if end_s - BUDGET_WINDOW_S < t <= end_s
            ]
            assert len(inside) <= len(firsts) / 10


STEPS = st.lists(
    st.tuples(
        st.sampled_from([0.0, 0.01, 0.2, 0.25, 1.0, 3.0, 9.99, 10.0]),
        st.sampled_from(ORGANISATIONS),
        st.integers(0, 30),
        st.integers(0, 6),
    ),
    max_size=40,
)


@given(STEPS)
def test_the_budget_holds_over_any_window(
    steps: list[tuple[float, str, int, int]],
) -> None:
    budgets = RetryBudgets()
    histories = {name: RetryHistory() for name in (*ORGANISATIONS, "daemon")}
    now_s = 1_000.0
    for wait_s, organisation, firsts, retries in steps:
        now_s += wait_s
        for _ in range(firsts):
            budgets.note_first_attempt(organisation, now_s)
            histories[organisation].first.append(now_s)
            histories["daemon"].first.append(now_s)
        for _ in range(retries):
            if budgets.try_spend(organisation, now_s):
                histories[organisation].retries.append(now_s)
                histories["daemon"].retries.append(now_s)
    for history in histories.values():
        history.check()


def test_retries_reach_a_tenth_of_the_first_attempts() -> None:
    budgets = RetryBudgets()
    granted = 0
    for number in range(2_000):
        now_s = 100.0 + number / 100
        budgets.note_first_attempt("desk", now_s)
        granted += budgets.try_spend("desk", now_s)
    assert 180 <= granted <= 200


def test_one_organisation_does_not_use_up_anothers_budget() -> None:
    budgets = RetryBudgets()
    for _ in range(500):
        budgets.note_first_attempt("desk", 1.0)
    assert not budgets.try_spend("store", 1.5)
    for _ in range(10):
        budgets.note_first_attempt("store", 1.0)
    while budgets.try_spend("store", 1.5):
        continue
    assert len(budgets.daemon.retries) == 1
    assert budgets.try_spend("desk", 1.5)


def test_idle_organisations_are_forgotten() -> None:
    budgets = RetryBudgets()
    for number in range(100):
        budgets.note_first_attempt(f"organisation-{number}", 1.0)
    budgets.note_first_attempt("desk", 100.0)
    assert list(budgets.organisations) == ["desk"]


@given(st.integers(1, 30), st.integers(0, 99))
def test_the_back_off_is_bounded(attempt: int, seed: int) -> None:
    wait_s = back_off_s(attempt, random.Random(seed))
    assert 0.0 <= wait_s <= BACK_OFF_LIMIT_S
    assert wait_s == back_off_s(attempt, random.Random(seed))


def test_outcome_is_not_run_only_if_no_attempt_can_have_run() -> None:
    refused = Failure(Code.UPSTREAM_UNREACHABLE, "")
    silent = Failure(Code.UPSTREAM_TIMEOUT, "")
    assert surely_not_run([refused, refused])
    assert not surely_not_run([refused, silent, refused])


@given(st.lists(st.booleans(), max_size=500))
def test_hedges_stay_within_their_part_of_the_reads(reads: list[bool]) -> None:
    hedges = HedgePolicy()
    read_count = 0
    hedge_count = 0
    for is_read in reads:
        if is_read:
            hedges.record_read()
            read_count += 1
        else:
            hedge_count += hedges.try_spend()
        assert hedge_count * READS_PER_HEDGE <= read_count


def test_hedge_delay_is_near_the_slowest_latencies() -> None:
    hedges = HedgePolicy()
    assert hedges.delay_s("ledger/stock.read") is None
    for number in range(100):
        hedges.record_latency("ledger/stock.read", number / 1_000)
    delay_s = hedges.delay_s("ledger/stock.read")
    assert delay_s is not None
    assert 0.08 <= delay_s <= 0.1
