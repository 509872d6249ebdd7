"""What the executor of a ticket decides.

The executor runs a ticket at most once because it alone may, and
because it remembers each ticket until the ticket itself is refused.
It says "not run" only of a ticket that it has burned in its own book
or that lies below the book's floor.
"""

from typing import NamedTuple

from expression import Error, Ok, Result

from plantainsail.identity import Incarnation
from plantainsail.results import Failure, Outcome
from plantainsail.tickets.book import Book, BookLimits, PeriodClock
from plantainsail.tickets.failures import (
    answer_lost,
    book_full,
    burned,
    expired,
    mismatch,
    with_not_run_outcome,
)
from plantainsail.tickets.life_cycle import EXECUTOR_LIFE_CYCLE, StatefulRecord
from plantainsail.tickets.ticket import Ticket
from plantainsail.upstreams.protocols import ServiceAnswer

CallResult = Result[ServiceAnswer, Failure]


class TicketRecord(StatefulRecord):
    """What became of one ticket, as its executor or witness knows."""

    __slots__ = ("result", "work_hash")

    def __init__(self, state: str, work_hash: bytes | None) -> None:
        super().__init__(state)
        self.work_hash = work_hash
        self.result: CallResult | None = None


class Start(NamedTuple):
    """The ticket is claimed: ask the witness, then run."""


class Join(NamedTuple):
    """The ticket runs already: wait for its result."""


class Settled(NamedTuple):
    """What became of the ticket is known."""

    result: CallResult


Claim = Start | Join | Settled


class Executor:
    """The tickets that one daemon incarnation may run."""

    def __init__(
        self,
        incarnation: Incarnation,
        clock: PeriodClock,
        limits: BookLimits,
    ) -> None:
        self.incarnation = incarnation
        self.clock = clock
        self.book: Book[TicketRecord] = Book(clock, limits)

    def is_full(self, now_s: float) -> bool:
        """Return whether tickets minted now would be refused."""
        return self.book.is_covered_by_floor(self.clock.period(now_s))

    def claim(
        self,
        ticket: Ticket,
        work_hash: bytes,
        obstacle: Failure | None,
        now_s: float,
    ) -> Claim:
        """Decide what to do with a ticketed call that arrived.

        `obstacle` is why the daemon can't run the call now; it burns a
        ticket that has no record.
        """
        known = self._find(ticket, now_s)
        if isinstance(known, Failure):
            return Settled(Error(known))
        if known is None:
            return self._open(ticket, work_hash, obstacle)
        if known.work_hash not in (None, work_hash):
            return Settled(Error(mismatch()))
        return _settled_or_join(known)

    def query(self, ticket: Ticket, now_s: float) -> Claim:
        """Decide what to say of a ticket without running it.

        A ticket without a record is burned, for else a copy of its
        call that is still under way could run after "not run".
        """
        known = self._find(ticket, now_s)
        if isinstance(known, Failure):
            return Settled(Error(known))
        if known is not None:
            return _settled_or_join(known)
        return self._open(ticket, None, burned("it was asked about unused"))

    def _find(
        self, ticket: Ticket, now_s: float
    ) -> TicketRecord | Failure | None:
        self.book.expire(now_s)
        record = self.book.find(ticket.identifier)
        if record is not None:
            return record
        if self.clock.is_expired(ticket.executor.period, now_s):
            return expired()
        if self.book.is_covered_by_floor(ticket.executor.period):
            return book_full()
        return None

    def _open(
        self,
        ticket: Ticket,
        work_hash: bytes | None,
        obstacle: Failure | None,
    ) -> Claim:
        record = TicketRecord("intending", work_hash)
        period = ticket.executor.period
        if not self.book.add(ticket.identifier, period, record):
            return Settled(Error(book_full()))
        if obstacle is None:
            return Start()
        return Settled(self.burn(ticket, obstacle))

    def mark_cleared(self, ticket: Ticket) -> None:
        """Note that the intent is on record at the witness."""
        self._move(ticket, "clear")

    def burn(self, ticket: Ticket, failure: Failure) -> CallResult:
        """Note that the ticket was not sent and never will be.

        Whatever the reason, it did not run; that is returned.
        """
        result: CallResult = Error(with_not_run_outcome(failure))
        self._move(ticket, "burn").result = result
        return result

    def mark_sent(self, ticket: Ticket) -> None:
        """Note that the call goes to an upstream now."""
        self._move(ticket, "send")

    def mark_unsent(self, ticket: Ticket) -> None:
        """Note that the upstream surely did not get the call."""
        self._move(ticket, "withdraw")

    def record_answer(self, ticket: Ticket, answer: ServiceAnswer) -> None:
        """Note the upstream's whole answer."""
        record = self._move(ticket, "answer")
        if self.book.reserve_answer_bytes(ticket.identifier, len(answer.body)):
            record.result = Ok(answer)
            return
        record.result = Error(answer_lost())

    def mark_outcome_unknown(self, ticket: Ticket, failure: Failure) -> None:
        """Note that the call was sent and not answered."""
        doubtful = failure._replace(outcome=Outcome.UNKNOWN)
        self._move(ticket, "doubt").result = Error(doubtful)

    def result(self, ticket: Ticket) -> CallResult | None:
        """Return what became of a ticket, or None while it runs."""
        record = self.book.find(ticket.identifier)
        return None if record is None else record.result

    def state(self, ticket: Ticket) -> str | None:
        """Return the state of a ticket's record."""
        record = self.book.find(ticket.identifier)
        return None if record is None else record.state

    def _move(self, ticket: Ticket, trigger: str) -> TicketRecord:
        record = self.book.records[ticket.identifier]
        EXECUTOR_LIFE_CYCLE.move(record, trigger)
        return record


def _settled_or_join(record: TicketRecord) -> Claim:
    if record.result is None:
        return Join()
    return Settled(record.result)
