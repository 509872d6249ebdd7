"""Leaving upstreams get no new work; paused daemons send nothing.

A leaving mark must reach daemons whose host list is older.  A daemon
that was paused must ask its peers and the service before it sends.
"""

import asyncio
import json
from collections.abc import Callable

import pytest

from plantainsail.clock import ManualClock
from plantainsail.daemon import Daemon
from plantainsail.lists.snapshot import Family
from tests.standins.fleet import caller_address
from tests.standins.platform import MODEL, Answer, Platform, call, earn_retries

LIMIT_S = 20.0
CLOCK_STEP_S = 0.02
PAUSE_S = 5.0
DISPATCH = "/v1/services/ledger/dispatch"
READ = "/v1/services/ledger/stock.read"
CHAT_BODY = json.dumps(
    {"model": MODEL, "messages": [{"role": "user", "content": "a letter"}]}
).encode()


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def until_serving(daemon: Daemon, clock: ManualClock) -> None:
    """Advance the clock, which paces reads, until the daemon serves."""

    def is_serving() -> bool:
        clock.advance(CLOCK_STEP_S)
        return daemon.node.life_cycle.state == "serving"

    await until(is_serving)


async def no_pause() -> None:
    """Return at once, so that reads are not paced."""


async def post(daemon: Daemon, path: str, body: bytes) -> Answer:
    return await call(caller_address(daemon), "POST", path, body)


def received(platform: Platform) -> int:
    return sum(len(engine.received) for engine in platform.engines)


async def test_leaving_mark_read_by_one_daemon_stops_all_from_sending(
    fleet: list[Daemon], platform: Platform
) -> None:
    """Only one daemon reads the new host list; others get the mark."""
    for daemon in fleet:
        assert daemon.list_task is not None
        daemon.list_task.cancel()
    engine = fleet[0].node.store.hosts.hosts["engine-1"]
    assert not any(d.node.marks.is_leaving(engine) for d in fleet)
    platform.hosts["engine-1"]["state"] = "leaving"
    platform.publish_hosts()
    read = await fleet[0].list_sync.reader.read_family(Family.HOSTS, no_pause)
    assert read.ok == platform.hosts_revision
    await until(lambda: all(d.node.marks.is_leaving(engine) for d in fleet))
    before = len(platform.engines[0].received)
    for daemon in fleet:
        for _ in range(4):
            answer = await post(daemon, "/v1/chat/completions", CHAT_BODY)
            assert answer.status == 200
    assert len(platform.engines[0].received) == before


async def test_draining_refusal_marks_the_upstream_at_all_daemons(
    fleet: list[Daemon], platform: Platform
) -> None:
    platform.engines[0].is_draining = True
    engine = fleet[0].node.store.hosts.hosts["engine-1"]
    async with asyncio.timeout(LIMIT_S):
        while not fleet[0].node.marks.is_leaving(engine):
            earn_retries(fleet[0], 1)
            answer = await post(fleet[0], "/v1/chat/completions", CHAT_BODY)
            assert answer.status == 200
    await until(lambda: all(d.node.marks.is_leaving(engine) for d in fleet))
    platform.engines[0].is_draining = False
    assert all(d.node.marks.is_leaving(engine) for d in fleet)
    again = engine._replace(incarnation="1")
    assert not fleet[1].node.marks.is_leaving(again)


@pytest.mark.parametrize(
    ("path", "body"),
    [("/v1/chat/completions", CHAT_BODY), (READ, b"{}"), (DISPATCH, b"{}")],
)
async def test_paused_daemon_sends_nothing_before_it_has_refreshed(
    platform: Platform, path: str, body: bytes
) -> None:
    clock = ManualClock(100.0)
    daemon = Daemon(platform.settings(), clock)
    await daemon.start()
    await until_serving(daemon, clock)
    platform.config.is_down = True
    clock.advance(PAUSE_S)
    answer = await post(daemon, path, body)
    assert answer.status == 503
    assert answer.headers["plantainsail-outcome"] == "not_run"
    assert daemon.node.life_cycle.state == "unsure"
    assert received(platform) == 0
    assert platform.services[0].executions == []
    platform.config.is_down = False
    await until_serving(daemon, clock)
    await daemon.stop()


async def test_paused_daemon_serves_only_after_asking_its_peers(
    fleet: list[Daemon],
) -> None:
    life_cycle = fleet[0].node.life_cycle
    life_cycle.paused()
    life_cycle.refreshed()
    assert life_cycle.state == "unsure"
    await fleet[0].fleet.refresh()
    life_cycle.refreshed()
    assert life_cycle.state == "serving"
