"""Orders waiting generations and decides which wait for idle engines.

This is designed for peaks in which more prompts arrive than the
engines can read in time; if all were sent at once, all would be late.
Generations whose first event can still be in time go first.  One that
will be late anyway waits until an engine has little to read, so that
it delays no other.
"""

from typing import NamedTuple

# A late request goes only to an engine that needs at most this long to
# read the prompts before the request's own.
LATE_MAX_BACKLOG_S = 0.35
# Once a late request has waited for this share of its caller's
# patience, it goes to any engine that has room.
LATE_PATIENCE_SHARE = 0.4
# Callers that wait for a first event give up after this many times the
# route's latency objective.
PATIENCE_OBJECTIVES = 4.0
# Callers are expected to wait for at least this long.
MIN_PATIENCE_S = 2.0
# Callers of a stream also wait this many times the longest pause that
# its route names.
PATIENCE_PAUSES = 8.0
# A stream without an event for this share of its caller's patience has
# stalled.
STALL_PATIENCE_SHARE = 1.25
# Prompts often take longer to read than estimated, by this factor.
READ_MARGIN = 1.2


class Claim(NamedTuple):
    """When a waiting generation needs its first event.

    The first event is late after `late_from_s`, and the caller gives up
    at `gives_up_s`; all times are on the daemon's clock.  A `priority`
    of 0 is the most urgent.
    """

    priority: int
    arrived_s: float
    late_from_s: float
    gives_up_s: float


class EngineRequirement(NamedTuple):
    """What a generation now requires of an engine.

    The engine must be able to read all its unread prompts, including
    the generation's own, within `read_limit_s`.
    """

    is_late: bool
    read_limit_s: float


def make_claim(
    priority: int,
    arrived_s: float,
    objective_s: float,
    spent_s: float,
    deadline_s: float,
) -> Claim:
    """Return the claim of a request that arrived at `arrived_s`.

    `spent_s` is the time since its caller's first attempt; a repeated
    request is often late already when it arrives.
    """
    return Claim(
        priority,
        arrived_s,
        arrived_s - spent_s + objective_s,
        min(arrived_s + caller_patience_s(objective_s), deadline_s),
    )


def caller_patience_s(objective_s: float, pause_s: float = 0.0) -> float:
    """Return how long a caller waits for the next event of a stream.

    `pause_s` is the longest pause that its route names; it counts only
    between two events.
    """
    return max(
        MIN_PATIENCE_S,
        PATIENCE_OBJECTIVES * objective_s,
        PATIENCE_PAUSES * pause_s,
    )


def stall_limit_s(objective_s: float, pause_s: float) -> float:
    """Return after which time without an event a stream has stalled.

    It is longer than callers wait, so a stream that is only slow is
    left to the caller's own decision.
    """
    return STALL_PATIENCE_SHARE * caller_patience_s(objective_s, pause_s)


def waiting_order(
    claim: Claim, own_read_s: float, now_s: float
) -> tuple[bool, int, float]:
    """Return the sort key of a waiting generation.

    Generations that can be on time come first, then lower priority
    numbers, then earlier arrivals.
    """
    is_late = is_surely_late(claim, own_read_s, now_s)
    return is_late, claim.priority, claim.arrived_s


def is_surely_late(claim: Claim, own_read_s: float, now_s: float) -> bool:
    """Return whether a first event would be late on an idle engine.

    `own_read_s` is the time to read the generation's own prompt.
    """
    return now_s + own_read_s > claim.late_from_s


def engine_requirement(
    claim: Claim, own_read_s: float, now_s: float
) -> EngineRequirement:
    """Return what a waiting generation now requires of an engine."""
    if not is_surely_late(claim, own_read_s, now_s):
        return EngineRequirement(
            False, (claim.late_from_s - now_s) / READ_MARGIN
        )
    patience_s = claim.gives_up_s - claim.arrived_s
    waited_s = now_s - claim.arrived_s
    if waited_s >= patience_s * LATE_PATIENCE_SHARE:
        return EngineRequirement(True, max(0.0, claim.gives_up_s - now_s))
    return EngineRequirement(True, own_read_s + LATE_MAX_BACKLOG_S)


def gives_up_before_first_event(
    claim: Claim, own_read_s: float, now_s: float
) -> bool:
    """Return whether the caller gives up before the first event.

    This holds even if the generation starts on an idle engine now.
    """
    return now_s + own_read_s >= claim.gives_up_s
