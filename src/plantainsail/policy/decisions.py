"""The scheduler's decisions and what it orders work by."""

from typing import NamedTuple

from plantainsail.policy.accounts import LONG_TOKENS
from plantainsail.policy.admission import MIN_RETRY_AFTER_S
from plantainsail.policy.work import Placement, Work
from plantainsail.results import Code, Failure

SHORT_TOKENS = 64
LONG_PRIORITY = 2
NORMAL_PRIORITY = 1
SHORT_PRIORITY = 0


class Started(NamedTuple):
    """A request that goes to an engine now."""

    work: Work
    placement: Placement


class Refused(NamedTuple):
    """A request that was waiting and will not run."""

    work: Work
    failure: Failure


class QueueKey(NamedTuple):
    """Which queue; short work has one of its own for each model."""

    model: str
    is_short: bool


class Rank(NamedTuple):
    """Tokens per share of a plan, then tokens of an organisation."""

    plan: float
    organisation: float


OUTGROWN = Rank(float("-inf"), float("-inf"))


class Claim(NamedTuple):
    """Room of an engine that a peer's work should have first.

    The position is `OUTGROWN` for running work, before all others.
    """

    position: Rank
    tokens: int


def priority_of(expected: int) -> int:
    """Return the engine's priority for a likely output length."""
    if expected <= SHORT_TOKENS:
        return SHORT_PRIORITY
    return LONG_PRIORITY if expected >= LONG_TOKENS else NORMAL_PRIORITY


def expired_failure() -> Failure:
    """Return the refusal of work that waited too long."""
    return Failure(
        Code.DEADLINE_EXPIRED,
        "the deadline passed while the request waited",
        MIN_RETRY_AFTER_S,
    )


def unreachable_failure() -> Failure:
    """Return the refusal of work that would end too late."""
    return Failure(
        Code.DEADLINE_UNREACHABLE,
        "too little time is left to the deadline",
        MIN_RETRY_AFTER_S,
    )
