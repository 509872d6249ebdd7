"""Wires the entry daemon together and runs it until it may leave."""

import asyncio
import gc
import logging
import signal
from collections.abc import Awaitable, Callable

import uvicorn
from expression import Ok, Result
from prometheus_client import generate_latest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Mount, Route
from uvicorn.protocols.http.h11_impl import H11Protocol

from plantainsail.api.listener import listener_config
from plantainsail.clock import Clock
from plantainsail.entry.caller_protocol import CallerProtocol
from plantainsail.entry.dialect import Dialect
from plantainsail.entry.feed import PublishedFeed
from plantainsail.entry.gossip import Gossip
from plantainsail.entry.handler import RequestHandler
from plantainsail.entry.mover import EngineMover
from plantainsail.entry.node import EntryNode
from plantainsail.entry.plain import PlainForwarder
from plantainsail.entry.settings import EntrySettings
from plantainsail.entry.snapshot import SnapshotExchange
from plantainsail.entry.source import PublishedSource
from plantainsail.entry.streaming import StreamForwarder
from plantainsail.runtime.task_supervision import keep_running
from plantainsail.settings import SettingsError

MAX_HEAD_BYTES = 65_536
# Idle connections of callers stay open longer than callers reuse them.
IDLE_S = 60
BACKLOG = 512
# The balancer notices within two of its questions.
STILL_REACHED_S = 2.6
END_RESERVE_S = 0.5
LOOK_AGAIN_S = 0.05
SETTINGS_INTERVAL_S = 2.0


LoadSettings = Callable[[], Result[EntrySettings, SettingsError]]


class Listener:
    """Serves one application on one address."""

    def __init__(
        self,
        app: Starlette,
        address: str,
        protocol: type[asyncio.Protocol] = H11Protocol,
    ) -> None:
        config = listener_config(app, address, protocol, MAX_HEAD_BYTES)
        config.date_header = False
        config.timeout_keep_alive = IDLE_S
        config.backlog = BACKLOG
        self.server = uvicorn.Server(config)
        self.servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen; return once connections are accepted."""
        config = self.server.config
        config.load()
        self.server.lifespan = config.lifespan_class(config)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: config.http_protocol_class(  # type: ignore[call-arg]
                config=config,
                server_state=self.server.server_state,
                app_state={},
            ),
            host=config.host,
            port=config.port,
            backlog=config.backlog,
        )
        self.servers.append(server)

    @property
    def port(self) -> int:
        """Return the port that the listener got."""
        port: int = self.servers[0].sockets[0].getsockname()[1]
        return port

    def close_idle(self) -> None:
        """Close connections without a request; end others after it."""
        for connection in list(self.server.server_state.connections):
            connection.shutdown()

    def stop(self) -> None:
        """Accept no more connections."""
        for server in self.servers:
            server.close()


def has_news(found: EntrySettings, current: EntrySettings) -> bool:
    """Return whether settings differ in what can change."""
    if found.bounds != current.bounds:
        return True
    return found.seed_addresses != current.seed_addresses


class EntryDaemon:
    """One entry daemon with its listeners and tasks."""

    def __init__(
        self,
        settings: EntrySettings,
        dialect: Dialect,
        source: PublishedSource,
        mover: EngineMover | None,
        clock: Clock,
    ) -> None:
        self.node = EntryNode(settings, dialect, clock)
        self.feed = PublishedFeed(self.node, source)
        self.snapshots = SnapshotExchange(self.node, self.feed.put_in_force)
        self.gossip = Gossip(self.node, self.snapshots)
        self.feed.tell_change = self.gossip.tell_change
        self.feed.announce = self.gossip.announce
        self.stream = StreamForwarder(self.node, mover)
        handler = RequestHandler(
            self.node, PlainForwarder(self.node), self.stream
        )
        app = Starlette(routes=[Mount("/", app=handler)])
        app.state.node = self.node
        self.callers = Listener(app, settings.caller_address, CallerProtocol)
        self.readiness = Listener(
            Starlette(
                routes=[
                    Route("/metrics", self._get_metrics),
                    Route("/{path:path}", self._get_readiness),
                ]
            ),
            settings.readiness_address,
        )
        self.metrics_listener: Listener | None = None
        if settings.metrics_address is not None:
            self.metrics_listener = Listener(
                Starlette(routes=[Route("/metrics", self._get_metrics)]),
                settings.metrics_address,
            )
        self.tasks: list[asyncio.Task[None]] = []
        self.left = asyncio.Event()
        self.load_again: LoadSettings = lambda: Ok(settings)

    async def start(self) -> None:
        """Open the listeners and start the tasks."""
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        await self.gossip.start()
        await self.snapshots.start()
        await self.readiness.start()
        if self.metrics_listener is not None:
            await self.metrics_listener.start()
        await self.callers.start()
        self._keep("watch", self.feed.watch)
        self._keep("verify", self.feed.verify)
        self._keep("gossip", self.gossip.run)
        self._keep("departures", self.stream.follow_departures)
        self._keep("waiting", self.stream.line.run)
        self._keep("settings", self._look_for_settings)
        if self.stream.engine_watch is not None:
            self._keep("engines", self.stream.engine_watch.run)
        self.node.log.info(
            "started",
            host=self.node.settings.host,
            peer=self.node.settings.peer_address,
            nonce=self.node.nonce,
            seeds=self.node.settings.seed_addresses,
        )
        gc.freeze()

    def _keep(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        task = asyncio.create_task(keep_running(name, run, self.node.metrics))
        self.tasks.append(task)

    def leave(self) -> None:
        """Begin to leave; running requests go on."""
        if self.node.is_leaving:
            return
        self.node.is_leaving = True
        self.node.log.info("leaving", running=self.node.running.total())
        self.gossip.announce()
        self.left.set()

    def reload(self) -> None:
        """Take bounds and seeds from the settings file again.

        Addresses can't change while the process runs.
        """
        loaded = self.load_again()
        if loaded.is_error():
            self.node.log.error("reload refused", reason=str(loaded.error))
            return
        self._take_settings(loaded.ok)

    def _take_settings(self, settings: EntrySettings) -> None:
        self.node.take_settings(settings)
        self.node.log.info(
            "reload",
            host=self.node.settings.host,
            bounds=self.node.settings.bounds._asdict(),
            seeds=self.node.settings.seed_addresses,
        )

    async def _look_for_settings(self) -> None:
        """Reload settings that changed without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_INTERVAL_S)
            loaded = self.load_again()
            if loaded.is_error():
                # The file may be half written; the next look tells.
                continue
            if has_news(loaded.ok, self.node.settings):
                self._take_settings(loaded.ok)

    async def run(self) -> None:
        """Serve until a signal asks to leave and work has ended."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.leave)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self.left.wait()
        await self._let_work_end()
        await self.stop()

    async def _let_work_end(self) -> None:
        node = self.node
        began_s = node.now_s()
        end_s = began_s + node.settings.bounds.grace_s - END_RESERVE_S
        is_closed = False
        while node.now_s() < end_s:
            if node.now_s() - began_s >= STILL_REACHED_S:
                if not is_closed:
                    self.callers.stop()
                    is_closed = True
                self.callers.close_idle()
                if node.running.total() == 0:
                    return
            await asyncio.sleep(LOOK_AGAIN_S)

    async def stop(self) -> None:
        """Close everything."""
        self.callers.stop()
        self.callers.close_idle()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.snapshots.stop()
        self.readiness.stop()
        if self.metrics_listener is not None:
            self.metrics_listener.stop()
        if self.gossip.transport is not None:
            self.gossip.transport.close()
        self.node.log.info("stopped", running=self.node.running.total())

    async def _get_readiness(self, _: Request) -> Response:
        return Response(status_code=200 if self.node.is_ready() else 503)

    async def _get_metrics(self, _: Request) -> Response:
        return Response(
            generate_latest(self.node.metrics.registry),
            media_type="text/plain; version=0.0.4",
        )
