"""When a stream that nobody reads is cancelled or forgotten.

A caller that goes silent has a grace period in which its generation
goes on.  After that it is cancelled once, but only by a daemon that is
surely still the one that relays it: not after a pause, in which
another daemon may have taken over, nor after it has heard of that.
"""

from enum import StrEnum
from typing import NamedTuple

from plantainsail.membership.pauses import PAUSE_LIMIT_S


class Lifetime(NamedTuple):
    """What is known of one stream.

    Times are on the daemon's clock, None where it has not happened.
    `was_paused` tells that the daemon stood still since the stream
    began.
    """

    unread_since_s: float | None = None
    ended_at_s: float | None = None
    is_taken_over: bool = False
    was_paused: bool = False


class SweepAction(StrEnum):
    """What becomes of a stream.

    `ABANDON` stops reading and leaves the engine alone; `ASK` finds
    out from the peers whether another daemon has taken over, and then
    cancels or abandons.
    """

    KEEP = "keep"
    CANCEL = "cancel"
    ASK = "ask"
    ABANDON = "abandon"
    FORGET = "forget"


def choose_sweep_action(
    lifetime: Lifetime,
    now_s: float,
    grace_s: float,
    is_sure: bool,
    is_fenced: bool,
) -> SweepAction:
    """Return what becomes of a stream now.

    `is_fenced` tells that the engine refuses a cancel from a daemon
    that was relieved, so that asking the peers is needless.
    """
    if lifetime.ended_at_s is not None:
        if now_s - lifetime.ended_at_s >= grace_s:
            return SweepAction.FORGET
        return SweepAction.KEEP
    if lifetime.is_taken_over:
        return SweepAction.ABANDON
    if lifetime.unread_since_s is None:
        return SweepAction.KEEP
    if now_s - lifetime.unread_since_s < grace_s:
        return SweepAction.KEEP
    if not is_sure or lifetime.was_paused:
        return (
            SweepAction.CANCEL
            if is_fenced and is_sure
            else SweepAction.ABANDON
        )
    return SweepAction.CANCEL if is_fenced else SweepAction.ASK


def was_paused_before_tick(
    last_tick_s: float, now_s: float, interval_s: float
) -> bool:
    """Return whether a task that ticks was paused before this tick."""
    return now_s - last_tick_s > interval_s + PAUSE_LIMIT_S
