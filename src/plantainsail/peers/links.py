"""gRPC connections to other daemons.

A connection can go silent for good: packets are lost while the socket
stays open.  A heartbeat without an answer is therefore sent again on a
second connection, and the connection that answers first carries all
later calls.
"""

import asyncio
from typing import Any

import grpc

from plantainsail.peers.credentials import (
    StreamTokenInterceptor,
    TlsStore,
    UnaryTokenInterceptor,
)
from plantainsail.peers.exchange_stream import ExchangeStream, call_error
from plantainsail.peers.wire.fleet_pb2 import HeartbeatMessage
from plantainsail.peers.wire.fleet_pb2_grpc import FleetStub

Channel = Any

CALL_DEADLINE_S = 0.8
SECOND_CONNECTION_AFTER_S = 0.4
RETIRED_GRACE_S = 600.0

CHANNEL_OPTIONS = (
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
    ("grpc.http2.bdp_probe", 0),
    # Heartbeats are more frequent, so a working connection sends no
    # pings.
    ("grpc.keepalive_time_ms", 1_300),
    ("grpc.keepalive_timeout_ms", 700),
    # Without this, a connection whose keepalive ping stays unanswered
    # is only closed after a minute.
    ("grpc.http2.ping_timeout_ms", 700),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.min_reconnect_backoff_ms", 1_000),
    ("grpc.max_reconnect_backoff_ms", 2_000),
)


# A peer without the call answers the first code.  If its answer comes
# while the first message is written, gRPC reports the second one.
NO_EXCHANGE_CODES = frozenset(
    {grpc.StatusCode.UNIMPLEMENTED, grpc.StatusCode.INTERNAL}
)


class PeerLink:
    """The current connection to one peer.

    `has_answered` tells whether the connection ever carried an answer.
    Only then is a second connection opened when it goes silent.
    """

    def __init__(self, channel: Channel, token: str) -> None:
        self.channel = channel
        self.token = token
        self.stub = FleetStub(channel)  # type: ignore[no-untyped-call]
        self.stream: ExchangeStream | None = None
        self.lacks_exchange_call = False
        self.has_answered = False

    async def exchange(self, message: HeartbeatMessage) -> HeartbeatMessage:
        """Return the reply to a heartbeat.

        The heartbeat is sent on the long `Exchange` call, or by a
        `Heartbeat` call if the peer's older version lacks `Exchange`.
        """
        is_lacking = self.lacks_exchange_call
        if not is_lacking:
            try:
                return await self._open_stream().exchange(message)
            except grpc.RpcError as error:
                if error.code() not in NO_EXCHANGE_CODES:
                    raise
                is_lacking = error.code() is grpc.StatusCode.UNIMPLEMENTED
        try:
            reply: HeartbeatMessage = await self.stub.Heartbeat(
                message, timeout=CALL_DEADLINE_S
            )
        except grpc.RpcError:
            # The peer may come back with a version that has `Exchange`.
            self.lacks_exchange_call = False
            raise
        self.lacks_exchange_call = is_lacking
        return reply

    async def close(self, grace_s: float | None) -> None:
        """Close the connection after its calls or the grace time."""
        if self.stream is not None:
            self.stream.retire()
        await self.channel.close(grace_s)

    def _open_stream(self) -> ExchangeStream:
        if self.stream is None or not self.stream.is_open:
            self.stream = ExchangeStream(self.stub, self.token)
        return self.stream


class PeerLinks:
    """Keeps a connection to each peer address.

    `token` is sent with every call.  `replaced` counts the connections
    that were replaced by a second one.
    """

    def __init__(self, token: str = "", tls: TlsStore | None = None) -> None:
        self.token = token
        self.tls = tls
        self.links: dict[str, PeerLink] = {}
        self.closing_tasks: set[asyncio.Task[None]] = set()
        self.replaced = 0

    def channel(self, address: str) -> Channel:
        """Return the channel to a peer; open it if there is none."""
        return self._link(address).channel

    async def heartbeat(
        self, address: str, message: HeartbeatMessage
    ) -> HeartbeatMessage:
        """Return a peer's reply, or raise `grpc.RpcError`."""
        link = self._link(address)
        first_call = asyncio.create_task(_call(link, message))
        try:
            await asyncio.wait([first_call], timeout=SECOND_CONNECTION_AFTER_S)
            if first_call.done() or not link.has_answered:
                return await first_call
            return await self._call_on_second_link(
                address, link, first_call, message
            )
        finally:
            first_call.cancel()

    async def _call_on_second_link(
        self,
        address: str,
        link: PeerLink,
        first_call: asyncio.Task[HeartbeatMessage],
        message: HeartbeatMessage,
    ) -> HeartbeatMessage:
        """Resend on a second connection; keep the one that answers."""
        second_link = self._open(address)
        second_call = asyncio.create_task(_call(second_link, message))
        pending: set[asyncio.Task[HeartbeatMessage]] = {
            first_call,
            second_call,
        }
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                if any(_has_reply(task) for task in done):
                    break
            if _has_reply(first_call):
                self._retire(second_link)
                return first_call.result()
            reply = await second_call
        except BaseException:
            self._retire(second_link)
            raise
        finally:
            second_call.cancel()
        if self.links.get(address) is link:
            self.links[address] = second_link
            self.replaced += 1
            self._retire(link)
        return reply

    def reload(self) -> None:
        """Replace all connections, to use the new certificates."""
        for link in self.links.values():
            self._retire(link)
        self.links.clear()

    def forget(self, address: str) -> None:
        """Drop the connection to a peer; close it after its calls."""
        link = self.links.pop(address, None)
        if link is not None:
            self._retire(link)

    async def close(self) -> None:
        """Close all connections at once."""
        for task in self.closing_tasks:
            task.cancel()
        for link in self.links.values():
            await link.close(None)
        self.links.clear()

    def _link(self, address: str) -> PeerLink:
        link = self.links.get(address)
        if link is None:
            link = self._open(address)
            self.links[address] = link
        return link

    def _open(self, address: str) -> PeerLink:
        interceptors = [
            UnaryTokenInterceptor(self.token),
            StreamTokenInterceptor(self.token),
        ]
        if self.tls is None:
            return PeerLink(
                grpc.aio.insecure_channel(
                    address,
                    options=CHANNEL_OPTIONS,
                    interceptors=interceptors,
                ),
                self.token,
            )
        return PeerLink(
            grpc.aio.secure_channel(
                address,
                self.tls.channel_credentials(),
                options=CHANNEL_OPTIONS,
                interceptors=interceptors,
            ),
            self.token,
        )

    def _retire(self, link: PeerLink) -> None:
        """Close a connection in the background, after its calls.

        On a silent connection, keepalive ends the calls.
        """
        task = asyncio.create_task(link.close(RETIRED_GRACE_S))
        self.closing_tasks.add(task)
        task.add_done_callback(self.closing_tasks.discard)


def _has_reply(task: asyncio.Task[HeartbeatMessage]) -> bool:
    if not task.done() or task.cancelled():
        return False
    return task.exception() is None


async def _call(link: PeerLink, message: HeartbeatMessage) -> HeartbeatMessage:
    try:
        async with asyncio.timeout(CALL_DEADLINE_S):
            reply = await link.exchange(message)
    except TimeoutError as error:
        raise call_error(
            grpc.StatusCode.DEADLINE_EXCEEDED, "no reply in time"
        ) from error
    link.has_answered = True
    return reply
