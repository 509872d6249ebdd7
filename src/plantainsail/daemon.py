"""The `plantainsaild` process: creates its components and runs them.

It serves until a signal or an operator's call requests a drain.
"""

import argparse
import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import uvicorn
from starlette.applications import Starlette

from plantainsail.api.app import make_caller_app, make_operator_app
from plantainsail.api.bounded_http import BoundedHttpProtocol
from plantainsail.api.connection_pool import ConnectionPool
from plantainsail.api.listener import (
    LISTEN_BACKLOG,
    listener_config,
    open_listening_socket,
)
from plantainsail.clock import BootClock, Clock
from plantainsail.logs import configure_logging
from plantainsail.membership.pauses import TICK_INTERVAL_S
from plantainsail.peers.credentials import TlsStore
from plantainsail.peers.server import PeerServer
from plantainsail.peers.stream_service import stream_registration
from plantainsail.peers.ticket_service import TicketServicer
from plantainsail.policy.caller_budget import make_budget, make_side_budget
from plantainsail.runtime.drain import DaemonExit, Drain
from plantainsail.runtime.engine_reports import EngineReports
from plantainsail.runtime.fleet import Fleet
from plantainsail.runtime.list_sync import ListSync
from plantainsail.runtime.moves import LeavingWatch
from plantainsail.runtime.node import Node
from plantainsail.runtime.orders import OrderRuntime
from plantainsail.runtime.stream_sweep import StreamSweep, wait_until_idle
from plantainsail.runtime.task_supervision import keep_running
from plantainsail.settings import Settings, load_settings
from plantainsail.signing import Signer
from plantainsail.upstreams.engine_reports import HttpReportClient

EXIT_BAD_SETTINGS = 2
UNSURE_CHECK_INTERVAL_S = 0.1


class HttpListener:
    """An HTTP listener for one application on one address."""

    def __init__(
        self, app: Starlette, address: str, node: Node, pool: ConnectionPool
    ) -> None:
        self.pool = pool
        config = listener_config(
            app,
            address,
            BoundedHttpProtocol,
            node.settings.limits.header_bytes,
            self.pool,
        )
        self.address = address
        self.server = uvicorn.Server(config)
        # The daemon itself handles signals, for both listeners.
        self.server.capture_signals = _no_signals  # type: ignore[assignment]
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to listen; return once connections are accepted."""
        sock = open_listening_socket(self.address, self.pool.budget)
        self.task = asyncio.create_task(self.server.serve([sock]))
        while not self.server.started:  # noqa: ASYNC110
            if self.task.done():
                raise OSError("the HTTP listener stopped during its start")
            await asyncio.sleep(0)
        sock.listen(LISTEN_BACKLOG)

    @property
    def port(self) -> int:
        """Return the port that the listener is bound to."""
        port: int = self.server.servers[0].sockets[0].getsockname()[1]
        return port

    async def stop(self) -> None:
        """Refuse new connections, finish running requests and close."""
        self.server.should_exit = True
        if self.task is not None:
            await self.task


class _NoSignalCapture:
    def __enter__(self) -> None:
        return None

    def __exit__(self, *_: object) -> None:
        return None


def _no_signals() -> _NoSignalCapture:
    return _NoSignalCapture()


class Daemon:
    """One daemon with its listeners and background tasks."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        signer = Signer([bytes.fromhex(key) for key in settings.fleet_keys])
        tls = (
            None if settings.peer_tls is None else TlsStore(settings.peer_tls)
        )
        self.peer_server = PeerServer(settings.peer_address, signer, tls)
        settings = settings._replace(peer_address=self.peer_server.address)
        self.node = Node(settings, clock, tls)
        self.fleet = Fleet(self.node)
        self.peer_server.guard.on_refused = self.fleet.count_refused
        self.drain = Drain(self.node, self.fleet.send_heartbeats_now)
        self.node.request_drain = self.drain.request
        self.orders = OrderRuntime(self.node)
        self.list_sync = ListSync(self.node, self._apply_new_lists)
        self.stream_sweep = StreamSweep(self.node)
        self.reports = EngineReports(
            self.node, HttpReportClient(self.node.http, settings.time_limits)
        )
        self.leaving_watch = LeavingWatch(self.node)
        self.node.registrations.append(stream_registration(self.node))
        self.node.registrations.append(
            TicketServicer(self.node.tickets).register
        )
        self.caller_listener = HttpListener(
            make_caller_app(self.node),
            settings.caller_address,
            self.node,
            ConnectionPool(make_budget(0, 0)),
        )
        self.operator_listener = HttpListener(
            make_operator_app(self.node),
            settings.operator_address,
            self.node,
            ConnectionPool(make_side_budget()),
        )
        self.tasks: list[asyncio.Task[None]] = []
        self.list_task: asyncio.Task[None] | None = None
        self.drain_requested = self.drain.requested

    async def start(self) -> None:
        """Open the listeners and start the background tasks."""
        await self.peer_server.start(self.node.registrations)
        await self.operator_listener.start()
        await self.caller_listener.start()
        self.list_task = self._start_task("lists", self.list_sync.run)
        self._start_task("fleet", self.fleet.run)
        self._start_task("tick", self._tick)
        self._start_task("sweep", self.stream_sweep.run)
        self._start_task("reports", self.reports.run)
        self._start_task("leaving", self.leaving_watch.run)
        self._start_task("orders", self.orders.run)
        self._start_task("mint", self.node.tickets.mint.run)
        self._start_task("sure", self._refresh_while_unsure)

    def _start_task(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(keep_running(name, run, self.node.metrics))
        self.tasks.append(task)
        return task

    async def refresh(self, *, is_paced: bool = False) -> bool:
        """Refresh lists and peers; return whether the state is current.

        With `is_paced`, calls of the configuration service are spread
        over time, because the whole fleet may be starting at once.
        """
        pauses = self.node.life_cycle.pauses
        are_lists_refreshed = await self.list_sync.refresh(is_paced=is_paced)
        are_peers_refreshed = await self.fleet.refresh()
        if not are_lists_refreshed or not are_peers_refreshed:
            return False
        # Without this refresh the first tickets would have no witness.
        await self.node.tickets.mint.refresh()
        if self.node.life_cycle.pauses != pauses:
            return False
        self.node.life_cycle.refreshed()
        return self.node.is_sure()

    def _apply_new_lists(self) -> None:
        self.orders.apply_host_list()
        self.fleet.announce_lists_revision()

    async def _refresh_while_unsure(self) -> None:
        await self.list_sync.wait_first_turn()
        while True:
            if not self.node.is_sure():
                await self.refresh(is_paced=True)
            await asyncio.sleep(UNSURE_CHECK_INTERVAL_S)

    async def _tick(self) -> None:
        while True:
            self.node.is_sure()
            self.node.pauses.tick(self.node.now_s())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def stop(self, grace_s: float = 0.0) -> None:
        """Refuse new work, finish the running work and close all."""
        self.node.life_cycle.drain()
        await self.caller_listener.stop()
        await wait_until_idle(self.node)
        await self.node.tickets.wait_until_idle()
        await self.operator_listener.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.peer_server.stop(grace_s)
        await self.node.close()
        self.node.life_cycle.leave()

    async def run(self) -> DaemonExit:
        """Serve until a drain has ended; return the exit status."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.drain.request)
        await self.start()
        await self.drain.run()
        await self.stop(self.node.settings.time_limits.drain_s)
        return self.drain.exit_status()


async def _serve(settings: Settings) -> DaemonExit:
    return await Daemon(settings, BootClock()).run()


def main(arguments: Sequence[str] | None = None) -> int:
    """Run `plantainsaild`; return its exit status."""
    parser = argparse.ArgumentParser(
        prog="plantainsaild",
        description="Serve generations and service calls.",
    )
    parser.add_argument("--settings", type=Path, required=True)
    parser.add_argument(
        "--check",
        action="store_true",
        help="check the settings and exit",
    )
    options = parser.parse_args(arguments)
    settings = load_settings(options.settings)
    if settings.is_error():
        print(settings.error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if options.check:
        print(f"{options.settings}: correct")
        return 0
    configure_logging(settings.ok.log_level)
    return asyncio.run(_serve(settings.ok))


if __name__ == "__main__":
    sys.exit(main())
