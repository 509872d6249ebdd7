"""Decisions of a ticket's witness.

The witness never runs a call.  It records the executor's intent to run
the call, and the executor sends nothing before that.  The witness
reports "not run" only for a ticket that it has burned, and from then on
refuses the intent for that ticket.
"""

from expression import Error, Ok, Result

from plantainsail.identity import Incarnation
from plantainsail.results import Code, Failure
from plantainsail.tickets.book import Book, BookLimits, PeriodClock
from plantainsail.tickets.executor import CallResult, TicketRecord
from plantainsail.tickets.failures import (
    abandoned,
    answer_lost,
    book_full,
    burned,
    expired,
    intent_not_recorded,
    mismatch,
    not_the_witness,
    outcome_unknown,
)
from plantainsail.tickets.life_cycle import WITNESS_LIFE_CYCLE
from plantainsail.tickets.ticket import Participant, Ticket

# The witness keeps no larger answer of an upstream.
MAX_KEPT_ANSWER_BYTES = 65_536


class Witness:
    """Decides on the tickets that name this incarnation as witness.

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

    def intend(
        self, ticket: Ticket, work_hash: bytes, now_s: float
    ) -> Result[None, Failure]:
        """Record that the executor is about to run a call.

        A second intent is refused.  The executor asks only once, so
        the second one is a late copy, or comes from an executor that
        has lost its record.
        """
        participant = self._as_witness(ticket)
        if participant is None:
            return Error(intent_not_recorded("another incarnation answered"))
        self.book.expire(now_s)
        if self.clock.is_expired(participant.period, now_s):
            return Error(expired())
        if self.book.find(ticket.identifier) is not None:
            return Error(burned("its intent was refused"))
        if self.book.is_covered_by_floor(participant.period):
            return Error(book_full())
        record = TicketRecord("intended", work_hash)
        if not self.book.add(ticket.identifier, participant.period, record):
            return Error(book_full())
        return Ok(None)

    def complete(
        self, ticket: Ticket, result: CallResult, now_s: float
    ) -> None:
        """Record how a call ended, if its intent is still on record.

        A failure is recorded as well.  The record of a call that was
        sent but not answered keeps the state "intended", and the
        failure gives the reason.
        """
        record = self._find_intent(ticket, now_s)
        if record is None:
            return
        if result.is_error():
            if result.error.code is Code.TICKET_ANSWER_LOST:
                WITNESS_LIFE_CYCLE.move(record, "answer")
            record.result = result
            return
        WITNESS_LIFE_CYCLE.move(record, "answer")
        size = len(result.ok.body)
        is_kept = (
            size <= MAX_KEPT_ANSWER_BYTES
            and self.book.reserve_answer_bytes(ticket.identifier, size)
        )
        record.result = result if is_kept else Error(answer_lost())

    def abandon(self, ticket: Ticket, now_s: float) -> None:
        """Record that the executor gave up a call before sending it.

        A ticket without a record is burned, since the message with its
        intent may still be in transit.
        """
        record = self._find_intent(ticket, now_s)
        if record is not None:
            WITNESS_LIFE_CYCLE.move(record, "abandon")
            record.result = Error(abandoned())
            return
        self.resolve(ticket, None, now_s)

    def resolve(
        self, ticket: Ticket, work_hash: bytes | None, now_s: float
    ) -> CallResult:
        """Return the final result of a ticket.

        A ticket without a recorded intent is burned.  The outcome of
        an expired ticket is unknown, since its intent may have been
        dropped.
        """
        participant = self._as_witness(ticket)
        if participant is None:
            return Error(not_the_witness())
        self.book.expire(now_s)
        record = self.book.find(ticket.identifier)
        if record is not None:
            return _recorded_result(record, work_hash)
        if self.clock.is_expired(participant.period, now_s):
            return Error(expired())
        if self.book.is_covered_by_floor(participant.period):
            return Error(book_full())
        failure = burned("its executor could not be reached")
        record = TicketRecord("burned", None)
        record.result = Error(failure)
        if not self.book.add(ticket.identifier, participant.period, record):
            # The full book has just raised its floor, which burns this
            # ticket unless its period is later than the floor.
            return Error(
                book_full()
                if self._is_burned(participant)
                else outcome_unknown()
            )
        return record.result

    def _is_burned(self, participant: Participant) -> bool:
        return self.book.is_covered_by_floor(participant.period)

    def _as_witness(self, ticket: Ticket) -> Participant | None:
        """Return the ticket's witness if it is this incarnation."""
        participant = ticket.witness
        if participant is None or participant.incarnation != self.incarnation:
            return None
        return participant

    def _find_intent(
        self, ticket: Ticket, now_s: float
    ) -> TicketRecord | None:
        """Return a ticket's record if its intent awaits a result."""
        if self._as_witness(ticket) is None:
            return None
        self.book.expire(now_s)
        record = self.book.find(ticket.identifier)
        if record is None or record.state != "intended":
            return None
        return record


def _recorded_result(
    record: TicketRecord, work_hash: bytes | None
) -> CallResult:
    is_other_call = None not in (record.work_hash, work_hash) and (
        record.work_hash != work_hash
    )
    if is_other_call:
        return Error(mismatch())
    if record.result is not None:
        return record.result
    return Error(outcome_unknown())
