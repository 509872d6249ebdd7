"""A planned stop under load answers every request that it accepted.

Closing a connection whose request is still in a buffer of the kernel
resets it, so the caller gets no answer and can't know whether the
request ran.
"""

import asyncio
import socket
import threading
from collections.abc import AsyncIterator

import pytest

from plantainsail.clock import ManualClock
from plantainsail.entry import daemon as entry_daemon
from plantainsail.entry.daemon import EntryDaemon
from tests.standins.routed import (
    StandInCaller,
    StandInSource,
    StandInUpstream,
    answer,
    configuration,
    read_answer,
    respond_with,
    start_entry,
)
from tests.standins.waiting import until

CALLERS = 40
REQUEST = (
    b"POST /once/x HTTP/1.1\r\nhost: example.org\r\n"
    b"plantainsail-request-id: r%d\r\ncontent-length: 0\r\n\r\n"
)


@pytest.fixture
async def daemon(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[EntryDaemon]:
    monkeypatch.setattr(entry_daemon, "BALANCER_DELAY_S", 0.0)
    upstream = StandInUpstream("u0", respond_with(answer()))
    source = StandInSource(configuration(), (await upstream.start(),))
    started = await start_entry(source)
    await until(started.node.is_ready)
    yield started
    await started.stop()
    upstream.stop()


async def drain(daemon: EntryDaemon) -> None:
    """Do what a process does after SIGTERM."""
    daemon.leave()
    await daemon._wait_for_running_work()
    await daemon.stop()


async def check_answered_while_draining(
    daemon: EntryDaemon,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    request: bytes,
) -> None:
    """Send what is left of a request once the listener is closed."""
    draining = asyncio.create_task(drain(daemon))
    await until(lambda: not daemon.callers.servers[0].is_serving())
    writer.write(request)
    assert (await read_answer(reader)).status == 200
    await draining
    writer.close()


async def test_request_on_a_new_connection_is_answered(
    daemon: EntryDaemon,
) -> None:
    """The connection was accepted, and its request is on its way."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", daemon.callers.port
    )
    await until(lambda: bool(daemon.callers.server.server_state.connections))
    await check_answered_while_draining(daemon, reader, writer, REQUEST % 1)


async def test_request_in_a_socket_buffer_is_answered(
    daemon: EntryDaemon,
) -> None:
    """Requests arrive while the event loop is busy with other work."""
    connections = []
    for number in range(CALLERS):
        connection = await StandInCaller(daemon).open("/once/x")
        assert (await read_answer(connection[0])).status == 200
        connections.append((number, *connection))
    for number, _, writer in connections:
        writer.write(REQUEST % number)
    # The bytes lie in the daemon's sockets, as the loop has not run.
    daemon.callers.close_idle()
    for _, reader, writer in connections:
        assert (await read_answer(reader)).status == 200
        writer.close()


async def test_begun_request_is_answered(daemon: EntryDaemon) -> None:
    reader, writer = await StandInCaller(daemon).open("/once/x")
    assert (await read_answer(reader)).status == 200
    writer.write((REQUEST % 1)[:30])
    await until(
        lambda: any(
            connection.head_timer is not None  # type: ignore[union-attr]
            for connection in daemon.callers.server.server_state.connections
        )
    )
    await check_answered_while_draining(
        daemon, reader, writer, (REQUEST % 1)[30:]
    )


async def test_connections_in_the_backlog_are_served(
    daemon: EntryDaemon,
) -> None:
    """Callers connected while the daemon's event loop did not run."""

    def connect_all() -> list[bytes]:
        sockets = []
        for number in range(CALLERS):
            sock = socket.create_connection(
                ("127.0.0.1", daemon.callers.port), 10
            )
            sock.sendall(REQUEST % number)
            sockets.append(sock)
        # The loop is held up, so nothing was accepted yet.
        held.set()
        heads = [sock.recv(12) for sock in sockets]
        for sock in sockets:
            sock.close()
        return heads

    held = threading.Event()
    loop = asyncio.get_running_loop()
    calls = loop.run_in_executor(None, connect_all)
    draining = asyncio.create_task(drain(daemon))
    held.wait()
    assert set(await calls) == {b"HTTP/1.1 200"}
    await draining


async def test_idle_connections_are_closed(daemon: EntryDaemon) -> None:
    reader, writer = await StandInCaller(daemon).open("/once/x")
    assert (await read_answer(reader)).status == 200
    await drain(daemon)
    assert await reader.read() == b""
    writer.close()


@pytest.mark.parametrize("path", ["/once/x", "/safe/x"])
async def test_a_late_request_that_may_outlast_the_grace_period_is_refused(
    path: str,
) -> None:
    """It would be cut off without an answer as the process ends."""
    upstream = StandInUpstream("u0", respond_with(answer()))
    source = StandInSource(configuration(), (await upstream.start(),))
    daemon = await start_entry(source)
    await until(daemon.node.is_ready)
    caller = StandInCaller(daemon)
    clock = ManualClock(daemon.node.now_s())
    daemon.node.clock = clock
    daemon.leave()
    assert (await caller.call(path)).status == 200
    # The grace period is 8 s, and the route's timeout 5 s.
    clock.advance(3.5)
    late = await caller.call(path)
    assert late.status == 503
    assert late.headers["plantainsail-outcome"] == "not_run"
    assert "retry-after" in late.headers
    assert len(upstream.received_requests) == 1
    assert (await caller.call("/short/x")).status == 200
    await daemon.stop()
    upstream.stop()
