"""Types of the scheduler's decisions, queue keys, ranks and claims."""

from typing import NamedTuple

from plantainsail.policy.accounts import LONG_TOKENS
from plantainsail.policy.admission import MIN_RETRY_AFTER_S
from plantainsail.policy.work import Placement, Work
from plantainsail.results import Code, Failure

# Work with at most this many expected output tokens counts as short.
SHORT_TOKENS = 64
# Priorities that engines get; a lower number goes first.
LONG_PRIORITY = 2
NORMAL_PRIORITY = 1
SHORT_PRIORITY = 0


class Started(NamedTuple):
    """A request to send to an engine now."""

    work: Work
    placement: Placement


class Refused(NamedTuple):
    """A waiting request that is refused."""

    work: Work
    failure: Failure


class QueueKey(NamedTuple):
    """The key of a queue; each model has one for short work."""

    model: str
    is_short: bool


class Rank(NamedTuple):
    """The position of work in the fair order; the lowest goes first.

    `plan` is the plan's tokens per share, and `organisation` the
    organisation's tokens.
    """

    plan: float
    organisation: float


# The rank of running work that needs more memory than its daemon may
# fill on the engine.
OUTGROWN = Rank(float("-inf"), float("-inf"))


class Claim(NamedTuple):
    """Memory of an engine that a peer claims for its work.

    The rank is `OUTGROWN` for running work, which goes before all
    waiting work.
    """

    rank: Rank
    tokens: int


def priority_of(expected_tokens: int) -> int:
    """Return the engine priority for an expected output length."""
    if expected_tokens <= SHORT_TOKENS:
        return SHORT_PRIORITY
    return LONG_PRIORITY if expected_tokens >= LONG_TOKENS else NORMAL_PRIORITY


def expired_failure() -> Failure:
    """Return the failure of a request whose deadline has passed."""
    return Failure(
        Code.DEADLINE_EXPIRED,
        "the deadline passed while the request waited",
        MIN_RETRY_AFTER_S,
    )


def unreachable_failure() -> Failure:
    """Return the failure of a request that can't end in time."""
    return Failure(
        Code.DEADLINE_UNREACHABLE,
        "too little time is left to the deadline",
        MIN_RETRY_AFTER_S,
    )
