"""A configuration service that was restored from an older copy.

It has lost what was written last, its revisions go back and are given
out again.  Daemons that compare revisions then miss changes, take an
older configuration for the newest, or use upstreams that have left.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest

from plantainsail.entry import feed
from plantainsail.entry.daemon import EntryDaemon
from plantainsail.entry.settings import EntryBounds
from plantainsail.platform.store import PlatformStore
from soak.fleet import free_address
from tests.standins.restorable_store import (
    CONFIGURATION_KEY,
    RestorableStore,
)
from tests.standins.routed import StandInCaller, start_entry
from tests.standins.waiting import until

# A test that waits in vain fails after this time.
LIMIT_S = 20.0
NEVER_S = 3_600.0
BOUNDS = EntryBounds(revocation_s=1.0)
KEY = {"authorization": "Bearer good-key"}


def configuration_of(
    version: int, path: str = "/one/", keys: tuple[str, ...] = ("good-key",)
) -> dict[str, Any]:
    return {
        "Version": version,
        "Routes": [
            {
                "Name": path,
                "Host": "example.org",
                "PathPrefix": path,
                "Kind": "idempotent",
                "TimeoutMs": 5000,
                "TargetLatencyMs": 1000,
                "Service": "office",
                "MaxAttempts": 2,
                "AnonymousAccess": False,
            }
        ],
        "Services": [{"Name": "office"}],
        "Tenants": [{"Name": "desk", "ApiKeys": list(keys)}],
    }


def entry_of(state: str = "ready", born: int = 7) -> dict[str, Any]:
    return {
        "Service": "office",
        "Address": "127.0.0.1:9",
        "Zone": "a",
        "Slots": 4,
        "State": state,
        "born": born,
    }


class Deployment:
    """Daemons that read one store."""

    def __init__(self, store: RestorableStore, address: str) -> None:
        self.store = store
        self.address = address
        self.seed = free_address()
        self.daemons: list[EntryDaemon] = []

    async def add(self) -> EntryDaemon:
        """Start one more daemon; return it at once."""
        peer = free_address() if self.daemons else self.seed
        daemon = await start_entry(
            PlatformStore(self.address), peer_address=peer, seeds=(self.seed,)
        )
        self.daemons.append(daemon)
        return daemon

    async def all_know(self, condition: Callable[[EntryDaemon], bool]) -> None:
        """Wait until a condition holds at all daemons."""
        async with asyncio.timeout(LIMIT_S):
            await until(lambda: all(map(condition, self.daemons)))

    async def all_usable(self, identifiers: str) -> None:
        """Wait until all daemons use just these upstreams."""
        expected = set(identifiers.split())
        await self.all_know(lambda daemon: usable(daemon) == expected)

    async def all_version(self, version: int) -> None:
        """Wait until a version is in force at all daemons."""
        await self.all_know(lambda daemon: version_of(daemon) == version)


def version_of(daemon: EntryDaemon) -> int:
    return daemon.node.in_force.version


def ignore_datagram(_: bytes, __: tuple[str, int]) -> None:
    """Drop a message, as a network that is cut does."""


def usable(daemon: EntryDaemon) -> set[str]:
    upstreams = daemon.node.registry.usable_upstreams("office")
    return {upstream.identifier for upstream in upstreams}


@pytest.fixture
async def deployment() -> AsyncIterator[Deployment]:
    store = RestorableStore()
    store.write(CONFIGURATION_KEY, configuration_of(3))
    store.write("servers/u0", entry_of())
    store.write("servers/u1", entry_of())
    made = Deployment(store, await store.start())
    for _ in range(3):
        await made.add()
    for daemon in made.daemons:
        await until(daemon.node.is_ready)
    await made.all_usable("u0 u1")
    yield made
    store.stop()
    for daemon in made.daemons:
        await daemon.stop()


async def lose_two_changes(deployment: Deployment) -> None:
    """Write twice, and let the store forget both."""
    store = deployment.store
    copy = store.copy()
    store.write("servers/u2", entry_of())
    store.write("servers/u3", entry_of())
    await deployment.all_usable("u0 u1 u2 u3")
    watches = len(deployment.daemons)
    await until(lambda: store.waiting_watches == watches)
    store.restore(copy)


async def test_a_departure_at_a_revision_given_out_again_is_known(
    deployment: Deployment,
) -> None:
    await lose_two_changes(deployment)
    deployment.store.write("servers/u0", entry_of("draining"))
    await deployment.all_know(
        lambda daemon: not daemon.node.registry.is_usable("u0")
    )


async def test_a_departure_while_a_watch_hears_nothing_is_known(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The outage did not cut the watches that were waiting."""
    deployment.store.is_deaf = True
    monkeypatch.setattr(feed, "WATCH_TIMEOUT_S", NEVER_S)
    await lose_two_changes(deployment)
    deployment.store.write("servers/u0", entry_of("draining"))
    await deployment.all_know(
        lambda daemon: not daemon.node.registry.is_usable("u0")
    )


async def test_a_configuration_at_a_revision_given_out_again_is_in_force(
    deployment: Deployment,
) -> None:
    store = deployment.store
    copy = store.copy()
    store.write(CONFIGURATION_KEY, configuration_of(5))
    await deployment.all_version(5)
    store.restore(copy)
    store.write(CONFIGURATION_KEY, configuration_of(8, "/two/"))
    await deployment.all_version(8)


async def test_an_older_configuration_of_the_copy_is_not_put_in_force(
    deployment: Deployment,
) -> None:
    store = deployment.store
    copy = store.copy()
    store.write(CONFIGURATION_KEY, configuration_of(5, "/two/", ()))
    await deployment.all_version(5)
    store.restore(copy)
    started = await deployment.add()
    await until(lambda: started.node.in_force.version >= 0)
    for daemon in deployment.daemons:
        response = await StandInCaller(daemon).call("/one/x", KEY)
        assert response.status in (404, 503)
        response = await StandInCaller(daemon).call("/two/x", KEY)
        assert response.status in (401, 503)


async def test_upstreams_that_left_before_are_not_used_again(
    deployment: Deployment,
) -> None:
    store = deployment.store
    copy = store.copy()
    store.write("servers/u2", entry_of())
    store.write("servers/u0", entry_of("draining"))
    store.write("servers/u1", None)
    await deployment.all_usable("u2")
    store.restore(copy)
    store.write("servers/u3", entry_of())
    await deployment.all_know(lambda daemon: "u3" in usable(daemon))
    for daemon in deployment.daemons:
        assert not usable(daemon) & {"u0", "u1"}


async def test_an_upstream_that_writes_its_entry_again_is_used(
    deployment: Deployment,
) -> None:
    """Its entry had lapsed before the store was restored."""
    store = deployment.store
    copy = store.copy()
    store.write("servers/u1", None)
    await deployment.all_usable("u0")
    store.restore(copy)
    store.write("servers/u3", entry_of())
    await deployment.all_know(lambda daemon: "u3" in usable(daemon))
    store.write("servers/u1", entry_of())
    await deployment.all_usable("u0 u1 u3")


async def test_upstreams_that_the_copy_lacks_stay_in_use_for_a_while(
    deployment: Deployment,
) -> None:
    """They write their entries again within a moment."""
    store = deployment.store
    await lose_two_changes(deployment)
    store.write("servers/u4", entry_of())
    await deployment.all_know(lambda daemon: "u4" in usable(daemon))
    for daemon in deployment.daemons:
        assert {"u2", "u3"} <= usable(daemon)
    store.write("servers/u2", entry_of())
    await deployment.all_usable("u0 u1 u2 u4")


async def test_a_daemon_that_starts_then_takes_the_lists_of_its_peers(
    deployment: Deployment,
) -> None:
    store = deployment.store
    copy = store.copy()
    store.write(CONFIGURATION_KEY, configuration_of(5, "/two/"))
    await deployment.all_version(5)
    store.restore(copy)
    await deployment.add()
    await deployment.all_version(5)
    store.write(CONFIGURATION_KEY, configuration_of(8, "/three/"))
    store.write("servers/u0", entry_of("draining"))
    await deployment.all_version(8)
    await deployment.all_usable("u1")


async def test_a_daemon_that_was_cut_off_accepts_no_key_by_the_copy(
    deployment: Deployment,
) -> None:
    """The copy has a key that was taken away meanwhile."""
    store = deployment.store
    copy = store.copy()
    cut_off = deployment.daemons[2]
    node = cut_off.node
    node.settings = node.settings._replace(bounds=BOUNDS)
    source = cut_off.feed.source
    assert isinstance(source, PlatformStore)
    receive = cut_off.gossip.datagram_received
    source.address = free_address()
    cut_off.gossip.datagram_received = ignore_datagram  # type: ignore
    # The watch that waits is answered once more.
    store.write("other", 1)
    await until(lambda: cut_off.feed.is_service_lost)
    store.write(CONFIGURATION_KEY, configuration_of(5, "/two/", ()))
    await until(lambda: version_of(deployment.daemons[0]) == 5)
    await until(lambda: version_of(deployment.daemons[1]) == 5)
    await until(lambda: not node.may_use_keys())
    store.restore(copy)
    source.address = deployment.address
    await until(lambda: not cut_off.feed.is_service_lost)
    assert version_of(cut_off) == 3
    assert not node.may_use_keys()
    cut_off.gossip.datagram_received = receive  # type: ignore
    while node.in_force.version == 3:
        assert not node.may_use_keys()
        await asyncio.sleep(0)
    assert node.in_force.version == 5


async def test_a_store_that_is_restored_twice_is_followed(
    deployment: Deployment,
) -> None:
    await lose_two_changes(deployment)
    await lose_two_changes(deployment)
    deployment.store.write("servers/u1", entry_of("draining"))
    await deployment.all_know(
        lambda daemon: not daemon.node.registry.is_usable("u1")
    )
