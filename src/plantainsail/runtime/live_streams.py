"""The streams that this daemon relays, and their readers.

A stream is kept for a grace period after its caller disconnects, so
that the caller can resume it here or through another daemon.  A stream
has at most one reader; a new one replaces the old one.
"""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from plantainsail.lists.model import HostEntry
from plantainsail.policy.retries import WorkKind
from plantainsail.policy.work import Work
from plantainsail.results import Code, Failure
from plantainsail.streams.buffer import StreamBuffer
from plantainsail.streams.events import StreamFacts
from plantainsail.streams.lifetime import Lifetime
from plantainsail.streams.naming import StreamName
from plantainsail.streams.relay import Relay
from plantainsail.upstreams.protocols import Chunk


class Batch(NamedTuple):
    """The chunks that a reader receives in one step.

    `restarts` counts how often the generation was started again.  If it
    has grown, a reader that collects a whole answer must discard the
    earlier chunks.
    """

    chunks: Sequence[Chunk] = ()
    restarts: int = 0
    is_ended: bool = False
    failure: Failure | None = None


SUPERSEDED = Failure(
    Code.STREAM_SUPERSEDED, "another call continues this stream"
)


class LiveStream:
    """One generation that is relayed from its engine to its caller."""

    def __init__(
        self, work: Work, facts: StreamFacts, started_at_s: float
    ) -> None:
        self.work = work
        self.facts = facts
        self.buffer = StreamBuffer()
        self.relay: Relay | None = None
        self.engine: HostEntry | None = None
        self.name: StreamName | None = None
        self.task: asyncio.Task[None] | None = None
        self.lifetime = Lifetime(unread_since_s=started_at_s)
        self.failure: Failure | None = None
        self.is_delivered = False
        # Set if the latest reader sends its caller one whole answer.
        self.is_unstreamed = False
        # Set if the caller announced that it resumes streams, or has
        # resumed this one.
        self.can_resume = False
        self.is_cancelled = False
        self.restarts = 0
        self.latest_reader_number = 0
        self.waiter: asyncio.Future[None] | None = None
        self.has_room = asyncio.Event()
        # Set only while a response of the engine is read.
        self.timer: asyncio.Timeout | None = None
        # Set if a reader went back to an earlier position, for which
        # the engine must be asked again.
        self.is_rewound = False
        # Starts a move to another engine if the engine is leaving.
        self.request_move: Callable[[], None] | None = None

    @property
    def is_ended(self) -> bool:
        """Return whether nothing more will be appended."""
        return self.lifetime.ended_at_s is not None

    @property
    def is_unusable(self) -> bool:
        """Return whether no more output can be read from it here."""
        return (
            self.is_cancelled
            or self.failure is not None
            or self.lifetime.is_taken_over
        )

    @property
    def work_kind(self) -> WorkKind:
        """Return the kind that decides whether it may be retried."""
        if self.is_delivered:
            return WorkKind.DELIVERED_GENERATION
        return WorkKind.GENERATION

    def begin(self, relay: Relay, engine: HostEntry, name: StreamName) -> None:
        """Set the relay, engine and name of a new generation."""
        self.relay = relay
        self.engine = engine
        self.name = name

    def restart(self) -> None:
        """Discard the output of a generation that starts again.

        Nothing of it may have been delivered.
        """
        self.relay = None
        self.buffer.clear()
        self.restarts += 1

    def append(self, chunks: Sequence[Chunk]) -> None:
        """Buffer chunks and wake the reader."""
        self.buffer.append(chunks)
        self._wake()

    async def wait_for_room(self) -> None:
        """Wait until the reader has emptied a full buffer."""
        self.has_room.clear()
        if self.buffer.is_full:
            await self.has_room.wait()

    def end(self, failure: Failure | None, now_s: float) -> None:
        """End the stream; without a failure all output was relayed."""
        if self.is_ended:
            return
        self.failure = failure
        self.lifetime = self.lifetime._replace(ended_at_s=now_s)
        self._wake()

    def attach(
        self, position: int, is_unstreamed: bool = False
    ) -> "Reader | None":
        """Return a reader that starts at a buffered position, or None.

        If `is_unstreamed` is set, the reader's caller gets one whole
        answer and nothing before the end.
        """
        end = 0 if self.relay is None else self.relay.position
        if not self.buffer.rewind(position, end):
            return None
        self.latest_reader_number += 1
        self.is_unstreamed = is_unstreamed
        self.lifetime = self.lifetime._replace(unread_since_s=None)
        self._wake()
        self.has_room.set()
        return Reader(self, self.latest_reader_number, is_unstreamed)

    def reattach(self, position: int) -> "Reader | None":
        """Return a reader that starts at a position.

        If the position is no longer buffered, the engine is asked to
        send its output again.  None is returned for a position that was
        not reached, or that an ended stream no longer has.
        """
        self.can_resume |= position > 0
        reader = self.attach(position)
        if reader is not None or self.is_ended or self.relay is None:
            return reader
        if position > self.relay.position:
            return None
        self.buffer.clear()
        self.relay.rewind(position)
        self.is_rewound = True
        self.interrupt()
        return self.attach(position)

    def interrupt(self) -> None:
        """Stop reading the engine's current response, if any."""
        if self.timer is not None:
            self.timer.reschedule(asyncio.get_running_loop().time())

    def mark_taken_over(self) -> None:
        """Record that another daemon relays this stream now."""
        self.lifetime = self.lifetime._replace(is_taken_over=True)

    def _wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)


class Reader:
    """Reads the chunks of a stream for one caller."""

    def __init__(
        self, stream: LiveStream, number: int, is_unstreamed: bool
    ) -> None:
        self.stream = stream
        self.number = number
        self.is_unstreamed = is_unstreamed

    @property
    def is_current(self) -> bool:
        """Return whether no newer reader has replaced this one."""
        return self.number == self.stream.latest_reader_number

    async def next(self) -> Batch:
        """Wait for the next chunks or the end and return them."""
        while True:
            batch = self.poll()
            if batch is not None:
                return batch
            waiter = asyncio.get_running_loop().create_future()
            self.stream.waiter = waiter
            await waiter

    def poll(self) -> Batch | None:
        """Return the buffered chunks or the end, or None if neither."""
        stream = self.stream
        if not self.is_current:
            return Batch((), stream.restarts, True, SUPERSEDED)
        if not stream.buffer.pending and not stream.is_ended:
            return None
        chunks = stream.buffer.take()
        stream.has_room.set()
        if chunks and not self.is_unstreamed:
            stream.is_delivered = True
        return Batch(chunks, stream.restarts, stream.is_ended, stream.failure)

    def close(self, now_s: float) -> None:
        """Stop reading, which starts the stream's grace period."""
        if not self.is_current:
            return
        self.stream.lifetime = self.stream.lifetime._replace(
            unread_since_s=now_s
        )


class IdempotencyKey(NamedTuple):
    """Identifies calls that must get the same generation.

    `key` is the caller's text, unique only in its organisation.
    """

    organisation: str
    key: str


class Joinable(NamedTuple):
    """A stream that a repeated call joins if its body is the same.

    `fingerprint` is the hash of the first call's body.
    """

    stream: LiveStream
    fingerprint: bytes


class LiveStreams:
    """All streams of a daemon, by request and by idempotency key."""

    def __init__(self) -> None:
        self.by_request: dict[str, LiveStream] = {}
        self.by_key: dict[IdempotencyKey, Joinable] = {}

    def add(self, stream: LiveStream) -> None:
        """Add a new stream."""
        self.by_request[stream.work.request] = stream

    def find(self, name: StreamName) -> LiveStream | None:
        """Return the stream with a name if this daemon relays it."""
        return self.find_generation(name.request, name.generation)

    def find_generation(
        self, request: str, generation: str
    ) -> LiveStream | None:
        """Return the stream of a request and a generation, or None.

        An empty `generation` matches any generation of the request
        whose stream can still be read.
        """
        stream = self.by_request.get(request)
        if stream is None:
            return None
        if not generation:
            return None if stream.is_unusable else stream
        if stream.relay is None:
            return None
        is_same = stream.relay.expected.generation == generation
        return stream if is_same else None

    def forget(self, stream: LiveStream) -> None:
        """Remove a stream and its idempotency keys."""
        if self.by_request.get(stream.work.request) is stream:
            del self.by_request[stream.work.request]
        for key, joinable in list(self.by_key.items()):
            if joinable.stream is stream:
                del self.by_key[key]

    def running(self) -> Iterable[LiveStream]:
        """Return the streams that have not ended."""
        return [s for s in self.by_request.values() if not s.is_ended]
