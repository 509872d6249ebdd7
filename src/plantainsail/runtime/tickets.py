"""Runs ticketed calls, forwards them and resolves lost ones."""

import asyncio
from typing import NamedTuple

from expression import Error, Ok, Result

from plantainsail.identity import Incarnation
from plantainsail.lists.model import HostEntry
from plantainsail.peers.wire import tickets_pb2
from plantainsail.policy.retries import WorkKind, may_retry
from plantainsail.results import Code, Failure
from plantainsail.runtime.call_quarantine import (
    CallRun,
    find_quarantine_failure,
    judge_run,
    part_of_call,
)
from plantainsail.runtime.node_core import NodeCore
from plantainsail.runtime.service_calls import ready_replicas
from plantainsail.runtime.ticket_links import TicketLinks
from plantainsail.runtime.ticket_mint import TicketMint
from plantainsail.tickets.book import BookLimits, PeriodClock
from plantainsail.tickets.executor import (
    CallResult,
    Executor,
    Settled,
    Start,
)
from plantainsail.tickets.failures import answer_lost, still_running
from plantainsail.tickets.ticket import (
    Participant,
    Ticket,
    hash_work,
    verify_ticket,
)
from plantainsail.tickets.witness import MAX_KEPT_ANSWER_BYTES, Witness
from plantainsail.upstreams.protocols import ServiceCall

MS_PER_S = 1_000
WITNESS_TIMEOUT_S = 1.0
# Callers wait slightly beyond the deadline of the run, so that they get
# its result rather than the answer that it is still running.
WAIT_MARGIN_S = 0.5
FORWARD_MARGIN_S = 1.0
COMPLETE_ATTEMPTS = 4
COMPLETE_PAUSE_S = 0.5


class TicketedCall(NamedTuple):
    """A call that must run at most once.

    `text` is the signed ticket as the caller sent it.
    `lists_revision` is the highest revision of the lists known to the
    daemons that the call passed through.
    """

    ticket: Ticket
    text: str
    service: str
    operation: str
    body: bytes
    deadline_s: float
    lists_revision: int

    @property
    def work_hash(self) -> bytes:
        """Return the hash that binds the ticket to this call."""
        return hash_work(self.service, self.operation, self.body)

    @property
    def part(self) -> str:
        """Return what describes the call in the quarantine."""
        return part_of_call(
            self.ticket.organisation, self.service, self.operation, self.body
        )


class TicketRuntime:
    """Holds a daemon's executor and witness and runs its calls."""

    def __init__(self, node: NodeCore) -> None:
        self.node = node
        limits = BookLimits()
        self.periods = PeriodClock(
            node.settings.time_limits.ticket_retention_s, node.now_s()
        )
        self.executor = Executor(node.incarnation, self.periods, limits)
        self.witness = Witness(node.incarnation, self.periods, limits)
        self.links = TicketLinks(node.links)
        self.mint = TicketMint(node, self.executor, self.links)
        self.running: dict[int, asyncio.Task[None]] = {}
        self.reports: set[asyncio.Task[None]] = set()
        self.reports_lost = 0

    @property
    def incarnation(self) -> Incarnation:
        """Return this daemon's incarnation."""
        return self.node.incarnation

    def verify_text(self, text: str) -> Result[Ticket, Failure]:
        """Check the fleet's signature and return the ticket."""
        return verify_ticket(text, self.node.signer)

    async def run(self, call: TicketedCall) -> CallResult:
        """Run a call at its executor and return its result."""
        if call.ticket.executor.incarnation == self.incarnation:
            return await self.run_own(call)
        request = tickets_pb2.RunRequest(
            ticket=call.text,
            organisation=call.ticket.organisation,
            service=call.service,
            operation=call.operation,
            body=call.body,
            remaining_ms=self._remaining_ms(call.deadline_s),
            lists_revision=call.lists_revision,
        )
        return await self._forward(
            call.ticket, request, call.work_hash, call.deadline_s
        )

    async def query(
        self, ticket: Ticket, text: str, deadline_s: float
    ) -> CallResult:
        """Return the result of a ticket without running its call."""
        if ticket.executor.incarnation == self.incarnation:
            return await self.query_own(ticket, deadline_s)
        request = tickets_pb2.RunRequest(
            ticket=text,
            organisation=ticket.organisation,
            remaining_ms=self._remaining_ms(deadline_s),
            is_query=True,
        )
        return await self._forward(ticket, request, b"", deadline_s)

    async def run_own(self, call: TicketedCall) -> CallResult:
        """Run a call whose executor is this daemon, at most once."""
        obstacle = self._find_obstacle(call)
        if self.node.life_cycle.state == "draining":
            obstacle = Failure(Code.DRAINING, "the daemon is leaving")
        claim = self.executor.claim(
            call.ticket, call.work_hash, obstacle, self.node.now_s()
        )
        if isinstance(claim, Settled):
            return claim.result
        if isinstance(claim, Start):
            self._start(call)
        return await self._wait(call.ticket, call.deadline_s)

    async def query_own(self, ticket: Ticket, deadline_s: float) -> CallResult:
        """Return the result of a ticket executed by this daemon."""
        claim = self.executor.query(ticket, self.node.now_s())
        if isinstance(claim, Settled):
            return claim.result
        return Error(still_running())

    async def wait_until_idle(self) -> None:
        """Wait until all ticketed calls have ended and are reported."""
        while self.running or self.reports:
            await asyncio.wait([*self.running.values(), *self.reports])
            # Gives the done callbacks time to remove the tasks.
            await asyncio.sleep(0)

    def _remaining_ms(self, deadline_s: float) -> int:
        return max(0, int((deadline_s - self.node.now_s()) * MS_PER_S))

    def _find_obstacle(self, call: TicketedCall) -> Failure | None:
        """Return why the daemon must not start or send a call now."""
        node = self.node
        failure = node.find_act_failure(
            max(call.lists_revision, call.ticket.lists_revision)
        )
        if failure is not None:
            return failure
        if node.now_s() >= call.deadline_s:
            return Failure(Code.DEADLINE_EXPIRED, "no time was left")
        if not self._ready_replicas(call.service):
            return Failure(
                Code.NO_UPSTREAM, f"no replica of {call.service} is ready", 1.0
            )
        return find_quarantine_failure(node, call.part)

    def _ready_replicas(self, service: str) -> list[HostEntry]:
        return ready_replicas(self.node, service)

    def _start(self, call: TicketedCall) -> None:
        identifier = call.ticket.identifier
        task = asyncio.create_task(self._execute(call))
        self.running[identifier] = task
        self.node.running.count_task("ticket", task)
        task.add_done_callback(lambda _: self.running.pop(identifier))

    async def _wait(self, ticket: Ticket, deadline_s: float) -> CallResult:
        """Wait for a run, which continues if its caller disconnects."""
        task = self.running.get(ticket.identifier)
        if task is not None:
            left_s = max(0.0, deadline_s - self.node.now_s())
            await asyncio.wait([task], timeout=left_s + WAIT_MARGIN_S)
        return self.executor.result(ticket) or Error(still_running())

    async def _execute(self, call: TicketedCall) -> None:
        ticket = call.ticket
        try:
            await self._run_once(call)
        except Exception as error:
            self._settle_fault(ticket, error)
            raise
        finally:
            self._report(call)

    def _settle_fault(self, ticket: Ticket, error: Exception) -> None:
        """Settle a ticket after an unexpected exception."""
        failure = Failure(Code.INTERNAL, type(error).__name__)
        if self.executor.state(ticket) == "sent":
            self.executor.mark_outcome_unknown(ticket, failure)
            return
        if self.executor.result(ticket) is None:
            self.executor.burn(ticket, failure)

    async def _run_once(self, call: TicketedCall) -> None:
        ticket = call.ticket
        obstacle = self._find_obstacle(call)
        if obstacle is not None:
            self.executor.burn(ticket, obstacle)
            return
        granted = await self._intend(call)
        if granted.is_error():
            self.executor.burn(ticket, granted.error)
            return
        self.executor.mark_cleared(ticket)
        failure = Failure(Code.UPSTREAM_UNREACHABLE, "no replica was reached")
        replicas = self._ready_replicas(call.service)
        self.node.random.shuffle(replicas)
        for replica in replicas:
            # Checked again right before each attempt: the daemon may
            # have been paused since the witness acknowledged.
            obstacle = self._find_obstacle(call)
            if obstacle is not None:
                failure = obstacle
                break
            if replica not in self._ready_replicas(call.service):
                continue
            if await self._send(call, replica):
                return
        self.executor.burn(ticket, failure)

    async def _intend(self, call: TicketedCall) -> Result[None, Failure]:
        witness = call.ticket.witness
        if witness is None:
            return Ok(None)
        left_s = call.deadline_s - self.node.now_s()
        granted = await self.links.intend(
            witness, call.text, call.work_hash, min(left_s, WITNESS_TIMEOUT_S)
        )
        if granted.swap().map(_is_unreachable).default_value(False):
            self.mint.forget_period(witness.incarnation)
        return granted

    async def _send(self, call: TicketedCall, replica: "HostEntry") -> bool:
        """Send a call; return whether the upstream may have run it."""
        ticket = call.ticket
        self.executor.mark_sent(ticket)
        run = CallRun(call.part, replica, self.node.now_s())
        answer = await self.node.services.call(
            replica,
            ServiceCall(
                request=f"req-{ticket.identifier:024x}",
                service=call.service,
                operation=call.operation,
                body=call.body,
                ticket=f"{ticket.identifier:024x}",
            ),
            call.deadline_s - self.node.now_s(),
        )
        judge_run(self.node, run, answer)
        if answer.is_error() and answer.error.code == Code.UPSTREAM_DRAINING:
            self.node.marks.mark_draining(replica, self.node.now_s())
        if answer.is_ok():
            self.executor.record_answer(ticket, answer.ok)
            return True
        if may_retry(WorkKind.TICKETED_CALL, answer.error.code):
            self.executor.mark_unsent(ticket)
            return False
        self.executor.mark_outcome_unknown(ticket, answer.error)
        return True

    def _report(self, call: TicketedCall) -> None:
        """Report the result to the witness in a background task."""
        result = self.executor.result(call.ticket)
        witness = call.ticket.witness
        if witness is None or result is None:
            return
        reported_result = _result_for_witness(
            result, self.executor.state(call.ticket)
        )
        task = asyncio.create_task(
            self._send_report(witness, call.text, reported_result)
        )
        self.reports.add(task)
        task.add_done_callback(self.reports.discard)

    async def _send_report(
        self, witness: Participant, text: str, result: CallResult | None
    ) -> None:
        for _ in range(COMPLETE_ATTEMPTS):
            if await self.links.complete(
                witness, text, result, WITNESS_TIMEOUT_S
            ):
                self.node.metrics.ticket_reports.labels("told").inc()
                return
            await asyncio.sleep(COMPLETE_PAUSE_S)
        self.reports_lost += 1
        self.node.metrics.ticket_reports.labels("lost").inc()

    async def _forward(
        self,
        ticket: Ticket,
        request: tickets_pb2.RunRequest,
        work_hash: bytes,
        deadline_s: float,
    ) -> CallResult:
        left_s = max(0.0, deadline_s - self.node.now_s())
        answered = await self.links.run(
            ticket.executor, request, left_s + FORWARD_MARGIN_S
        )
        if answered.is_ok():
            return answered.ok
        self.mint.forget_period(ticket.executor.incarnation)
        return await self._resolve(ticket, request.ticket, work_hash)

    async def _resolve(
        self, ticket: Ticket, text: str, work_hash: bytes
    ) -> CallResult:
        """Ask the witness for the result of an unreachable executor."""
        witness = ticket.witness
        if witness is None:
            return self._outcome_unknown("no_witness", "its executor is lost")
        if witness.incarnation == self.incarnation:
            result = self.witness.resolve(
                ticket, work_hash or None, self.node.now_s()
            )
        else:
            resolved = await self.links.resolve(
                witness, text, work_hash, WITNESS_TIMEOUT_S
            )
            if resolved.is_error():
                return self._outcome_unknown(
                    "both_unreachable", "its executor and witness are lost"
                )
            result = resolved.ok
        if result.is_error():
            code = result.error.code
            if code is Code.TICKET_OUTCOME_UNKNOWN:
                return self._outcome_unknown(
                    "intent_recorded", result.error.detail
                )
        return result

    def _outcome_unknown(self, reason: str, detail: str) -> CallResult:
        self.node.metrics.unknown_outcomes.labels(reason).inc()
        return Error(Failure(Code.TICKET_OUTCOME_UNKNOWN, detail))


def _is_unreachable(failure: Failure) -> bool:
    return failure.code is Code.WITNESS_UNREACHABLE


def _result_for_witness(
    result: CallResult, state: str | None
) -> CallResult | None:
    """Return the result to report; None if the call was not sent."""
    if state == "burned":
        return None
    if result.is_ok() and len(result.ok.body) > MAX_KEPT_ANSWER_BYTES:
        return Error(answer_lost("its answer was too long to keep"))
    return result
