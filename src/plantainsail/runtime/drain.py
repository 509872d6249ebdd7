"""Lets a daemon leave without cutting what runs on it."""

import asyncio
from collections.abc import Callable
from enum import IntEnum

from plantainsail.logs import get_logger
from plantainsail.runtime.hand_over import hand_over_streams
from plantainsail.runtime.node import Node

HAND_OVER_INTERVAL_S = 0.1


class DaemonExit(IntEnum):
    """What the daemon's exit status says.

    `HANDED_OVER`: callers have to continue streams elsewhere, or a
    witness did not learn what became of a ticket.
    """

    DONE = 0
    HANDED_OVER = 3


class Drain:
    """The steps from the first request to leave to an idle daemon.

    First the daemon says that it is not ready, but still takes work
    while the balancer finds out.  Then it refuses new work, and waits
    until all that runs has ended.  A second request skips the settle
    time, hands the streams over that callers can continue elsewhere
    and says what is left; that is never cut.
    """

    def __init__(self, node: Node, announce: Callable[[], None]) -> None:
        self.node = node
        self.announce = announce
        self.logger = get_logger("drain")
        self.requested = asyncio.Event()
        self.hurried = asyncio.Event()
        self.handed_over = 0

    def request(self) -> None:
        """Begin to leave, or hurry if that was asked before."""
        self.node.metrics.drain_requests.inc()
        if self.requested.is_set():
            self.hurry()
            return
        self.node.life_cycle.settle()
        self.requested.set()
        self.announce()

    def hurry(self) -> None:
        """Hand over what can be, and say what is left."""
        self.hurried.set()
        self.node.accepts_streams = False
        self.node.life_cycle.drain()
        self.handed_over += hand_over_streams(self.node)
        self.log_left("asked again to leave")

    def log_left(self, event: str) -> None:
        """Write what still runs."""
        self.logger.warning(
            event,
            left=self.node.running.by_kind(),
            streams_handed_over=self.handed_over,
        )

    async def run(self) -> None:
        """Wait for the request, then until the daemon is idle."""
        await self.requested.wait()
        limits = self.node.settings.time_limits
        await _wait(self.hurried, limits.settle_s)
        self.node.life_cycle.drain()
        handing_over = asyncio.create_task(self._hand_over_later())
        if not await _wait(self.node.running.idle, limits.drain_s):
            self.log_left("still running after the drain time")
        await self.node.running.idle.wait()
        handing_over.cancel()

    def exit_status(self) -> DaemonExit:
        """Return the status of a daemon that has left."""
        lost = self.node.tickets.reports_lost
        if not self.handed_over and not lost:
            return DaemonExit.DONE
        self.logger.warning(
            "left", streams_handed_over=self.handed_over, reports_lost=lost
        )
        return DaemonExit.HANDED_OVER

    async def _hand_over_later(self) -> None:
        """Hand over what becomes possible after the second request."""
        await self.hurried.wait()
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
