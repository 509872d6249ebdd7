"""Limits how often the fleet sends requests again after failures.

The limit holds over all daemons without a coordinator.  Each daemon
may repeat a ratio of its own requests, plus its share of a fixed extra
number that is divided by the largest fleet size it has seen.  A daemon
that has not met its peers yet gets no extra.
"""

from collections import deque

# Daemons use only this share of the repeats that they are allowed.
BUDGET_SHARE_IN_USE = 0.8


class RepeatBudget:
    """Counts the requests and repeats of one service in a window.

    Repeats are limited to `ratio` times the requests, plus this
    daemon's share of `extra`, a number of repeats for the fleet.
    `requests_s` and `repeats_s` are the times of those in the window.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.requests_s: deque[float] = deque()
        self.repeats_s: deque[float] = deque()

    def note_request(self, now_s: float) -> None:
        """Count a request from a caller."""
        self._drop_old(now_s)
        self.requests_s.append(now_s)

    def take_repeat(self, now_s: float, fleet_size: int | None) -> bool:
        """Count one repeat and return True if the budget allows it."""
        if not self.has_repeat(now_s, fleet_size):
            return False
        self.repeats_s.append(now_s)
        return True

    def has_repeat(self, now_s: float, fleet_size: int | None) -> bool:
        """Return whether the budget allows one repeat.

        `fleet_size` is the largest number of daemons seen, or None if
        no peer was met yet.
        """
        self._drop_old(now_s)
        allowed = self.ratio * len(self.requests_s)
        if fleet_size:
            allowed += self.extra / fleet_size
        return len(self.repeats_s) + 1 <= allowed * BUDGET_SHARE_IN_USE

    def _drop_old(self, now_s: float) -> None:
        for times in (self.requests_s, self.repeats_s):
            while times and times[0] <= now_s - self.window_s:
                times.popleft()
