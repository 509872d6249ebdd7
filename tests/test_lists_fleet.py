"""Published lists over five real daemons on loopback."""

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
LIMIT_S = 30.0
PART_KEY = "lists/plans/0"
INDEX_KEY = "lists/index"
CALLS_OF_A_CHANGE = 4


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, for a bounded time."""
    async with asyncio.timeout(LIMIT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


def one_zone(platform: Platform, number: int, address: str) -> Settings:
    """Return settings with all daemons in one zone."""
    settings = platform.settings(number, peer_address=address)
    return settings._replace(availability_zone="zone-0")


@pytest.fixture
async def zone(platform: Platform) -> AsyncIterator[list[Daemon]]:
    daemons = []
    for number in range(1, DAEMONS + 1):
        settings = one_zone(platform, number, "127.0.0.1:0")
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


def in_force(daemons: list[Daemon]) -> list[int]:
    return [daemon.node.store.lists.revision for daemon in daemons]


async def until_settled(config: ConfigService) -> None:
    """Wait until only the watchers of the last host list watch.

    The first daemons watched until the later ones were listed; all
    watches of that time have ended after three more rounds.
    """
    settled = config.watches[INDEX_KEY] + 3 * WATCHERS_PER_ZONE
    await wait_until(lambda: config.watches[INDEX_KEY] >= settled)
    await wait_until(lambda: config.waiting[INDEX_KEY] == WATCHERS_PER_ZONE)


@pytest.fixture
def patience(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let all but the watchers wait for peers however long it takes.

    On a busy machine peers may need longer to bring a revision than
    the others wait before they read it themselves, a watcher that
    seems stale to some is replaced by another, and a daemon that stood
    still for a second reads all anew.
    """
    monkeypatch.setattr(pauses, "PAUSE_LIMIT_S", LIMIT_S)
    monkeypatch.setattr(liveness, "STALE_AFTER_S", LIMIT_S)
    monkeypatch.setattr(liveness, "DEAD_AFTER_S", LIMIT_S)
    monkeypatch.setattr(list_sync, "BEHIND_ASK_S", LIMIT_S)
    monkeypatch.setattr(list_sync, "FALLBACK_AGE_S", LIMIT_S)


async def test_change_reaches_all_and_a_stale_service_reverts_none(
    zone: list[Daemon], platform: Platform, patience: None
) -> None:
    config = platform.config
    old_values = dict(config.values)
    await until_settled(config)
    reads = config.reads[PART_KEY]
    config.publish_family("lists", 2, {"plans/0": plan_part()})
    await wait_until(lambda: in_force(zone) == [2] * DAEMONS)
    assert 1 <= config.reads[PART_KEY] - reads <= WATCHERS_PER_ZONE

    config.values = old_values
    address = zone[0].node.incarnation.address
    await zone[0].stop()
    zone[0] = await start_daemon(one_zone(platform, 1, address))
    assert zone[0].node.life_cycle.state == "serving"
    assert in_force(zone) == [2] * DAEMONS


async def test_each_call_of_the_service_for_a_change_is_counted(
    zone: list[Daemon], platform: Platform, patience: None
) -> None:
    """A watcher is told, reads index and part, and watches again.

    That is at most four calls a watcher, however many daemons there
    are.  The host list did not change; its calls are counted apart, so
    that the sum is all that the service got.
    """
    config = platform.config
    index = INDEX_KEY
    await until_settled(config)
    calls, told = config.calls, config.told[index]
    reads, watches = config.reads.copy(), config.watches.copy()
    config.publish_family("lists", 2, {"plans/0": plan_part()})
    await wait_until(lambda: in_force(zone) == [2] * DAEMONS)
    await wait_until(lambda: config.waiting[index] >= WATCHERS_PER_ZONE)
    made = (config.reads - reads) + (config.watches - watches)
    of_lists = sum(n for key, n in made.items() if key.startswith("lists"))
    counts = f"{config.calls - calls} calls, of lists {of_lists}: {made}"
    print(counts)
    assert config.calls - calls == made.total(), counts
    assert 1 <= config.told[index] - told <= WATCHERS_PER_ZONE, counts
    assert made[PART_KEY] <= WATCHERS_PER_ZONE, counts
    assert of_lists <= CALLS_OF_A_CHANGE * WATCHERS_PER_ZONE, counts


async def test_malformed_revision_stays_out_and_is_shown(
    zone: list[Daemon], platform: Platform
) -> None:
    bad = plan_part()
    bad["organisations"][0]["plan"] = "none"
    platform.config.publish_family("lists", 2, {"plans/0": bad})
    await wait_until(lambda: any(d.node.store.refusals for d in zone))
    assert in_force(zone) == [1] * DAEMONS
    platform.config.publish_family("lists", 3, {"plans/0": plan_part()})
    await wait_until(lambda: in_force(zone) == [3] * DAEMONS)


async def test_service_down_for_all_leaves_the_fleet_serving(
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
    lone = zone.pop()
    for daemon in zone:
        await daemon.stop()
    zone[:] = [lone]
    lone.node.store.confirmed_times_s = dict.fromkeys(
        lone.node.store.confirmed_times_s, lone.node.now_s() - 100.0
    )
    # All others are gone and the host list can't say so.
    lone.node.freshness.zone_contacts.heard_at_s.clear()
    assert lone.node.freshness.verdict() is FreshnessVerdict.CUT_OFF


async def test_a_service_that_refuses_calls_delays_but_reverts_nothing(
    zone: list[Daemon], platform: Platform
) -> None:
    config = platform.config
    config.calls_left = 0
    config.publish_family("lists", 2, {"plans/0": plan_part()})
    await wait_until(lambda: config.refused > 0)
    assert in_force(zone) == [1] * DAEMONS
    config.calls_left = None
    await wait_until(lambda: in_force(zone) == [2] * DAEMONS)
