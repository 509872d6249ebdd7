"""Continues streams that this or another daemon relayed."""

from collections.abc import Sequence

from plantainsail.peers.stream_service import PeerReader
from plantainsail.results import Code, Failure
from plantainsail.runtime.adoptions import adopt_generation
from plantainsail.runtime.live_streams import Batch, LiveStream, Reader
from plantainsail.runtime.node import Node
from plantainsail.streams.events import StreamFacts, shape_of
from plantainsail.streams.naming import StreamName, sign_name
from plantainsail.upstreams.protocols import Chunk

FINAL_CODES = (Code.STREAM_INVALID, Code.LISTS_BEHIND)


def facts_of(name: StreamName) -> StreamFacts:
    """Return what all events of a named stream say."""
    return StreamFacts(
        request=name.request,
        model=name.model,
        prompt_tokens=name.prompt_tokens,
        shape=shape_of(name.is_chat),
    )


def name_of(node: Node, stream: LiveStream) -> str:
    """Return the signed name of a stream that has an engine."""
    if stream.name is None:
        return ""
    return sign_name(stream.name, node.signer)


class LocalReader:
    """Reads a stream that this daemon relays."""

    def __init__(self, node: Node, reader: Reader) -> None:
        self.node = node
        self.reader = reader
        self.signed_name = ""

    @property
    def name(self) -> str:
        """Return the stream's signed name.

        It does not change once something was read.
        """
        if not self.signed_name:
            self.signed_name = name_of(self.node, self.reader.stream)
        return self.signed_name

    async def next(self) -> Batch:
        """Return what has arrived."""
        return await self.reader.next()

    def close(self) -> None:
        """Leave the stream; its grace period begins."""
        self.reader.close(self.node.now_s())

    def discard(self) -> None:
        """Drop the stream, for nobody can come back for it."""
        if self.reader.is_current:
            self.node.streams.forget(self.reader.stream)


class ResumedReader:
    """Reads a named stream from wherever it can be had.

    That is this daemon, or the relaying one, or the engine; when the
    relaying daemon is lost on the way, the engine.
    """

    def __init__(
        self, node: Node, name: StreamName, text: str, position: int
    ) -> None:
        self.node = node
        self.stream_name = name
        self.name = text
        self.position = position
        self.inner: Reader | PeerReader | None = None

    async def open(self) -> Failure | None:
        """Find the stream; return why it can't be had."""
        stream = self.node.streams.find(self.stream_name)
        if stream is not None:
            self.inner = stream.reattach(self.position)
            if self.inner is not None:
                self.name = name_of(self.node, stream)
                self.node.metrics.streams.labels("resumed_here").inc()
                return None
        elif self.stream_name.relay != self.node.incarnation:
            peer = PeerReader(self.node, self.stream_name, self.name)
            failure = await peer.open(self.position)
            if failure is None:
                self.inner = peer
                self.node.metrics.streams.labels("resumed_at_peer").inc()
                return None
            if failure.code in FINAL_CODES:
                return failure
        return self._open_at_engine()

    async def next(self) -> Batch:
        """Return what has arrived, from another source if need be."""
        if isinstance(self.inner, PeerReader):
            batch = await self.inner.next()
            self.stream_name = self.inner.name
            self.name = self.inner.signed_name
            if batch is not None:
                self._advance(batch.chunks)
                return batch
            failure = self._open_at_engine()
            if failure is not None:
                return Batch((), 0, True, failure)
        if self.inner is None or isinstance(self.inner, PeerReader):
            return Batch((), 0, True, Failure(Code.INTERNAL, "not open"))
        batch = await self.inner.next()
        self._advance(batch.chunks)
        return batch

    def close(self) -> None:
        """Leave the stream; its grace period begins."""
        if isinstance(self.inner, PeerReader):
            self.inner.cancel()
        elif self.inner is not None:
            self.inner.close(self.node.now_s())

    def discard(self) -> None:
        """Leave the stream to whoever holds it."""
        self.close()

    def _advance(self, chunks: Sequence[Chunk]) -> None:
        if chunks:
            self.position = chunks[-1].position + chunks[-1].tokens

    def _open_at_engine(self) -> Failure | None:
        name = self.stream_name
        if not name.generation:
            return Failure(
                Code.GENERATION_LOST, "the daemon that held it is gone"
            )
        engine = self.node.store.hosts.hosts.get(name.host)
        if engine is None or engine.incarnation != name.host_incarnation:
            return Failure(Code.GENERATION_LOST, f"{name.host} is gone")
        failure = self.node.find_act_failure(name.lists_revision)
        if failure is not None:
            return failure
        facts = facts_of(name)
        stream = adopt_generation(
            self.node, name, engine, self.position, facts
        )
        self.inner = stream.attach(self.position)
        self.name = name_of(self.node, stream)
        self.node.metrics.streams.labels("resumed_at_engine").inc()
        return None
