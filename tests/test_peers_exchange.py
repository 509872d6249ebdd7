"""Heartbeats over one long call: order, ends, and older peers."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc
import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainsail.daemon import Daemon
from plantainsail.identity import Incarnation
from plantainsail.peers.exchange_stream import (
    ExchangeStream,
    HeartbeatCompressor,
)
from plantainsail.peers.fleet_service import FleetService, PartSource
from plantainsail.peers.links import PeerLinks
from plantainsail.peers.messages import make_heartbeat
from plantainsail.peers.server import PeerServer
from plantainsail.peers.wire.fleet_pb2 import HeartbeatMessage
from plantainsail.peers.wire.fleet_pb2_grpc import FleetStub
from plantainsail.runtime.contact import Contact
from tests.standins.forwarder import Forwarder
from tests.standins.platform import Platform, start_daemon

LIMIT_S = 20.0
SENDER = Incarnation("127.0.0.1:1", 1)
STOP_GRACE_S = 600.0


class Echo:
    """Answers with what it got."""

    list_parts: PartSource | None = None

    def __init__(self) -> None:
        self.heard: list[HeartbeatMessage] = []

    def answer(self, message: HeartbeatMessage) -> HeartbeatMessage:
        self.heard.append(message)
        return message

    def count_refused(self, reason: str) -> None:
        raise AssertionError(reason)


class SlowService(FleetService):
    """Holds back its answers while told to."""

    held = False
    server: Any = None

    async def Exchange(  # noqa: N802
        self, request_iterator: Any, context: Any
    ) -> AsyncIterator[HeartbeatMessage]:
        async for reply in super().Exchange(request_iterator, context):
            while self.held:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            yield reply


class OlderService(FleetService):
    """Knows no long calls."""

    async def Exchange(  # noqa: N802
        self, request_iterator: Any, context: Any
    ) -> AsyncIterator[HeartbeatMessage]:
        await context.abort(grpc.StatusCode.UNIMPLEMENTED, "unknown")
        yield HeartbeatMessage()


Make = Callable[[type[FleetService]], Any]


@pytest.fixture
async def forwarder() -> AsyncIterator[Forwarder]:
    running = Forwarder()
    await running.start()
    yield running
    await running.stop()


@pytest.fixture
async def peer() -> AsyncIterator[Make]:
    """Serve a service; return it with its echo and its address."""
    servers = []

    async def serve(kind: type[FleetService]) -> Any:
        server = grpc.aio.server()
        echo = Echo()
        service: Any = kind(echo, echo)
        service.register(server)
        service.server = server
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        servers.append(server)
        return service, echo, f"127.0.0.1:{port}"

    yield serve
    for server in servers:
        await server.stop(None)


def heartbeat(lists_revision: int) -> HeartbeatMessage:
    message = make_heartbeat(SENDER, is_draining=False, is_unsure=False)
    message.freshness.lists_revision = lists_revision
    return message


async def test_each_message_is_heard_whole_and_written_short(
    peer: Make,
) -> None:
    _, echo, address = await peer(FleetService)
    links = PeerLinks()
    for number in range(3):
        reply = await links.heartbeat(address, heartbeat(number))
        assert reply == heartbeat(number)
    assert echo.heard == [heartbeat(n) for n in range(3)]
    await links.close()


async def test_a_late_reply_answers_no_later_message(peer: Make) -> None:
    service, _, address = await peer(SlowService)
    links = PeerLinks()
    await links.heartbeat(address, heartbeat(1))
    service.held = True
    with pytest.raises(grpc.RpcError) as failure:
        await links.heartbeat(address, heartbeat(2))
    assert failure.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED
    service.held = False
    assert await links.heartbeat(address, heartbeat(3)) == heartbeat(3)
    await links.close()


async def test_an_older_peer_is_asked_by_single_calls(peer: Make) -> None:
    _, echo, address = await peer(OlderService)
    links = PeerLinks()
    for number in range(2):
        reply = await links.heartbeat(address, heartbeat(number))
        assert reply == heartbeat(number)
    assert links.links[address].lacks_exchange_call
    assert len(echo.heard) == 2
    await links.close()


async def test_a_peer_that_stops_at_once_fails_the_exchange(
    peer: Make,
) -> None:
    """It must not look as if the asking task were cancelled."""
    service, _, address = await peer(SlowService)
    links = PeerLinks()
    await links.heartbeat(address, heartbeat(1))
    service.held = True
    asking = asyncio.create_task(links.heartbeat(address, heartbeat(2)))
    await asyncio.sleep(0.1)
    await service.server.stop(None)
    with pytest.raises(grpc.RpcError):
        await asking
    await links.close()


async def test_long_calls_do_not_hold_up_a_daemon_that_leaves(
    daemon: Daemon, platform: Platform
) -> None:
    second = await start_daemon(platform.settings(2))
    contact = Contact(second.node.incarnation.address)
    assert await daemon.fleet.exchange(contact)
    async with asyncio.timeout(LIMIT_S):
        await second.stop(STOP_GRACE_S)
    assert second.node.life_cycle.state == "left"
    assert not await daemon.fleet.exchange(contact)


class WatchedService(FleetService):
    """Notes the end of a long call."""

    def __init__(self, echo: Echo) -> None:
        super().__init__(echo, echo)
        self.ended = asyncio.Event()

    async def Exchange(  # noqa: N802
        self, request_iterator: Any, context: Any
    ) -> AsyncIterator[HeartbeatMessage]:
        try:
            async for reply in super().Exchange(request_iterator, context):
                yield reply
        finally:
            self.ended.set()


async def test_the_long_call_of_a_silent_peer_ends(
    daemon: Daemon, forwarder: Forwarder
) -> None:
    service = WatchedService(Echo())
    server = PeerServer("127.0.0.1:0", daemon.node.signer)
    await server.start([service.register])
    forwarder.target = server.address
    # This side has no keepalive, so only the listener can find out.
    channel = grpc.aio.insecure_channel(forwarder.address)
    stub = FleetStub(channel)  # type: ignore[no-untyped-call]
    stream = ExchangeStream(stub, daemon.node.links.token)
    await stream.exchange(heartbeat(1))
    forwarder.silence()
    async with asyncio.timeout(LIMIT_S):
        await service.ended.wait()
    stream.retire()
    await channel.close()
    await server.stop(0.0)


MESSAGES = st.lists(
    st.tuples(*[st.none() | st.integers(0, 2)] * 3, st.integers(1, 2)),
    max_size=12,
)


@given(MESSAGES)
def test_what_is_left_out_comes_back(
    drawn: list[tuple[int | None, int | None, int | None, int]],
) -> None:
    sent = HeartbeatCompressor()
    received = HeartbeatCompressor()
    for number, (echo, digest, receiver, nonce) in enumerate(drawn):
        message = heartbeat(number)
        message.sender.nonce = nonce
        if echo is not None:
            message.timing.echo_nonce = echo
            message.timing.sent_ms = number
        if digest is not None:
            message.zone_ages.zones_digest = digest
        if receiver is not None:
            message.crowd.receiver_nonce = receiver
            message.crowd.stamp_ms = number
        written = sent.compress(message).SerializeToString()
        arrived = received.decompress(HeartbeatMessage.FromString(written))
        assert arrived == message
        assert len(written) <= message.ByteSize()
