"""An upstream in need gets no more requests than the limit it names.

The limit is for all daemons together.  A daemon that does not read it,
or that keeps it for itself alone, sends the upstream a multiple of what
it can take, while others that named no limit are free.
"""

from collections.abc import AsyncIterator

import pytest

from plantainsail.clock import ManualClock
from plantainsail.entry.daemon import EntryDaemon
from plantainsail.routing.model import RoutedUpstream
from soak.fleet import free_address
from tests.standins.routed import (
    StandInCaller,
    StandInSource,
    StandInUpstream,
    answer,
    configuration,
    respond_with,
    start_entry,
)
from tests.standins.waiting import until

DAEMONS = 3
LIMIT_PER_S = 2
WINDOW_S = 4
# What an upstream may get within the window.
MAX_IN_WINDOW = int(1.5 * LIMIT_PER_S * WINDOW_S) + 5
REQUESTS = 60
LIMITED = answer(extra=b"plantainsail-rate-limit: %d\r\n" % LIMIT_PER_S)


class LimitedFleet:
    """Daemons and two upstreams; the first one names a limit."""

    def __init__(self) -> None:
        self.clock = ManualClock(0.0)
        self.daemons: list[EntryDaemon] = []
        self.upstreams = [
            StandInUpstream("limited", respond_with(LIMITED)),
            StandInUpstream("free", respond_with(answer())),
        ]

    async def start(self) -> None:
        """Start all; the daemons' clock stands still from then on."""
        entries: list[RoutedUpstream] = []
        for upstream in self.upstreams:
            entries.append(await upstream.start())
        addresses = [free_address() for _ in range(DAEMONS)]
        for address in addresses:
            source = StandInSource(configuration(), tuple(entries))
            daemon = await start_entry(
                source, peer_address=address, seeds=(addresses[0],)
            )
            self.daemons.append(daemon)
            await until(daemon.node.is_ready)
        await until(self._is_connected)
        self.clock.advance(self.daemons[0].node.now_s())
        for daemon in self.daemons:
            daemon.node.clock = self.clock

    async def stop(self) -> None:
        """Stop all daemons and upstreams."""
        for daemon in self.daemons:
            await daemon.stop()
        for upstream in self.upstreams:
            upstream.stop()

    def _is_connected(self) -> bool:
        for daemon in self.daemons:
            if len(daemon.gossip.live) < DAEMONS - 1:
                return False
        return True


@pytest.fixture
async def fleet() -> AsyncIterator[LimitedFleet]:
    limited_fleet = LimitedFleet()
    await limited_fleet.start()
    yield limited_fleet
    await limited_fleet.stop()


async def call(fleet: LimitedFleet, number: int) -> int:
    """Send one request to one of the daemons; return the status."""
    caller = StandInCaller(fleet.daemons[number % DAEMONS])
    headers = {"plantainsail-request-id": f"r{number}"}
    return (await caller.call("/once/x", headers)).status


async def test_an_upstream_gets_no_more_than_the_limit_it_names(
    fleet: LimitedFleet,
) -> None:
    for number in range(REQUESTS):
        assert await call(fleet, number) == 200
    limited, free = fleet.upstreams
    assert len(limited.received_requests) <= MAX_IN_WINDOW
    assert len(free.received_requests) >= REQUESTS - MAX_IN_WINDOW
