"""Shuts a daemon down without cutting off running work."""

import asyncio
from collections.abc import Callable
from enum import IntEnum

from plantainsail.logs import get_logger
from plantainsail.runtime.hand_over import hand_over_streams
from plantainsail.runtime.node import Node

HAND_OVER_INTERVAL_S = 0.1


class DaemonExit(IntEnum):
    """The exit status of the daemon process.

    `HANDED_OVER` means that callers have to continue streams at another
    daemon, or that a witness was not told the result of a ticket.
    """

    DONE = 0
    HANDED_OVER = 3


class Drain:
    """Drains a daemon from the first request until it is idle.

    First the readiness check fails, but the daemon still admits work
    until the balancer has noticed.  Then it refuses new work and waits
    until all running work has ended.  A second request skips the settle
    time, hands over the streams that callers can continue at another
    daemon and logs the remaining work, which is never cut off.
    """

    def __init__(self, node: Node, announce: Callable[[], None]) -> None:
        self.node = node
        self.announce = announce
        self.logger = get_logger("drain")
        self.requested = asyncio.Event()
        self.expedited = asyncio.Event()
        self.handed_over = 0

    def request(self) -> None:
        """Begin the drain; expedite it if it was requested before."""
        self.node.metrics.drain_requests.inc()
        if self.requested.is_set():
            self.expedite()
            return
        self.node.life_cycle.settle()
        self.requested.set()
        self.announce()

    def expedite(self) -> None:
        """Skip the settle time, hand over streams and log the rest."""
        self.expedited.set()
        self.node.accepts_streams = False
        self.node.life_cycle.drain()
        self.handed_over += hand_over_streams(self.node)
        self.log_remaining("second drain request received")

    def log_remaining(self, event: str) -> None:
        """Log the work that is still running, by kind."""
        self.logger.warning(
            event,
            left=self.node.running.by_kind(),
            streams_handed_over=self.handed_over,
        )

    async def run(self) -> None:
        """Wait for the first request, then until the daemon is idle."""
        await self.requested.wait()
        limits = self.node.settings.time_limits
        await _wait(self.expedited, limits.settle_s)
        self.node.life_cycle.drain()
        handing_over = asyncio.create_task(self._hand_over_later())
        if not await _wait(self.node.running.idle, limits.drain_s):
            self.log_remaining("work still running after drain_s")
        await self.node.running.idle.wait()
        handing_over.cancel()

    def exit_status(self) -> DaemonExit:
        """Return the exit status once the drain is complete."""
        lost = self.node.tickets.reports_lost
        if not self.handed_over and not lost:
            return DaemonExit.DONE
        self.logger.warning(
            "drained with streams handed over or reports lost",
            streams_handed_over=self.handed_over,
            reports_lost=lost,
        )
        return DaemonExit.HANDED_OVER

    async def _hand_over_later(self) -> None:
        """Hand over streams as they become eligible for it."""
        await self.expedited.wait()
        while True:
            await asyncio.sleep(HAND_OVER_INTERVAL_S)
            self.handed_over += hand_over_streams(self.node)


async def _wait(event: asyncio.Event, timeout_s: float) -> bool:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
