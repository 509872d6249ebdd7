"""Bounded storage of ticket records for the retention time.

Time is counted in periods of the daemon's own clock.  A ticket names
the period in which it was minted.  Its record is dropped only after
that period is older than the retention, and from then on the ticket is
refused as expired.  So a missing record has one of two causes, which
the book can tell apart: the ticket was never recorded, or it expired.

A full book drops no records.  It raises its floor to the current
period instead, which burns every ticket of that period or an earlier
one that has no record.  This takes no memory.
"""

from collections import deque
from typing import Generic, NamedTuple, TypeVar

# The length of a period of a daemon's clock.
PERIOD_S = 10.0
# The floor of a book that was never full; real periods begin at 0.
NO_PERIOD = -1

# The type of the records in a book.
R = TypeVar("R")


class BookLimits(NamedTuple):
    """Bounds on the memory of one book.

    `records` is the number of ticket records, and `answer_bytes` the
    size of all recorded answers together.
    """

    records: int = 50_000
    answer_bytes: int = 16_000_000


class PeriodClock:
    """Numbers the periods of a daemon's clock, without going back.

    Period 0 begins at `start_s`.  Tickets are retained for
    `retention_periods` after their own, and `highest_period` is the
    latest period returned so far.
    """

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
    """Ticket records by identifier, which expire by period.

    `identifiers_by_period` holds the recorded tickets by the period in
    which they were minted.  `answer_sizes` holds the bytes counted for
    each ticket's answer, and `answer_bytes` their sum.  `floor_period`
    is the period up to which tickets without a record are burned.
    """

    def __init__(self, clock: PeriodClock, limits: BookLimits) -> None:
        self.clock = clock
        self.limits = limits
        self.records: dict[int, R] = {}
        self.identifiers_by_period: dict[int, deque[int]] = {}
        self.answer_sizes: dict[int, int] = {}
        self.answer_bytes = 0
        self.floor_period = NO_PERIOD

    def find(self, identifier: int) -> R | None:
        """Return the record of a ticket, or None if it has none."""
        return self.records.get(identifier)

    def is_covered_by_floor(self, period: int) -> bool:
        """Return whether unrecorded tickets of a period are burned."""
        return period <= self.floor_period

    def add(self, identifier: int, period: int, record: R) -> bool:
        """Add a ticket's record and return True.

        If the book is full, raise its floor and return False.
        """
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
        """Count the bytes of a ticket's answer and return True.

        Return False if they exceed the book's limit for answers.
        """
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
