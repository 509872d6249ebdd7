"""Order of the copies off an engine that leaves.

The load that this answers is an engine full of long streams that says
that it is gone in some two seconds.  A stream's memory is copied while
the stream goes on, and only what is new is copied at its end, with the
stream stopped.  That last part is short only while no other stream's
first copy is before it on the engine's link, so every daemon makes its
last copies once no daemon has a first copy on its way, or once the
time is nearly up.
"""

from typing import NamedTuple

# Engines that give notice are gone after as little as this.
NOTICE_S = 1.5
LAST_COPY_RESERVE_S = 0.35
COPY_ALLOWANCE_S = 0.12


class EvacuationState(NamedTuple):
    """What one daemon knows about an engine's leaving."""

    noticed_s: float
    first_copies: int


def may_make_last_copy(state: EvacuationState, now_s: float) -> bool:
    """Return whether a stream may be stopped for its last copy now."""
    if state.first_copies <= 0:
        return True
    return now_s >= state.noticed_s + NOTICE_S - LAST_COPY_RESERVE_S


def is_first_copy_worth_it(
    memory_tokens: int,
    token_bytes: int,
    link_bytes_s: float,
    noticed_s: float,
    now_s: float,
) -> bool:
    """Return whether a first copy can still end in time."""
    if link_bytes_s <= 0:
        return True
    copy_s = memory_tokens * token_bytes / link_bytes_s
    left_s = noticed_s + NOTICE_S - now_s
    return copy_s + COPY_ALLOWANCE_S <= left_s


def is_worth_moving(
    output_tokens_left: int, token_s: float, noticed_s: float, now_s: float
) -> bool:
    """Return whether a stream would not end by itself in time."""
    left_s = noticed_s + NOTICE_S - now_s
    return output_tokens_left * token_s > left_s
