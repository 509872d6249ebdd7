"""Published lists on five real daemons on loopback.

The tests guard against a fleet that misses a change, returns to an
older revision or stops serving when the configuration service is
stale, down or refuses calls, and against more calls of it than planned.
"""

import asyncio
from collections.abc import AsyncIterator, Callable

import pytest

from plantainsail.daemon import Daemon
from plantainsail.lists.freshness import FreshnessVerdict
from plantainsail.lists.watchers import WATCHERS_PER_ZONE
from plantainsail.membership import liveness, pauses
from plantainsail.runtime import list_sync
from plantainsail.settings import Settings
from tests.standins.config_service import ConfigService
from tests.standins.platform import Platform, plan_part, start_daemon

DAEMONS = 5
WAIT_LIMIT_S = 30.0
PART_KEY = "lists/plans/0"
INDEX_KEY = "lists/index"
CALLS_PER_WATCHER_AND_CHANGE = 4


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, for a bounded time."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


def single_zone_settings(
    platform: Platform, number: int, address: str
) -> Settings:
    """Return settings with all daemons in one zone."""
    settings = platform.settings(number, peer_address=address)
    return settings._replace(availability_zone="zone-0")


@pytest.fixture
async def zone(platform: Platform) -> AsyncIterator[list[Daemon]]:
    daemons = []
    for number in range(1, DAEMONS + 1):
        settings = single_zone_settings(platform, number, "127.0.0.1:0")
        daemon = await start_daemon(settings)
        platform.list_daemon(daemon)
        platform.publish_hosts()
        daemons.append(daemon)
    revision = platform.hosts_revision
    await wait_until(
        lambda: all(d.node.store.hosts.revision == revision for d in daemons)
    )
    yield daemons
    for daemon in daemons:
        await daemon.stop()


def revisions_in_force(daemons: list[Daemon]) -> list[int]:
    return [daemon.node.store.lists.revision for daemon in daemons]


async def wait_until_watchers_settle(config: ConfigService) -> None:
    """Wait until only the watchers of the last host list watch.

    The first daemons watched until the later ones were listed; those
    watches have all ended after three more rounds.
    """
    settled = config.watches[INDEX_KEY] + 3 * WATCHERS_PER_ZONE
    await wait_until(lambda: config.watches[INDEX_KEY] >= settled)
    await wait_until(lambda: config.waiting[INDEX_KEY] == WATCHERS_PER_ZONE)


@pytest.fixture
def without_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Raise the timeouts after which other daemons read the service.

    On a busy machine peers may deliver a revision later than the other
    daemons wait before they read it themselves, a watcher may seem
    stale to some and be replaced by another, and a daemon that paused
    for a second reads everything again.
    """
    monkeypatch.setattr(pauses, "PAUSE_LIMIT_S", WAIT_LIMIT_S)
    monkeypatch.setattr(liveness, "STALE_AFTER_S", WAIT_LIMIT_S)
    monkeypatch.setattr(liveness, "DEAD_AFTER_S", WAIT_LIMIT_S)
    monkeypatch.setattr(list_sync, "PEER_DELIVERY_TIME_S", WAIT_LIMIT_S)
    monkeypatch.setattr(list_sync, "MAX_AGE_WITHOUT_WATCH_S", WAIT_LIMIT_S)


async def test_change_reaches_all_daemons_and_a_stale_service_reverts_none(
    zone: list[Daemon], platform: Platform, without_timeouts: None
) -> None:
    config = platform.config
    old_values = dict(config.values)
    await wait_until_watchers_settle(config)
    reads = config.reads[PART_KEY]
    config.publish_family("lists", 2, {"plans/0": plan_part()})
    await wait_until(lambda: revisions_in_force(zone) == [2] * DAEMONS)
    assert 1 <= config.reads[PART_KEY] - reads <= WATCHERS_PER_ZONE

    config.values = old_values
    address = zone[0].node.incarnation.address
    await zone[0].stop()
    zone[0] = await start_daemon(single_zone_settings(platform, 1, address))
    assert zone[0].node.life_cycle.state == "serving"
    assert revisions_in_force(zone) == [2] * DAEMONS


async def test_a_change_costs_at_most_four_calls_per_watcher(
    zone: list[Daemon], platform: Platform, without_timeouts: None
) -> None:
    """A watcher is notified, reads index and part, and watches again.

    That is at most four calls for each watcher, however many daemons
    there are.  The host list did not change; its calls are counted
    separately, so that the sum is all calls that the service received.
    """
    config = platform.config
    index = INDEX_KEY
    await wait_until_watchers_settle(config)
    calls, told = config.calls, config.told[index]
    reads, watches = config.reads.copy(), config.watches.copy()
    config.publish_family("lists", 2, {"plans/0": plan_part()})
    await wait_until(lambda: revisions_in_force(zone) == [2] * DAEMONS)
    await wait_until(lambda: config.waiting[index] >= WATCHERS_PER_ZONE)
    calls_by_key = (config.reads - reads) + (config.watches - watches)
    list_calls = sum(
        n for key, n in calls_by_key.items() if key.startswith("lists")
    )
    counts = (
        f"{config.calls - calls} calls, of lists {list_calls}: {calls_by_key}"
    )
    print(counts)
    assert config.calls - calls == calls_by_key.total(), counts
    assert 1 <= config.told[index] - told <= WATCHERS_PER_ZONE, counts
    assert calls_by_key[PART_KEY] <= WATCHERS_PER_ZONE, counts
    assert list_calls <= CALLS_PER_WATCHER_AND_CHANGE * WATCHERS_PER_ZONE, (
        counts
    )


async def test_malformed_revision_is_refused_and_recorded(
    zone: list[Daemon], platform: Platform
) -> None:
    bad = plan_part()
    bad["organisations"][0]["plan"] = "none"
    platform.config.publish_family("lists", 2, {"plans/0": bad})
    await wait_until(lambda: any(d.node.store.refusals for d in zone))
    assert revisions_in_force(zone) == [1] * DAEMONS
    platform.config.publish_family("lists", 3, {"plans/0": plan_part()})
    await wait_until(lambda: revisions_in_force(zone) == [3] * DAEMONS)


async def test_fleet_keeps_serving_while_the_service_is_down(
    zone: list[Daemon], platform: Platform
) -> None:
    platform.config.is_down = True
    for daemon in zone:
        daemon.node.store.confirmed_times_s = dict.fromkeys(
            daemon.node.store.confirmed_times_s, daemon.node.now_s() - 100.0
        )
    allowed = (FreshnessVerdict.UNCONFIRMED, FreshnessVerdict.FRESH)
    await wait_until(
        lambda: all(d.node.freshness.verdict() in allowed for d in zone)
    )
    last_daemon = zone.pop()
    for daemon in zone:
        await daemon.stop()
    zone[:] = [last_daemon]
    last_daemon.node.store.confirmed_times_s = dict.fromkeys(
        last_daemon.node.store.confirmed_times_s,
        last_daemon.node.now_s() - 100.0,
    )
    # All other daemons are gone, but the host list still names them.
    last_daemon.node.freshness.zone_contacts.heard_at_s.clear()
    assert last_daemon.node.freshness.verdict() is FreshnessVerdict.CUT_OFF


async def test_service_that_refuses_calls_delays_a_change_only(
    zone: list[Daemon], platform: Platform
) -> None:
    config = platform.config
    config.calls_left = 0
    config.publish_family("lists", 2, {"plans/0": plan_part()})
    await wait_until(lambda: config.refused > 0)
    assert revisions_in_force(zone) == [1] * DAEMONS
    config.calls_left = None
    await wait_until(lambda: revisions_in_force(zone) == [2] * DAEMONS)
