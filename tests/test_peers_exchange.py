"""Heartbeats over one long call, and peers that lack that call.

A late reply must not be matched to a later heartbeat, and a call that
the peer ends must fail the exchange, not cancel the task that waits.
"""

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
    call_error,
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
    """A heartbeat handler that returns each message unchanged."""

    list_parts: PartSource | None = None

    def __init__(self) -> None:
        self.received_messages: list[HeartbeatMessage] = []

    def answer(self, message: HeartbeatMessage) -> HeartbeatMessage:
        self.received_messages.append(message)
        return message

    def count_refused(self, reason: str) -> None:
        raise AssertionError(reason)


class SlowService(FleetService):
    """Delays its replies while `is_delayed` is true."""

    is_delayed = False
    server: Any = None

    async def Exchange(  # noqa: N802
        self, request_iterator: Any, context: Any
    ) -> AsyncIterator[HeartbeatMessage]:
        async for reply in super().Exchange(request_iterator, context):
            while self.is_delayed:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            yield reply


class OlderService(FleetService):
    """Rejects long calls, like a peer of an older version."""

    async def Exchange(  # noqa: N802
        self, request_iterator: Any, context: Any
    ) -> AsyncIterator[HeartbeatMessage]:
        await context.abort(grpc.StatusCode.UNIMPLEMENTED, "unknown")
        yield HeartbeatMessage()


ServePeer = Callable[[type[FleetService]], Any]


@pytest.fixture
async def forwarder() -> AsyncIterator[Forwarder]:
    running = Forwarder()
    await running.start()
    yield running
    await running.stop()


@pytest.fixture
async def peer() -> AsyncIterator[ServePeer]:
    """Return a function that serves a service on a free port.

    The function returns the service, its echo and its address.
    """
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


async def test_messages_arrive_and_return_unchanged(
    peer: ServePeer,
) -> None:
    _, echo, address = await peer(FleetService)
    links = PeerLinks()
    for number in range(3):
        reply = await links.heartbeat(address, heartbeat(number))
        assert reply == heartbeat(number)
    assert echo.received_messages == [heartbeat(n) for n in range(3)]
    await links.close()


async def test_late_reply_is_not_matched_to_a_later_message(
    peer: ServePeer,
) -> None:
    service, _, address = await peer(SlowService)
    links = PeerLinks()
    await links.heartbeat(address, heartbeat(1))
    service.is_delayed = True
    with pytest.raises(grpc.RpcError) as failure:
        await links.heartbeat(address, heartbeat(2))
    assert failure.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED
    service.is_delayed = False
    assert await links.heartbeat(address, heartbeat(3)) == heartbeat(3)
    await links.close()


async def test_peer_without_long_calls_gets_single_calls(
    peer: ServePeer,
) -> None:
    _, echo, address = await peer(OlderService)
    links = PeerLinks()
    for number in range(2):
        reply = await links.heartbeat(address, heartbeat(number))
        assert reply == heartbeat(number)
    assert links.links[address].lacks_exchange_call
    assert len(echo.received_messages) == 2
    await links.close()


class FailingStream:
    """A long call that ends while its first message is written."""

    is_open = True

    async def exchange(self, _: HeartbeatMessage) -> HeartbeatMessage:
        raise call_error(grpc.StatusCode.INTERNAL, "Internal error from Core")


async def test_a_long_call_that_ends_while_written_is_a_single_call(
    peer: ServePeer,
) -> None:
    """GRPC then reports an internal error in place of UNIMPLEMENTED."""
    _, echo, address = await peer(OlderService)
    links = PeerLinks()
    link = links._link(address)
    link.stream = FailingStream()  # type: ignore[assignment]
    assert await links.heartbeat(address, heartbeat(0)) == heartbeat(0)
    assert not link.lacks_exchange_call
    link.stream = None
    assert await links.heartbeat(address, heartbeat(1)) == heartbeat(1)
    assert link.lacks_exchange_call
    assert len(echo.received_messages) == 2
    await links.close()


async def test_exchange_fails_when_the_peer_stops_at_once(
    peer: ServePeer,
) -> None:
    """The library raises `CancelledError` without a cancelled task."""
    service, _, address = await peer(SlowService)
    links = PeerLinks()
    await links.heartbeat(address, heartbeat(1))
    service.is_delayed = True
    asking = asyncio.create_task(links.heartbeat(address, heartbeat(2)))
    await asyncio.sleep(0.1)
    await service.server.stop(None)
    with pytest.raises(grpc.RpcError):
        await asking
    await links.close()


async def test_long_call_does_not_delay_a_leaving_daemon(
    daemon: Daemon, platform: Platform
) -> None:
    second = await start_daemon(platform.settings(2))
    contact = Contact(second.node.incarnation.address)
    assert await daemon.fleet.exchange(contact)
    async with asyncio.timeout(LIMIT_S):
        await second.stop(STOP_GRACE_S)
    assert second.node.life_cycle.state == "left"
    assert not await daemon.fleet.exchange(contact)


class EndRecordingService(FleetService):
    """Records when its long call has ended."""

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


async def test_listener_ends_the_long_call_of_a_silent_peer(
    daemon: Daemon, forwarder: Forwarder
) -> None:
    service = EndRecordingService(Echo())
    server = PeerServer("127.0.0.1:0", daemon.node.signer)
    await server.start([service.register])
    forwarder.target = server.address
    # This channel has no keepalive, so only the listener can detect
    # the silence.
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
def test_decompressing_restores_each_compressed_message(
    fields: list[tuple[int | None, int | None, int | None, int]],
) -> None:
    sent = HeartbeatCompressor()
    received = HeartbeatCompressor()
    for number, (echo, digest, receiver, nonce) in enumerate(fields):
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
        serialized = sent.compress(message).SerializeToString()
        arrived = received.decompress(HeartbeatMessage.FromString(serialized))
        assert arrived == message
        assert len(serialized) <= message.ByteSize()
