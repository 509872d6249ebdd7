"""Two daemons and two upstreams, of which one says more of itself."""

import asyncio

from plantainsail.entry.daemon import EntryDaemon
from plantainsail.routing.model import RoutedUpstream
from soak.fleet import free_address
from tests.standins.routed import (
    STREAM_END,
    STREAM_HEAD,
    ReceivedRequest,
    StandInCaller,
    StandInSource,
    StandInUpstream,
    answer,
    chunk,
    configuration,
    event,
    start_entry,
)
from tests.standins.waiting import until

NOT_EXECUTED = b"plantainsail-not-executed: 1\r\n"
REQUESTS = 12
TOKENS = {"plantainsail-tokens": "200,12"}


class Office:
    """Two upstreams, of which the first one speaks `extra` headers.

    With `turns_away` set, it turns requests away instead.
    """

    def __init__(self) -> None:
        self.extra = b""
        self.turns_away = False
        self.upstreams = [
            StandInUpstream("u0", self.serve),
            StandInUpstream("u1", self.serve),
        ]
        self.entries: list[RoutedUpstream] = []
        self.sources: list[StandInSource] = []
        self.daemons: list[EntryDaemon] = []

    async def start(self) -> None:
        """Start the upstreams and two daemons that are peers.

        The second upstream is not listed yet.
        """
        self.entries = [await one.start() for one in self.upstreams]
        address = free_address()
        for peer in (address, free_address()):
            source = StandInSource(configuration(), (self.entries[0],))
            self.sources.append(source)
            self.daemons.append(
                await start_entry(source, peer_address=peer, seeds=(address,))
            )
        await until(self._is_connected)

    async def serve(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request as the upstream that it expects."""
        name = request.headers["plantainsail-expected-upstream"]
        extra = self.extra if name == "u0" else b""
        if name == "u0" and self.turns_away:
            writer.write(answer(503, b"", NOT_EXECUTED + extra))
        elif request.target.startswith("/stream/"):
            head = STREAM_HEAD.replace(b"\r\n\r\n", b"\r\n" + extra + b"\r\n")
            writer.write(head + chunk(event(0)) + STREAM_END)
        else:
            writer.write(answer(extra=extra))
        await writer.drain()

    async def use_first_alone(self, path: str) -> None:
        """Send `u0` a request by the first daemon, then list `u1`."""
        await self.send_first(path)
        for source in self.sources:
            source.put(self.entries[1])
        await until(self._is_second_usable)

    async def send_first(self, path: str) -> None:
        """Send `u0`, the only upstream so far, one request."""
        await StandInCaller(self.daemons[0]).call(path, TOKENS)
        assert len(self.upstreams[0].received_requests) == 1

    async def send_all(self, path: str, daemon: int = 0) -> int:
        """Send requests; return how many of them `u0` got."""
        before = len(self.upstreams[0].received_requests)
        caller = StandInCaller(self.daemons[daemon])
        for _ in range(REQUESTS):
            response = await caller.call(path, TOKENS)
            assert response.status == 200
        return len(self.upstreams[0].received_requests) - before

    async def stop(self) -> None:
        """Stop all daemons and upstreams."""
        for daemon in self.daemons:
            await daemon.stop()
        for upstream in self.upstreams:
            upstream.stop()

    def _is_second_usable(self) -> bool:
        registries = [daemon.node.registry for daemon in self.daemons]
        return all(registry.is_usable("u1") for registry in registries)

    def _is_connected(self) -> bool:
        return all(daemon.gossip.live for daemon in self.daemons)
