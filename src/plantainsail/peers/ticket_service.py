"""The gRPC service for the ticket calls of other daemons."""

from typing import Any

from expression import Error

from plantainsail.peers.ticket_messages import (
    decode_result,
    encode_grant,
    encode_result,
)
from plantainsail.peers.wire import tickets_pb2, tickets_pb2_grpc
from plantainsail.runtime.tickets import TicketedCall, TicketRuntime
from plantainsail.tickets.ticket import check_owner

MS_PER_S = 1_000


class TicketServicer(tickets_pb2_grpc.TicketsServicer):
    """Forwards calls to this daemon's executor and witness."""

    def __init__(self, runtime: TicketRuntime) -> None:
        self.runtime = runtime

    def register(self, server: Any) -> None:
        """Add the service to a gRPC server."""
        tickets_pb2_grpc.add_TicketsServicer_to_server(  # type: ignore[no-untyped-call]
            self, server
        )

    async def Run(  # noqa: N802
        self, request: tickets_pb2.RunRequest, context: Any
    ) -> tickets_pb2.RunReply:
        """Run a ticketed call; a query only returns its result."""
        verified = self.runtime.verify_text(request.ticket)
        owned_ticket = verified.bind(
            lambda t: check_owner(t, request.organisation)
        )
        if owned_ticket.is_error():
            return encode_result(Error(owned_ticket.error))
        ticket = owned_ticket.ok
        if ticket.executor.incarnation != self.runtime.incarnation:
            return tickets_pb2.RunReply(is_other_incarnation=True)
        deadline_s = (
            self.runtime.node.now_s() + request.remaining_ms / MS_PER_S
        )
        if request.is_query:
            return encode_result(
                await self.runtime.query_own(ticket, deadline_s)
            )
        call = TicketedCall(
            ticket=ticket,
            text=request.ticket,
            service=request.service,
            operation=request.operation,
            body=request.body,
            deadline_s=deadline_s,
            lists_revision=request.lists_revision,
        )
        return encode_result(await self.runtime.run_own(call))

    async def Intend(  # noqa: N802
        self, request: tickets_pb2.TicketRequest, context: Any
    ) -> tickets_pb2.IntendReply:
        """Record at the witness that a call is about to run."""
        verified = self.runtime.verify_text(request.ticket)
        if verified.is_error():
            return encode_grant(Error(verified.error))
        return encode_grant(
            self.runtime.witness.intend(
                verified.ok, request.work_hash, self.runtime.node.now_s()
            )
        )

    async def Complete(  # noqa: N802
        self, request: tickets_pb2.CompleteRequest, context: Any
    ) -> tickets_pb2.CompleteReply:
        """Record at the witness how a call ended."""
        verified = self.runtime.verify_text(request.ticket)
        if verified.is_error():
            return tickets_pb2.CompleteReply()
        now_s = self.runtime.node.now_s()
        if request.is_abandoned:
            self.runtime.witness.abandon(verified.ok, now_s)
            return tickets_pb2.CompleteReply()
        self.runtime.witness.complete(
            verified.ok, decode_result(request.result), now_s
        )
        return tickets_pb2.CompleteReply()

    async def Resolve(  # noqa: N802
        self, request: tickets_pb2.TicketRequest, context: Any
    ) -> tickets_pb2.RunReply:
        """Return the final result of a ticket from its witness."""
        verified = self.runtime.verify_text(request.ticket)
        if verified.is_error():
            return encode_result(Error(verified.error))
        participant = verified.ok.witness
        if (
            participant is None
            or participant.incarnation != self.runtime.incarnation
        ):
            return tickets_pb2.RunReply(is_other_incarnation=True)
        return encode_result(
            self.runtime.witness.resolve(
                verified.ok,
                request.work_hash or None,
                self.runtime.node.now_s(),
            )
        )

    async def GetPeriod(  # noqa: N802
        self, request: tickets_pb2.PeriodRequest, context: Any
    ) -> tickets_pb2.PeriodReply:
        """Return this incarnation's nonce and its current period."""
        return tickets_pb2.PeriodReply(
            nonce=self.runtime.incarnation.nonce,
            period=self.runtime.periods.period(self.runtime.node.now_s()),
        )
