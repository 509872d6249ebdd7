"""Resumes streams that this or another daemon relayed."""

from collections.abc import Sequence

from plantainsail.peers.stream_service import PeerReader
from plantainsail.results import Code, Failure
from plantainsail.runtime.adoptions import adopt_generation
from plantainsail.runtime.live_streams import Batch, LiveStream, Reader
from plantainsail.runtime.node import Node
from plantainsail.streams.events import StreamFacts, shape_of
from plantainsail.streams.naming import StreamName, sign_name
from plantainsail.upstreams.protocols import Chunk

# With these failures of a peer the stream isn't resumed at its engine.
NO_FALLBACK_CODES = (Code.STREAM_INVALID, Code.LISTS_BEHIND)


def stream_facts_of(name: StreamName) -> StreamFacts:
    """Return the facts that all events of a named stream repeat."""
    return StreamFacts(
        request=name.request,
        model=name.model,
        prompt_tokens=name.prompt_tokens,
        shape=shape_of(name.is_chat),
    )


def signed_stream_name(node: Node, stream: LiveStream) -> str:
    """Return the signed name of a stream, or "" before it has one.

    A stream gets its name when its generation starts on an engine.
    """
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

        It is signed only once, since it no longer changes after
        something was read.
        """
        if not self.signed_name:
            self.signed_name = signed_stream_name(
                self.node, self.reader.stream
            )
        return self.signed_name

    async def next(self) -> Batch:
        """Wait for the next chunks or the end and return them."""
        return await self.reader.next()

    def close(self) -> None:
        """Stop reading, which starts the stream's grace period."""
        self.reader.close(self.node.now_s())

    def discard(self) -> None:
        """Remove a stream that no caller can resume."""
        if self.reader.is_current:
            self.node.streams.forget(self.reader.stream)


class ResumedReader:
    """Reads a named stream from the first source that has it.

    This daemon is tried first, then the relaying daemon and then the
    engine.  If the relaying daemon is lost while it is read, reading
    continues at the engine.
    """

    def __init__(
        self, node: Node, name: StreamName, signed_name: str, position: int
    ) -> None:
        self.node = node
        self.stream_name = name
        self.name = signed_name
        self.position = position
        self.source_reader: Reader | PeerReader | None = None

    async def open(self) -> Failure | None:
        """Find a source of the stream, or return why there is none."""
        stream = self.node.streams.find(self.stream_name)
        if stream is not None:
            self.source_reader = stream.reattach(self.position)
            if self.source_reader is not None:
                self.name = signed_stream_name(self.node, stream)
                self.node.metrics.streams.labels("resumed_here").inc()
                return None
        elif self.stream_name.relay != self.node.incarnation:
            peer = PeerReader(self.node, self.stream_name, self.name)
            failure = await peer.open(self.position)
            if failure is None:
                self.source_reader = peer
                self.node.metrics.streams.labels("resumed_at_peer").inc()
                return None
            if failure.code in NO_FALLBACK_CODES:
                return failure
        return self._open_at_engine()

    async def next(self) -> Batch:
        """Wait for the next chunks, changing a source that is lost."""
        if isinstance(self.source_reader, PeerReader):
            batch = await self.source_reader.next()
            self.stream_name = self.source_reader.name
            self.name = self.source_reader.signed_name
            if batch is not None:
                self._advance(batch.chunks)
                return batch
            failure = self._open_at_engine()
            if failure is not None:
                return Batch((), 0, True, failure)
        if self.source_reader is None or isinstance(
            self.source_reader, PeerReader
        ):
            return Batch((), 0, True, Failure(Code.INTERNAL, "not open"))
        batch = await self.source_reader.next()
        self._advance(batch.chunks)
        return batch

    def close(self) -> None:
        """Stop reading, which starts the stream's grace period."""
        if isinstance(self.source_reader, PeerReader):
            self.source_reader.cancel()
        elif self.source_reader is not None:
            self.source_reader.close(self.node.now_s())

    def discard(self) -> None:
        """Stop reading; the daemon that relays the stream keeps it."""
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
        facts = stream_facts_of(name)
        stream = adopt_generation(
            self.node, name, engine, self.position, facts
        )
        self.source_reader = stream.attach(self.position)
        self.name = signed_stream_name(self.node, stream)
        self.node.metrics.streams.labels("resumed_at_engine").inc()
        return None
