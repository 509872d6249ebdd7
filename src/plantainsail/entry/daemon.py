"""Assembles the entry daemon and runs it until it is stopped."""

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
from starlette.responses import JSONResponse, Response
from starlette.routing import Mount, Route

from plantainsail.api.bounded_connection import BoundedConnection
from plantainsail.api.connection_pool import ConnectionPool
from plantainsail.api.draining_http import DrainingProtocol, is_any_readable
from plantainsail.api.listener import (
    LISTEN_BACKLOG,
    listener_config,
    open_listening_socket,
)
from plantainsail.clock import Clock
from plantainsail.entry.caller_observer import CallerObserver
from plantainsail.entry.caller_protocol import CallerProtocol
from plantainsail.entry.death_checks import DeathChecks
from plantainsail.entry.dialect import Dialect
from plantainsail.entry.explain import Explainer, parse_query
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
from plantainsail.policy.caller_budget import make_side_budget
from plantainsail.runtime.task_supervision import keep_running
from plantainsail.settings import SettingsError

MAX_HEAD_BYTES = 65_536
# Idle connections stay open for longer than callers reuse them.
KEEP_ALIVE_S = 60
# The load balancer notices within two readiness checks.
BALANCER_DELAY_S = 2.6
STOP_MARGIN_S = 0.5
# A connection that was opened for a request gets so long to send it,
# once the listener is closed.
FIRST_REQUEST_WAIT_S = 1.0
ACCEPT_ROUNDS = 3
DRAIN_POLL_S = 0.05
# Orders to stop runs that have no answer by then are given up: their
# engines can't be reached.
STOP_ORDERS_WAIT_S = 1.0
SETTINGS_POLL_S = 2.0


LoadSettings = Callable[[], Result[EntrySettings, SettingsError]]


class Listener:
    """Serves one application on one address."""

    def __init__(
        self,
        app: Starlette,
        address: str,
        protocol: type[asyncio.Protocol] = BoundedConnection,
        pool: ConnectionPool | None = None,
    ) -> None:
        self.pool = pool or ConnectionPool(make_side_budget())
        config = listener_config(
            app, address, protocol, MAX_HEAD_BYTES, self.pool
        )
        self.address = address
        config.date_header = False
        config.timeout_keep_alive = KEEP_ALIVE_S
        self.server = uvicorn.Server(config)
        self.servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Start listening and return once connections are accepted."""
        config = self.server.config
        config.load()
        self.server.lifespan = config.lifespan_class(config)
        loop = asyncio.get_running_loop()
        sock = open_listening_socket(self.address, self.pool.budget)
        server = await loop.create_server(
            lambda: config.http_protocol_class(  # type: ignore[call-arg]
                config=config,
                server_state=self.server.server_state,
                app_state={},
            ),
            sock=sock,
            backlog=config.backlog,
        )
        sock.listen(LISTEN_BACKLOG)
        self.servers.append(server)

    @property
    def port(self) -> int:
        """Return the port that the listener is bound to."""
        port: int = self.servers[0].sockets[0].getsockname()[1]
        return port

    def close_idle(self) -> None:
        """Close idle connections now and others after their request."""
        for connection in list(self.server.server_state.connections):
            connection.shutdown()

    def has_requests(self, *, counts_new: bool) -> bool:
        """Return whether any caller has a request.

        A connection without any request so far counts if `counts_new`
        is set.
        """
        for connection in self.server.server_state.connections:
            assert isinstance(connection, DrainingProtocol)
            if connection.is_in_request:
                return True
            if counts_new and connection.is_new:
                return True
        return False

    def has_pending_connections(self) -> bool:
        """Return whether connections wait to be accepted."""
        return any(is_any_readable(one.sockets) for one in self.servers)

    def stop(self) -> None:
        """Accept no more connections."""
        for server in self.servers:
            server.close()


def is_reload_needed(loaded: EntrySettings, current: EntrySettings) -> bool:
    """Return whether settings differ in the reloadable fields."""
    if loaded.bounds != current.bounds:
        return True
    has_regions = bool(loaded.zone_regions)
    if has_regions and loaded.zone_regions != current.zone_regions:
        return True
    return loaded.seed_addresses != current.seed_addresses


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
        self.feed.send_list_change = self.gossip.send_list_change
        self.feed.announce = self.gossip.announce
        self.death_checks = DeathChecks(self.node)
        self.stream = StreamForwarder(self.node, mover, self.death_checks)
        plain = PlainForwarder(self.node, self.death_checks)
        handler = RequestHandler(self.node, plain, self.stream)
        app = Starlette(routes=[Mount("/", app=handler)])
        app.state.node = self.node
        self.callers = Listener(
            app,
            settings.caller_address,
            CallerProtocol,
            ConnectionPool(self.node.caller_budget, CallerObserver(self.node)),
        )
        self.explainer = Explainer(self.node, self.stream.queue)
        metrics_routes = [Route("/metrics", self._get_metrics)]
        # Only the operators' address answers what is believed of
        # upstreams; the balancer reaches the readiness address too.
        operator_routes = [
            *metrics_routes,
            Route("/explain", self._get_explanation, methods=["GET"]),
        ]
        readiness_routes = metrics_routes
        self.metrics_listener: Listener | None = None
        if settings.metrics_address is None:
            readiness_routes = operator_routes
        else:
            self.metrics_listener = Listener(
                Starlette(routes=operator_routes),
                settings.metrics_address,
            )
        self.readiness = Listener(
            Starlette(
                routes=[
                    *readiness_routes,
                    Route("/{path:path}", self._get_readiness),
                ]
            ),
            settings.readiness_address,
        )
        self.tasks: list[asyncio.Task[None]] = []
        self.leave_requested = asyncio.Event()
        self.load_settings: LoadSettings = lambda: Ok(settings)

    async def start(self) -> None:
        """Open the listeners and start the tasks."""
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        await self.gossip.start()
        await self.snapshots.start()
        await self.readiness.start()
        if self.metrics_listener is not None:
            await self.metrics_listener.start()
        await self.callers.start()
        self._start_task("watch", self.feed.watch)
        self._start_task("verify", self.feed.verify)
        self._start_task("gossip", self.gossip.run)
        self._start_task("departures", self.stream.follow_departures)
        self._start_task("waiting", self.stream.queue.run)
        self._start_task("settings", self._poll_settings)
        if self.stream.engine_watch is not None:
            self._start_task("engines", self.stream.engine_watch.run)
        self.node.log.info(
            "started",
            host=self.node.settings.host,
            peer=self.node.settings.peer_address,
            nonce=self.node.nonce,
            seeds=self.node.settings.seed_addresses,
        )
        gc.freeze()

    def _start_task(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        task = asyncio.create_task(keep_running(name, run, self.node.metrics))
        self.tasks.append(task)

    def leave(self) -> None:
        """Begin to shut down while running requests go on."""
        if self.node.is_leaving:
            return
        self.node.is_leaving = True
        now_s = self.node.now_s()
        grace_s = self.node.settings.bounds.grace_s
        self.node.last_call_s = now_s + BALANCER_DELAY_S
        self.node.leaves_at_s = now_s + grace_s - STOP_MARGIN_S
        self.node.log.info("leaving", running=self.node.running.total())
        self.gossip.announce()
        self.leave_requested.set()

    def reload(self) -> None:
        """Reload bounds and seeds from the settings file.

        Addresses can't change while the process runs.
        """
        loaded = self.load_settings()
        if loaded.is_error():
            self.node.log.error("reload refused", reason=str(loaded.error))
            return
        self._apply_settings(loaded.ok)

    def _apply_settings(self, settings: EntrySettings) -> None:
        self.node.update_settings(settings)
        self.node.log.info(
            "reload",
            host=self.node.settings.host,
            bounds=self.node.settings.bounds._asdict(),
            seeds=self.node.settings.seed_addresses,
            zone_regions=dict(self.node.settings.zone_regions),
        )

    async def _poll_settings(self) -> None:
        """Reload settings that changed without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            loaded = self.load_settings()
            if loaded.is_error():
                # The file may be half written; the next poll reads it.
                continue
            if is_reload_needed(loaded.ok, self.node.settings):
                self._apply_settings(loaded.ok)

    async def run(self) -> None:
        """Serve until a signal asks to stop and requests have ended."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.leave)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self.leave_requested.wait()
        await self._wait_for_running_work()
        await self.stop()

    async def _wait_for_running_work(self) -> None:
        """Serve until no request is left, or the grace period ends.

        Connections are accepted until the load balancer has noticed,
        and no pending one is left, as closing the listener would reset
        those.
        """
        node = self.node
        end_s = node.leaves_at_s
        await asyncio.sleep(min(BALANCER_DELAY_S, end_s - node.now_s()))
        await self._accept_pending_connections(end_s)
        self.callers.stop()
        new_until_s = node.now_s() + FIRST_REQUEST_WAIT_S
        while node.now_s() < end_s:
            self.callers.close_idle()
            is_new_awaited = node.now_s() < new_until_s
            if not self.callers.has_requests(counts_new=is_new_awaited):
                break
            await asyncio.sleep(DRAIN_POLL_S)
        if self.stream.stops is not None:
            left_s = max(0.0, end_s - node.now_s())
            await self.stream.stops.wait(min(left_s, STOP_ORDERS_WAIT_S))

    async def _accept_pending_connections(self, end_s: float) -> None:
        """Wait until the listener has accepted all connections.

        The event loop sets up a connection some rounds after it has
        accepted it, and drops it if the listener is closed by then.
        """
        quiet_rounds = 0
        while quiet_rounds < ACCEPT_ROUNDS and self.node.now_s() < end_s:
            is_pending = self.callers.has_pending_connections()
            quiet_rounds = 0 if is_pending else quiet_rounds + 1
            await asyncio.sleep(0)

    async def stop(self) -> None:
        """Stop all tasks and close all listeners."""
        self.callers.stop()
        self.callers.close_idle()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.stream.stops is not None:
            await self.stream.stops.cancel()
        await self.snapshots.stop()
        self.readiness.stop()
        if self.metrics_listener is not None:
            self.metrics_listener.stop()
        if self.gossip.transport is not None:
            self.gossip.transport.close()
        self.node.log.info("stopped", running=self.node.running.total())

    async def _get_readiness(self, _: Request) -> Response:
        return Response(status_code=200 if self.node.is_ready() else 503)

    async def _get_explanation(self, request: Request) -> Response:
        query = parse_query(request.query_params)
        if isinstance(query, str):
            return JSONResponse({"problem": query}, status_code=400)
        return JSONResponse(self.explainer.explain(query))

    async def _get_metrics(self, _: Request) -> Response:
        return Response(
            generate_latest(self.node.metrics.registry),
            media_type="text/plain; version=0.0.4",
        )
