"""Ticketed calls run at most once under any order of events.

A state machine delivers, loses, repeats and delays messages, restarts
and suspends daemons, and checks that no call runs twice or runs after
a caller was told "not run".  The check must hold with all safeguards,
and must fail when any one of them is removed.
"""

from typing import ClassVar

import pytest
from expression import Result
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
)

from plantainsail.identity import Incarnation
from plantainsail.results import Code, Failure
from plantainsail.tickets.book import BookLimits, PeriodClock
from plantainsail.tickets.executor import CallResult
from plantainsail.tickets.mint import Participants
from plantainsail.tickets.ticket import Ticket
from plantainsail.tickets.witness import Witness
from tests.standins.machine import run_machine
from tests.standins.ticket_fleet import (
    DAEMONS,
    TIMEOUT,
    Host,
    Message,
    Request,
    TicketFleet,
)

NUMBERS = st.integers(0, 9)
HOSTS = st.integers(0, DAEMONS - 1)


class TicketMachine(RuleBasedStateMachine):
    """Applies one message or event to a fleet at a time."""

    fleet_type: ClassVar[type[TicketFleet]] = TicketFleet
    max_tickets = 2
    # With more faults, most tickets would lose both their daemons.
    max_faults = 3

    def __init__(self) -> None:
        super().__init__()
        self.fleet = self.fleet_type()
        self.fleet.mint(0, 0)
        self.faults = 0

    def has_messages(self) -> bool:
        return bool(self.fleet.messages)

    @precondition(lambda self: len(self.fleet.tickets) < self.max_tickets)
    @rule(number=HOSTS, lag=st.integers(0, 1))
    def mint(self, number: int, lag: int) -> None:
        self.fleet.mint(number, lag)

    @rule(
        ticket=NUMBERS,
        number=HOSTS,
        work=st.sampled_from([b"a", b"a", b"a", b"b", None]),
        is_executor_reached=st.booleans(),
    )
    def call(
        self,
        ticket: int,
        number: int,
        work: bytes | None,
        is_executor_reached: bool,
    ) -> None:
        tickets = self.fleet.tickets
        self.fleet.call(
            tickets[ticket % len(tickets)], number, work, is_executor_reached
        )

    @rule(count=st.sampled_from([1, 2, 3, 5]))
    def go_on(self, count: int) -> None:
        for _ in range(count):
            cleared = self.fleet.in_state("cleared")
            if cleared:
                self.fleet.proceed(*cleared[0], is_late=False)
            elif self.fleet.messages:
                self.fleet.deliver(self.fleet.messages.pop(0))

    @precondition(has_messages)
    @rule(index=NUMBERS)
    def deliver_any(self, index: int) -> None:
        self.fleet.deliver(self.pop_message(index))

    def pop_message(self, index: int) -> Message:
        messages = self.fleet.messages
        return messages.pop(index % len(messages))

    @precondition(has_messages)
    @rule(index=NUMBERS, is_lost=st.booleans())
    def lose_or_repeat(self, index: int, is_lost: bool) -> None:
        message = self.pop_message(index)
        if is_lost:
            return
        self.fleet.messages.append(message)
        # A request to an upstream has a connection of its own, which
        # does not deliver it twice.
        if not isinstance(message, Request):
            self.fleet.messages.append(message)

    @precondition(lambda self: self.fleet.calls)
    @rule(index=NUMBERS)
    def time_out_call(self, index: int) -> None:
        numbers = list(self.fleet.calls)
        self.fleet.time_out_call(numbers[index % len(numbers)])

    @precondition(lambda self: self.fleet.in_state("intending"))
    @rule(index=NUMBERS)
    def give_up_intent(self, index: int) -> None:
        waiting = self.fleet.in_state("intending")
        self.fleet.give_up_intent(*waiting[index % len(waiting)])

    @precondition(lambda self: self.fleet.in_state("cleared"))
    @rule(index=NUMBERS, is_late=st.sampled_from([False, False, True]))
    def proceed(self, index: int, is_late: bool) -> None:
        cleared = self.fleet.in_state("cleared")
        host, ticket = cleared[index % len(cleared)]
        self.fleet.proceed(host, ticket, is_late)

    @precondition(lambda self: self.fleet.in_state("sent"))
    @rule(index=NUMBERS)
    def give_up_answer(self, index: int) -> None:
        sent = self.fleet.in_state("sent")
        host, ticket = sent[index % len(sent)]
        host.executor.mark_outcome_unknown(ticket, TIMEOUT)
        self.fleet.settle(host, ticket)

    @rule()
    def refuse_connection(self) -> None:
        for message in self.fleet.messages:
            if not isinstance(message, Request):
                continue
            self.fleet.messages.remove(message)
            host = self.fleet.host(message.ticket.executor.incarnation)
            if host is not None and (
                host.executor.state(message.ticket) != "sent"
            ):
                host = None
            self.fleet.refuse_connection(host, message)
            return

    def can_inject_fault(self) -> bool:
        return self.faults < self.max_faults

    @precondition(can_inject_fault)
    @rule(number=HOSTS, is_restart=st.booleans())
    def restart_or_suspend(self, number: int, is_restart: bool) -> None:
        self.faults += 1
        if is_restart:
            self.fleet.hosts[number] = self.fleet.start(number)
            return
        self.fleet.hosts[number].is_suspended = True

    @precondition(lambda self: any(h.is_suspended for h in self.fleet.hosts))
    @rule()
    def resume(self) -> None:
        for host in self.fleet.hosts:
            host.is_suspended = False

    @rule(
        seconds=st.sampled_from([20.0, 100.0]),
        drift=st.sampled_from([1.0, 1.5]),
        still=st.sampled_from([None, 0, 0, 1, 2]),
    )
    def advance(self, seconds: float, drift: float, still: int | None) -> None:
        for number, host in enumerate(self.fleet.hosts):
            # The worst case is a clock that stops while its daemon is
            # suspended.
            if number != still and not host.is_suspended:
                host.now_s += seconds * (drift if number == 1 else 1.0)


class UnwitnessedFleet(TicketFleet):
    """Faulty: the executor sends without asking the witness."""

    def request_intent(self, host: Host, ticket: Ticket) -> None:
        host.executor.mark_cleared(ticket)


class IgnoredWitnessFleet(TicketFleet):
    """Faulty: the executor sends though its witness did not answer.

    This is what replacing the witness by another daemon would do.
    """

    def give_up_intent(self, host: Host, ticket: Ticket) -> None:
        host.executor.mark_cleared(ticket)


class EarlyDropWitness(Witness):
    """Drops records in a given state before their tickets expire."""

    dropped_state = ""

    def intend(
        self, ticket: Ticket, work_hash: bytes, now_s: float
    ) -> Result[None, Failure]:
        self.drop_early(now_s)
        return super().intend(ticket, work_hash, now_s)

    def resolve(
        self, ticket: Ticket, work_hash: bytes | None, now_s: float
    ) -> CallResult:
        self.drop_early(now_s)
        return super().resolve(ticket, work_hash, now_s)

    def drop_early(self, now_s: float) -> None:
        period = self.clock.period(now_s)
        for minted, identifiers in self.book.identifiers_by_period.items():
            for identifier in list(identifiers):
                record = self.book.records[identifier]
                if minted < period and record.state == self.dropped_state:
                    identifiers.remove(identifier)
                    del self.book.records[identifier]


class DroppedBurnWitness(EarlyDropWitness):
    dropped_state = "burned"


class DroppedIntentWitness(EarlyDropWitness):
    dropped_state = "intended"


class ExpiredTicketWitness(Witness):
    """Drops expired records, but still accepts expired tickets."""

    def intend(
        self, ticket: Ticket, work_hash: bytes, now_s: float
    ) -> Result[None, Failure]:
        self.book.expire(now_s)
        clock, self.clock = self.clock, PeriodClock(1e9, 0.0)
        granted = super().intend(ticket, work_hash, now_s)
        self.clock = clock
        return granted


class DroppedBurnFleet(TicketFleet):
    """Faulty: the witness drops a burned record too early."""

    witness_type: ClassVar[type[Witness]] = DroppedBurnWitness

    def make_witness(
        self, incarnation: Incarnation, clock: PeriodClock, limits: BookLimits
    ) -> Witness:
        return self.witness_type(incarnation, clock, limits)


class DroppedIntentFleet(DroppedBurnFleet):
    """Faulty: the witness drops an intent too early."""

    witness_type = DroppedIntentWitness


class ExpiredTicketFleet(DroppedBurnFleet):
    """Faulty: the witness accepts intents for expired tickets."""

    witness_type = ExpiredTicketWitness


class SecondTicketFleet(TicketFleet):
    """Faulty: a daemon reruns a burned call under a second ticket."""

    def __init__(self) -> None:
        super().__init__()
        self.original: dict[int, int] = {}

    def root(self, ticket: Ticket) -> int:
        return self.original.get(ticket.identifier, ticket.identifier)

    def after_resolve(self, number: int, result: CallResult) -> None:
        call = self.calls[number]
        entry = self.host(call.entry)
        is_burned = result.is_error() and (
            result.error.code is Code.TICKET_BURNED
        )
        is_first = call.ticket.identifier not in self.original
        if not (is_burned and is_first and call.work and entry):
            self.record_result(number, result)
            return
        participant = call.ticket.executor._replace(
            incarnation=entry.incarnation,
            period=entry.clock.period(entry.now_s),
        )
        second = self.add_ticket(
            Participants(participant, call.ticket.witness)
        )
        self.original[second.identifier] = call.ticket.identifier
        self.calls[number] = call._replace(ticket=second)
        work = call.work
        self.call(second, self.hosts.index(entry), work)
        del self.calls[number]


class PooledConnectionFleet(TicketFleet):
    """Faulty: a reused connection fails after the upstream ran."""

    def refuse_connection(self, host: Host | None, request: Request) -> None:
        self.execute(request)
        super().refuse_connection(host, request)


class SmallMachine(TicketMachine):
    """Has only one ticket and one fault, to find errors faster."""

    max_tickets = 1
    max_faults = 1


@pytest.mark.parametrize("machine", [TicketMachine, SmallMachine])
def test_no_order_of_events_runs_a_call_twice(
    machine: type[TicketMachine],
) -> None:
    run_machine(machine, examples=250, steps=50)


@pytest.mark.parametrize(
    "fleet",
    [
        UnwitnessedFleet,
        IgnoredWitnessFleet,
        DroppedBurnFleet,
        DroppedIntentFleet,
        ExpiredTicketFleet,
        SecondTicketFleet,
        PooledConnectionFleet,
    ],
)
def test_removing_any_safeguard_is_detected(fleet: type[TicketFleet]) -> None:
    class FaultyMachine(SmallMachine):
        fleet_type = fleet

    with pytest.raises(AssertionError, match="ran"):
        run_machine(FaultyMachine, examples=6_000, steps=16)
