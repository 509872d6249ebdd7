"""Decides when a stream without a reader is cancelled or dropped.

After a caller disconnects, its generation continues for a grace
period.  It is then cancelled once, but only by a daemon that certainly
still relays it.  A daemon that learned of a takeover does not cancel.
Neither does one that was paused, since another daemon may have taken
over meanwhile, unless the engine itself refuses such a stale cancel.
"""

from enum import StrEnum
from typing import NamedTuple

from plantainsail.membership.pauses import PAUSE_LIMIT_S


class Lifetime(NamedTuple):
    """The state of a stream that decides whether it is kept.

    `unread_since_s` is the time since which no caller reads the stream,
    and `ended_at_s` when the generation ended, on the daemon's clock.
    The first is None while a caller reads, and the second while the
    generation runs.
    `is_taken_over` is set once this daemon learns that another one
    relays the stream.  `was_paused` is set if this process was paused
    after the stream began.
    """

    unread_since_s: float | None = None
    ended_at_s: float | None = None
    is_taken_over: bool = False
    was_paused: bool = False


class SweepAction(StrEnum):
    """What the periodic sweep does with a stream.

    `KEEP` leaves the stream as it is.  `CANCEL` stops relaying the
    generation and cancels it at the engine, while `ABANDON` only stops
    relaying it.  `ASK` first asks the peers whether another
    daemon has taken over, and then cancels or abandons.  `FORGET`
    drops a stream that has ended.
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
    """Return what the periodic sweep must do with a stream now.

    `grace_s` is how long a stream is kept without a reader, and after
    its end.  `is_sure` tells whether the daemon may act now, which it
    may not directly after a pause.  If `is_fenced` is set, the engine
    refuses a cancel from a daemon whose stream was taken over, so the
    peers need not be asked.
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
    """Return whether the process was paused since the last tick.

    `interval_s` is the usual time between two ticks.
    """
    return now_s - last_tick_s > interval_s + PAUSE_LIMIT_S
