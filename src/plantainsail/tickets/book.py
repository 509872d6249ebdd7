"""Bounded records of tickets that are never forgotten too early.

Time is counted in periods of the daemon's own clock.  A ticket names
the period in which it was minted, and its record is dropped only when
that period is older than the retention, from when on the ticket itself
is refused.  So a record is missing for one of two reasons that the
holder can tell apart: there never was one, or the ticket has expired.

When the book is full it does not drop records.  It raises its floor to
the current period instead: all tickets up to that period that have no
record are burned at once, which takes no memory.
"""

from collections import deque
from typing import Generic, NamedTuple, TypeVar

PERIOD_S = 10.0
NO_PERIOD = -1

R = TypeVar("R")


class BookLimits(NamedTuple):
    """Bounds on the memory of one book."""

    records: int = 50_000
    answer_bytes: int = 16_000_000


class PeriodClock:
    """Numbers the periods of a daemon's clock; they never go back."""

    def __init__(self, retention_s: float, now_s: float) -> None:
        self.retention_periods = max(1, int(retention_s / PERIOD_S))
        self.start_s = now_s
        self.highest_period = 0

    def period(self, now_s: float) -> int:
        """Return the number of the current period."""
        period = int((now_s - self.start_s) / PERIOD_S)
        self.highest_period = max(self.highest_period, period)
        return self.highest_period

    def is_expired(self, period: int, now_s: float) -> bool:
        """Return whether a period is older than the retention."""
        return period + self.retention_periods < self.period(now_s)


class Book(Generic[R]):
    """Records by ticket identifier, in the order of their periods."""

    def __init__(self, clock: PeriodClock, limits: BookLimits) -> None:
        self.clock = clock
        self.limits = limits
        self.records: dict[int, R] = {}
        self.identifiers_by_period: dict[int, deque[int]] = {}
        self.answer_sizes: dict[int, int] = {}
        self.answer_bytes = 0
        self.floor_period = NO_PERIOD

    def find(self, identifier: int) -> R | None:
        """Return the record of a ticket."""
        return self.records.get(identifier)

    def is_covered_by_floor(self, period: int) -> bool:
        """Return whether an unrecorded ticket is burned already."""
        return period <= self.floor_period

    def add(self, identifier: int, period: int, record: R) -> bool:
        """Record a ticket; return False and raise the floor if full."""
        if len(self.records) >= self.limits.records:
            self.floor_period = max(
                self.floor_period, self.clock.highest_period
            )
            return False
        self.records[identifier] = record
        self.identifiers_by_period.setdefault(period, deque()).append(
            identifier
        )
        return True

    def reserve_answer_bytes(self, identifier: int, size: int) -> bool:
        """Return whether an answer's bytes may be kept, and count."""
        if self.answer_bytes + size > self.limits.answer_bytes:
            return False
        self.answer_sizes[identifier] = size
        self.answer_bytes += size
        return True

    def expire(self, now_s: float) -> None:
        """Drop the records of expired tickets."""
        for period in sorted(self.identifiers_by_period):
            if not self.clock.is_expired(period, now_s):
                return
            for identifier in self.identifiers_by_period.pop(period):
                del self.records[identifier]
                self.answer_bytes -= self.answer_sizes.pop(identifier, 0)
