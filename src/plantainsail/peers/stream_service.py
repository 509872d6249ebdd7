"""The service and client by which daemons read each other's streams."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import grpc

from plantainsail.identity import Incarnation
from plantainsail.membership.pauses import PAUSE_LIMIT_S
from plantainsail.membership.view import PeerState
from plantainsail.peers.server import Registration
from plantainsail.peers.wire import streams_pb2, streams_pb2_grpc
from plantainsail.results import Code, Failure
from plantainsail.runtime.live_streams import Batch, Reader
from plantainsail.runtime.node import Node
from plantainsail.streams.naming import StreamName, sign_name, verify_name
from plantainsail.streams.relay import Relay
from plantainsail.upstreams.protocols import Chunk

# A relaying daemon that does not answer in this time is bypassed, and
# the stream is resumed at its engine.  The limit is longer than the
# shortest pause that a daemon detects, so a daemon that was bypassed
# because it was paused knows of its pause.
ANSWER_LIMIT_S = PAUSE_LIMIT_S + 0.5
# A host without a daemon refuses a connection at once; one that fails
# later may lead to a paused daemon.
REFUSAL_LIMIT_S = 0.2
ALIVE_INTERVAL_S = 0.5
SILENCE_LIMIT_S = 2.0
HOLDS_LIMIT_S = 1.0

# An empty chunk shows that the relaying daemon is alive.
ALIVE_CHUNK = streams_pb2.StreamChunk()


class StreamService(streams_pb2_grpc.StreamsServicer):
    """Lets other daemons read the streams that this one relays."""

    def __init__(self, node: Node) -> None:
        self.node = node

    async def Resume(  # noqa: N802
        self, request: streams_pb2.ResumeRequest, context: Any
    ) -> AsyncIterator[streams_pb2.StreamChunk]:
        """Yield a stream's chunks from the requested position on."""
        reader = self._open_reader(request)
        if isinstance(reader, Failure):
            yield _failure_chunk(reader)
            return
        yield ALIVE_CHUNK
        self.node.metrics.streams.labels("resumed_by_peer").inc()
        is_name_sent = False
        try:
            async for batch in _batches(reader):
                if batch is None:
                    yield ALIVE_CHUNK
                    continue
                if batch.chunks and not is_name_sent:
                    is_name_sent = True
                    yield self._name_chunk(reader)
                for chunk in batch.chunks:
                    yield _to_wire(chunk)
                if batch.failure is not None:
                    yield _failure_chunk(batch.failure)
        finally:
            reader.close(self.node.now_s())

    async def Holds(  # noqa: N802
        self, request: streams_pb2.HoldsRequest, context: Any
    ) -> streams_pb2.HoldsReply:
        """Return whether this daemon relays a generation."""
        stream = self.node.streams.find_generation(
            request.request, request.generation
        )
        return streams_pb2.HoldsReply(is_held=stream is not None)

    def _name_chunk(self, reader: Reader) -> streams_pb2.StreamChunk:
        """Return the name, for a reader that knows only the request."""
        name = reader.stream.name
        text = "" if name is None else sign_name(name, self.node.signer)
        return streams_pb2.StreamChunk(detail=text)

    def _open_reader(
        self, request: streams_pb2.ResumeRequest
    ) -> Reader | Failure:
        name = verify_name(
            request.stream, request.organisation, self.node.signer
        )
        if name.is_error():
            return name.error
        freshness = self.node.freshness
        failure = freshness.find_work_failure(name.ok.lists_revision)
        if failure is not None:
            return failure
        stream = self.node.streams.find(name.ok)
        if stream is None:
            return Failure(Code.STREAM_NOT_FOUND, "the stream is not here")
        reader = stream.reattach(int(request.position))
        if reader is None:
            return Failure(
                Code.STREAM_POSITION_GONE, "the position is not held"
            )
        return reader


async def _batches(reader: Reader) -> AsyncIterator[Batch | None]:
    """Yield batches to the end, and None after a time without one."""
    while True:
        try:
            async with asyncio.timeout(ALIVE_INTERVAL_S):
                batch = await reader.next()
        except TimeoutError:
            yield None
            continue
        yield batch
        if batch.is_ended:
            return


def _to_wire(chunk: Chunk) -> streams_pb2.StreamChunk:
    return streams_pb2.StreamChunk(
        position=chunk.position,
        tokens=chunk.tokens,
        text=chunk.text,
        finish_reason=chunk.finish_reason or "",
    )


def _failure_chunk(failure: Failure) -> streams_pb2.StreamChunk:
    return streams_pb2.StreamChunk(
        code=int(failure.code), detail=failure.detail
    )


def stream_registration(node: Node) -> Registration:
    """Return the function that adds the service to the listener."""

    def register(server: Any) -> None:
        add_service: Any = streams_pb2_grpc.add_StreamsServicer_to_server
        add_service(StreamService(node), server)

    return register


def make_stub(channel: Any) -> Any:
    """Return the generated client, which has no type annotations."""
    stub: Any = streams_pb2_grpc.StreamsStub
    return stub(channel)


class PeerReader:
    """Reads a stream from the daemon that relays it."""

    def __init__(self, node: Node, name: StreamName, signed_name: str) -> None:
        self.node = node
        self.name = name
        self.signed_name = signed_name
        self.call: Any = None
        self.is_ended = False

    async def open(self, position: int) -> Failure | None:
        """Request the stream; return a failure if it is unavailable."""
        channel = self.node.links.channel(self.name.relay.address)
        stub = make_stub(channel)
        self.call = stub.Resume(
            streams_pb2.ResumeRequest(
                stream=self.signed_name,
                organisation=self.name.organisation,
                position=position,
            )
        )
        requested_at_s = self.node.now_s()
        message = await self._read(ANSWER_LIMIT_S)
        if message is None or message is grpc.aio.EOF:
            await self._wait_for_paused_peer(requested_at_s)
            return Failure(
                Code.STREAM_NOT_FOUND, "the relaying daemon does not answer"
            )
        if message.code:
            self.cancel()
            return Failure(Code(message.code), message.detail)
        return None

    async def _wait_for_paused_peer(self, requested_at_s: float) -> None:
        """Wait out `ANSWER_LIMIT_S` if the daemon may be paused."""
        waited_s = self.node.now_s() - requested_at_s
        if waited_s > REFUSAL_LIMIT_S:
            await asyncio.sleep(max(0.0, ANSWER_LIMIT_S - waited_s))

    async def next(self) -> Batch | None:
        """Return the next batch, or None if the daemon was lost."""
        while True:
            message = await self._read(SILENCE_LIMIT_S)
            if message is None:
                return None
            if message is grpc.aio.EOF:
                return await self._end_batch()
            if message.code == Code.STREAM_HANDED_OVER:
                return None
            if message.code:
                failure = Failure(Code(message.code), message.detail)
                return Batch((), 0, True, failure)
            if not message.tokens and not message.finish_reason:
                self._complete_name(message.detail)
                continue
            chunk = self._chunk(message)
            return Batch((chunk,), 0, chunk.finish_reason is not None)

    def _complete_name(self, signed_name: str) -> None:
        """Replace a name that lacks the generation by the full one."""
        if not signed_name or self.name.generation:
            return
        name = verify_name(
            signed_name, self.name.organisation, self.node.signer
        )
        if name.is_error():
            return
        freshness = self.node.freshness
        if freshness.find_work_failure(name.ok.lists_revision) is None:
            self.name = name.ok
            self.signed_name = signed_name

    def cancel(self) -> None:
        """Stop reading; the relaying daemon keeps the stream."""
        if self.call is not None:
            self.call.cancel()

    async def _read(self, limit_s: float) -> Any:
        try:
            async with asyncio.timeout(limit_s):
                message = await self.call.read()
        except (TimeoutError, grpc.RpcError):
            self.cancel()
            return None
        return message

    async def _end_batch(self) -> Batch | None:
        """Return an empty last batch, or None if the call failed.

        A call ends without a last chunk if the reader had that already.
        """
        if await self.call.code() is not grpc.StatusCode.OK:
            return None
        return Batch(is_ended=True)

    def _chunk(self, message: Any) -> Chunk:
        return Chunk(
            self.name.request,
            self.name.generation,
            self.name.attempt,
            int(message.position),
            int(message.tokens),
            message.text,
            message.finish_reason or None,
        )


async def is_relayed_by_peer(node: Node, relay: Relay) -> bool | None:
    """Return whether any peer relays a generation; None if unsure."""
    peers = node.peers.peers(node.now_s())
    if any(peer.state is PeerState.DEAD for peer in peers):
        return None
    answers = await asyncio.gather(
        *(
            ask_holds(
                node,
                peer.incarnation,
                relay.expected.request,
                relay.expected.generation,
                HOLDS_LIMIT_S,
            )
            for peer in peers
        )
    )
    if any(answers):
        return True
    return None if None in answers else False


async def ask_holds(
    node: Node,
    peer: Incarnation,
    request: str,
    generation: str,
    limit_s: float,
) -> bool | None:
    """Ask a peer whether it relays a generation; None if unsure.

    If `generation` is empty, any generation of the request counts.
    """
    stub = make_stub(node.links.channel(peer.address))
    try:
        reply = await stub.Holds(
            streams_pb2.HoldsRequest(request=request, generation=generation),
            timeout=limit_s,
        )
    except grpc.RpcError:
        return None
    return bool(reply.is_held)
