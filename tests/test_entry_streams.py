"""Tests of event streams, on engines that leave, break off or fail."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from plantainsail.clock import ManualClock
from plantainsail.entry.daemon import EntryDaemon
from plantainsail.entry.mover import CopyResult, DepartureStatus
from plantainsail.entry.suspects import apply_message
from plantainsail.routing import evacuation
from plantainsail.routing.evacuation import DEFAULT_NOTICE_S
from plantainsail.routing.messages import (
    DeathEntry,
    SuspectPartEntry,
    SuspectParts,
)
from tests.standins.routed import (
    NOT_EXECUTED,
    STREAM_END,
    STREAM_HEAD,
    CallerAnswer,
    ReceivedRequest,
    Serve,
    StandInCaller,
    StandInSource,
    StandInUpstream,
    answer,
    chunk,
    configuration,
    event,
    read_answer,
    reset,
    respond_with,
    start_entry,
)
from tests.standins.waiting import until

EVENTS = 30
# More than may be planned on an engine for any kind of request.
TOO_FULL_TOKENS = 200_000
CONTINUE = "plantainsail-continue-from"
HEADERS = {"plantainsail-tokens": "10,900", "plantainsail-length-hint": "400"}


class Run:
    """The state of the single run of a test, shared by its engines."""

    def __init__(self) -> None:
        self.made = 0
        self.stopped = asyncio.Event()
        self.running = 0
        self.max_running = 0


class StandInMover:
    """Answers copy calls with the results in its fields.

    `calls` lists the calls, True for a final copy.
    """

    def __init__(self, run: Run) -> None:
        self.run = run
        self.first = CopyResult(200, "h1")
        self.final = CopyResult(200, "h2")
        self.hangs_on_final = False
        self.calls: list[bool] = []

    async def copy_run(
        self, source: str, request: str, target: str, *, is_final: bool
    ) -> CopyResult:
        """Return the result set for a first or final copy."""
        self.calls.append(is_final)
        if not is_final:
            return self.first
        if self.hangs_on_final:
            await asyncio.Event().wait()
        if self.final.status == 200:
            self.run.stopped.set()
        return self.final

    async def free_copy(self, source: str, handle: str) -> None:
        """Free nothing, as no copy holds memory."""

    async def departure_status(self, upstream: str) -> DepartureStatus | None:
        """Return None, as an engine that doesn't answer."""
        return None

    def continue_from_value(self, source: str, handle: str) -> bytes:
        """Return the header value that names a copy."""
        return f"{source}/{handle}".encode()


class Engines:
    """Two engines that generate one run, with configurable faults."""

    def __init__(self) -> None:
        self.run = Run()
        self.mover = StandInMover(self.run)
        self.pause_s = 0.01
        self.takes_copies = True
        self.refusing: set[str] = set()
        self.break_at: int | None = None
        self.skip_at: int | None = None

    async def serve(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Generate events from the start or from a copy."""
        is_copy = CONTINUE in request.headers
        engine = request.headers["plantainsail-expected-upstream"]
        is_refusing = not self.takes_copies or engine in self.refusing
        if is_copy and is_refusing:
            writer.write(NOT_EXECUTED)
            await writer.drain()
            return
        first = 0
        if is_copy:
            first = int(request.headers["last-event-id"]) + 1
        run = self.run
        run.running += 1
        run.max_running = max(run.max_running, run.running)
        try:
            await self._generate(first, writer, is_copy=is_copy)
        finally:
            run.running -= 1

    async def _generate(
        self, first: int, writer: asyncio.StreamWriter, *, is_copy: bool
    ) -> None:
        writer.write(STREAM_HEAD)
        for number in range(first, EVENTS):
            if not is_copy and self.run.stopped.is_set():
                return
            if number == self.break_at and not is_copy:
                writer.write(chunk(event(number))[:9])
                await writer.drain()
                reset(writer)
                return
            if number != self.skip_at:
                writer.write(chunk(event(number)))
                await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(STREAM_END)
        await writer.drain()


class Environment:
    """An entry daemon with two engines."""

    def __init__(
        self,
        daemon: EntryDaemon,
        source: StandInSource,
        engines: Engines,
        upstreams: list[StandInUpstream],
    ) -> None:
        self.daemon = daemon
        self.source = source
        self.engines = engines
        self.upstreams = upstreams
        self.caller = StandInCaller(daemon)

    def stream(self) -> "asyncio.Task[CallerAnswer]":
        """Request the stream."""
        return asyncio.create_task(self.caller.call("/stream/x", HEADERS))

    def drain(self) -> str:
        """Mark the engine of the run as draining; return its name."""
        (generation,) = self.daemon.stream.generations
        assert generation.upstream is not None
        upstream = generation.upstream
        self.source.put(upstream._replace(is_draining=True))
        return upstream.identifier

    async def has_events(self, count: int) -> None:
        """Wait until the daemon has passed on some events."""

        def has_passed_on() -> bool:
            generations = list(self.daemon.stream.generations)
            return any(
                generation.positions.count >= count
                for generation in generations
            )

        await until(has_passed_on)


MakeEnvironment = Callable[..., Awaitable[Environment]]


@pytest.fixture
async def make_environment() -> AsyncIterator[MakeEnvironment]:
    environments: list[Environment] = []

    async def make(serve: Serve | None = None) -> Environment:
        engines = Engines()
        upstreams = [
            StandInUpstream(name, serve or engines.serve)
            for name in ("e0", "e1")
        ]
        entries = tuple([await upstream.start() for upstream in upstreams])
        source = StandInSource(configuration(), entries)
        daemon = await start_entry(source, engines.mover)
        await until(daemon.node.is_ready)
        environments.append(Environment(daemon, source, engines, upstreams))
        return environments[-1]

    yield make
    for env in environments:
        await env.daemon.stop()
        for upstream in env.upstreams:
            upstream.stop()


WHOLE = b"".join(event(number) for number in range(EVENTS))


async def test_stream_is_passed_on_whole(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment()
    response = await env.stream()
    assert (response.status, response.body, response.is_whole) == (
        200,
        WHOLE,
        True,
    )
    assert env.daemon.node.fleet_loads.own == {}


async def test_events_are_passed_on_without_buffering(
    make_environment: MakeEnvironment,
) -> None:
    gate = asyncio.Event()

    async def serve(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD + chunk(event(0)))
        await gate.wait()

    env = await make_environment(serve)
    reader, writer = await env.caller.open("/stream/x", HEADERS)
    await reader.readuntil(b"\r\n\r\n")
    await reader.readuntil(b"\r\n")
    assert await reader.readexactly(len(event(0))) == event(0)
    gate.set()
    writer.close()


async def test_stream_of_leaving_engine_continues_on_another(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment()
    stream = env.stream()
    await env.has_events(3)
    drained = env.drain()
    response = await stream
    assert (response.body, response.is_whole) == (WHOLE, True)
    assert env.engines.mover.calls == [False, True]
    continued = [
        upstream.name
        for upstream in env.upstreams
        for request in upstream.received_requests
        if CONTINUE in request.headers
    ]
    assert continued == [{"e0": "e1", "e1": "e0"}[drained]]
    assert env.engines.run.max_running == 1
    assert env.daemon.node.fleet_loads.own == {}


async def test_refused_first_copy_is_asked_for_again(
    make_environment: MakeEnvironment,
) -> None:
    """The target had no room for a moment, early in the notice."""
    env = await make_environment()
    mover = env.engines.mover
    mover.first = CopyResult(503)
    env.engines.pause_s = 0.05
    stream = env.stream()
    await env.has_events(3)
    env.drain()
    await until(lambda: len(mover.calls) == 1)
    mover.first = CopyResult(200, "h1")
    response = await stream
    assert (response.body, response.is_whole) == (WHOLE, True)
    assert mover.calls == [False, False, True]
    assert env.engines.run.max_running == 1


async def test_hanging_final_copy_is_replaced_by_the_first_copy(
    make_environment: MakeEnvironment,
) -> None:
    """Guards against a final copy that delays the stream.

    On scale-1 one waited behind other copies on the link.
    """
    env = await make_environment()
    env.engines.mover.hangs_on_final = True
    stream = env.stream()
    await env.has_events(3)
    env.drain()
    response = await stream
    assert (response.body, response.is_whole) == (WHOLE, True)
    values = [
        request.headers[CONTINUE]
        for upstream in env.upstreams
        for request in upstream.received_requests
        if CONTINUE in request.headers
    ]
    assert [value.rpartition("/")[2] for value in values] == ["h1"]


async def test_stream_cut_after_first_copy_continues_from_it(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment()
    env.engines.break_at = 20
    stream = env.stream()
    await env.has_events(3)
    (generation,) = env.daemon.stream.generations
    assert generation.upstream is not None
    name = generation.upstream.identifier
    # A first copy of another daemon is pending on the engine, so that
    # this daemon doesn't start its final copy.
    env.daemon.node.fleet_loads.add(
        name, env.daemon.node.fleet_loads.own[name]._replace(first_copies=1)
    )
    env.drain()
    response = await stream
    assert (response.body, response.is_whole) == (WHOLE, True)
    # The run may go on at its engine, which must be told to stop it.
    assert env.engines.mover.calls == [False, True]


async def test_cut_over_stops_the_run_at_its_source(
    make_environment: MakeEnvironment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a run that goes on at both engines.

    Not every engine ends a run whose connection was closed.
    """
    monkeypatch.setattr(evacuation, "CUT_OVER_RESERVE_S", DEFAULT_NOTICE_S)
    env = await make_environment()
    env.engines.mover.hangs_on_final = True
    stream = env.stream()
    await env.has_events(3)
    env.drain()
    response = await stream
    assert (response.body, response.is_whole) == (WHOLE, True)
    first, *orders = env.engines.mover.calls
    assert not first
    # An order without an answer is repeated.
    assert orders and all(orders)


@pytest.mark.parametrize("status", [0, 404, 409, 503])
async def test_stream_that_cannot_be_copied_stays_on_its_engine(
    make_environment: MakeEnvironment, status: int
) -> None:
    env = await make_environment()
    env.engines.mover.first = CopyResult(status)
    stream = env.stream()
    await env.has_events(3)
    env.drain()
    response = await stream
    assert (response.body, response.is_whole) == (WHOLE, True)
    assert env.engines.run.max_running == 1


async def test_run_continues_at_source_if_target_refuses_the_copy(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment()
    stream = env.stream()
    await env.has_events(3)
    (generation,) = env.daemon.stream.generations
    assert generation.upstream is not None
    source = generation.upstream.identifier
    env.engines.refusing = {"e0", "e1"} - {source}
    env.drain()
    response = await stream
    assert (response.body, response.is_whole) == (WHOLE, True)
    assert env.daemon.node.fleet_loads.own == {}


async def test_stream_breaks_off_if_no_engine_takes_the_copy(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment()
    env.engines.takes_copies = False
    stream = env.stream()
    await env.has_events(3)
    drained = env.drain()
    response = await stream
    assert not response.is_whole
    assert WHOLE.startswith(response.body)
    asked = [
        upstream.name
        for upstream in env.upstreams
        for request in upstream.received_requests
        if CONTINUE in request.headers
    ]
    assert sorted(asked) == ["e0", "e1"]
    assert asked.count(drained) == 1


async def test_stream_cut_without_a_copy_is_not_whole(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment()
    env.engines.break_at = 7
    response = await env.stream()
    assert not response.is_whole
    # No part of the event that was cut is passed on.
    assert response.body == b"".join(event(number) for number in range(7))
    assert env.engines.run.max_running == 1
    requests = [
        request
        for upstream in env.upstreams
        for request in upstream.received_requests
    ]
    assert len(requests) == 1


async def test_missing_event_ends_the_stream(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment()
    env.engines.skip_at = 5
    response = await env.stream()
    assert not response.is_whole
    assert response.body == b"".join(event(number) for number in range(5))


async def test_refused_generation_is_sent_to_another_engine(
    make_environment: MakeEnvironment,
) -> None:
    refused: list[str] = []

    async def serve(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if not refused:
            refused.append("once")
            writer.write(NOT_EXECUTED)
        else:
            writer.write(STREAM_HEAD + chunk(event(0)) + STREAM_END)
        await writer.drain()

    env = await make_environment(serve)
    env.daemon.node.members.largest = 2
    response = await env.stream()
    assert (response.body, response.is_whole) == (event(0), True)


async def test_connection_closed_before_answer_gets_unknown_outcome(
    make_environment: MakeEnvironment,
) -> None:
    async def serve(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.close()

    env = await make_environment(serve)
    response = await env.stream()
    assert response.status == 502
    assert response.headers["plantainsail-outcome"] == "unknown"
    assert (
        sum(len(upstream.received_requests) for upstream in env.upstreams) == 1
    )


@pytest.mark.parametrize("status", [408, 429, 503])
async def test_unmarked_refusal_of_engine_gets_unknown_outcome(
    make_environment: MakeEnvironment, status: int
) -> None:
    """Guards against a missing check that only plain requests had.

    The caller would conclude from these statuses that the request did
    not run, which the engine didn't say; found by reading the code.
    """
    env = await make_environment(respond_with(answer(status, b"")))
    response = await env.stream()
    assert response.status == 502
    assert response.headers["plantainsail-outcome"] == "unknown"
    assert (
        sum(len(upstream.received_requests) for upstream in env.upstreams) == 1
    )


async def test_engine_error_is_passed_on_whole(
    make_environment: MakeEnvironment,
) -> None:
    """Headers of the engine's connection aren't forwarded."""
    failed = answer(500, b"broken", b"keep-alive: timeout=1\r\n")
    response = await (await make_environment(respond_with(failed))).stream()
    assert (response.status, response.body, response.is_whole) == (
        500,
        b"broken",
        True,
    )
    assert "keep-alive" not in response.headers
    assert response.headers["plantainsail-signature"] == "signed"


UNFRAMED_HEAD = STREAM_HEAD.replace(b"transfer-encoding: chunked\r\n", b"")


def serve_and_close(data: bytes) -> Serve:
    async def serve(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()
        writer.close()

    return serve


async def test_a_stream_without_length_or_chunks_ends_with_its_connection(
    make_environment: MakeEnvironment,
) -> None:
    events = event(0) + event(1)
    env = await make_environment(serve_and_close(UNFRAMED_HEAD + events))
    response = await env.stream()
    assert (response.body, response.is_whole) == (events, True)


@pytest.mark.parametrize("head", [UNFRAMED_HEAD, STREAM_HEAD])
async def test_a_stream_that_ends_inside_an_event_is_broken_off(
    make_environment: MakeEnvironment, head: bytes
) -> None:
    """Also if its last chunk says that nothing follows."""
    body = event(0) + event(1)[:-1]
    if head == STREAM_HEAD:
        body = chunk(body) + STREAM_END
    env = await make_environment(serve_and_close(head + body))
    response = await env.stream()
    assert not response.is_whole
    assert response.body in (b"", event(0))


async def test_generation_ends_when_caller_disconnects(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment()
    env.engines.pause_s = 0.5
    reader, writer = await env.caller.open("/stream/x", HEADERS)
    await reader.readuntil(b"\r\n\r\n")
    writer.close()
    closed = [
        asyncio.create_task(upstream.closed_by_peer.wait())
        for upstream in env.upstreams
    ]
    await asyncio.wait(closed, return_when=asyncio.FIRST_COMPLETED)
    for task in closed:
        task.cancel()
    await until(lambda: env.daemon.node.fleet_loads.own == {})


async def test_request_gets_429_before_the_deadline_if_engines_are_full(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment()
    node = env.daemon.node
    for name in ("e0", "e1"):
        full = node.fleet_loads.load_of(name, 0.0)._replace(
            memory_tokens=TOO_FULL_TOKENS
        )
        node.fleet_loads.add(name, full)
    headers = HEADERS | {"plantainsail-deadline-ms": "300"}
    response = await env.caller.call("/stream/x", headers)
    assert response.status == 429
    assert response.headers["plantainsail-outcome"] == "not_run"
    assert float(response.headers["retry-after"]) > 0
    assert (
        sum(len(upstream.received_requests) for upstream in env.upstreams) == 0
    )


async def test_waiting_generation_gets_an_engine_when_load_falls(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment()
    node = env.daemon.node
    occupied = []
    for name in ("e0", "e1"):
        full = node.fleet_loads.load_of(name, 0.0)._replace(
            memory_tokens=TOO_FULL_TOKENS
        )
        node.fleet_loads.add(name, full)
        occupied.append((name, full))
    stream = env.stream()
    await until(lambda: len(env.daemon.stream.queue.waiters) == 1)
    node.fleet_loads.subtract(*occupied[0])
    assert (await stream).body == WHOLE
    assert len(env.upstreams[0].received_requests) == 1


async def test_stream_breaks_off_at_the_deadline(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment()
    env.engines.pause_s = 0.1
    headers = HEADERS | {"plantainsail-deadline-ms": "350"}
    reader, writer = await env.caller.open("/stream/x", headers)
    response = await read_answer(reader)
    writer.close()
    assert not response.is_whole
    assert WHOLE.startswith(response.body)


def test_default_notice_is_at_most_the_shortest_observed() -> None:
    assert DEFAULT_NOTICE_S <= 1.54


async def test_request_during_which_two_engines_died_is_refused(
    make_environment: MakeEnvironment,
) -> None:
    """The first death is reported by a peer.

    The caller repeats the request with another id, to any daemon.
    """
    env: Environment

    async def die(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD)
        await writer.drain()
        for upstream in env.upstreams:
            upstream.stop()
        await asyncio.sleep(0.02)
        reset(writer)

    env = await make_environment(die)
    quarantine = env.daemon.node.quarantine
    body = b"the prompt that kills"
    await env.caller.call("/stream/x", HEADERS, body)
    await until(lambda: len(quarantine.records) == 1)
    (record,) = quarantine.records.values()
    death = DeathEntry("another/1", 9_000, 8_000)
    entry = SuspectPartEntry(record.part, (death,))
    apply_message(env.daemon.node, SuspectParts("peer", (entry,)))
    repeated = HEADERS | {"plantainsail-request-id": "r2"}
    response = await env.caller.call("/stream/x", repeated, body)
    assert response.headers["plantainsail-code"] == "3007"
    assert response.status == 503
    assert response.headers["plantainsail-outcome"] == "not_run"
    assert 20 < float(response.headers["retry-after"]) <= 30
    other = await env.caller.call("/stream/x", repeated, b"another prompt")
    assert other.headers["plantainsail-code"] != "3007"


async def test_engine_that_cuts_its_answer_does_not_count_as_dead(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment()
    env.engines.break_at = 3
    await env.stream()
    await until(lambda: not env.daemon.death_checks.tasks)
    assert env.daemon.node.quarantine.records == {}


async def test_engine_that_cuts_streams_is_avoided(
    make_environment: MakeEnvironment,
) -> None:
    """Guards against choosing a partly failing engine again and again.

    In a day of our own with such engines, one engine reset eight
    streams in a row before their first events, some of them while other
    engines were free.
    """
    env = await make_environment()
    bad = env.upstreams[0]

    async def serve(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.headers["plantainsail-expected-upstream"] == bad.name:
            reset(writer)
            return
        await env.engines.serve(request, writer)

    for upstream in env.upstreams:
        upstream.serve = serve
    node = env.daemon.node
    # The time of avoidance is that of this clock, which stands still.
    node.clock = ManualClock(node.now_s())
    whole = 0
    while not bad.received_requests:
        whole += (await env.stream()).is_whole
    asked = len(bad.received_requests)
    for _ in range(2):
        assert (await env.stream()).is_whole
    assert len(bad.received_requests) == asked == 1
    assert node.avoidance.local_remaining_s(node.now_s())


async def test_avoided_engines_are_used_if_all_are_avoided(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment()
    for upstream in env.upstreams:
        env.daemon.node.note_cut(upstream.name)
    assert (await env.stream()).is_whole
