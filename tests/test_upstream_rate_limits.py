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
    SIGNATURE,
    STREAM_END,
    STREAM_HEAD,
    CallerAnswer,
    StandInCaller,
    StandInSource,
    StandInUpstream,
    answer,
    chunk,
    configuration,
    event,
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

    async def advance(self, seconds: float) -> None:
        """Move the clock; wait until all daemons hear each other."""
        self.clock.advance(seconds)
        await until(self._is_live)

    def daemons_that_know(self, upstream: StandInUpstream) -> int:
        """Return how many daemons hold an upstream to a limit."""
        now_s = self.clock.now_s()
        return sum(
            daemon.node.rate_limits.is_limited(upstream.name, now_s)
            for daemon in self.daemons
        )

    async def stop(self) -> None:
        """Stop all daemons and upstreams."""
        for daemon in self.daemons:
            await daemon.stop()
        for upstream in self.upstreams:
            upstream.stop()

    def _is_live(self) -> bool:
        now_s = self.clock.now_s()
        for daemon in self.daemons:
            if len(daemon.node.members.live(now_s)) < DAEMONS - 1:
                return False
        return True

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


async def call(fleet: LimitedFleet, number: int) -> CallerAnswer:
    """Send one request to one of the daemons."""
    caller = StandInCaller(fleet.daemons[number % DAEMONS])
    headers = {"plantainsail-request-id": f"r{number}"}
    return await caller.call("/once/x", headers)


async def call_often(fleet: LimitedFleet) -> list[int]:
    """Send `REQUESTS` requests; return their statuses."""
    return [(await call(fleet, number)).status for number in range(REQUESTS)]


async def test_an_upstream_gets_no_more_than_the_limit_it_names(
    fleet: LimitedFleet,
) -> None:
    assert await call_often(fleet) == [200] * REQUESTS
    limited, free = fleet.upstreams
    assert len(limited.received_requests) <= MAX_IN_WINDOW
    assert len(free.received_requests) >= REQUESTS - MAX_IN_WINDOW


async def test_a_request_is_refused_if_all_upstreams_are_at_their_limits(
    fleet: LimitedFleet,
) -> None:
    fleet.upstreams[1].serve = respond_with(LIMITED)
    statuses = await call_often(fleet)
    received = sum(len(one.received_requests) for one in fleet.upstreams)
    assert statuses.count(200) == received <= 2 * MAX_IN_WINDOW
    refused = await call(fleet, 0)
    assert refused.status == 503
    assert refused.headers["plantainsail-outcome"] == "not_run"
    assert float(refused.headers["retry-after"]) > 0


async def test_a_limited_upstream_is_used_when_no_other_is_left(
    fleet: LimitedFleet,
) -> None:
    await call_often(fleet)
    limited, free = fleet.upstreams
    free.stop()
    served = 0
    for number in range(40):
        await fleet.advance(0.25)
        served += (await call(fleet, number)).status == 200
    allowed = 40 * 0.25 * LIMIT_PER_S
    assert 0.7 * allowed <= served <= allowed + 5


async def test_an_upstream_that_names_no_limit_any_more_is_used_again(
    fleet: LimitedFleet,
) -> None:
    await call_often(fleet)
    limited, free = fleet.upstreams
    await until(lambda: fleet.daemons_that_know(limited) == DAEMONS)
    free.stop()
    limited.serve = respond_with(answer())
    await fleet.advance(WINDOW_S)
    assert (await call(fleet, 0)).status == 200
    await until(lambda: fleet.daemons_that_know(limited) == 0)
    assert await call_often(fleet) == [200] * REQUESTS


async def test_a_daemon_that_starts_later_learns_a_limit_from_its_peers(
    fleet: LimitedFleet,
) -> None:
    await call_often(fleet)
    limited, _ = fleet.upstreams
    late = await start_entry(
        StandInSource(configuration(), ()),
        peer_address=free_address(),
        seeds=(fleet.daemons[0].node.settings.peer_address,),
    )
    limits = late.node.rate_limits
    await until(lambda: limited.name in limits.upstreams)
    await late.stop()


async def test_streams_keep_the_limit_of_an_engine(
    fleet: LimitedFleet,
) -> None:
    head = STREAM_HEAD.replace(
        SIGNATURE, SIGNATURE + b"plantainsail-rate-limit: 2\r\n"
    )
    body = chunk(event(0)) + STREAM_END
    limited, free = fleet.upstreams
    limited.serve = respond_with(head + body)
    free.serve = respond_with(STREAM_HEAD + body)
    for number in range(REQUESTS):
        caller = StandInCaller(fleet.daemons[number % DAEMONS])
        headers = {"plantainsail-request-id": f"r{number}"}
        assert (await caller.call("/stream/x", headers)).is_whole
    assert len(limited.received_requests) <= MAX_IN_WINDOW
    assert len(free.received_requests) >= REQUESTS - MAX_IN_WINDOW


async def test_a_malformed_limit_changes_nothing(fleet: LimitedFleet) -> None:
    await call_often(fleet)
    limited, free = fleet.upstreams
    await until(lambda: fleet.daemons_that_know(limited) == DAEMONS)
    free.stop()
    limited.serve = respond_with(
        answer(extra=b"plantainsail-rate-limit: few\r\n")
    )
    await fleet.advance(WINDOW_S)
    assert (await call(fleet, 0)).status == 200
    assert fleet.daemons_that_know(limited) == DAEMONS
