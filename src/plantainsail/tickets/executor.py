"""Decisions of a ticket's executor.

A ticket runs at most once because only its executor may run it, and
because the executor keeps a record of each ticket until the ticket has
expired.  The executor reports "not run" only for a ticket that is
burned, by a record or by the floor of its book.
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

# The upstream's answer to a ticketed call, or why there is none.
CallResult = Result[ServiceAnswer, Failure]


class TicketRecord(StatefulRecord):
    """State, call hash and result of a ticket at one daemon.

    `work_hash` identifies the call that the ticket was used for, and is
    None if the ticket was burned before any call came.  `result` is
    None until the call has ended.
    """

    __slots__ = ("result", "work_hash")

    def __init__(self, state: str, work_hash: bytes | None) -> None:
        super().__init__(state)
        self.work_hash = work_hash
        self.result: CallResult | None = None


class Start(NamedTuple):
    """The ticket is newly recorded, and its call is to be run.

    First the ticket's witness must be asked to record the intent.
    """


class Join(NamedTuple):
    """The ticket's call is already running; wait for its result."""


class Settled(NamedTuple):
    """The result of the ticket is already known."""

    result: CallResult


# What the daemon must do with a ticketed call.
Claim = Start | Join | Settled


class Executor:
    """Decides on the tickets that name this incarnation as executor.

    `clock` numbers the periods in which tickets expire, and `book`
    holds their records.
    """

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
        """Return whether the book refuses tickets minted now."""
        return self.book.is_covered_by_floor(self.clock.period(now_s))

    def claim(
        self,
        ticket: Ticket,
        work_hash: bytes,
        obstacle: Failure | None,
        now_s: float,
    ) -> Claim:
        """Decide what to do with an incoming ticketed call.

        `obstacle` is the reason why the daemon can't run the call now,
        if there is one.  It burns a ticket that has no record.
        """
        record = self._find(ticket, now_s)
        if isinstance(record, Failure):
            return Settled(Error(record))
        if record is None:
            return self._add_record(ticket, work_hash, obstacle)
        if record.work_hash not in (None, work_hash):
            return Settled(Error(mismatch()))
        return _settled_or_join(record)

    def query(self, ticket: Ticket, now_s: float) -> Claim:
        """Return the status of a ticket without running its call.

        A ticket without a record is burned.  Otherwise a copy of the
        call that is still in transit could run after the answer "not
        run".
        """
        record = self._find(ticket, now_s)
        if isinstance(record, Failure):
            return Settled(Error(record))
        if record is not None:
            return _settled_or_join(record)
        return self._add_record(
            ticket, None, burned("it was asked about unused")
        )

    def _find(
        self, ticket: Ticket, now_s: float
    ) -> TicketRecord | Failure | None:
        """Return a ticket's record, or why it can't get one any more.

        Return None if the ticket has no record and may get one.
        """
        self.book.expire(now_s)
        record = self.book.find(ticket.identifier)
        if record is not None:
            return record
        if self.clock.is_expired(ticket.executor.period, now_s):
            return expired()
        if self.book.is_covered_by_floor(ticket.executor.period):
            return book_full()
        return None

    def _add_record(
        self,
        ticket: Ticket,
        work_hash: bytes | None,
        obstacle: Failure | None,
    ) -> Claim:
        """Record a ticket, and burn it if there is an obstacle."""
        record = TicketRecord("intending", work_hash)
        period = ticket.executor.period
        if not self.book.add(ticket.identifier, period, record):
            return Settled(Error(book_full()))
        if obstacle is None:
            return Start()
        return Settled(self.burn(ticket, obstacle))

    def mark_cleared(self, ticket: Ticket) -> None:
        """Record that the call may now be sent to an upstream.

        This is so once the witness has recorded the intent, or if the
        ticket has no witness.
        """
        self._move(ticket, "clear")

    def burn(self, ticket: Ticket, failure: Failure) -> CallResult:
        """Record that the call was not sent and never will be.

        Return the failure with the outcome "not run", whatever its
        code is.
        """
        result: CallResult = Error(with_not_run_outcome(failure))
        self._move(ticket, "burn").result = result
        return result

    def mark_sent(self, ticket: Ticket) -> None:
        """Record that the call is about to be sent to an upstream."""
        self._move(ticket, "send")

    def mark_unsent(self, ticket: Ticket) -> None:
        """Record that the upstream certainly did not get the call."""
        self._move(ticket, "withdraw")

    def record_answer(self, ticket: Ticket, answer: ServiceAnswer) -> None:
        """Record the upstream's complete answer."""
        record = self._move(ticket, "answer")
        if self.book.reserve_answer_bytes(ticket.identifier, len(answer.body)):
            record.result = Ok(answer)
            return
        record.result = Error(answer_lost())

    def mark_outcome_unknown(self, ticket: Ticket, failure: Failure) -> None:
        """Record that the call was sent but not answered."""
        unknown = failure._replace(outcome=Outcome.UNKNOWN)
        self._move(ticket, "doubt").result = Error(unknown)

    def result(self, ticket: Ticket) -> CallResult | None:
        """Return a ticket's result, or None if it has none yet."""
        record = self.book.find(ticket.identifier)
        return None if record is None else record.result

    def state(self, ticket: Ticket) -> str | None:
        """Return the state of a ticket's record, if there is one."""
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
