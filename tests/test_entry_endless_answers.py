"""Upstreams that send bytes without end, or stop in the middle.

An upstream in trouble may send bytes that are no answer until its
caller closes the connection.  A daemon that keeps reading them loses
its memory and delays every other request.  A stream that stalls must
end as well, though bytes arrive now and then, and a slow one must not.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainsail.entry import generation, streaming
from plantainsail.entry.daemon import EntryDaemon
from plantainsail.entry.plain import MAX_ANSWER_BYTES
from plantainsail.entry.streaming import MAX_ERROR_BYTES
from plantainsail.platform.calls import CallError, call
from plantainsail.routing.event_frames import (
    MAX_EVENT_BYTES,
    EventFrames,
    EventTooLongError,
)
from plantainsail.routing.model import RequestKind
from plantainsail.routing.positions import EventContinuity, EventPositions
from plantainsail.upstreams.engine import EventDecoder, InvalidEventError
from tests.standins.routed import (
    ROUTES,
    SIGNATURE,
    STREAM_END,
    STREAM_HEAD,
    ReceivedRequest,
    Serve,
    StandInCaller,
    StandInSource,
    StandInUpstream,
    answer,
    chunk,
    configuration,
    event,
    route,
    start_entry,
)
from tests.standins.waiting import until

# A test that waits in vain fails after this time.
LIMIT_S = 20.0
COMMENT = b":\n\n"
BLOCK = b"x" * 16_384
# Buffers of both sockets and of the parser hold bytes beyond a limit.
BUFFERED_BYTES = 8_388_608


class EndlessUpstream:
    """Sends a start once, then a part again and again.

    `sent_bytes` counts what the connection took, and `ended` is set
    once the caller has closed it.
    """

    def __init__(
        self, start: bytes, part: bytes, pause_s: float = 0.0
    ) -> None:
        self.start = start
        self.part = part
        self.pause_s = pause_s
        self.sent_bytes = 0
        self.ended = asyncio.Event()

    async def serve(
        self, _: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Send until the connection is closed."""
        writer.write(self.start)
        try:
            while True:
                writer.write(self.part)
                await writer.drain()
                self.sent_bytes += len(self.part)
                await asyncio.sleep(self.pause_s)
        finally:
            self.ended.set()


class Environment:
    """An entry daemon with one upstream."""

    def __init__(self, daemon: EntryDaemon, upstream: StandInUpstream) -> None:
        self.daemon = daemon
        self.upstream = upstream
        self.caller = StandInCaller(daemon)


MakeEnvironment = Callable[[Serve], Awaitable[Environment]]


@pytest.fixture
async def make_environment() -> AsyncIterator[MakeEnvironment]:
    environments: list[Environment] = []

    async def make(serve: Serve) -> Environment:
        upstream = StandInUpstream("u0", serve)
        long = route("/long/", RequestKind.STREAMING, timeout_s=3_600.0)
        brief = route("/brief/", RequestKind.STREAMING, timeout_s=0.3)
        published = configuration(routes=(*ROUTES, long, brief))
        source = StandInSource(published, (await upstream.start(),))
        daemon = await start_entry(source)
        await until(daemon.node.is_ready)
        environments.append(Environment(daemon, upstream))
        return environments[-1]

    yield make
    for env in environments:
        await env.daemon.stop()
        env.upstream.stop()


@pytest.mark.parametrize(
    ("start", "part"),
    [
        (b"", BLOCK),
        (b"HTTP/1.1 200 OK\r\nx: ", BLOCK),
        (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 1_000),
        (b"", b"HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n" * 100),
        (b"HTTP/1.1 200 OK\r\n" + SIGNATURE + b"\r\n", BLOCK),
        (STREAM_HEAD, chunk(BLOCK)),
        (STREAM_HEAD, BLOCK),
    ],
    ids=[
        "bytes",
        "header",
        "headers",
        "interim answers",
        "body without length",
        "chunks",
        "chunk size",
    ],
)
async def test_endless_answer_of_a_plain_service_gets_502(
    make_environment: MakeEnvironment, start: bytes, part: bytes
) -> None:
    endless = EndlessUpstream(start, part)
    env = await make_environment(endless.serve)
    response = await env.caller.call("/once/x")
    assert response.status == 502
    assert response.headers["plantainsail-outcome"] == "unknown"
    await endless.ended.wait()
    assert endless.sent_bytes < MAX_ANSWER_BYTES + BUFFERED_BYTES


@pytest.mark.parametrize(
    "part",
    [
        chunk(BLOCK),
        chunk(b"data: x\n\n" * 1_000),
        chunk(b"\n" * 16_384),
        chunk(b"\r\n" * 8_192),
        chunk(b"\n") * 1_000,
        chunk(COMMENT * 5_000),
        chunk(b"id: 1\ndata: token 1\n\n" * 500),
    ],
    ids=[
        "event",
        "id",
        "newlines",
        "line ends",
        "small chunks",
        "comments",
        "repeated events",
    ],
)
async def test_endless_bytes_in_a_stream_end_it(
    make_environment: MakeEnvironment, part: bytes
) -> None:
    """Bytes that complete no new event neither pass nor hang a daemon.

    Newlines without end were each searched to the end of the data, so
    that the daemon answered nobody for seconds.
    """
    start = STREAM_HEAD + chunk(event(0)) + chunk(event(1))
    endless = EndlessUpstream(start, part)
    env = await make_environment(endless.serve)
    response = await env.caller.call("/long/x")
    assert not response.is_whole
    comments = COMMENT * response.body.count(COMMENT)
    assert response.body == event(0) + event(1) + comments
    await endless.ended.wait()
    assert endless.sent_bytes < MAX_EVENT_BYTES + BUFFERED_BYTES


async def test_endless_answer_to_a_call_is_an_error() -> None:
    head = b"HTTP/1.1 200 OK\r\n\r\n"
    endless = EndlessUpstream(head, BLOCK)
    upstream = StandInUpstream("u0", endless.serve)
    await upstream.start()
    with pytest.raises(CallError, match="too long"):
        await call(upstream.address, b"GET", "/report", 60.0)
    upstream.stop()


def test_event_over_the_limit_is_an_error() -> None:
    frames = EventFrames()
    assert frames.feed(b"id: 1\ndata: ") == []
    with pytest.raises(EventTooLongError):
        frames.feed(b"x" * MAX_EVENT_BYTES)


@given(
    data=st.lists(st.sampled_from([b"\r", b"\n", b"a", b":", b"id:1"])).map(
        b"".join
    ),
    cuts=st.lists(st.integers(0, 40), max_size=6),
)
def test_events_do_not_depend_on_the_pieces_that_carry_them(
    data: bytes, cuts: list[int]
) -> None:
    ends = sorted(min(cut, len(data)) for cut in cuts) + [len(data)]
    frames = EventFrames()
    pieces: list[bytes] = []
    start = 0
    for end in ends:
        pieces += [one.data for one in frames.feed(data[start:end])]
        start = end
    assert pieces == [one.data for one in EventFrames().feed(data)]
    assert pieces == _split_events(data)


def _split_events(data: bytes) -> list[bytes]:
    """Split one byte at a time, as a second implementation."""
    events: list[bytes] = []
    event_bytes = b""
    for number in range(len(data)):
        event_bytes += data[number : number + 1]
        if event_bytes in (b"\n", b"\r\n"):
            event_bytes = b""
        elif event_bytes.endswith((b"\n\n", b"\r\n\r\n")):
            events.append(event_bytes)
            event_bytes = b""
    return events


@pytest.mark.parametrize("piece", [b"\n", b"\r\n", b":\n\n", b"x"])
def test_data_without_an_event_is_limited_in_any_pieces(piece: bytes) -> None:
    frames = EventFrames()
    with pytest.raises(EventTooLongError):
        for _ in range(MAX_EVENT_BYTES + 1):
            frames.feed(piece)


def test_an_event_makes_room_for_further_comments() -> None:
    frames = EventFrames()
    comment = b":" + b"x" * (MAX_EVENT_BYTES // 2) + b"\n\n"
    for _ in range(4):
        assert len(frames.feed(comment + event(1))) == 2


def test_events_of_the_engine_client_are_limited_in_any_pieces() -> None:
    """Each piece made the other daemon copy the whole event again."""
    decoder = EventDecoder()
    with pytest.raises(InvalidEventError):
        for _ in range(MAX_EVENT_BYTES + 1):
            decoder.feed(b"x")


async def test_sound_upstream_is_used_beside_one_with_endless_newlines(
    make_environment: MakeEnvironment,
) -> None:
    """Other requests go on between two parts of an endless answer."""
    endless = EndlessUpstream(STREAM_HEAD, chunk(b"\n" * 16_384))

    async def serve(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.target.startswith("/long/"):
            await endless.serve(request, writer)
        writer.write(answer())
        await writer.drain()

    env = await make_environment(serve)
    stream = asyncio.create_task(env.caller.call("/long/x"))
    response = await env.caller.call("/once/x")
    assert (response.status, response.body) == (200, b"done")
    response = await stream
    assert not response.is_whole


def test_event_without_identifier_after_others_is_foreign() -> None:
    positions = EventPositions()
    assert positions.classify(b"1") is EventContinuity.NEXT
    assert positions.classify(b"") is EventContinuity.GAP
    assert positions.classify(b"two") is EventContinuity.GAP


@pytest.mark.parametrize(
    ("part", "pause_s"), [(chunk(b"x"), 0.02), (chunk(BLOCK), 0.0)]
)
async def test_error_of_an_engine_whose_body_never_ends_is_answered(
    make_environment: MakeEnvironment,
    monkeypatch: pytest.MonkeyPatch,
    part: bytes,
    pause_s: float,
) -> None:
    """Without a time limit for the body, its caller got nothing."""
    monkeypatch.setattr(streaming, "ERROR_BODY_TIMEOUT_S", 0.2)
    failed = STREAM_HEAD.replace(b"200 OK", b"500 Broken")
    endless = EndlessUpstream(failed, part, pause_s)
    env = await make_environment(endless.serve)
    async with asyncio.timeout(LIMIT_S):
        response = await env.caller.call("/long/x")
        await endless.ended.wait()
    assert response.status == 502
    assert response.headers["plantainsail-outcome"] == "unknown"
    assert endless.sent_bytes < MAX_ERROR_BYTES + BUFFERED_BYTES


async def test_error_body_that_outlasts_the_route_gets_504(
    make_environment: MakeEnvironment,
) -> None:
    failed = STREAM_HEAD.replace(b"200 OK", b"500 Broken")
    endless = EndlessUpstream(failed, chunk(b"x"), pause_s=0.02)
    env = await make_environment(endless.serve)
    async with asyncio.timeout(LIMIT_S):
        response = await env.caller.call("/brief/x")
    assert response.status == 504


async def test_stalled_stream_ends_though_bytes_arrive(
    make_environment: MakeEnvironment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A byte now and then is no event, so the stream is broken off."""
    monkeypatch.setattr(generation, "stall_limit_s", lambda *_: 0.2)
    start = STREAM_HEAD + chunk(event(0))
    endless = EndlessUpstream(start, chunk(b"d"), pause_s=0.01)
    env = await make_environment(endless.serve)
    response = await env.caller.call("/long/x")
    assert not response.is_whole
    assert response.body == event(0)
    await endless.ended.wait()


async def test_slow_stream_is_passed_on_whole(
    make_environment: MakeEnvironment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Events that each come within the limit keep a stream alive."""
    monkeypatch.setattr(generation, "stall_limit_s", lambda *_: 1.5)
    numbers = range(20)

    async def serve(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD)
        for number in numbers:
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.1)
        writer.write(STREAM_END)
        await writer.drain()

    env = await make_environment(serve)
    response = await env.caller.call("/long/x")
    assert response.is_whole
    assert response.body == b"".join(event(number) for number in numbers)
