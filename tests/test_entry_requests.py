"""Routed requests of plain services, with upstreams that misbehave."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from plantainsail.entry.daemon import EntryDaemon
from plantainsail.routing.model import RoutedUpstream
from tests.standins.routed import (
    KEYS,
    NOT_EXECUTED,
    SIGNATURE,
    SeenRequest,
    Serve,
    StandInCaller,
    StandInSource,
    StandInUpstream,
    answer,
    answering,
    configuration,
    read_answer,
    reset,
    start_entry,
)
from tests.standins.waiting import until


class World:
    """A daemon with the upstreams of one test."""

    def __init__(
        self,
        daemon: EntryDaemon,
        source: StandInSource,
        upstreams: list[StandInUpstream],
    ) -> None:
        self.daemon = daemon
        self.source = source
        self.upstreams = upstreams
        self.caller = StandInCaller(daemon)

    def seen(self) -> list[SeenRequest]:
        """Return the requests of all upstreams."""
        return [one for upstream in self.upstreams for one in upstream.seen]


MakeWorld = Callable[..., Awaitable[World]]


@pytest.fixture
async def world() -> AsyncIterator[MakeWorld]:
    made: list[World] = []

    async def make(*serves: Serve, has_keys: bool = False) -> World:
        upstreams = [
            StandInUpstream(f"u{number}", serve)
            for number, serve in enumerate(serves)
        ]
        entries = tuple([await one.start() for one in upstreams])
        organisations = KEYS if has_keys else None
        source = StandInSource(configuration(1, organisations), entries)
        daemon = await start_entry(source)
        await until(daemon.node.is_ready)
        made.append(World(daemon, source, upstreams))
        return made[-1]

    yield make
    for one in made:
        await one.daemon.stop()
        for upstream in one.upstreams:
            upstream.stop()


async def test_a_request_goes_through_unchanged(world: MakeWorld) -> None:
    here = await world(answering(answer(201, b"made", b"x-mine: kept\r\n")))
    got = await here.caller.call(
        "/once/a%20b/c?q=1&q=2",
        {"x-own": "one", "connection": "x-hop", "x-hop": "dropped"},
        b"body \x00 bytes",
    )
    assert (got.status, got.body, got.is_whole) == (201, b"made", True)
    assert got.headers["x-mine"] == "kept"
    assert got.headers["plantainsail-signature"] == "signed"
    (seen,) = here.seen()
    assert (seen.method, seen.target) == ("POST", "/once/a%20b/c?q=1&q=2")
    assert seen.body == b"body \x00 bytes"
    assert seen.headers["x-own"] == "one"
    assert seen.headers["host"] == "example.org"
    assert "x-hop" not in seen.headers
    assert seen.headers["plantainsail-expected-upstream"] == "u0"


async def test_a_caller_cannot_pose_as_a_daemon(world: MakeWorld) -> None:
    here = await world(answering(answer()))
    await here.caller.call(
        "/once/x",
        {
            "plantainsail-organisation": "another",
            "plantainsail-continue-from": "10.0.0.1:1/h",
            "plantainsail-expected-upstream": "u7",
            "plantainsail-copy-to": "10.0.0.1:1",
            "plantainsail-urgency": "0",
        },
    )
    (seen,) = here.seen()
    assert "plantainsail-organisation" not in seen.headers
    assert "plantainsail-continue-from" not in seen.headers
    assert "plantainsail-copy-to" not in seen.headers
    assert "plantainsail-urgency" not in seen.headers
    assert seen.headers["plantainsail-expected-upstream"] == "u0"


async def test_a_chunked_body_arrives_whole(world: MakeWorld) -> None:
    here = await world(answering(answer()))
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", here.caller.port
    )
    writer.write(
        b"POST /once/x HTTP/1.1\r\nhost: example.org\r\n"
        b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    assert (await read_answer(reader)).status == 200
    writer.close()
    assert here.seen()[0].body == b"abcde"
    assert here.seen()[0].headers["content-length"] == "5"


@pytest.mark.parametrize(
    "head",
    [
        b"content-length: 4\r\ncontent-length: 5\r\n",
        b"transfer-encoding: chunked, identity\r\n",
        b"x-folded: a\r\n b\r\ncontent-length: -1\r\n",
        b"content-length: 3 3\r\n",
    ],
)
async def test_ambiguous_requests_reach_no_upstream(
    world: MakeWorld, head: bytes
) -> None:
    here = await world(answering(answer()))
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", here.caller.port
    )
    writer.write(
        b"POST /once/x HTTP/1.1\r\nhost: example.org\r\n" + head + b"\r\nabcd"
    )
    status = (await reader.readline()).split(b" ")[1]
    writer.close()
    assert status == b"400"
    assert here.seen() == []


async def test_what_no_route_fits_is_not_found(world: MakeWorld) -> None:
    here = await world(answering(answer()))
    assert (await here.caller.call("/other/x")).status == 404
    got = await here.caller.call("/once/x", {"host": "other.org"})
    assert got.status == 404
    assert here.seen() == []


async def test_a_body_over_the_limit_is_refused(world: MakeWorld) -> None:
    here = await world(answering(answer()))
    limits = here.source.published.limits._replace(body_bytes=10)
    here.source.publish(
        here.source.published._replace(version=2, limits=limits)
    )
    await until(lambda: here.daemon.node.in_force.version == 2)
    got = await here.caller.call("/once/x", body=b"x" * 11)
    assert got.status == 413
    assert here.seen() == []


async def test_a_key_becomes_its_organisation(world: MakeWorld) -> None:
    here = await world(answering(answer()), has_keys=True)
    good = {"authorization": "Bearer good-key"}
    assert (await here.caller.call("/once/x", good)).status == 200
    assert (await here.caller.call("/once/x")).status == 401
    bad = {"authorization": "Bearer bad-key"}
    assert (await here.caller.call("/once/x", bad)).status == 401
    (seen,) = here.seen()
    assert "authorization" not in seen.headers
    assert seen.headers["plantainsail-organisation"] == "desk"


async def test_keys_are_refused_once_nothing_proves_them(
    world: MakeWorld,
) -> None:
    here = await world(answering(answer()), has_keys=True)
    here.source.go_down()
    in_force = here.daemon.node.in_force
    bounds = here.daemon.node.settings.bounds
    assert in_force.as_of_s is not None
    in_force.as_of_s -= bounds.revocation_s
    got = await here.caller.call(
        "/once/x", {"authorization": "Bearer good-key"}
    )
    assert got.status == 503
    assert float(got.headers["retry-after"]) < 2.0
    assert not here.daemon.node.is_ready()
    assert here.seen() == []


async def test_an_upstream_that_did_not_run_it_is_not_the_last(
    world: MakeWorld,
) -> None:
    here = await world(answering(NOT_EXECUTED), answering(NOT_EXECUTED))
    here.daemon.node.members.largest = 2
    got = await here.caller.call("/once/x")
    assert got.status == 503
    assert got.headers["plantainsail-outcome"] == "not_run"
    assert len(here.seen()) == 2


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"HTTP/1.1 200 OK\r\n" + SIGNATURE + b"content-length: 9\r\n\r\ncut",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno",
        b"not http at all\r\n\r\n",
        answer(200, b"x", b"plantainsail-request-id: another\r\n"),
        answer(200, b"x", b"content-encoding: gzip\r\n"),
        answer(503, b"ran, and says nothing of that"),
        answer(429, b"ran, and says nothing of that"),
    ],
)
async def test_what_may_have_run_is_never_said_not_to_have(
    world: MakeWorld, data: bytes
) -> None:
    """No answer, a cut one, one of another request, an unproved 503."""

    async def serve(_: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()
        writer.close()

    here = await world(serve, serve)
    here.daemon.node.members.largest = 2
    got = await here.caller.call("/once/x")
    assert got.status in (502, 504)
    assert got.headers["plantainsail-outcome"] == "unknown"
    assert "plantainsail-signature" not in got.headers
    assert len(here.seen()) == 1


async def test_an_idempotent_request_is_sent_once_more(
    world: MakeWorld,
) -> None:
    first: list[str] = []

    async def serve(_: SeenRequest, writer: asyncio.StreamWriter) -> None:
        if not first:
            first.append("lost")
            writer.close()
            return
        writer.write(answer())
        await writer.drain()

    here = await world(serve, serve)
    here.daemon.node.members.largest = 2
    assert (await here.caller.call("/safe/x", method="GET")).status == 200
    assert len(here.seen()) == 2


async def test_an_error_of_the_upstream_is_passed_on(
    world: MakeWorld,
) -> None:
    here = await world(answering(answer(500, b"broken")))
    got = await here.caller.call("/once/x")
    assert (got.status, got.body) == (500, b"broken")
    assert got.headers["plantainsail-signature"] == "signed"


async def test_bytes_after_an_answer_reach_nobody(world: MakeWorld) -> None:
    here = await world(answering(answer() + answer(200, b"of another")))
    for _ in range(3):
        got = await here.caller.call("/once/x")
        assert got.body == b"done"


async def test_an_answer_that_ends_with_its_connection_is_whole(
    world: MakeWorld,
) -> None:
    data = b"HTTP/1.1 200 OK\r\n" + SIGNATURE + b"\r\nall of it"

    async def serve(_: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()

    here = await world(serve)
    got = await here.caller.call("/once/x")
    assert (got.body, got.is_whole) == (b"all of it", True)


async def test_an_answer_without_length_that_is_reset_is_not_whole(
    world: MakeWorld,
) -> None:
    async def serve(_: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n" + SIGNATURE + b"\r\npart")
        await writer.drain()
        await asyncio.sleep(0.02)
        reset(writer)

    here = await world(serve)
    assert (await here.caller.call("/once/x")).status == 502


async def test_head_has_no_body(world: MakeWorld) -> None:
    data = b"HTTP/1.1 200 OK\r\n" + SIGNATURE + b"content-length: 9\r\n\r\n"
    here = await world(answering(data))
    got = await here.caller.call("/safe/x", method="HEAD")
    assert got.status == 200


async def test_an_answer_without_body_says_no_length(
    world: MakeWorld,
) -> None:
    data = b"HTTP/1.1 204 None\r\n" + SIGNATURE + b"\r\n"
    here = await world(answering(data))
    reader, writer = await here.caller.open("/once/x")
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    assert head.startswith(b"HTTP/1.1 204")
    assert b"content-length" not in head.lower()


async def test_a_large_answer_is_whole(world: MakeWorld) -> None:
    body = b"x" * 3_000_000
    here = await world(answering(answer(200, body)))
    got = await here.caller.call("/once/x")
    assert (len(got.body), got.is_whole) == (len(body), True)


async def test_an_obsolete_folded_header_smuggles_nothing(
    world: MakeWorld,
) -> None:
    here = await world(answering(answer()))
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", here.caller.port
    )
    writer.write(
        b"POST /once/x HTTP/1.1\r\nhost: example.org\r\nx-folded: a\r\n"
        b" plantainsail-organisation: b\r\ncontent-length: 0\r\n\r\n"
    )
    await reader.readline()
    writer.close()
    for seen in here.seen():
        assert "plantainsail-organisation" not in seen.headers
        assert "\n" not in seen.headers["x-folded"]


async def test_a_reset_at_any_byte_never_looks_whole(
    world: MakeWorld,
) -> None:
    data = answer(200, b"body")
    cuts: list[int] = []

    async def serve(_: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(data[: cuts[-1]])
        await writer.drain()
        reset(writer)

    here = await world(serve)
    for cut in range(len(data)):
        cuts.append(cut)
        here.daemon.node.registry.note_success("u0")
        got = await here.caller.call("/once/x")
        assert got.status == 502, cut
        assert got.headers["plantainsail-outcome"] == "unknown"


async def test_an_answer_before_the_body_was_read_is_passed_on(
    world: MakeWorld,
) -> None:
    here = await world()
    seen: list[bytes] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        seen.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(answer(200, b"early"))
        await writer.drain()
        seen.append(await reader.read())
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    here.source.put(
        RoutedUpstream("u9", "service", f"127.0.0.1:{port}", "a", 8)
    )
    await until(lambda: here.daemon.node.registry.is_usable("u9"))
    body = b"y" * 2_000_000
    got = await here.caller.call("/once/x", body=body)
    assert got.body == b"early"
    await until(lambda: len(seen) == 2)
    server.close()
    # Nothing but this body ever came on the connection.
    assert body.startswith(seen[1])


async def test_a_head_that_does_not_end_is_not_waited_for(
    world: MakeWorld,
) -> None:
    here = await world(answering(answer()))
    limits = here.source.published.limits._replace(header_s=0.1)
    here.source.publish(
        here.source.published._replace(version=2, limits=limits)
    )
    await until(lambda: here.daemon.node.in_force.version == 2)
    reader, writer = await here.caller.open("/once/x")
    assert (await read_answer(reader)).status == 200
    await asyncio.sleep(0.25)
    # Idle for longer than a head may take, and still open.
    writer.write(b"POST /once/x HTTP/1.1\r\nhost: exam")
    assert await reader.read() == b""
    writer.close()


async def never(_: SeenRequest, __: asyncio.StreamWriter) -> None:
    await asyncio.Event().wait()


async def test_the_caller_has_its_answer_at_the_route_s_timeout(
    world: MakeWorld,
) -> None:
    """Found on quiet-1: it was told that the request had not run."""
    here = await world(never)
    got = await here.caller.call("/short/x")
    assert got.status == 504
    assert got.headers["plantainsail-outcome"] == "unknown"
    left_ms = int(here.seen()[0].headers["plantainsail-deadline-ms"])
    assert 0 < left_ms <= 300


async def test_the_caller_s_deadline_is_handed_on(world: MakeWorld) -> None:
    here = await world(answering(answer()))
    await here.caller.call("/once/x", {"plantainsail-deadline-ms": "200"})
    left_ms = int(here.seen()[0].headers["plantainsail-deadline-ms"])
    assert 0 < left_ms <= 200


async def test_work_ends_when_its_caller_leaves(world: MakeWorld) -> None:
    here = await world(never)
    _, writer = await here.caller.open("/once/x")
    await until(lambda: len(here.seen()) == 1)
    writer.close()
    await asyncio.wait_for(here.upstreams[0].closed_by_peer.wait(), 5)


async def test_an_upstream_that_can_t_be_reached_is_passed_over(
    world: MakeWorld,
) -> None:
    here = await world(answering(answer()), answering(answer()))
    here.upstreams[0].stop()
    for _ in range(4):
        assert (await here.caller.call("/once/x")).status == 200
    assert len(here.upstreams[1].seen) == 4


async def test_an_upstream_that_leaves_gets_nothing_new(
    world: MakeWorld,
) -> None:
    here = await world(answering(answer()), answering(answer()))
    leaving = here.source.upstreams["u0"]._replace(is_draining=True)
    here.source.put(leaving)
    node = here.daemon.node
    await until(lambda: not node.registry.is_usable("u0"))
    for _ in range(4):
        assert (await here.caller.call("/once/x")).status == 200
    assert here.upstreams[0].seen == []


async def test_without_a_configuration_nothing_is_said_to_be_unknown() -> None:
    source = StandInSource(configuration(), ())
    source.go_down()
    daemon = await start_entry(source)
    got = await StandInCaller(daemon).call("/once/x")
    assert got.status == 503
    assert not daemon.node.is_ready()
    await daemon.stop()


async def test_a_daemon_that_leaves_ends_what_runs(world: MakeWorld) -> None:
    let_go = asyncio.Event()

    async def serve(_: SeenRequest, writer: asyncio.StreamWriter) -> None:
        await let_go.wait()
        writer.write(answer())
        await writer.drain()

    here = await world(serve)
    running = asyncio.create_task(here.caller.call("/once/x"))
    await until(lambda: len(here.seen()) == 1)
    here.daemon.leave()
    assert not here.daemon.node.is_ready()
    fresh = await here.caller.call("/stream/x")
    assert fresh.status == 503
    assert fresh.headers["connection"] == "close"
    let_go.set()
    assert (await running).status == 200


async def test_a_connection_serves_many_requests(world: MakeWorld) -> None:
    here = await world(answering(answer()))
    reader, writer = await here.caller.open("/once/1")
    for number in range(2, 5):
        assert (await read_answer(reader)).body == b"done"
        writer.write(
            b"POST /once/%d HTTP/1.1\r\nhost: example.org\r\n"
            b"content-length: 0\r\n\r\n" % number
        )
    assert (await read_answer(reader)).body == b"done"
    writer.close()
    assert len(here.seen()) == 4
