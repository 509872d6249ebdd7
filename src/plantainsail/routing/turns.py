"""Spreads the requests of many daemons to one upstream over time.

As soon as an upstream may get a request again, every daemon with a
waiting request would send one before it hears of the others'.  Each
daemon therefore sends only in its turns.  No message is needed for
these: the daemons' first turns are in the order of a hash of their
addresses, and so evenly spread.  A turn lasts until it is used, but
only for a short time once a request in it is held back, so that no
turns pile up while the upstream may get no request.
"""

import random
import zlib
from collections.abc import Iterable

# So many daemons are held back in a turn at a time, on average.
HELD_DAEMONS = 2.5
# Where only some daemons have requests, their turns come more often
# once no request was held back for as long as a partition may go
# unnoticed.  They come twice as often after this time, up to the limit.
DOUBLING_S = 0.5
MAX_FACTOR = 4.0
HELD_FACTOR = 0.7
# The longest time between two requests that counts for this.
MAX_COUNTED_GAP_S = 0.25
# A turn follows the one before after a period, more or less this part
# of it.
PERIOD_JITTER = 0.1


def first_turn(upstream: str, address: str, peers: Iterable[str]) -> float:
    """Return when the first turn of a daemon begins, in periods.

    `address` and `peers` are those of the daemons, and `upstream` is
    the identifier of an upstream, for each of which the order differs.
    """
    own_hash = _hash(upstream, address)
    daemons = 1
    before = 0
    for peer in peers:
        daemons += 1
        before += _hash(upstream, peer) < own_hash
    return before / daemons


def _hash(upstream: str, address: str) -> int:
    return zlib.crc32(f"{address} {upstream}".encode())


class Turns:
    """When this daemon may send to one upstream.

    The next turn begins `periods` average periods after `drawn_s`.  The
    turns come `factor` times as often as they would if all daemons had
    requests.
    """

    def __init__(
        self, now_s: float, periods: float, source: random.Random
    ) -> None:
        self.source = source
        self.drawn_s = now_s
        self.periods = periods
        self.held_s: float | None = None
        self.factor = 1.0
        self.unheld_since_s = now_s
        self.tried_s = now_s

    def wait_s(self, turns_per_s: float, daemons: int, now_s: float) -> float:
        """Return the time until this daemon may send.

        All `daemons` together have `turns_per_s` turns a second.
        """
        held_limit_s = HELD_DAEMONS / turns_per_s
        if self.held_s is not None and now_s >= self.held_s + held_limit_s:
            self._draw(self.held_s + held_limit_s)
        period_s = max(1, daemons) / (turns_per_s * self.factor)
        return max(0.0, self.drawn_s + self.periods * period_s - now_s)

    def note_held(self, now_s: float, *, is_in_turn: bool) -> None:
        """Record that the upstream could get no request."""
        if self.unheld_since_s < self.tried_s:
            self.factor = max(1.0, self.factor * HELD_FACTOR)
        self.unheld_since_s = now_s
        self.tried_s = now_s
        if is_in_turn and self.held_s is None:
            self.held_s = now_s

    def note_free(self, notice_s: float, now_s: float) -> None:
        """Record that the upstream could get a request."""
        gap_s = min(MAX_COUNTED_GAP_S, now_s - self.tried_s)
        self.tried_s = now_s
        if now_s - self.unheld_since_s < notice_s or not gap_s:
            return
        factor = self.factor * 2.0 ** (gap_s / DOUBLING_S)
        self.factor = min(MAX_FACTOR, factor)

    def reset_factor(self, now_s: float) -> None:
        """Assume again that all daemons have requests."""
        self.factor = 1.0
        self.unheld_since_s = now_s

    def note_sent(self, now_s: float) -> None:
        """Use the present turn."""
        self._draw(now_s)

    def _draw(self, now_s: float) -> None:
        self.drawn_s = now_s
        jitter = self.source.uniform(-PERIOD_JITTER, PERIOD_JITTER)
        self.periods = 1.0 + jitter
        self.held_s = None
