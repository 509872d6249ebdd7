"""A cancelled call ends its task at whichever step it is cancelled.

`asyncio.wait_for` of Python 3.11 swallows a cancellation if the result
is ready in the same step of the event loop; the task then goes on.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from plantainsail.daemon import Daemon
from plantainsail.lists.model import HostEntry, Role
from plantainsail.lists.store import ListStore
from plantainsail.peers.credentials import make_token
from plantainsail.peers.links import PeerLinks
from plantainsail.peers.messages import make_heartbeat
from plantainsail.runtime.list_reader import ListReader
from plantainsail.settings import TimeLimits
from plantainsail.upstreams.engine_reports import HttpReportClient
from plantainsail.upstreams.http import make_client
from tests.standins.config_service import ConfigService
from tests.standins.engine import Engine

MAX_STEPS = 120
ROUNDS = 8

Call = Callable[[], Awaitable[object]]


async def count_swallowed(call: Call) -> int:
    """Cancel a call after each number of event loop steps.

    Returns how many of the cancellations were swallowed.
    """
    swallowed = 0
    for steps in range(MAX_STEPS):
        task = asyncio.ensure_future(call())
        for _ in range(steps):
            await asyncio.sleep(0)
        if task.done() or not task.cancel():
            continue
        await asyncio.wait([task])
        swallowed += not task.cancelled()
    return swallowed


@pytest.fixture
async def config() -> AsyncIterator[ConfigService]:
    service = ConfigService()
    await service.listener.start()
    service.publish("lists/index", {"revision": 1, "parts": {}})
    yield service
    await service.stop()


async def ignore_announcement(*_: object) -> None:
    return None


async def test_cancelled_list_read_always_ends(
    config: ConfigService,
) -> None:
    client = make_client()
    reader = ListReader(
        config.url, client, ListStore(), lambda: 0.0, ignore_announcement
    )
    for _ in range(ROUNDS):
        assert await count_swallowed(lambda: reader.read("lists/index")) == 0
    await client.aclose()


async def test_cancelled_engine_call_always_ends() -> None:
    engine = Engine()
    await engine.listener.start()
    entry = HostEntry("e0", Role.ENGINE, engine.listener.address, "z")
    client = make_client()
    reports = HttpReportClient(client, TimeLimits())
    for _ in range(ROUNDS):
        assert await count_swallowed(lambda: reports.load(entry)) == 0
    await client.aclose()
    await engine.listener.stop()


async def test_cancelled_peer_call_always_ends(
    fleet: list[Daemon],
) -> None:
    caller, answering, _ = fleet
    address = answering.node.incarnation.address
    message = make_heartbeat(caller.node.incarnation, False, False)
    links = PeerLinks(make_token(caller.node.signer, caller.node.incarnation))
    for _ in range(ROUNDS):
        swallowed = await count_swallowed(
            lambda: links.heartbeat(address, message)
        )
        assert swallowed == 0
    await links.close()
