"""Which failed work may be sent again, and how much of it.

`docs/RETRIES.md` shows the same table.  The budget is counted for the
daemon and for each organisation; a retry needs room in both.
"""

import random
from collections import deque
from collections.abc import Iterable, Sequence
from enum import StrEnum

from plantainsail.results import CODE_FACTS, Code, Failure, Outcome

WINDOW_S = 10.0
BUCKET_S = 0.25
ATTEMPTS_PER_RETRY = 10
MAX_ATTEMPTS = 3
BACK_OFF_BASE_S = 0.05
BACK_OFF_LIMIT_S = 1.0
FORGET_INTERVAL_S = 30.0


class WorkKind(StrEnum):
    """Work, as far as sending it again goes.

    `GENERATION` has given nothing to its caller yet, as is so of a
    whole answer until its end.  `DELIVERED_GENERATION` has.  `READ`
    is an idempotent call, `TICKETED_CALL` one that may run once.
    """

    GENERATION = "generation"
    DELIVERED_GENERATION = "delivered_generation"
    READ = "read"
    TICKETED_CALL = "ticketed_call"


# Not a refusal by status: only the upstream's word says that it came
# before the work was begun.
SURELY_NOT_RUN = frozenset({Code.UPSTREAM_UNREACHABLE})
TRANSIENT = SURELY_NOT_RUN | {
    Code.UPSTREAM_DRAINING,
    Code.UPSTREAM_TIMEOUT,
    Code.UPSTREAM_TRUNCATED,
    Code.UPSTREAM_GARBLED,
    Code.UPSTREAM_ERROR,
}
RETRYABLE: dict[WorkKind, frozenset[Code]] = {
    WorkKind.GENERATION: TRANSIENT | {Code.GENERATION_LOST},
    WorkKind.DELIVERED_GENERATION: frozenset(),
    WorkKind.READ: TRANSIENT,
    WorkKind.TICKETED_CALL: SURELY_NOT_RUN,
}


def may_retry(kind: WorkKind, code: Code) -> bool:
    """Return whether a failure leaves work that may be sent again."""
    return code in RETRYABLE[kind]


def back_off_s(attempt: int, source: random.Random) -> float:
    """Return a random wait before an attempt, counted from 1.

    Full jitter spreads the retries of work that failed together over
    the whole interval.
    """
    bound_s = min(BACK_OFF_LIMIT_S, BACK_OFF_BASE_S * 2.0**attempt)
    return source.uniform(0.0, bound_s)


def surely_not_run(failures: Iterable[Failure]) -> bool:
    """Return whether none of some failed attempts can have run."""
    return all(
        CODE_FACTS[failure.code].outcome is Outcome.NOT_RUN
        for failure in failures
    )


def with_exact_outcome(
    failure: Failure, failures: Sequence[Failure]
) -> Failure:
    """Return a failure that says "not run" only where that is sure.

    `failures` are those of all attempts so far.
    """
    if surely_not_run(failures):
        return failure
    return failure._replace(outcome=Outcome.UNKNOWN)


class RetryBudget:
    """Counts first attempts and retries of the last 10 s.

    In each stretch of 10 s that ends with a retry, the retries are at
    most a tenth of the first attempts, so that there is none with
    fewer than ten.  First attempts are counted in buckets, of which
    only those wholly inside the stretch count, so that the bound is
    exact and the memory small.
    """

    def __init__(self) -> None:
        self.buckets: deque[tuple[int, int]] = deque()
        self.first_attempts = 0
        self.retries: deque[float] = deque()

    def note_first_attempt(self, now_s: float) -> None:
        """Count a first attempt."""
        self._forget(now_s)
        bucket = int(now_s // BUCKET_S)
        count = 0
        if self.buckets and self.buckets[-1][0] == bucket:
            count = self.buckets.pop()[1]
        self.buckets.append((bucket, count + 1))
        self.first_attempts += 1

    def has_room(self, now_s: float) -> bool:
        """Return whether one more retry fits."""
        self._forget(now_s)
        return len(self.retries) < self.first_attempts // ATTEMPTS_PER_RETRY

    def spend(self, now_s: float) -> None:
        """Count a retry."""
        self.retries.append(now_s)

    def is_idle(self, now_s: float) -> bool:
        """Return whether nothing of the last 10 s is held."""
        self._forget(now_s)
        return not self.buckets and not self.retries

    def _forget(self, now_s: float) -> None:
        start_s = now_s - WINDOW_S
        while self.buckets and self.buckets[0][0] * BUCKET_S <= start_s:
            self.first_attempts -= self.buckets.popleft()[1]
        while self.retries and self.retries[0] < start_s:
            self.retries.popleft()


class RetryBudgets:
    """The budgets of a daemon and of the organisations it serves."""

    def __init__(self) -> None:
        self.daemon = RetryBudget()
        self.organisations: dict[str, RetryBudget] = {}
        self.forgot_at_s = 0.0

    def note_first_attempt(self, organisation: str, now_s: float) -> None:
        """Count a first attempt of an organisation."""
        self._forget_idle(now_s)
        self.daemon.note_first_attempt(now_s)
        self._budget(organisation).note_first_attempt(now_s)

    def try_spend(self, organisation: str, now_s: float) -> bool:
        """Count a retry and return True, if both budgets allow it."""
        budget = self._budget(organisation)
        if not self.daemon.has_room(now_s) or not budget.has_room(now_s):
            return False
        self.daemon.spend(now_s)
        budget.spend(now_s)
        return True

    def _budget(self, organisation: str) -> RetryBudget:
        budget = self.organisations.get(organisation)
        if budget is None:
            budget = self.organisations[organisation] = RetryBudget()
        return budget

    def _forget_idle(self, now_s: float) -> None:
        if now_s - self.forgot_at_s < FORGET_INTERVAL_S:
            return
        self.forgot_at_s = now_s
        for name, budget in list(self.organisations.items()):
            if budget.is_idle(now_s):
                del self.organisations[name]
