"""Tests of requests to plain services, also with faulty upstreams."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from plantainsail.entry.daemon import EntryDaemon
from plantainsail.routing.model import RoutedUpstream
from tests.standins.routed import (
    KEYS,
    NOT_EXECUTED,
    SIGNATURE,
    ReceivedRequest,
    Serve,
    StandInCaller,
    StandInSource,
    StandInUpstream,
    answer,
    configuration,
    read_answer,
    reset,
    respond_with,
    start_entry,
)
from tests.standins.waiting import until


class Environment:
    """An entry daemon with the upstreams of one test."""

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

    def received_requests(self) -> list[ReceivedRequest]:
        """Return the requests that all upstreams received."""
        return [
            request
            for upstream in self.upstreams
            for request in upstream.received_requests
        ]


MakeEnvironment = Callable[..., Awaitable[Environment]]


@pytest.fixture
async def make_environment() -> AsyncIterator[MakeEnvironment]:
    environments: list[Environment] = []

    async def make(*serves: Serve, has_keys: bool = False) -> Environment:
        upstreams = [
            StandInUpstream(f"u{number}", serve)
            for number, serve in enumerate(serves)
        ]
        entries = tuple([await upstream.start() for upstream in upstreams])
        organisations = KEYS if has_keys else None
        source = StandInSource(configuration(1, organisations), entries)
        daemon = await start_entry(source)
        await until(daemon.node.is_ready)
        environments.append(Environment(daemon, source, upstreams))
        return environments[-1]

    yield make
    for env in environments:
        await env.daemon.stop()
        for upstream in env.upstreams:
            upstream.stop()


async def test_request_is_forwarded_unchanged(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment(
        respond_with(answer(201, b"made", b"x-mine: kept\r\n"))
    )
    response = await env.caller.call(
        "/once/a%20b/c?q=1&q=2",
        {"x-own": "one", "connection": "x-hop", "x-hop": "dropped"},
        b"body \x00 bytes",
    )
    assert (response.status, response.body, response.is_whole) == (
        201,
        b"made",
        True,
    )
    assert response.headers["x-mine"] == "kept"
    assert response.headers["plantainsail-signature"] == "signed"
    (request,) = env.received_requests()
    assert (request.method, request.target) == (
        "POST",
        "/once/a%20b/c?q=1&q=2",
    )
    assert request.body == b"body \x00 bytes"
    assert request.headers["x-own"] == "one"
    assert request.headers["host"] == "example.org"
    assert "x-hop" not in request.headers
    assert request.headers["plantainsail-expected-upstream"] == "u0"


async def test_internal_headers_of_callers_are_dropped(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment(respond_with(answer()))
    await env.caller.call(
        "/once/x",
        {
            "plantainsail-organisation": "another",
            "plantainsail-continue-from": "10.0.0.1:1/h",
            "plantainsail-expected-upstream": "u7",
            "plantainsail-copy-to": "10.0.0.1:1",
            "plantainsail-urgency": "0",
        },
    )
    (request,) = env.received_requests()
    assert "plantainsail-organisation" not in request.headers
    assert "plantainsail-continue-from" not in request.headers
    assert "plantainsail-copy-to" not in request.headers
    assert "plantainsail-urgency" not in request.headers
    assert request.headers["plantainsail-expected-upstream"] == "u0"


async def test_chunked_body_is_forwarded_whole(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment(respond_with(answer()))
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", env.caller.port
    )
    writer.write(
        b"POST /once/x HTTP/1.1\r\nhost: example.org\r\n"
        b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    assert (await read_answer(reader)).status == 200
    writer.close()
    assert env.received_requests()[0].body == b"abcde"
    assert env.received_requests()[0].headers["content-length"] == "5"


@pytest.mark.parametrize(
    "head",
    [
        b"content-length: 4\r\ncontent-length: 5\r\n",
        b"transfer-encoding: chunked, identity\r\n",
        b"x-folded: a\r\n b\r\ncontent-length: -1\r\n",
        b"content-length: 3 3\r\n",
    ],
)
async def test_ambiguous_framing_is_refused_with_400(
    make_environment: MakeEnvironment, head: bytes
) -> None:
    env = await make_environment(respond_with(answer()))
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", env.caller.port
    )
    writer.write(
        b"POST /once/x HTTP/1.1\r\nhost: example.org\r\n" + head + b"\r\nabcd"
    )
    status = (await reader.readline()).split(b" ")[1]
    writer.close()
    assert status == b"400"
    assert env.received_requests() == []


async def test_request_without_route_gets_404(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment(respond_with(answer()))
    assert (await env.caller.call("/other/x")).status == 404
    response = await env.caller.call("/once/x", {"host": "other.org"})
    assert response.status == 404
    assert env.received_requests() == []


async def test_body_over_limit_gets_413(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment(respond_with(answer()))
    limits = env.source.published.limits._replace(body_bytes=10)
    env.source.publish(env.source.published._replace(version=2, limits=limits))
    await until(lambda: env.daemon.node.in_force.version == 2)
    response = await env.caller.call("/once/x", body=b"x" * 11)
    assert response.status == 413
    assert env.received_requests() == []


async def test_key_is_replaced_by_its_organisation(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment(respond_with(answer()), has_keys=True)
    good = {"authorization": "Bearer good-key"}
    assert (await env.caller.call("/once/x", good)).status == 200
    assert (await env.caller.call("/once/x")).status == 401
    bad = {"authorization": "Bearer bad-key"}
    assert (await env.caller.call("/once/x", bad)).status == 401
    (request,) = env.received_requests()
    assert "authorization" not in request.headers
    assert request.headers["plantainsail-organisation"] == "desk"


async def test_keyed_request_gets_503_once_lists_are_stale(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment(respond_with(answer()), has_keys=True)
    env.source.go_down()
    in_force = env.daemon.node.in_force
    bounds = env.daemon.node.settings.bounds
    assert in_force.as_of_s is not None
    in_force.as_of_s -= bounds.revocation_s
    response = await env.caller.call(
        "/once/x", {"authorization": "Bearer good-key"}
    )
    assert response.status == 503
    assert float(response.headers["retry-after"]) < 2.0
    assert not env.daemon.node.is_ready()
    assert env.received_requests() == []


async def test_request_that_did_not_run_is_sent_to_another_upstream(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment(
        respond_with(NOT_EXECUTED), respond_with(NOT_EXECUTED)
    )
    env.daemon.node.members.largest = 2
    response = await env.caller.call("/once/x")
    assert response.status == 503
    assert response.headers["plantainsail-outcome"] == "not_run"
    assert len(env.received_requests()) == 2


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
async def test_untrusted_answer_gets_unknown_outcome(
    make_environment: MakeEnvironment, data: bytes
) -> None:
    """An answer that can't be trusted doesn't show whether it ran.

    The upstream sends no answer, a truncated or malformed one, one of
    another request, one with a content encoding, or a 503 or 429
    without its mark that the request was not executed.
    """

    async def serve(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()
        writer.close()

    env = await make_environment(serve, serve)
    env.daemon.node.members.largest = 2
    response = await env.caller.call("/once/x")
    assert response.status in (502, 504)
    assert response.headers["plantainsail-outcome"] == "unknown"
    assert "plantainsail-signature" not in response.headers
    assert len(env.received_requests()) == 1


async def test_idempotent_request_is_retried_after_lost_answer(
    make_environment: MakeEnvironment,
) -> None:
    lost: list[str] = []

    async def serve(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if not lost:
            lost.append("lost")
            writer.close()
            return
        writer.write(answer())
        await writer.drain()

    env = await make_environment(serve, serve)
    env.daemon.node.members.largest = 2
    assert (await env.caller.call("/safe/x", method="GET")).status == 200
    assert len(env.received_requests()) == 2


async def test_upstream_error_is_passed_on(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment(respond_with(answer(500, b"broken")))
    response = await env.caller.call("/once/x")
    assert (response.status, response.body) == (500, b"broken")
    assert response.headers["plantainsail-signature"] == "signed"


async def test_bytes_after_answer_are_discarded(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment(
        respond_with(answer() + answer(200, b"of another"))
    )
    for _ in range(3):
        response = await env.caller.call("/once/x")
        assert response.body == b"done"


async def test_answer_delimited_by_close_is_whole(
    make_environment: MakeEnvironment,
) -> None:
    data = b"HTTP/1.1 200 OK\r\n" + SIGNATURE + b"\r\nall of it"

    async def serve(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()

    env = await make_environment(serve)
    response = await env.caller.call("/once/x")
    assert (response.body, response.is_whole) == (b"all of it", True)


async def test_reset_answer_without_length_gets_502(
    make_environment: MakeEnvironment,
) -> None:
    async def serve(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n" + SIGNATURE + b"\r\npart")
        await writer.drain()
        await asyncio.sleep(0.02)
        reset(writer)

    env = await make_environment(serve)
    assert (await env.caller.call("/once/x")).status == 502


async def test_answer_to_head_request_is_passed_on(
    make_environment: MakeEnvironment,
) -> None:
    data = b"HTTP/1.1 200 OK\r\n" + SIGNATURE + b"content-length: 9\r\n\r\n"
    env = await make_environment(respond_with(data))
    response = await env.caller.call("/safe/x", method="HEAD")
    assert response.status == 200


async def test_204_answer_has_no_content_length(
    make_environment: MakeEnvironment,
) -> None:
    data = b"HTTP/1.1 204 None\r\n" + SIGNATURE + b"\r\n"
    env = await make_environment(respond_with(data))
    reader, writer = await env.caller.open("/once/x")
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    assert head.startswith(b"HTTP/1.1 204")
    assert b"content-length" not in head.lower()


async def test_large_answer_is_passed_on_whole(
    make_environment: MakeEnvironment,
) -> None:
    body = b"x" * 3_000_000
    env = await make_environment(respond_with(answer(200, body)))
    response = await env.caller.call("/once/x")
    assert (len(response.body), response.is_whole) == (len(body), True)


async def test_folded_header_smuggles_no_header(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment(respond_with(answer()))
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", env.caller.port
    )
    writer.write(
        b"POST /once/x HTTP/1.1\r\nhost: example.org\r\nx-folded: a\r\n"
        b" plantainsail-organisation: b\r\ncontent-length: 0\r\n\r\n"
    )
    await reader.readline()
    writer.close()
    for request in env.received_requests():
        assert "plantainsail-organisation" not in request.headers
        assert "\n" not in request.headers["x-folded"]


async def test_answer_reset_at_any_byte_gets_502(
    make_environment: MakeEnvironment,
) -> None:
    data = answer(200, b"body")
    cuts: list[int] = []

    async def serve(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(data[: cuts[-1]])
        await writer.drain()
        reset(writer)

    env = await make_environment(serve)
    for cut in range(len(data)):
        cuts.append(cut)
        env.daemon.node.registry.note_success("u0")
        response = await env.caller.call("/once/x")
        assert response.status == 502, cut
        assert response.headers["plantainsail-outcome"] == "unknown"


async def test_answer_before_body_was_read_is_passed_on(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment()
    received: list[bytes] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        received.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(answer(200, b"early"))
        await writer.drain()
        received.append(await reader.read())
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    env.source.put(
        RoutedUpstream("u9", "service", f"127.0.0.1:{port}", "a", 8)
    )
    await until(lambda: env.daemon.node.registry.is_usable("u9"))
    body = b"y" * 2_000_000
    response = await env.caller.call("/once/x", body=body)
    assert response.body == b"early"
    await until(lambda: len(received) == 2)
    server.close()
    # Nothing but this body was ever sent on the connection.
    assert body.startswith(received[1])


async def test_unfinished_head_closes_the_connection(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment(respond_with(answer()))
    limits = env.source.published.limits._replace(header_s=0.1)
    env.source.publish(env.source.published._replace(version=2, limits=limits))
    await until(lambda: env.daemon.node.in_force.version == 2)
    reader, writer = await env.caller.open("/once/x")
    assert (await read_answer(reader)).status == 200
    await asyncio.sleep(0.25)
    # The connection was idle for longer than the limit for a head, and
    # must still be open.
    writer.write(b"POST /once/x HTTP/1.1\r\nhost: exam")
    assert await reader.read() == b""
    writer.close()


async def serve_nothing(_: ReceivedRequest, __: asyncio.StreamWriter) -> None:
    await asyncio.Event().wait()


async def test_route_timeout_gets_504_with_unknown_outcome(
    make_environment: MakeEnvironment,
) -> None:
    """Guards against an answer that says the request was not run.

    The upstream had received the request, so it may have run; found on
    quiet-1.
    """
    env = await make_environment(serve_nothing)
    response = await env.caller.call("/short/x")
    assert response.status == 504
    assert response.headers["plantainsail-outcome"] == "unknown"
    timeout_ms = int(
        env.received_requests()[0].headers["plantainsail-deadline-ms"]
    )
    assert 0 < timeout_ms <= 300


async def test_caller_deadline_is_passed_on(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment(respond_with(answer()))
    await env.caller.call("/once/x", {"plantainsail-deadline-ms": "200"})
    timeout_ms = int(
        env.received_requests()[0].headers["plantainsail-deadline-ms"]
    )
    assert 0 < timeout_ms <= 200


async def test_upstream_connection_closes_when_caller_disconnects(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment(serve_nothing)
    _, writer = await env.caller.open("/once/x")
    await until(lambda: len(env.received_requests()) == 1)
    writer.close()
    await asyncio.wait_for(env.upstreams[0].closed_by_peer.wait(), 5)


async def test_unreachable_upstream_is_skipped(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment(
        respond_with(answer()), respond_with(answer())
    )
    env.upstreams[0].stop()
    for _ in range(4):
        assert (await env.caller.call("/once/x")).status == 200
    assert len(env.upstreams[1].received_requests) == 4


async def test_draining_upstream_gets_no_new_requests(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment(
        respond_with(answer()), respond_with(answer())
    )
    leaving = env.source.upstreams["u0"]._replace(is_draining=True)
    env.source.put(leaving)
    node = env.daemon.node
    await until(lambda: not node.registry.is_usable("u0"))
    for _ in range(4):
        assert (await env.caller.call("/once/x")).status == 200
    assert env.upstreams[0].received_requests == []


async def test_request_before_configuration_gets_503() -> None:
    source = StandInSource(configuration(), ())
    source.go_down()
    daemon = await start_entry(source)
    response = await StandInCaller(daemon).call("/once/x")
    assert response.status == 503
    assert not daemon.node.is_ready()
    await daemon.stop()


async def test_leaving_daemon_completes_running_requests(
    make_environment: MakeEnvironment,
) -> None:
    may_answer = asyncio.Event()

    async def serve(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await may_answer.wait()
        writer.write(answer())
        await writer.drain()

    env = await make_environment(serve)
    running = asyncio.create_task(env.caller.call("/once/x"))
    await until(lambda: len(env.received_requests()) == 1)
    env.daemon.leave()
    assert not env.daemon.node.is_ready()
    refused = await env.caller.call("/stream/x")
    assert refused.status == 503
    assert refused.headers["connection"] == "close"
    may_answer.set()
    assert (await running).status == 200


async def test_connection_serves_several_requests(
    make_environment: MakeEnvironment,
) -> None:
    env = await make_environment(respond_with(answer()))
    reader, writer = await env.caller.open("/once/1")
    for number in range(2, 5):
        assert (await read_answer(reader)).body == b"done"
        writer.write(
            b"POST /once/%d HTTP/1.1\r\nhost: example.org\r\n"
            b"content-length: 0\r\n\r\n" % number
        )
    assert (await read_answer(reader)).body == b"done"
    writer.close()
    assert len(env.received_requests()) == 4


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
async def test_a_refusal_of_another_request_is_not_believed(
    path: str,
) -> None:
    """A faulty upstream wrote an earlier refusal once more.

    It may run this request, so "not run" would be false.
    """
    extra = b"plantainsail-not-executed: 1\r\nplantainsail-request-id: r0\r\n"
    upstream = StandInUpstream("u1", respond_with(answer(503, b"", extra)))
    source = StandInSource(configuration(), (await upstream.start(),))
    daemon = await start_entry(source)
    await until(daemon.node.is_ready)
    response = await StandInCaller(daemon).call(path)
    assert response.status == 502
    assert response.headers["plantainsail-outcome"] == "unknown"
    await daemon.stop()
    upstream.stop()


WHOLE_HEADS = [
    answer(200, b""),
    answer(200, b"", b"plantainsail-request-id: r1\r\n"),
    b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-later: 1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nplantainsail-signature: s\r\nx-later: 1\r\n\r\n",
]


@pytest.mark.parametrize("path", ["/once/x", "/stream/x"])
@pytest.mark.parametrize("head", WHOLE_HEADS)
async def test_an_answer_closed_at_any_byte_of_its_head_gets_502(
    path: str, head: bytes
) -> None:
    """Otherwise the caller gets an empty body, framed as whole."""
    cuts = iter(range(len(head)))

    async def serve(_: object, writer: asyncio.StreamWriter) -> None:
        writer.write(head[: next(cuts)])
        await writer.drain()
        writer.close()

    upstream = StandInUpstream("u1", serve)
    source = StandInSource(configuration(), (await upstream.start(),))
    daemon = await start_entry(source)
    await until(daemon.node.is_ready)
    for _ in range(len(head)):
        daemon.node.registry.note_success("u1")
        response = await StandInCaller(daemon).call(path)
        assert response.status == 502
    await daemon.stop()
    upstream.stop()
