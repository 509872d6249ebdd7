"""gRPC connections to other daemons.

A connection can go silent for good: packets vanish while the socket
stays open.  A heartbeat that stays without an answer is sent again on
a second connection beside the first, and whichever answers carries all
calls from then on.
"""

import asyncio
from typing import Any

import grpc

from plantainsail.peers.credentials import (
    TlsStore,
    TokenCall,
    TokenStream,
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
    # Heartbeats keep a sound connection from ever needing a ping.
    ("grpc.keepalive_time_ms", 1_300),
    ("grpc.keepalive_timeout_ms", 700),
    # Without it an unanswered keepalive ping ends nothing for a minute.
    ("grpc.http2.ping_timeout_ms", 700),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.min_reconnect_backoff_ms", 1_000),
    ("grpc.max_reconnect_backoff_ms", 2_000),
)


class PeerLink:
    """The present connection to one peer.

    `has_answered` tells whether the connection ever carried an answer;
    only then is its silence worth a second one.
    """

    def __init__(self, channel: Channel, token: str) -> None:
        self.channel = channel
        self.token = token
        self.stub = FleetStub(channel)  # type: ignore[no-untyped-call]
        self.stream: ExchangeStream | None = None
        self.lacks_exchange_call = False
        self.has_answered = False

    async def exchange(self, message: HeartbeatMessage) -> HeartbeatMessage:
        """Return a reply over the long call, or over one of its own.

        A peer of an older version knows no long calls.
        """
        if not self.lacks_exchange_call:
            try:
                return await self._open_stream().exchange(message)
            except grpc.RpcError as error:
                if error.code() is not grpc.StatusCode.UNIMPLEMENTED:
                    raise
        try:
            reply: HeartbeatMessage = await self.stub.Heartbeat(
                message, timeout=CALL_DEADLINE_S
            )
        except grpc.RpcError:
            # What answers next may be of a newer version.
            self.lacks_exchange_call = False
            raise
        self.lacks_exchange_call = True
        return reply

    async def close(self, grace_s: float | None) -> None:
        """Close the connection once its calls have ended."""
        if self.stream is not None:
            self.stream.retire()
        await self.channel.close(grace_s)

    def _open_stream(self) -> ExchangeStream:
        if self.stream is None or not self.stream.is_open:
            self.stream = ExchangeStream(self.stub, self.token)
        return self.stream


class PeerLinks:
    """Keeps a connection to each peer address.

    `token` is shown with every call.  `replaced` counts connections
    that gave way to a second one.
    """

    def __init__(self, token: str = "", tls: TlsStore | None = None) -> None:
        self.token = token
        self.tls = tls
        self.links: dict[str, PeerLink] = {}
        self.closing_tasks: set[asyncio.Task[None]] = set()
        self.replaced = 0

    def channel(self, address: str) -> Channel:
        """Return the channel to a peer, opened when first used."""
        return self._link(address).channel

    async def heartbeat(
        self, address: str, message: HeartbeatMessage
    ) -> HeartbeatMessage:
        """Return a peer's reply; raise `grpc.RpcError` without one."""
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
        """Send again on a second connection; keep what answers."""
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
        """Open all connections anew, with new certificates."""
        for link in self.links.values():
            self._retire(link)
        self.links.clear()

    def forget(self, address: str) -> None:
        """Close the connection to a peer once its calls have ended."""
        link = self.links.pop(address, None)
        if link is not None:
            self._retire(link)

    async def close(self) -> None:
        """Close all channels."""
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
        interceptors = [TokenCall(self.token), TokenStream(self.token)]
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
        """Close a channel once the calls on it have ended.

        Keepalive ends the calls on a silent connection.
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
