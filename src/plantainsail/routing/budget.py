"""How often the fleet may send a request once more.

The bound holds over all daemons without a coordinator: each uses a
part of the ratio of its own requests, and of the fixed extra the share
that falls to one of the largest fleet it has seen.  A daemon that has
not met its peers yet has no extra at all.
"""

from collections import deque

BUDGET_SHARE_IN_USE = 0.8


class RepeatBudget:
    """Counts requests and repeats of one service in a window."""

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.requests_s: deque[float] = deque()
        self.repeats_s: deque[float] = deque()

    def note_request(self, now_s: float) -> None:
        """Count a request that a caller sent."""
        self._drop_old(now_s)
        self.requests_s.append(now_s)

    def take_repeat(self, now_s: float, fleet_size: int | None) -> bool:
        """Take one repeat from the budget, if there is one left.

        `fleet_size` is the largest number of daemons seen, None where
        no peer was met yet.
        """
        self._drop_old(now_s)
        allowed = self.ratio * len(self.requests_s)
        if fleet_size:
            allowed += self.extra / fleet_size
        if len(self.repeats_s) + 1 > allowed * BUDGET_SHARE_IN_USE:
            return False
        self.repeats_s.append(now_s)
        return True

    def _drop_old(self, now_s: float) -> None:
        for times in (self.requests_s, self.repeats_s):
            while times and times[0] <= now_s - self.window_s:
                times.popleft()
