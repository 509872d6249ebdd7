"""A model of a fleet with tickets that delivers messages one by one.

Executors and witnesses are the daemon's own.  Their messages are kept
in a list, from which a test delivers, repeats, loses or delays them.
Each guard against running work twice is a method of its own, so that a
test can override it and show that the guard is needed.
"""

import random
from collections import Counter
from typing import NamedTuple

from expression import Error

from plantainsail.identity import Incarnation
from plantainsail.results import Code, Failure, Outcome, outcome_of
from plantainsail.tickets.book import BookLimits, PeriodClock
from plantainsail.tickets.executor import (
    CallResult,
    Claim,
    Executor,
    Settled,
    Start,
)
from plantainsail.tickets.mint import (
    Candidate,
    Participants,
    choose_participants,
)
from plantainsail.tickets.ticket import Participant, Ticket
from plantainsail.tickets.witness import Witness
from plantainsail.upstreams.protocols import ServiceAnswer

RETENTION_S = 40.0
DAEMONS = 3
UNKNOWN = Failure(Code.TICKET_OUTCOME_UNKNOWN, "nobody answered")
UNREACHABLE = Failure(Code.WITNESS_UNREACHABLE, "no acknowledgement")
TIMEOUT = Failure(Code.UPSTREAM_TIMEOUT, "no answer in time")
DEADLINE_FAILURE = Failure(Code.DEADLINE_EXPIRED, "no time was left")


class Run(NamedTuple):
    """A call sent to the executor, or a query if `work` is None."""

    target: Incarnation
    call: int
    ticket: Ticket
    work: bytes | None


class Intend(NamedTuple):
    """An intent sent to the witness."""

    target: Incarnation
    ticket: Ticket
    work: bytes


class Acknowledge(NamedTuple):
    """The witness's reply to an intent."""

    target: Incarnation
    ticket: Ticket
    failure: Failure | None


class Complete(NamedTuple):
    """A result sent to the witness, or None if the call is given up."""

    target: Incarnation
    ticket: Ticket
    result: CallResult | None


class Resolve(NamedTuple):
    """A query to the witness for the result of a call."""

    target: Incarnation
    call: int
    ticket: Ticket
    work: bytes | None


class Reply(NamedTuple):
    """The result of a call, sent to the daemon that asked."""

    target: Incarnation
    call: int
    result: CallResult


class Request(NamedTuple):
    """The call itself, sent to the upstream."""

    target: None
    ticket: Ticket
    work: bytes


class Answer(NamedTuple):
    """The upstream's answer, sent to the executor."""

    target: Incarnation
    ticket: Ticket
    answer: ServiceAnswer


Message = (
    Run | Intend | Acknowledge | Complete | Resolve | Reply | Request | Answer
)


class Call(NamedTuple):
    """A caller's call that a daemon has not answered yet."""

    entry: Incarnation
    ticket: Ticket
    work: bytes | None


class Host:
    """One daemon incarnation with a clock of its own."""

    def __init__(self, incarnation: Incarnation, fleet: "TicketFleet") -> None:
        self.incarnation = incarnation
        self.now_s = 0.0
        self.is_suspended = False
        clock = PeriodClock(RETENTION_S, 0.0)
        limits = BookLimits(records=6, answer_bytes=1_000)
        self.executor = Executor(incarnation, clock, limits)
        self.witness = fleet.make_witness(incarnation, clock, limits)
        self.clock = clock
        self.work: dict[int, bytes] = {}
        self.waiting: dict[int, list[tuple[Incarnation, int]]] = {}


class TicketFleet:
    """The daemons, undelivered messages, upstream and results."""

    def __init__(self) -> None:
        self.random = random.Random(1)
        self.starts = 0
        self.hosts = [self.start(number) for number in range(DAEMONS)]
        self.messages: list[Message] = []
        self.calls: dict[int, Call] = {}
        self.tickets: list[Ticket] = []
        self.asked = 0
        self.executions: Counter[int] = Counter()
        self.ran: set[tuple[int, bytes]] = set()
        self.not_run: set[tuple[int, bytes | None]] = set()
        self.answers: dict[int, ServiceAnswer] = {}
        self.unknown = 0

    # The guards.

    def make_witness(
        self, incarnation: Incarnation, clock: PeriodClock, limits: BookLimits
    ) -> Witness:
        """Return the witness of a new incarnation."""
        return Witness(incarnation, clock, limits)

    def request_intent(self, host: Host, ticket: Ticket) -> None:
        """Send an intent; the request waits for its acknowledgement."""
        if ticket.witness is None:
            host.executor.mark_cleared(ticket)
            return
        target = ticket.witness.incarnation
        work = host.work[ticket.identifier]
        self.messages.append(Intend(target, ticket, work))

    def give_up_intent(self, host: Host, ticket: Ticket) -> None:
        """Burn a ticket whose witness does not answer."""
        self.burn(host, ticket, UNREACHABLE)

    def refuse_connection(self, host: Host | None, request: Request) -> None:
        """Refuse the connection, so that the upstream gets no call."""
        if host is not None:
            host.executor.mark_unsent(request.ticket)

    def after_resolve(self, number: int, result: CallResult) -> None:
        """Return the witness's result to the caller unchanged."""
        self.record_result(number, result)

    def root(self, ticket: Ticket) -> int:
        """Return the ticket that the caller holds."""
        return ticket.identifier

    # The actions of callers and daemons.

    def start(self, number: int) -> Host:
        """Return a new, empty incarnation of a daemon."""
        self.starts += 1
        return Host(Incarnation(f"10.0.0.{number}:1", self.starts), self)

    def host(self, incarnation: Incarnation) -> Host | None:
        """Return the host of an incarnation, or None if it ended."""
        for host in self.hosts:
            if host.incarnation == incarnation:
                return host
        return None

    def mint(self, number: int, lag: int) -> Ticket:
        """Mint a ticket at a daemon whose known periods lag behind."""
        own, *others = [
            Candidate(
                Participant(
                    host.incarnation,
                    max(0, host.clock.period(host.now_s) - lag),
                ),
                f"zone-{index % 2}",
            )
            for index, host in enumerate(
                self.hosts[number:] + self.hosts[:number]
            )
        ]
        participants = choose_participants(own, others, "zone-0", self.random)
        assert participants is not None
        return self.add_ticket(participants)

    def add_ticket(self, participants: Participants) -> Ticket:
        """Add a ticket with the given participants."""
        ticket = Ticket(len(self.tickets), "desk", 1, *participants)
        self.tickets.append(ticket)
        return ticket

    def call(
        self,
        ticket: Ticket,
        number: int,
        work: bytes | None,
        is_executor_reached: bool = True,
    ) -> None:
        """Make a call or a query with a ticket at any daemon."""
        entry = self.hosts[number].incarnation
        if self.hosts[number].is_suspended:
            return
        self.asked += 1
        self.calls[self.asked] = Call(entry, ticket, work)
        if not is_executor_reached:
            self.time_out_call(self.asked)
            return
        executor = ticket.executor.incarnation
        self.messages.append(Run(executor, self.asked, ticket, work))

    def record_result(self, number: int, result: CallResult) -> None:
        """Record a caller's result; check it against earlier ones."""
        call = self.calls.pop(number)
        root = self.root(call.ticket)
        if result.is_ok():
            assert self.executions[root] == 1, "an answer of nothing"
            first_answer = self.answers.setdefault(root, result.ok)
            assert first_answer == result.ok, (
                "another answer to the same ticket"
            )
            return
        outcome = outcome_of(result.error)
        if outcome is Outcome.UNKNOWN:
            self.unknown += 1
        if outcome is Outcome.NOT_RUN:
            self.not_run.add((root, call.work))
            self.check_root(root)

    def check_root(self, root: int) -> None:
        """Fail if work ran twice or after a result of "not run"."""
        assert self.executions[root] <= 1, "ran twice"
        for ticket, work in self.not_run:
            if ticket != root:
                continue
            did_run = (root, work) in self.ran
            if work is None:
                did_run = self.executions[root] > 0
            assert not did_run, "ran though told not run"

    def burn(self, host: Host, ticket: Ticket, failure: Failure) -> None:
        """Burn a ticket at its executor and tell the witness."""
        host.executor.burn(ticket, failure)
        self.settle(host, ticket)

    def settle(self, host: Host, ticket: Ticket) -> None:
        """Send a result to the witness and to all waiting daemons."""
        result = host.executor.result(ticket)
        assert result is not None
        if ticket.witness is not None:
            is_burned = host.executor.state(ticket) == "burned"
            told = None if is_burned else result
            self.messages.append(
                Complete(ticket.witness.incarnation, ticket, told)
            )
        for entry, number in host.waiting.pop(ticket.identifier, []):
            self.messages.append(Reply(entry, number, result))

    def proceed(self, host: Host, ticket: Ticket, is_late: bool) -> None:
        """Send the request, or burn the ticket if it is too late."""
        if is_late:
            self.burn(host, ticket, DEADLINE_FAILURE)
            return
        host.executor.mark_sent(ticket)
        work = host.work[ticket.identifier]
        self.messages.append(Request(None, ticket, work))

    def time_out_call(self, number: int) -> None:
        """Time out a call: at the executor first, then the witness."""
        call = self.calls[number]
        witness = call.ticket.witness
        entry = self.host(call.entry)
        if entry is None:
            del self.calls[number]
            return
        is_asked = any(
            isinstance(m, Resolve) and m.call == number for m in self.messages
        )
        if witness is None or is_asked:
            self.record_result(number, Error(UNKNOWN))
            return
        self.messages.append(
            Resolve(witness.incarnation, number, call.ticket, call.work)
        )

    # Messages.

    def deliver(self, message: Message) -> None:
        """Deliver a message if its target incarnation still runs."""
        if isinstance(message, Request):
            self.execute(message)
            return
        host = self.host(message.target)
        if host is None:
            return
        if host.is_suspended:
            self.messages.append(message)
            return
        if isinstance(message, Run):
            self.on_run(host, message)
        elif isinstance(message, Intend):
            self.on_intend(host, message)
        elif isinstance(message, Acknowledge):
            self.on_acknowledge(host, message)
        elif isinstance(message, Complete):
            self.on_complete(host, message)
        elif isinstance(message, Resolve):
            result = host.witness.resolve(
                message.ticket, message.work, host.now_s
            )
            if message.call in self.calls:
                self.after_resolve(message.call, result)
        elif isinstance(message, Reply):
            if message.call in self.calls:
                self.record_result(message.call, message.result)
        elif host.executor.state(message.ticket) == "sent":
            host.executor.record_answer(message.ticket, message.answer)
            self.settle(host, message.ticket)

    def on_run(self, host: Host, message: Run) -> None:
        """Claim a ticket at the executor and handle its decision."""
        claim = self.claim(host, message)
        call = self.calls.get(message.call)
        entry = host.incarnation if call is None else call.entry
        if isinstance(claim, Settled):
            self.messages.append(Reply(entry, message.call, claim.result))
            return
        identifier = message.ticket.identifier
        if message.work is not None:
            waiters = host.waiting.setdefault(identifier, [])
            waiters.append((entry, message.call))
        if isinstance(claim, Start):
            assert message.work is not None
            host.work[identifier] = message.work
            self.request_intent(host, message.ticket)

    def claim(self, host: Host, message: Run) -> Claim:
        """Return the executor's decision for a call or a query."""
        if message.work is None:
            return host.executor.query(message.ticket, host.now_s)
        return host.executor.claim(
            message.ticket, message.work, None, host.now_s
        )

    def on_intend(self, host: Host, message: Intend) -> None:
        """Record an intent at the witness and acknowledge it."""
        granted = host.witness.intend(message.ticket, message.work, host.now_s)
        failure = granted.error if granted.is_error() else None
        executor = message.ticket.executor.incarnation
        self.messages.append(Acknowledge(executor, message.ticket, failure))

    def on_acknowledge(self, host: Host, message: Acknowledge) -> None:
        """Handle the witness's reply at the executor."""
        if host.executor.state(message.ticket) != "intending":
            return
        if message.failure is None:
            host.executor.mark_cleared(message.ticket)
            return
        self.burn(host, message.ticket, message.failure)

    def on_complete(self, host: Host, message: Complete) -> None:
        """Record a result or an abandoned call at the witness."""
        if message.result is None:
            host.witness.abandon(message.ticket, host.now_s)
            return
        host.witness.complete(message.ticket, message.result, host.now_s)

    def execute(self, request: Request) -> None:
        """Run a call at the upstream and send its answer."""
        root = self.root(request.ticket)
        self.executions[root] += 1
        self.ran.add((root, request.work))
        self.check_root(root)
        body = f"run {sum(self.executions.values())}".encode()
        executor = request.ticket.executor.incarnation
        answer = ServiceAnswer(200, body)
        self.messages.append(Answer(executor, request.ticket, answer))

    def in_state(self, state: str) -> list[tuple[Host, Ticket]]:
        """Return the tickets in a state at running executors."""
        return [
            (host, ticket)
            for host in self.hosts
            if not host.is_suspended
            for ticket in self.tickets
            if host.executor.state(ticket) == state
        ]
