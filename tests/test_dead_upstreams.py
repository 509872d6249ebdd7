"""Upstreams that ended but are still listed cost no sound request.

Entries outlive a process by seconds.  When many engines end within a
moment, a request that gives up after a few refused connections is
refused although others run, and each daemon finds out by itself.
"""

from collections.abc import AsyncIterator

import pytest

from plantainsail.routing.fleet_loads import UpstreamLoad
from tests.standins.crashing import CrashingFleet

DEAD = 5
BUSY = UpstreamLoad(running=1, memory_tokens=40_000)


@pytest.fixture
async def fleet() -> AsyncIterator[CrashingFleet]:
    crashing_fleet = CrashingFleet()
    crashing_fleet.engine_count = DEAD + 1
    await crashing_fleet.start()
    for name, engine in list(crashing_fleet.engines.items())[:DEAD]:
        assert name != "e5"
        engine.stop()
    # The dead engines seem to be the better choice.
    for daemon in crashing_fleet.daemons:
        daemon.node.fleet_loads.add("e5", BUSY)
    yield crashing_fleet
    await crashing_fleet.stop()


async def test_a_stream_is_served_though_most_listed_engines_are_dead(
    fleet: CrashingFleet,
) -> None:
    answer = await fleet.stream("system own", 0)
    assert (answer.status, answer.is_whole) == (200, True)


async def test_a_read_is_served_though_most_listed_upstreams_are_dead(
    fleet: CrashingFleet,
) -> None:
    assert (await fleet.read(b"sound", 0)).status == 200


async def test_a_peer_avoids_an_engine_that_another_daemon_found_dead(
    fleet: CrashingFleet,
) -> None:
    await fleet.stream("system own", 0)
    node = fleet.daemons[1].node
    await fleet.until_avoided(node, DEAD)
    assert not node.avoidance.is_avoided("e5", node.now_s())
