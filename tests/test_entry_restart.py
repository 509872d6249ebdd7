"""A restarted daemon uses no withdrawn key and no upstream that left.

The new process knows nothing.  If the configuration service refuses it,
it depends on its peers, whose lists may be older than those that the
process before it had.
"""

import asyncio
from collections.abc import AsyncIterator

import pytest

from plantainsail.entry.daemon import EntryDaemon
from plantainsail.entry.settings import EntryBounds
from soak.fleet import free_address
from tests.standins.routed import (
    KEYS,
    StandInCaller,
    StandInSource,
    StandInUpstream,
    answer,
    configuration,
    respond_with,
    start_entry,
)
from tests.standins.waiting import until

KEY = {"authorization": "Bearer good-key"}
BOUNDS = EntryBounds(revocation_s=1.0)


class Fleet:
    """One daemon that reads the service, and one that can't."""

    def __init__(
        self,
        source: StandInSource,
        upstreams: list[StandInUpstream],
        reader: EntryDaemon,
    ) -> None:
        self.source = source
        self.upstreams = upstreams
        self.reader = reader
        self.seeds = (reader.node.settings.peer_address,)
        self.address = free_address()

    async def restart(self, daemon: EntryDaemon) -> EntryDaemon:
        """Stop a daemon and start it anew at the same address."""
        await daemon.stop()
        # The event loop closes the old socket in its next round.
        await asyncio.sleep(0)
        return await self.start_cut_off()

    async def start_cut_off(self) -> EntryDaemon:
        """Start the daemon that the configuration service refuses."""
        source = StandInSource(configuration(1, KEYS), ())
        source.go_down()
        return await start_entry(
            source,
            peer_address=self.address,
            seeds=self.seeds,
            bounds=BOUNDS,
        )


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    upstreams = [
        StandInUpstream(name, respond_with(answer())) for name in ("u0", "u1")
    ]
    entries = tuple([await upstream.start() for upstream in upstreams])
    source = StandInSource(configuration(1, KEYS), entries)
    reader = await start_entry(source, bounds=BOUNDS)
    await until(reader.node.is_ready)
    yield Fleet(source, upstreams, reader)
    await reader.stop()
    for upstream in upstreams:
        upstream.stop()


async def test_an_upstream_that_left_is_not_used_after_a_restart(
    fleet: Fleet,
) -> None:
    daemon = await fleet.start_cut_off()
    await until(daemon.node.is_ready)
    fleet.source.put(fleet.source.upstreams["u0"]._replace(is_draining=True))
    await until(lambda: not daemon.node.registry.is_usable("u0"))
    restarted = await fleet.restart(daemon)
    await until(restarted.node.is_ready)
    for _ in range(4):
        response = await StandInCaller(restarted).call("/once/x", KEY)
        assert response.status == 200
    assert fleet.upstreams[0].received_requests == []
    await restarted.stop()


async def test_a_withdrawn_key_is_refused_after_a_restart(
    fleet: Fleet,
) -> None:
    daemon = await fleet.start_cut_off()
    await until(daemon.node.is_ready)
    fleet.source.publish(configuration(2, ()))
    await until(lambda: daemon.node.in_force.version == 2)
    restarted = await fleet.restart(daemon)
    await until(restarted.node.is_ready)
    response = await StandInCaller(restarted).call("/once/x", KEY)
    assert response.status == 401
    await restarted.stop()


async def test_a_restarted_daemon_without_a_fresh_peer_accepts_no_key(
    fleet: Fleet,
) -> None:
    """Its only peer has lost the service too and may be outdated."""
    fleet.source.go_down()
    reader = fleet.reader.node
    await until(lambda: not reader.may_use_keys())
    restarted = await fleet.start_cut_off()
    await until(lambda: restarted.node.in_force.version == 1)
    response = await StandInCaller(restarted).call("/once/x", KEY)
    assert response.status == 503
    assert response.headers["plantainsail-outcome"] == "not_run"
    assert fleet.upstreams[0].received_requests == []
    await restarted.stop()
