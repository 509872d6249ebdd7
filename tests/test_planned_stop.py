"""A daemon that stops answers requests on their way to it.

Its listener closes at once, and connections that were accepted before
may carry requests that the daemon has not read yet.
"""

import asyncio

from plantainsail.daemon import Daemon
from tests.standins.platform import Platform, start_daemon

REQUEST = b"GET /readyz HTTP/1.1\r\nhost: daemon\r\n\r\n"
STATUS_LINE = b"HTTP/1.1 503"


async def connect(
    daemon: Daemon,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(
        "127.0.0.1", daemon.caller_listener.port
    )


async def until_stopping(daemon: Daemon) -> None:
    (server,) = daemon.caller_listener.server.servers
    while server.is_serving():  # noqa: ASYNC110
        await asyncio.sleep(0.01)


async def test_request_on_a_new_connection_is_answered(
    platform: Platform,
) -> None:
    daemon = await start_daemon(platform.settings())
    reader, writer = await connect(daemon)
    connections = daemon.caller_listener.server.server_state.connections
    while not connections:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    stopping = asyncio.create_task(daemon.stop())
    await until_stopping(daemon)
    writer.write(REQUEST)
    assert (await reader.read()).startswith(STATUS_LINE)
    await stopping
    writer.close()


async def test_begun_request_on_a_kept_connection_is_answered(
    platform: Platform,
) -> None:
    daemon = await start_daemon(platform.settings())
    reader, writer = await connect(daemon)
    writer.write(REQUEST)
    await reader.readuntil(b"\r\n\r\n")
    writer.write(REQUEST[:20])
    await writer.drain()
    stopping = asyncio.create_task(daemon.stop())
    await until_stopping(daemon)
    writer.write(REQUEST[20:])
    assert STATUS_LINE in await reader.read()
    await stopping
    writer.close()
