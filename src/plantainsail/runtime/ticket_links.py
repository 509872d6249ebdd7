"""Calls the ticket service of other daemons."""

import asyncio
from collections.abc import Awaitable
from typing import Any, NamedTuple

import grpc
from expression import Error, Ok, Result

from plantainsail.identity import Incarnation
from plantainsail.peers.links import PeerLinks
from plantainsail.peers.ticket_messages import (
    decode_grant,
    decode_result,
    encode_result,
)
from plantainsail.peers.wire import tickets_pb2, tickets_pb2_grpc
from plantainsail.results import Failure
from plantainsail.tickets.executor import CallResult
from plantainsail.tickets.failures import intent_not_recorded
from plantainsail.tickets.ticket import Participant

GRPC_ERROR = grpc.RpcError
CONNECT_TIMEOUT_S = 1.0
CHANNEL_RETRY_DELAY_S = 0.01


class Unreachable(NamedTuple):
    """The daemon did not answer or is another incarnation now."""

    detail: str


class TicketLinks:
    """Client for the ticket calls to executors and witnesses."""

    def __init__(self, links: PeerLinks) -> None:
        self.links = links

    async def stub(self, address: str) -> Any:
        """Return the stub for a peer once it is connected.

        gRPC fails a call at once while the channel is in reconnect
        backoff, though the peer may be up again.  So this waits up to
        `CONNECT_TIMEOUT_S` for the connection and sends nothing before.
        After that time the call fails as it would without the wait.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._connected(address)
        except TimeoutError:
            pass
        channel = self.links.channel(address)
        return tickets_pb2_grpc.TicketsStub(channel)  # type: ignore[no-untyped-call]

    async def _connected(self, address: str) -> None:
        while True:
            try:
                await self.links.channel(address).channel_ready()
            except grpc.aio.UsageError:
                # This channel was closed meanwhile; another one may
                # have replaced it.
                await asyncio.sleep(CHANNEL_RETRY_DELAY_S)
                continue
            return

    async def run(
        self,
        executor: Participant,
        request: tickets_pb2.RunRequest,
        timeout_s: float,
    ) -> Result[CallResult, Unreachable]:
        """Ask the executor to run a call or for its result."""
        stub = await self.stub(executor.incarnation.address)
        return await _await_result(stub.Run(request, timeout=timeout_s))

    async def resolve(
        self,
        witness: Participant,
        text: str,
        work_hash: bytes,
        timeout_s: float,
    ) -> Result[CallResult, Unreachable]:
        """Ask the witness for the final result of a ticket."""
        stub = await self.stub(witness.incarnation.address)
        request = tickets_pb2.TicketRequest(ticket=text, work_hash=work_hash)
        return await _await_result(stub.Resolve(request, timeout=timeout_s))

    async def intend(
        self,
        witness: Participant,
        text: str,
        work_hash: bytes,
        timeout_s: float,
    ) -> Result[None, Failure]:
        """Ask the witness to record an intent."""
        stub = await self.stub(witness.incarnation.address)
        request = tickets_pb2.TicketRequest(ticket=text, work_hash=work_hash)
        try:
            reply = await stub.Intend(request, timeout=timeout_s)
        except GRPC_ERROR as error:
            return Error(intent_not_recorded(_unreachable(error).detail))
        return decode_grant(reply)

    async def complete(
        self,
        witness: Participant,
        text: str,
        result: CallResult | None,
        timeout_s: float,
    ) -> bool:
        """Report a result to the witness; None if never sent."""
        stub = await self.stub(witness.incarnation.address)
        request = tickets_pb2.CompleteRequest(
            ticket=text,
            is_abandoned=result is None,
            result=None if result is None else encode_result(result),
        )
        try:
            await stub.Complete(request, timeout=timeout_s)
        except GRPC_ERROR:
            return False
        return True

    async def period(
        self, incarnation: Incarnation, timeout_s: float
    ) -> int | None:
        """Return a peer's current period, if it is that incarnation."""
        stub = await self.stub(incarnation.address)
        request = tickets_pb2.PeriodRequest()
        try:
            reply = await stub.GetPeriod(request, timeout=timeout_s)
        except GRPC_ERROR:
            return None
        if reply.nonce != incarnation.nonce:
            return None
        return int(reply.period)


async def _await_result(
    call: Awaitable[tickets_pb2.RunReply],
) -> Result[CallResult, Unreachable]:
    try:
        reply = await call
    except GRPC_ERROR as error:
        return Error(_unreachable(error))
    if reply.is_other_incarnation:
        return Error(Unreachable("another incarnation answered"))
    return Ok(decode_result(reply))


def _unreachable(error: Any) -> Unreachable:
    return Unreachable(error.code().name.lower())
