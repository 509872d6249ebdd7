"""At most once under every order of messages, losses and restarts.

The machine must hold with all guards, and must find the fault when one
of them is taken away.
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
from plantainsail.tickets.mint import Parties
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
    """Moves a fleet by one message or event at a time."""

    fleet_type: ClassVar[type[TicketFleet]] = TicketFleet
    max_tickets = 2
    # More would leave no process of most tickets alive.
    max_strikes = 3

    def __init__(self) -> None:
        super().__init__()
        self.fleet = self.fleet_type()
        self.fleet.mint(0, 0)
        self.strikes = 0

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
        self.fleet.deliver(self.take(index))

    def take(self, index: int) -> Message:
        messages = self.fleet.messages
        return messages.pop(index % len(messages))

    @precondition(has_messages)
    @rule(index=NUMBERS, is_lost=st.booleans())
    def lose_or_repeat(self, index: int, is_lost: bool) -> None:
        message = self.take(index)
        if is_lost:
            return
        self.fleet.messages.append(message)
        # A connection of its own does not deliver a request twice.
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
        host.executor.doubt(ticket, TIMEOUT)
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

    def can_strike(self) -> bool:
        return self.strikes < self.max_strikes

    @precondition(can_strike)
    @rule(number=HOSTS, is_restart=st.booleans())
    def restart_or_suspend(self, number: int, is_restart: bool) -> None:
        self.strikes += 1
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
            # The worst clock: it stands still while suspended.
            if number != still and not host.is_suspended:
                host.now_s += seconds * (drift if number == 1 else 1.0)


class NoWitnessFleet(TicketFleet):
    """The executor sends without the witness's word."""

    def request_intent(self, host: Host, ticket: Ticket) -> None:
        host.executor.clear(ticket)


class ChangedWitnessFleet(TicketFleet):
    """The executor takes any other daemon for its witness."""

    def give_up_intent(self, host: Host, ticket: Ticket) -> None:
        host.executor.clear(ticket)


class ForgettingWitness(Witness):
    """Drops records in one state before their tickets expire."""

    forgotten_state = ""

    def intend(
        self, ticket: Ticket, work_hash: bytes, now_s: float
    ) -> Result[None, Failure]:
        self.forget(now_s)
        return super().intend(ticket, work_hash, now_s)

    def resolve(
        self, ticket: Ticket, work_hash: bytes | None, now_s: float
    ) -> CallResult:
        self.forget(now_s)
        return super().resolve(ticket, work_hash, now_s)

    def forget(self, now_s: float) -> None:
        period = self.clock.period(now_s)
        for known, identifiers in self.book.by_period.items():
            for identifier in list(identifiers):
                record = self.book.records[identifier]
                if known < period and record.state == self.forgotten_state:
                    identifiers.remove(identifier)
                    del self.book.records[identifier]


class ForgottenBurnWitness(ForgettingWitness):
    forgotten_state = "burned"


class ForgottenIntentWitness(ForgettingWitness):
    forgotten_state = "intended"


class AgelessWitness(Witness):
    """Drops old records, but still accepts old tickets."""

    def intend(
        self, ticket: Ticket, work_hash: bytes, now_s: float
    ) -> Result[None, Failure]:
        self.book.expire(now_s)
        clock, self.clock = self.clock, PeriodClock(1e9, 0.0)
        granted = super().intend(ticket, work_hash, now_s)
        self.clock = clock
        return granted


class ForgottenBurnFleet(TicketFleet):
    """The witness drops a burn within the retention."""

    witness_type: ClassVar[type[Witness]] = ForgottenBurnWitness

    def make_witness(
        self, incarnation: Incarnation, clock: PeriodClock, limits: BookLimits
    ) -> Witness:
        return self.witness_type(incarnation, clock, limits)


class ForgottenIntentFleet(ForgottenBurnFleet):
    """The witness drops an intent within the retention."""

    witness_type = ForgottenIntentWitness


class AgelessFleet(ForgottenBurnFleet):
    """The witness accepts intents that are older than its memory."""

    witness_type = AgelessWitness


class SecondTicketFleet(TicketFleet):
    """The daemon reruns burned work itself under a second ticket."""

    def __init__(self) -> None:
        super().__init__()
        self.first: dict[int, int] = {}

    def root(self, ticket: Ticket) -> int:
        return self.first.get(ticket.identifier, ticket.identifier)

    def after_resolve(self, number: int, result: CallResult) -> None:
        call = self.calls[number]
        entry = self.host(call.entry)
        is_burned = result.is_error() and (
            result.error.code is Code.TICKET_BURNED
        )
        is_first = call.ticket.identifier not in self.first
        if not (is_burned and is_first and call.work and entry):
            self.tell(number, result)
            return
        party = call.ticket.executor._replace(
            incarnation=entry.incarnation,
            period=entry.clock.period(entry.now_s),
        )
        second = self.add_ticket(Parties(party, call.ticket.witness))
        self.first[second.identifier] = call.ticket.identifier
        self.calls[number] = call._replace(ticket=second)
        work = call.work
        self.call(second, self.hosts.index(entry), work)
        del self.calls[number]


class PooledConnectionFleet(TicketFleet):
    """A stale connection looks refused after the upstream ran."""

    def refuse_connection(self, host: Host | None, request: Request) -> None:
        self.execute(request)
        super().refuse_connection(host, request)


class SmallMachine(TicketMachine):
    """One ticket and one restart: faults lie closer together."""

    max_tickets = 1
    max_strikes = 1


@pytest.mark.parametrize("machine", [TicketMachine, SmallMachine])
def test_no_order_of_events_breaks_the_promise(
    machine: type[TicketMachine],
) -> None:
    run_machine(machine, examples=250, steps=50)


@pytest.mark.parametrize(
    "fleet",
    [
        NoWitnessFleet,
        ChangedWitnessFleet,
        ForgottenBurnFleet,
        ForgottenIntentFleet,
        AgelessFleet,
        SecondTicketFleet,
        PooledConnectionFleet,
    ],
)
def test_faults_appear_without_each_safeguard(
    fleet: type[TicketFleet],
) -> None:
    class FaultyMachine(SmallMachine):
        fleet_type = fleet

    with pytest.raises(AssertionError, match="ran"):
        run_machine(FaultyMachine, examples=6_000, steps=16)
