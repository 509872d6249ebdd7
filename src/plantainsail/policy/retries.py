"""Which failed requests may be retried, and how many of them.

`docs/RETRIES.md` shows the table below.  There is a retry budget for
the daemon and one for each organisation; a retry must fit into both.
"""

import random
from collections import deque
from collections.abc import Iterable, Sequence
from enum import StrEnum

from plantainsail.results import CODE_FACTS, Code, Failure, Outcome

# The retries and first attempts of this time count for a retry budget.
BUDGET_WINDOW_S = 10.0
# The first attempts of each such time are counted together.
BUCKET_S = 0.25
# One retry is allowed for this many first attempts.
ATTEMPTS_PER_RETRY = 10
# A request is attempted at most this many times, with the first.
MAX_ATTEMPTS = 3
# The bound of the random wait before a retry doubles with each attempt,
# from this base up to this limit.
BACK_OFF_BASE_S = 0.05
BACK_OFF_LIMIT_S = 1.0
# Idle budgets of organisations are removed this often.
IDLE_CLEANUP_INTERVAL_S = 30.0


class WorkKind(StrEnum):
    """Kinds of requests that differ in which failures are retried.

    `GENERATION` is a generation of which the caller has received
    nothing yet; an answer that is not streamed stays one until its end.
    `DELIVERED_GENERATION` is one of which the caller has a part.
    `READ` is an idempotent call, and `TICKETED_CALL` a call that may
    run only once.
    """

    GENERATION = "generation"
    DELIVERED_GENERATION = "delivered_generation"
    READ = "read"
    TICKETED_CALL = "ticketed_call"


# These failures prove that the request did not run.  A refusal by HTTP
# status isn't among them: only the upstream can say that it refused
# before it began the work.
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
    """Return whether a request with this failure may be retried."""
    return code in RETRYABLE[kind]


def back_off_s(attempt: int, source: random.Random) -> float:
    """Return a random wait before an attempt; attempts count from 1.

    Full jitter spreads the retries of requests that failed together
    over the whole interval.
    """
    bound_s = min(BACK_OFF_LIMIT_S, BACK_OFF_BASE_S * 2.0**attempt)
    return source.uniform(0.0, bound_s)


def surely_not_run(failures: Iterable[Failure]) -> bool:
    """Return whether none of the failed attempts can have run."""
    return all(
        CODE_FACTS[failure.code].outcome is Outcome.NOT_RUN
        for failure in failures
    )


def with_exact_outcome(
    failure: Failure, failures: Sequence[Failure]
) -> Failure:
    """Return a failure with the outcome of all attempts together.

    `failures` are those of all attempts so far.  The outcome is unknown
    unless none of them can have run.
    """
    if surely_not_run(failures):
        return failure
    return failure._replace(outcome=Outcome.UNKNOWN)


class RetryBudget:
    """Counts the first attempts and the retries of the last 10 s.

    In each window of 10 s that ends with a retry, the retries are at
    most a tenth of the first attempts; with fewer than ten first
    attempts there is no retry.  First attempts are counted in buckets
    to bound memory.  Only buckets wholly inside the window count, which
    keeps the bound exact.

    `buckets` holds the number of each bucket and its first attempts,
    `first_attempts` their sum, and `retries` when each retry was made.
    """

    def __init__(self) -> None:
        self.buckets: deque[tuple[int, int]] = deque()
        self.first_attempts = 0
        self.retries: deque[float] = deque()

    def note_first_attempt(self, now_s: float) -> None:
        """Count a first attempt."""
        self._drop_old(now_s)
        bucket = int(now_s // BUCKET_S)
        count = 0
        if self.buckets and self.buckets[-1][0] == bucket:
            count = self.buckets.pop()[1]
        self.buckets.append((bucket, count + 1))
        self.first_attempts += 1

    def has_room(self, now_s: float) -> bool:
        """Return whether one more retry fits."""
        self._drop_old(now_s)
        return len(self.retries) < self.first_attempts // ATTEMPTS_PER_RETRY

    def spend(self, now_s: float) -> None:
        """Count a retry."""
        self.retries.append(now_s)

    def is_idle(self, now_s: float) -> bool:
        """Return whether there was no attempt in the last 10 s."""
        self._drop_old(now_s)
        return not self.buckets and not self.retries

    def _drop_old(self, now_s: float) -> None:
        start_s = now_s - BUDGET_WINDOW_S
        while self.buckets and self.buckets[0][0] * BUCKET_S <= start_s:
            self.first_attempts -= self.buckets.popleft()[1]
        while self.retries and self.retries[0] < start_s:
            self.retries.popleft()


class RetryBudgets:
    """The retry budgets of a daemon and of each organisation."""

    def __init__(self) -> None:
        self.daemon = RetryBudget()
        self.organisations: dict[str, RetryBudget] = {}
        self.cleaned_up_s = 0.0

    def note_first_attempt(self, organisation: str, now_s: float) -> None:
        """Count a first attempt of an organisation."""
        self._drop_idle(now_s)
        self.daemon.note_first_attempt(now_s)
        self._budget(organisation).note_first_attempt(now_s)

    def try_spend(self, organisation: str, now_s: float) -> bool:
        """Count a retry and return True if both budgets allow it."""
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

    def _drop_idle(self, now_s: float) -> None:
        if now_s - self.cleaned_up_s < IDLE_CLEANUP_INTERVAL_S:
            return
        self.cleaned_up_s = now_s
        for name, budget in list(self.organisations.items()):
            if budget.is_idle(now_s):
                del self.organisations[name]
