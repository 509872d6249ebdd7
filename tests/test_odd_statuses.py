"""Answers whose status HTTP does not have reach no caller.

An upstream in trouble may send any status line.  A caller must get the
answer of another upstream, or a failure of the daemon's own without a
signature; never such a status, nor one that the upstream did not give.
`plantainsail.daemon` passed on 600, 999 and 2000, and took 0200, 200OK
and digits of other scripts for 200.
"""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from plantainsail.entry.mover import CopyResult
from plantainsail.entry.source import SourceError
from plantainsail.platform.mover import PlatformMover
from plantainsail.platform.store import PlatformStore
from plantainsail.results import Code
from plantainsail.upstreams.http import (
    UpstreamRequest,
    fetch,
    make_client,
    make_pooled_client,
)
from soak.fleet import free_address
from tests.standins.moving_engines import (
    CONTINUE,
    EVENTS,
    MovingEngines,
    Scenario,
)
from tests.standins.platform import Platform, call
from tests.standins.process import DaemonProcess
from tests.standins.raw_upstream import RawRequest, RawUpstream, framed
from tests.standins.routed import (
    SIGNATURE,
    CallerAnswer,
    ReceivedRequest,
    Serve,
    StandInCaller,
    StandInSource,
    StandInUpstream,
    answer,
    configuration,
    event,
    respond_with,
    start_entry,
)
from tests.standins.waiting import until
from tests.test_entry_process import EntryProcess
from tests.test_retries_reads import READ

# Each stands in the place of the status and the reason.
ODD_STATUSES = [
    b"000 Odd",
    b"00 Odd",
    b"20 OK",
    b"099 Odd",
    b"0200 OK",
    b"2000 OK",
    b"600 Odd",
    b"999 Odd",
    b"+200 OK",
    b"-200 OK",
    b"2O0 OK",
    b"abc OK",
    b"200OK",
    b"200.0 OK",
    b"2e2 OK",
    b"0x200 OK",
    b"2 0 0",
    b" OK",
    b"",
    "\u0662\u0660\u0660 OK".encode(),
    b"\xb2\xb0\xb0 OK",
    # These may only come before the final answer.
    b"100 Continue",
    b"101 Switching Protocols",
    b"199 Odd",
]
LENGTH = b"content-length: 4\r\n\r\ndone"
FRAMINGS = [
    LENGTH,
    b"transfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
    b"content-length: 0\r\n\r\n",
]
BODILESS = [b"204 No Content", b"304 Not Modified"]
OWN_FAILURES = (502, 503, 504)
SIGNATURE_NAME = "plantainsail-signature"
STREAM_HEADERS = {
    "plantainsail-tokens": "10,900",
    "plantainsail-length-hint": "400",
}
WHOLE = b"".join(event(number) for number in range(EVENTS))
FAR_S = 5.0


def odd_answer(status: bytes, rest: bytes = LENGTH) -> bytes:
    """Return a signed answer with this status line."""
    return b"HTTP/1.1 " + status + b"\r\n" + SIGNATURE + rest


def check_own_failure(got: CallerAnswer) -> None:
    """Assert that an answer is an unsigned failure of the daemon."""
    assert got.status in OWN_FAILURES
    assert SIGNATURE_NAME not in got.headers


class Closing:
    """Answers with prepared bytes and closes the connection."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.count = 0

    async def serve(
        self, _: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Write the answer."""
        self.count += 1
        writer.write(self.data)
        await writer.drain()


async def call_entry(
    data: bytes, target: str, *, has_other: bool = False
) -> CallerAnswer:
    """Call an entry daemon whose upstream gives this answer."""
    odd = StandInUpstream("u0", Closing(data).serve)
    good = StandInUpstream("u1", respond_with(answer(body=b"good")))
    upstreams = [odd, good] if has_other else [odd]
    entries = tuple([await one.start() for one in upstreams])
    daemon = await start_entry(StandInSource(configuration(), entries))
    try:
        await until(daemon.node.is_ready)
        # In a fleet of two, a repeat is within the budget.
        daemon.node.members.largest = 2
        async with asyncio.timeout(FAR_S):
            return await StandInCaller(daemon).call(target)
    finally:
        await daemon.stop()
        for one in upstreams:
            one.stop()


@pytest.mark.parametrize("target", ["/safe/x", "/once/x", "/stream/x"])
@pytest.mark.parametrize("status", ODD_STATUSES)
async def test_status_that_http_does_not_have_is_no_answer(
    status: bytes, target: str
) -> None:
    for framing in FRAMINGS:
        data = odd_answer(status, framing)
        check_own_failure(await call_entry(data, target))


@pytest.mark.parametrize("status", ODD_STATUSES)
async def test_idempotent_request_gets_the_answer_of_another_upstream(
    status: bytes,
) -> None:
    got = await call_entry(odd_answer(status), "/safe/x", has_other=True)
    assert (got.status, got.body) == (200, b"good")


@pytest.mark.parametrize("target", ["/safe/x", "/once/x", "/stream/x"])
async def test_answer_without_a_body_that_announces_one_is_no_answer(
    target: str,
) -> None:
    """Its signed head reached the caller without those bytes."""
    for framing in FRAMINGS[:2]:
        data = odd_answer(BODILESS[0], framing)
        check_own_failure(await call_entry(data, target))


@pytest.mark.parametrize("status", BODILESS)
async def test_answer_without_a_body_is_passed_on_without_one(
    status: bytes,
) -> None:
    odd = StandInUpstream("u0", Closing(odd_answer(status, b"\r\n")).serve)
    source = StandInSource(configuration(), (await odd.start(),))
    daemon = await start_entry(source)
    await until(daemon.node.is_ready)
    reader, writer = await StandInCaller(daemon).open("/safe/x")
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 " + status[:3])
    assert SIGNATURE in head
    assert b"transfer-encoding" not in head
    await daemon.stop()
    assert await reader.read() == b""
    writer.close()
    odd.stop()


def answer_continuations(engines: MovingEngines, status: bytes) -> None:
    """Let engines give each run that was moved to them this status."""
    odd = Closing(odd_answer(status)).serve

    def choose_by_header(usual: Serve) -> Serve:
        async def serve(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            is_moved = CONTINUE in request.headers
            await (odd if is_moved else usual)(request, writer)

        return serve

    for engine in engines.engines:
        engine.server.serve = choose_by_header(engine.serve)


@pytest.mark.parametrize("status", [b"000 Odd", b"2000 OK", BODILESS[0]])
async def test_odd_status_at_the_target_of_a_move_reaches_no_caller(
    status: bytes,
) -> None:
    engines = MovingEngines(Scenario())
    answer_continuations(engines, status)
    source = StandInSource(configuration(), await engines.start())
    daemon = await start_entry(source, engines)
    await until(daemon.node.is_ready)
    caller = StandInCaller(daemon)
    stream = asyncio.create_task(caller.call("/stream/x", STREAM_HEADERS))
    generations = daemon.stream.generations
    await until(lambda: any(one.event_count > 4 for one in list(generations)))
    for generation in list(generations):
        assert generation.upstream is not None
        source.put(generation.upstream._replace(is_draining=True))
    got = await stream
    await daemon.stop()
    engines.stop()
    assert got.status == 200
    assert WHOLE.startswith(got.body)
    assert not got.is_whole


@pytest.mark.parametrize("status", ODD_STATUSES)
async def test_odd_status_of_a_call_is_no_answer(status: bytes) -> None:
    server = StandInUpstream("e", respond_with(odd_answer(status)))
    await server.start()
    mover = PlatformMover()
    copied = await mover.copy_run(
        server.address, "r1", "127.0.0.1:9", is_final=True
    )
    assert copied == CopyResult(0)
    assert await mover.departure_status(server.address) is None
    with pytest.raises(SourceError):
        await PlatformStore(server.address).read_configuration()
    server.stop()


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", ODD_STATUSES)
async def test_clients_of_the_other_daemon_take_no_odd_status(
    status: bytes, framing: bytes
) -> None:
    def odd(request: RawRequest) -> bytes:
        number = f"x-request-id: {request.number}\r\n".encode()
        return b"HTTP/1.1 " + status + b"\r\n" + number + framing

    upstream = RawUpstream(odd)
    url = f"http://{await upstream.start()}/read"
    for client in (make_client(), make_pooled_client()):
        request = UpstreamRequest("POST", url, "ledger-1", "req-1", b"{}")
        got = await fetch(client, request, 1_000, 1.0, 1.0)
        assert got.is_error()
        assert got.error.code in (
            Code.UPSTREAM_GARBLED,
            Code.UPSTREAM_TIMEOUT,
            Code.UPSTREAM_TRUNCATED,
        )
    upstream.stop()


class OddReplicas:
    """Two replicas of which the first answers with an odd status."""

    def __init__(self) -> None:
        self.status = b"999 Odd"
        self.replicas = [RawUpstream(self.odd), RawUpstream(self.good)]

    def odd(self, request: RawRequest) -> bytes:
        """Return an answer that has the odd status."""
        return self.good(request).replace(b"200 OK", self.status)

    def good(self, request: RawRequest) -> bytes:
        """Return a complete answer."""
        return framed(request, b"{}", False)


@pytest.fixture
async def odd_replicas(platform: Platform) -> AsyncIterator[OddReplicas]:
    replicas = OddReplicas()
    platform.hosts.pop("service-1")
    for number, replica in enumerate(replicas.replicas, 1):
        platform.hosts[f"ledger-{number}"] = {
            "role": "service",
            "address": await replica.start(),
            "availability_zone": "zone-1",
            "services": ["ledger"],
        }
    platform.publish_hosts()
    yield replicas
    for replica in replicas.replicas:
        replica.stop()


async def test_process_of_the_other_daemon_passes_on_no_odd_status(
    platform: Platform, odd_replicas: OddReplicas, tmp_path: Path
) -> None:
    settings = platform.settings(1, free_address())._replace(
        caller_address=free_address(), operator_address=free_address()
    )
    process = DaemonProcess(settings, tmp_path)
    await process.start()
    for status in (b"000 Odd", b"600 Odd", b"2000 OK", b"0200 OK"):
        odd_replicas.status = status
        for _ in range(6):
            got = await call(settings.caller_address, "POST", READ, b"{}")
            assert got.status in (200, *OWN_FAILURES, 429)
            if got.status == 200:
                assert got.body == b"{}"
    await process.end()
    assert odd_replicas.replicas[0].requests


async def test_process_of_the_entry_daemon_passes_on_no_odd_status(
    tmp_path: Path,
) -> None:
    for status in (b"000 Odd", b"600 Odd", b"2000 OK", b"100 Continue"):
        odd = StandInUpstream("u0", Closing(odd_answer(status)).serve)
        await odd.start()
        entry = EntryProcess(tmp_path, odd)
        entry.publish(1)
        await entry.start()
        for path in ("/safe/x", "/once/x", "/stream/x"):
            got, _ = await entry.read(entry.settings.caller_address, path)
            assert got in OWN_FAILURES
        assert odd.received_requests
        assert entry.process is not None
        entry.process.kill()
        await entry.process.communicate()
        odd.stop()
