"""Streams of events, on engines that leave, break off and misbehave."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from plantainsail.entry.daemon import EntryDaemon
from plantainsail.entry.deaths import merge_peer_suspects, suspects_to_send
from plantainsail.entry.mover import CopyResult, DepartureStatus
from plantainsail.policy.quarantine import Quarantine
from plantainsail.routing import evacuation
from plantainsail.routing.evacuation import DEFAULT_NOTICE_S
from plantainsail.routing.members import SuspectEntry
from tests.standins.routed import (
    NOT_EXECUTED,
    STREAM_END,
    STREAM_HEAD,
    CallerAnswer,
    SeenRequest,
    Serve,
    StandInCaller,
    StandInSource,
    StandInUpstream,
    answer,
    answering,
    chunk,
    configuration,
    event,
    read_answer,
    reset,
    start_entry,
)
from tests.standins.waiting import until

EVENTS = 30
CONTINUE = "plantainsail-continue-from"
HEADERS = {"plantainsail-tokens": "10,900", "plantainsail-length-hint": "400"}


class Run:
    """What engines hold of the one run of a test."""

    def __init__(self) -> None:
        self.made = 0
        self.stopped = asyncio.Event()
        self.running = 0
        self.most_running = 0


class StandInMover:
    """Copies the run of a test, as its fields say."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.first = CopyResult(200, "h1")
        self.final = CopyResult(200, "h2")
        self.hangs_on_final = False
        self.calls: list[bool] = []

    async def copy_run(
        self, source: str, request: str, target: str, *, is_final: bool
    ) -> CopyResult:
        """Make one copy."""
        self.calls.append(is_final)
        if not is_final:
            return self.first
        if self.hangs_on_final:
            await asyncio.Event().wait()
        if self.final.status == 200:
            self.run.stopped.set()
        return self.final

    async def departure_status(self, upstream: str) -> DepartureStatus | None:
        """Know nothing."""
        return None

    def continue_from_value(self, source: str, handle: str) -> bytes:
        """Return what names a copy."""
        return f"{source}/{handle}".encode()


class Engines:
    """Two engines that generate one run between them."""

    def __init__(self) -> None:
        self.run = Run()
        self.mover = StandInMover(self.run)
        self.pause_s = 0.01
        self.takes_copies = True
        self.refusing: set[str] = set()
        self.break_at: int | None = None
        self.skip_at: int | None = None

    async def serve(
        self, request: SeenRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Generate events from the beginning or from a copy."""
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
        run.most_running = max(run.most_running, run.running)
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


class World:
    """A daemon and two engines."""

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
        """Ask for the stream."""
        return asyncio.create_task(self.caller.call("/stream/x", HEADERS))

    def drain(self) -> str:
        """Let the engine that runs it announce its leaving."""
        (generation,) = self.daemon.stream.generations
        assert generation.upstream is not None
        upstream = generation.upstream
        self.source.put(upstream._replace(is_draining=True))
        return upstream.identifier

    async def has_events(self, count: int) -> None:
        """Wait until the daemon has passed on some events."""

        def is_so() -> bool:
            generations = list(self.daemon.stream.generations)
            return any(one.positions.count >= count for one in generations)

        await until(is_so)


MakeWorld = Callable[..., Awaitable[World]]


@pytest.fixture
async def world() -> AsyncIterator[MakeWorld]:
    made: list[World] = []

    async def make(serve: Serve | None = None) -> World:
        engines = Engines()
        upstreams = [
            StandInUpstream(name, serve or engines.serve)
            for name in ("e0", "e1")
        ]
        entries = tuple([await one.start() for one in upstreams])
        source = StandInSource(configuration(), entries)
        daemon = await start_entry(source, engines.mover)
        await until(daemon.node.is_ready)
        made.append(World(daemon, source, engines, upstreams))
        return made[-1]

    yield make
    for one in made:
        await one.daemon.stop()
        for upstream in one.upstreams:
            upstream.stop()


WHOLE = b"".join(event(number) for number in range(EVENTS))


async def test_a_stream_is_passed_on_whole(world: MakeWorld) -> None:
    here = await world()
    got = await here.stream()
    assert (got.status, got.body, got.is_whole) == (200, WHOLE, True)
    assert here.daemon.node.fleet_loads.own == {}


async def test_events_are_passed_on_as_they_come(world: MakeWorld) -> None:
    gate = asyncio.Event()

    async def serve(_: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD + chunk(event(0)))
        await gate.wait()

    here = await world(serve)
    reader, writer = await here.caller.open("/stream/x", HEADERS)
    await reader.readuntil(b"\r\n\r\n")
    await reader.readuntil(b"\r\n")
    assert await reader.readexactly(len(event(0))) == event(0)
    gate.set()
    writer.close()


async def test_a_stream_goes_on_where_its_engine_leaves(
    world: MakeWorld,
) -> None:
    here = await world()
    stream = here.stream()
    await here.has_events(3)
    left = here.drain()
    got = await stream
    assert (got.body, got.is_whole) == (WHOLE, True)
    assert here.engines.mover.calls == [False, True]
    continued = [
        upstream.name
        for upstream in here.upstreams
        for seen in upstream.seen
        if CONTINUE in seen.headers
    ]
    assert continued == [{"e0": "e1", "e1": "e0"}[left]]
    assert here.engines.run.most_running == 1
    assert here.daemon.node.fleet_loads.own == {}


async def test_a_final_copy_that_hangs_is_not_waited_for(
    world: MakeWorld,
) -> None:
    """Found on scale-1: it waited behind other copies on the link."""
    here = await world()
    here.engines.mover.hangs_on_final = True
    stream = here.stream()
    await here.has_events(3)
    here.drain()
    got = await stream
    assert (got.body, got.is_whole) == (WHOLE, True)
    values = [
        seen.headers[CONTINUE]
        for upstream in here.upstreams
        for seen in upstream.seen
        if CONTINUE in seen.headers
    ]
    assert [value.rpartition("/")[2] for value in values] == ["h1"]


async def test_a_stream_cut_after_its_first_copy_goes_on_from_it(
    world: MakeWorld,
) -> None:
    here = await world()
    here.engines.break_at = 20
    stream = here.stream()
    await here.has_events(3)
    (generation,) = here.daemon.stream.generations
    assert generation.upstream is not None
    name = generation.upstream.identifier
    # Another daemon's first copy keeps this one from its final copy.
    here.daemon.node.fleet_loads.add(
        name, here.daemon.node.fleet_loads.own[name]._replace(first_copies=1)
    )
    here.drain()
    got = await stream
    assert (got.body, got.is_whole) == (WHOLE, True)
    assert here.engines.mover.calls == [False]


async def test_a_stream_that_is_cut_over_is_stopped_at_its_source(
    world: MakeWorld, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Not every engine ends a run whose connection was closed."""
    monkeypatch.setattr(evacuation, "CUT_OVER_RESERVE_S", DEFAULT_NOTICE_S)
    here = await world()
    here.engines.mover.hangs_on_final = True
    stream = here.stream()
    await here.has_events(3)
    here.drain()
    got = await stream
    assert (got.body, got.is_whole) == (WHOLE, True)
    assert here.engines.mover.calls == [False, True]


@pytest.mark.parametrize("status", [0, 404, 409, 503])
async def test_a_stream_that_can_t_be_copied_stays(
    world: MakeWorld, status: int
) -> None:
    here = await world()
    here.engines.mover.first = CopyResult(status)
    stream = here.stream()
    await here.has_events(3)
    here.drain()
    got = await stream
    assert (got.body, got.is_whole) == (WHOLE, True)
    assert here.engines.run.most_running == 1


async def test_a_copy_that_is_not_taken_goes_on_at_its_source(
    world: MakeWorld,
) -> None:
    here = await world()
    stream = here.stream()
    await here.has_events(3)
    (generation,) = here.daemon.stream.generations
    assert generation.upstream is not None
    source = generation.upstream.identifier
    here.engines.refusing = {"e0", "e1"} - {source}
    here.drain()
    got = await stream
    assert (got.body, got.is_whole) == (WHOLE, True)
    assert here.daemon.node.fleet_loads.own == {}


async def test_a_copy_that_no_engine_takes_leaves_a_cut_stream(
    world: MakeWorld,
) -> None:
    here = await world()
    here.engines.takes_copies = False
    stream = here.stream()
    await here.has_events(3)
    left = here.drain()
    got = await stream
    assert not got.is_whole
    assert WHOLE.startswith(got.body)
    asked = [
        upstream.name
        for upstream in here.upstreams
        for seen in upstream.seen
        if CONTINUE in seen.headers
    ]
    assert sorted(asked) == ["e0", "e1"]
    assert asked.count(left) == 1


async def test_a_stream_cut_without_a_copy_does_not_look_whole(
    world: MakeWorld,
) -> None:
    here = await world()
    here.engines.break_at = 7
    got = await here.stream()
    assert not got.is_whole
    # Not even a part of the event that was cut.
    assert got.body == b"".join(event(number) for number in range(7))
    assert here.engines.run.most_running == 1
    seen = [one for upstream in here.upstreams for one in upstream.seen]
    assert len(seen) == 1


async def test_a_missing_event_ends_the_stream(world: MakeWorld) -> None:
    here = await world()
    here.engines.skip_at = 5
    got = await here.stream()
    assert not got.is_whole
    assert got.body == b"".join(event(number) for number in range(5))


async def test_an_engine_that_refuses_is_not_the_last(
    world: MakeWorld,
) -> None:
    refused: list[str] = []

    async def serve(
        request: SeenRequest, writer: asyncio.StreamWriter
    ) -> None:
        if not refused:
            refused.append("once")
            writer.write(NOT_EXECUTED)
        else:
            writer.write(STREAM_HEAD + chunk(event(0)) + STREAM_END)
        await writer.drain()

    here = await world(serve)
    here.daemon.node.members.largest = 2
    got = await here.stream()
    assert (got.body, got.is_whole) == (event(0), True)


async def test_no_first_event_may_have_run(world: MakeWorld) -> None:
    async def serve(_: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.close()

    here = await world(serve)
    got = await here.stream()
    assert got.status == 502
    assert got.headers["plantainsail-outcome"] == "unknown"
    assert sum(len(one.seen) for one in here.upstreams) == 1


@pytest.mark.parametrize("status", [408, 429, 503])
async def test_an_unproved_refusal_of_an_engine_is_not_passed_on(
    world: MakeWorld, status: int
) -> None:
    """Found by reading: only plain requests had this check."""
    here = await world(answering(answer(status, b"")))
    got = await here.stream()
    assert got.status == 502
    assert got.headers["plantainsail-outcome"] == "unknown"
    assert sum(len(one.seen) for one in here.upstreams) == 1


async def test_an_error_of_an_engine_is_passed_on_whole(
    world: MakeWorld,
) -> None:
    """Headers of the engine's own connection say nothing here."""
    failed = answer(500, b"broken", b"keep-alive: timeout=1\r\n")
    got = await (await world(answering(failed))).stream()
    assert (got.status, got.body, got.is_whole) == (500, b"broken", True)
    assert "keep-alive" not in got.headers
    assert got.headers["plantainsail-signature"] == "signed"


async def test_generation_ends_when_its_caller_leaves(
    world: MakeWorld,
) -> None:
    here = await world()
    here.engines.pause_s = 0.5
    reader, writer = await here.caller.open("/stream/x", HEADERS)
    await reader.readuntil(b"\r\n\r\n")
    writer.close()
    closed = [
        asyncio.create_task(one.closed_by_peer.wait())
        for one in here.upstreams
    ]
    await asyncio.wait(closed, return_when=asyncio.FIRST_COMPLETED)
    for task in closed:
        task.cancel()
    await until(lambda: here.daemon.node.fleet_loads.own == {})


async def test_no_room_is_said_before_the_caller_gives_up(
    world: MakeWorld,
) -> None:
    here = await world()
    node = here.daemon.node
    for name in ("e0", "e1"):
        full = node.fleet_loads.load_of(name, 0.0)._replace(
            memory_tokens=100_000
        )
        node.fleet_loads.add(name, full)
    headers = HEADERS | {"plantainsail-deadline-ms": "300"}
    got = await here.caller.call("/stream/x", headers)
    assert got.status == 429
    assert got.headers["plantainsail-outcome"] == "not_run"
    assert float(got.headers["retry-after"]) > 0
    assert sum(len(one.seen) for one in here.upstreams) == 0


async def test_who_waits_gets_room_as_it_frees(world: MakeWorld) -> None:
    here = await world()
    node = here.daemon.node
    held = []
    for name in ("e0", "e1"):
        full = node.fleet_loads.load_of(name, 0.0)._replace(
            memory_tokens=100_000
        )
        node.fleet_loads.add(name, full)
        held.append((name, full))
    stream = here.stream()
    await until(lambda: len(here.daemon.stream.queue.waiters) == 1)
    node.fleet_loads.subtract(*held[0])
    assert (await stream).body == WHOLE
    assert len(here.upstreams[0].seen) == 1


async def test_a_stream_ends_at_its_route_s_timeout(
    world: MakeWorld,
) -> None:
    here = await world()
    here.engines.pause_s = 0.1
    headers = HEADERS | {"plantainsail-deadline-ms": "350"}
    reader, writer = await here.caller.open("/stream/x", headers)
    got = await read_answer(reader)
    writer.close()
    assert not got.is_whole
    assert WHOLE.startswith(got.body)


def test_the_usual_notice_is_less_than_any_seen() -> None:
    assert DEFAULT_NOTICE_S <= 1.54


async def test_a_request_under_which_engines_died_is_refused(
    world: MakeWorld,
) -> None:
    """Its caller sends it again, with another id, to any daemon."""
    here: World

    async def die(_: SeenRequest, writer: asyncio.StreamWriter) -> None:
        for upstream in here.upstreams:
            upstream.stop()
        reset(writer)

    here = await world(die)
    quarantine = here.daemon.node.quarantine
    body = b"the prompt that kills"
    await here.caller.call("/stream/x", HEADERS, body)
    await until(lambda: len(quarantine.suspects) == 1)
    (suspect,) = quarantine.suspects.values()
    told = SuspectEntry(suspect.fingerprint, ("another/1",), 100)
    merge_peer_suspects(quarantine, (told,), here.daemon.node.now_s())
    again = HEADERS | {"plantainsail-request-id": "r2"}
    got = await here.caller.call("/stream/x", again, body)
    assert got.status == 422
    assert got.headers["plantainsail-outcome"] == "not_run"
    other = await here.caller.call("/stream/x", again, b"another prompt")
    assert other.status != 422


async def test_an_engine_that_only_cut_its_answer_did_not_die(
    world: MakeWorld,
) -> None:
    here = await world()
    here.engines.break_at = 3
    await here.stream()
    await until(lambda: not here.daemon.stream.background_tasks)
    assert here.daemon.node.quarantine.suspects == {}


def test_suspects_are_told_for_a_while() -> None:
    quarantine = Quarantine()
    quarantine.note_death(7, "e1/1", 0.0, 10.0)
    (told,) = suspects_to_send(quarantine, 12.0)
    assert (told.fingerprint, told.deaths, told.age_ms) == (7, ("e1/1",), 2000)
    assert suspects_to_send(quarantine, 30.0) == ()


async def test_an_engine_that_cuts_streams_gets_fewer(
    world: MakeWorld,
) -> None:
    """Found by a day of our own with grey engines.

    One engine reset eight streams in a row before their first events,
    some while others were free.
    """
    here = await world()
    bad = here.upstreams[0]

    async def serve(
        request: SeenRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.headers["plantainsail-expected-upstream"] == bad.name:
            reset(writer)
            return
        await here.engines.serve(request, writer)

    for upstream in here.upstreams:
        upstream.serve = serve
    whole = 0
    while not bad.seen:
        whole += (await here.stream()).is_whole
    asked = len(bad.seen)
    for _ in range(2):
        assert (await here.stream()).is_whole
    assert len(bad.seen) == asked == 1
    assert here.daemon.node.avoidance.local_remaining_s(
        here.daemon.node.now_s()
    )


async def test_a_suspect_is_better_than_nothing(world: MakeWorld) -> None:
    here = await world()
    for upstream in here.upstreams:
        here.daemon.node.note_cut(upstream.name)
    assert (await here.stream()).is_whole
