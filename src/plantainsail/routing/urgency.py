"""In which order generations get engines, and which wait for slack.

The load that this answers is a peak at which more prompts arrive than
the engines can read in time.  Were all sent at once, all would be
late.  Those whose first event can still be in time go first; one that
is late whatever happens waits until some engine has little to read,
and so costs nobody else's time.
"""

from typing import NamedTuple

# A late request goes to an engine that has no more than this to read
# before it.
LATE_MAX_BACKLOG_S = 0.35
# One that waited this long goes wherever there is room.
LATE_PATIENCE_SHARE = 0.4
# Callers give up before the first event after this many objectives.
PATIENCE_OBJECTIVES = 4.0
MIN_PATIENCE_S = 2.0


# Reading often takes this much longer than was expected.
READ_MARGIN = 1.2


class Claim(NamedTuple):
    """When a waiting generation needs its first event.

    The first event is late after `late_from_s`, and the caller gives up
    at `gives_up_s`; both are times on the daemon's clock.
    """

    priority: int
    arrived_s: float
    late_from_s: float
    gives_up_s: float


class EngineRequirement(NamedTuple):
    """What an engine must offer a generation now.

    `read_limit_s` bounds the time until all prompts are read there.
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
    """Return the claim of a request that came at a time.

    `spent_s` passed since its caller's first try; such a caller that
    came back is often late already.
    """
    patience = max(MIN_PATIENCE_S, PATIENCE_OBJECTIVES * objective_s)
    return Claim(
        priority,
        arrived_s,
        arrived_s - spent_s + objective_s,
        min(arrived_s + patience, deadline_s),
    )


def waiting_order(
    claim: Claim, own_read_s: float, now_s: float
) -> tuple[bool, int, float]:
    """Return the key by which waiting generations are sorted."""
    is_late = is_surely_late(claim, own_read_s, now_s)
    return is_late, claim.priority, claim.arrived_s


def is_surely_late(claim: Claim, own_read_s: float, now_s: float) -> bool:
    """Return whether even an idle engine is too slow now."""
    return now_s + own_read_s > claim.late_from_s


def engine_requirement(
    claim: Claim, own_read_s: float, now_s: float
) -> EngineRequirement:
    """Return what an engine must offer now."""
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
    """Return whether the caller leaves before any first event."""
    return now_s + own_read_s >= claim.gives_up_s
