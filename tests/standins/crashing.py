"""A fleet of two entry daemons on engines that requests can crash."""

import asyncio

from plantainsail.entry.daemon import EntryDaemon
from plantainsail.entry.node import EntryNode
from plantainsail.routing.model import RoutedUpstream
from soak.fleet import free_address
from tests.standins.routed import (
    SIGNATURE,
    STREAM_END,
    STREAM_HEAD,
    CallerAnswer,
    ReceivedRequest,
    StandInCaller,
    StandInSource,
    StandInUpstream,
    answer,
    chunk,
    configuration,
    event,
    reset,
    start_entry,
)
from tests.standins.waiting import until

ENGINES = 3
EVENTS = 3
PARTS = "plantainsail-prompt-parts"
REQUEST_ID = "plantainsail-request-id"
CRASHING_PART = "bad"
UNFRAMED_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    + SIGNATURE
    + b"content-type: text/event-stream\r\n\r\n"
)


class CrashingFleet:
    """Daemons and engines; a crashed engine is replaced at once.

    An engine crashes as it begins to write an answer on a prompt that
    has the part `CRASHING_PART`, or to a request whose body is
    `crashing_body`.  `crashes` counts these requests.  If `is_unframed`
    is set, its answer has neither a length nor chunks, and its
    connection is closed in order.
    """

    def __init__(self) -> None:
        self.daemons: list[EntryDaemon] = []
        self.sources: list[StandInSource] = []
        self.engines: dict[str, StandInUpstream] = {}
        self.addresses = [free_address(), free_address()]
        self.crashing_body: bytes | None = None
        self.engine_count = ENGINES
        self.is_unframed = False
        self.crashes = 0
        self.gone: list[str] = []
        self.started = 0
        self.requests = 0

    async def start(self) -> None:
        """Start the engines and the daemons, which find each other."""
        entries = [
            await self._start_engine() for _ in range(self.engine_count)
        ]
        for address in self.addresses:
            source = StandInSource(configuration(), tuple(entries))
            self.sources.append(source)
            self.daemons.append(await self._start_daemon(source, address))
        await until(self._is_connected)

    async def restart_daemon(self, index: int) -> None:
        """Replace a daemon by one without memory, at a new address."""
        await self.daemons[index].stop()
        self.daemons[index] = await self._start_daemon(
            self.sources[index], free_address()
        )
        await until(self._is_connected)

    async def stop(self) -> None:
        """Stop all daemons and engines."""
        for daemon in self.daemons:
            await daemon.stop()
        for engine in self.engines.values():
            engine.stop()

    async def stream(
        self, parts: str, daemon: int, body: bytes = b"prompt"
    ) -> CallerAnswer:
        """Send a streaming request with the given prompt parts."""
        self.requests += 1
        caller = StandInCaller(self.daemons[daemon])
        headers = {
            PARTS: ",".join(f"{part}:50" for part in parts.split()),
            REQUEST_ID: f"r{self.requests}",
            "plantainsail-tokens": "200,12",
        }
        return await caller.call("/stream/x", headers, body)

    async def read(self, body: bytes, daemon: int) -> CallerAnswer:
        """Send an idempotent request of a plain service."""
        self.requests += 1
        caller = StandInCaller(self.daemons[daemon])
        headers = {REQUEST_ID: f"r{self.requests}"}
        return await caller.call("/safe/x", headers, body)

    async def settle(self) -> None:
        """Wait until all daemons have judged the ended streams.

        Then the entries of the crashed engines end.
        """
        await until(self._has_judged)
        for source in self.sources:
            for name in self.gone:
                entry = source.upstreams[name]
                source.put(entry._replace(is_draining=True))
        await until(self._has_learned)
        self.gone.clear()

    async def until_avoided(self, node: EntryNode, engines: int) -> None:
        """Wait until a daemon avoids so many engines."""
        await until(lambda: self._avoided(node) == engines)

    def _avoided(self, node: EntryNode) -> int:
        now_s = node.now_s()
        return sum(
            node.avoidance.is_avoided(name, now_s) for name in self.engines
        )

    def _is_connected(self) -> bool:
        return all(daemon.gossip.live for daemon in self.daemons)

    def _has_learned(self) -> bool:
        for daemon in self.daemons:
            registry = daemon.node.registry
            if any(registry.is_usable(name) for name in self.gone):
                return False
            if not registry.entries.keys() >= self.engines.keys():
                return False
        return True

    def _has_judged(self) -> bool:
        return not any(
            daemon.stream.background_tasks or daemon.death_checks.tasks
            for daemon in self.daemons
        )

    async def _start_daemon(
        self, source: StandInSource, address: str
    ) -> EntryDaemon:
        daemon = await start_entry(
            source, peer_address=address, seeds=(self.addresses[0],)
        )
        await until(daemon.node.is_ready)
        return daemon

    async def _start_engine(self) -> RoutedUpstream:
        name = f"e{self.started}"
        self.started += 1
        engine = StandInUpstream(name, self._serve)
        self.engines[name] = engine
        return await engine.start()

    async def _serve(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        is_stream = request.target.startswith("/stream/")
        if is_stream or self.is_unframed:
            writer.write(UNFRAMED_HEAD if self.is_unframed else STREAM_HEAD)
            await writer.drain()
        parts = request.headers.get(PARTS, "").split(",")
        names = {part.partition(":")[0] for part in parts}
        if CRASHING_PART in names or request.body == self.crashing_body:
            name = request.headers["plantainsail-expected-upstream"]
            await self._crash(name, writer)
            return
        if not is_stream:
            writer.write(b"done" if self.is_unframed else answer())
            await writer.drain()
            writer.close()
            return
        for number in range(EVENTS):
            writer.write(chunk(event(number)))
            await writer.drain()
        writer.write(STREAM_END)
        await writer.drain()

    async def _crash(self, name: str, writer: asyncio.StreamWriter) -> None:
        self.crashes += 1
        self.engines[name].stop()
        entry = await self._start_engine()
        if self.is_unframed:
            writer.write(event(0))
            await writer.drain()
            writer.close()
        else:
            reset(writer)
        for source in self.sources:
            source.put(entry)
        self.gone.append(name)
