"""A connection between daemons that goes silent while it stays open.

Its packets are lost without an error.  It must be replaced before the
peer is taken for dead, and calls without a deadline must not hang.
"""

import asyncio
from collections.abc import AsyncIterator

import grpc
import pytest

from plantainsail.daemon import Daemon
from plantainsail.lists.model import HostEntry, HostList, Role
from plantainsail.membership.view import PeerState
from plantainsail.runtime.contact import Contact
from tests.standins.forwarder import Forwarder
from tests.standins.platform import Platform, start_daemon

# The first exchange on the silent connection replaces it.
EXCHANGES_UNTIL_REPLACED = 1


@pytest.fixture
async def forwarder() -> AsyncIterator[Forwarder]:
    running = Forwarder()
    await running.start()
    yield running
    await running.stop()


@pytest.fixture
async def far_daemon(platform: Platform) -> AsyncIterator[Daemon]:
    running = await start_daemon(platform.settings(2))
    yield running
    await running.stop()


async def test_silent_connection_is_replaced_by_the_next_exchange(
    daemon: Daemon, far_daemon: Daemon, forwarder: Forwarder
) -> None:
    forwarder.target = far_daemon.node.incarnation.address
    links = daemon.node.links
    contact = Contact(forwarder.address)
    assert await daemon.fleet.exchange(contact)
    old_channel = links.channel(forwarder.address)
    forwarder.silence()
    assert await daemon.fleet.exchange(contact)
    assert links.replaced == 1
    assert forwarder.opened == 2
    assert forwarder.silent_writes > 0
    assert links.channel(forwarder.address) is not old_channel
    peers = daemon.node.peers.peers(daemon.node.now_s())
    assert [p.state for p in peers] == [PeerState.ALIVE]


async def test_calls_on_the_silent_connection_end_by_keepalive(
    daemon: Daemon, far_daemon: Daemon, forwarder: Forwarder
) -> None:
    """A call without a deadline fails instead of waiting for ever."""
    forwarder.target = far_daemon.node.incarnation.address
    contact = Contact(forwarder.address)
    assert await daemon.fleet.exchange(contact)
    channel = daemon.node.links.channel(forwarder.address)
    forwarder.silence()
    waiting = channel.unary_unary("/plantainsail.fleet.Fleet/Heartbeat")(b"")
    with pytest.raises(grpc.RpcError) as failure:
        async with asyncio.timeout(30.0):
            await waiting
    assert failure.value.code() is grpc.StatusCode.UNAVAILABLE


async def test_peer_that_never_answered_gets_no_second_connection(
    daemon: Daemon, forwarder: Forwarder
) -> None:
    """Without an earlier answer, the peer may just be slow."""
    sink = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    address = f"127.0.0.1:{sink.sockets[0].getsockname()[1]}"
    assert not await daemon.fleet.exchange(Contact(address))
    assert daemon.node.links.replaced == 0
    sink.close()


async def test_heartbeats_replace_the_silent_connection(
    platform: Platform, forwarder: Forwarder
) -> None:
    """The daemons' own heartbeat tasks replace the connection."""
    first = await start_daemon(platform.settings(1))
    second = await start_daemon(platform.settings(2))
    forwarder.target = second.node.incarnation.address
    entry = HostEntry("entry-2", Role.ENTRY, forwarder.address, "zone-2")
    first.fleet.own_entry = first.fleet.own_entry._replace(address="0")
    first.node.store.offer_hosts(
        HostList(99, {**first.node.store.hosts.hosts, "entry-2": entry})
    )
    answered = first.node.metrics.heartbeats.labels("answered")

    async def wait_for_answers(count: int) -> None:
        goal = answered._value.get() + count
        async with asyncio.timeout(30.0):
            while answered._value.get() < goal:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    await wait_for_answers(2)
    forwarder.silence()
    await wait_for_answers(EXCHANGES_UNTIL_REPLACED + 1)
    assert first.node.links.replaced == 1
    states = {p.state for p in first.node.peers.peers(first.node.now_s())}
    assert PeerState.DEAD not in states
    await asyncio.gather(first.stop(), second.stop())
