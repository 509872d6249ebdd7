"""Order of the copies off an engine that leaves.

The load that this answers is an engine full of long streams that says
that it is gone in some two seconds.  A stream's memory is copied while
the stream goes on, and only what is new is copied at its end, with the
stream stopped.  That last part is short only while no other stream's
first copy is before it on the engine's link, so every daemon makes its
last copies once no daemon has a first copy on its way.  Where the time
is up before that, a stream goes on from its first copy, and the little
that this lacks is read again at the target.
"""

from typing import NamedTuple

# Engines that give notice are gone after as little as this.
DEFAULT_NOTICE_S = 1.5
CUT_OVER_RESERVE_S = 0.3
COPY_TIME_MARGIN_S = 0.02
OTHER_ZONE_FACTOR = 2.0
# Steps take longer while prompts are read.
TOKEN_TIME_FACTOR = 1.4


class EvacuationStep(NamedTuple):
    """What a stream with a first copy does now."""

    is_final_copy: bool
    is_cut_over: bool


WAIT = EvacuationStep(False, False)
FINAL_COPY = EvacuationStep(True, False)
CUT_OVER = EvacuationStep(False, True)


def next_step(
    first_copies: int, gone_s: float, now_s: float
) -> EvacuationStep:
    """Return what to do with a stream whose first copy is made.

    `first_copies` are those on their way off the same engine, of all
    daemons; `gone_s` is when the engine is expected to be gone.
    """
    if now_s >= gone_s - CUT_OVER_RESERVE_S:
        return CUT_OVER
    if first_copies <= 0:
        return FINAL_COPY
    return WAIT


def copy_time_s(
    memory_tokens: int,
    token_bytes: int,
    link_bytes_s: float,
    *,
    is_same_zone: bool,
) -> float:
    """Return how long a copy takes on a free link."""
    if link_bytes_s <= 0:
        return 0.0
    factor = 1.0 if is_same_zone else OTHER_ZONE_FACTOR
    return factor * memory_tokens * token_bytes / link_bytes_s


def can_copy_finish(copy_s: float, gone_s: float, now_s: float) -> bool:
    """Return whether a copy can still end before the engine is gone."""
    return now_s + copy_s + COPY_TIME_MARGIN_S <= gone_s


def will_end_before_engine(
    tokens_left: int, token_s: float, gone_s: float, now_s: float
) -> bool:
    """Return whether a stream surely ends before its engine is gone.

    `tokens_left` is the most that it may still make: a hint of its
    length is often wrong, and a move that was not needed costs little.
    """
    return now_s + tokens_left * token_s * TOKEN_TIME_FACTOR < gone_s
