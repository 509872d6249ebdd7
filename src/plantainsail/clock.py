"""The clocks of the daemon, and a manual clock for tests.

The functions of `policy` and other pure decisions read no clock: their
caller passes them the time as `now_s`.
"""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic time in seconds."""

    def now_s(self) -> float:
        """Return the seconds since an arbitrary fixed moment."""

    def unix_s(self) -> float:
        """Return the Unix time in seconds, which may jump.

        It is used only for times that another host reads.
        """


class BootClock:
    """The system's boot-time clock, which also counts suspended time.

    `time.monotonic` stops while a machine is suspended, so an expired
    lease could still look valid by it.
    """

    def now_s(self) -> float:
        """Return the seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_s(self) -> float:
        """Return the Unix time of the host."""
        return time.time()


class ManualClock:
    """A clock that only `advance` moves, for tests and benchmarks."""

    def __init__(self, start_s: float = 0.0) -> None:
        self.current_s = start_s
        self.unix_offset_s = 0.0

    def now_s(self) -> float:
        """Return the current time of this clock."""
        return self.current_s

    def unix_s(self) -> float:
        """Return the current time plus `unix_offset_s`."""
        return self.current_s + self.unix_offset_s

    def advance(self, seconds: float) -> None:
        """Move the clock forward by a number of seconds."""
        self.current_s += seconds
