"""A daemon must not act on lists that became outdated after admission.

Each test admits work and, right before one action (send, record an
intent, mint, cancel), pauses the daemon, lets it fall behind or cuts it
off.  A check made only at admission would let the action through.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest
from expression import Ok

from plantainsail.clock import ManualClock
from plantainsail.daemon import Daemon
from plantainsail.lists.snapshot import Family
from plantainsail.runtime.generation_endings import cancel_at_engine
from plantainsail.runtime.resumes import signed_stream_name
from plantainsail.streams.naming import sign_name
from plantainsail.streams.relay import Relay
from plantainsail.tickets.ticket import sign_ticket
from tests.standins.fleet import caller_address
from tests.standins.platform import MODEL, Answer, Platform, call
from tests.standins.stream_client import StreamClient
from tests.test_leaving_upstreams import (
    CHAT_BODY,
    DISPATCH,
    PAUSE_S,
    READ,
    until,
    until_serving,
)
from tests.test_streams_daemon import STREAM_BODY

TICKET = "plantainsail-ticket"
NEWER_REVISION = 99
STEP_S = 0.5
Obstacle = Callable[[Daemon], None]


def clock_of(daemon: Daemon) -> ManualClock:
    clock = daemon.node.clock
    assert isinstance(clock, ManualClock)
    return clock


def advance_without_pause(daemon: Daemon, seconds: float) -> None:
    """Advance the clock in steps too short to count as a pause."""
    for _ in range(round(seconds / STEP_S)):
        clock_of(daemon).advance(STEP_S)
        daemon.node.pauses.tick(daemon.node.now_s())


def pause(daemon: Daemon) -> None:
    clock_of(daemon).advance(PAUSE_S)


def fall_behind(daemon: Daemon) -> None:
    node = daemon.node
    node.store.record_seen_revision(Family.LISTS, NEWER_REVISION, node.now_s())
    advance_without_pause(daemon, 1.5)


def cut_off_zone(daemon: Daemon) -> None:
    daemon.node.freshness.other_zones = frozenset({"zone-9"})
    advance_without_pause(daemon, 8.0)


def make_lists_stale(daemon: Daemon) -> None:
    limits = daemon.node.settings.time_limits
    confirmed_s = daemon.node.now_s() - limits.lists_stale_s - 1.0
    daemon.node.store.confirmed_times_s[Family.LISTS] = confirmed_s


OBSTACLES = [
    pytest.param(pause, "unsure", id="paused"),
    pytest.param(fall_behind, "lists_behind", id="behind"),
    pytest.param(cut_off_zone, "lists_stale", id="cut-off"),
    pytest.param(make_lists_stale, "lists_stale", id="stale"),
]
obstacles = pytest.mark.parametrize(("obstacle", "code"), OBSTACLES)


@pytest.fixture
async def daemon(platform: Platform) -> AsyncIterator[Daemon]:
    clock = ManualClock(100.0)
    running = Daemon(platform.settings(), clock)
    await running.start()
    await until_serving(running, clock)
    # The lists are not confirmed again while the test runs.
    platform.config.is_down = True
    assert running.list_task is not None
    running.list_task.cancel()
    yield running
    running.node.running.idle.set()
    await running.stop()


def run_before(
    owner: Any, name: str, daemon: Daemon, obstacle: Obstacle
) -> None:
    """Make the obstacle occur right before a method is called."""
    method = getattr(owner, name)

    def changed(*arguments: Any, **options: Any) -> Any:
        obstacle(daemon)
        return method(*arguments, **options)

    setattr(owner, name, changed)


async def post(daemon: Daemon, path: str, ticket: str = "") -> Answer:
    body = CHAT_BODY if path.endswith("completions") else b"{}"
    headers = {TICKET: ticket} if ticket else {}
    return await call(
        caller_address(daemon), "POST", path, body, headers=headers
    )


def check_refused(answer: Answer, code: str) -> None:
    assert f'"code":"{code}"'.encode() in answer.body
    assert answer.headers["plantainsail-outcome"] == "not_run"


def count_received(platform: Platform) -> int:
    engines = sum(len(e.received) for e in platform.engines)
    return engines + len(platform.services[0].executions)


@obstacles
async def test_an_admitted_generation_is_not_sent(
    platform: Platform, daemon: Daemon, obstacle: Obstacle, code: str
) -> None:
    run_before(daemon.node.dispatcher, "acquire", daemon, obstacle)
    check_refused(await post(daemon, "/v1/chat/completions"), code)
    assert count_received(platform) == 0


@obstacles
async def test_an_admitted_read_is_not_sent(
    platform: Platform, daemon: Daemon, obstacle: Obstacle, code: str
) -> None:
    run_before(daemon.node.hedges, "delay_s", daemon, obstacle)
    run_before(daemon.node.hedges, "record_read", daemon, obstacle)
    check_refused(await post(daemon, READ), code)
    assert count_received(platform) == 0


@obstacles
async def test_no_intent_is_recorded_after_an_obstacle(
    platform: Platform, daemon: Daemon, obstacle: Obstacle, code: str
) -> None:
    tickets = daemon.node.tickets
    asked: list[object] = []
    ticket = tickets.mint.mint("desk")
    assert ticket is not None

    async def intend(call: object) -> Any:
        asked.append(call)
        return Ok(None)

    tickets._intend = intend  # type: ignore[method-assign]
    run_before(tickets, "_run_once", daemon, obstacle)
    check_refused(await post(daemon, DISPATCH, ticket), code)
    assert asked == []
    assert count_received(platform) == 0


@obstacles
async def test_a_call_with_a_granted_intent_is_not_sent(
    platform: Platform, daemon: Daemon, obstacle: Obstacle, code: str
) -> None:
    tickets = daemon.node.tickets
    ticket = tickets.mint.mint("desk")
    assert ticket is not None
    run_before(tickets, "_intend", daemon, obstacle)
    check_refused(await post(daemon, DISPATCH, ticket), code)
    assert count_received(platform) == 0


@obstacles
async def test_no_ticket_is_minted_after_an_obstacle(
    daemon: Daemon, obstacle: Obstacle, code: str
) -> None:
    assert daemon.node.tickets.mint.mint("desk") is not None
    obstacle(daemon)
    assert daemon.node.tickets.mint.mint("desk") is None


@obstacles
async def test_no_generation_is_cancelled_after_an_obstacle(
    platform: Platform, daemon: Daemon, obstacle: Obstacle, code: str
) -> None:
    engine = daemon.node.store.hosts.hosts["engine-1"]
    asked: list[str] = []

    async def cancel(host: Any, generation: str, attempt: int = 0) -> bool:
        asked.append(generation)
        return True

    setattr(daemon.node.engines, "cancel", cancel)  # noqa: B010
    relay = Relay("req-1", "gen-1", 10)
    await cancel_at_engine(daemon.node, engine, relay)
    assert asked == ["gen-1"]
    obstacle(daemon)
    await cancel_at_engine(daemon.node, engine, relay)
    assert asked == ["gen-1"]


async def test_a_ticket_minted_under_newer_lists_is_refused_as_behind(
    platform: Platform, daemon: Daemon
) -> None:
    node = daemon.node
    text = node.tickets.mint.mint("desk")
    assert text is not None
    ticket = node.tickets.verify_text(text).ok._replace(
        lists_revision=NEWER_REVISION
    )
    answer = await post(daemon, DISPATCH, sign_ticket(ticket, node.signer))
    assert b'"code":"lists_behind"' in answer.body
    assert answer.headers["plantainsail-outcome"] == "unknown"
    assert node.store.highest_seen[Family.LISTS] == NEWER_REVISION
    assert count_received(platform) == 0


async def test_a_stream_named_under_newer_lists_is_refused_as_behind(
    daemon: Daemon,
) -> None:
    node = daemon.node
    caller = StreamClient()
    await caller.post(caller_address(daemon), STREAM_BODY)
    await caller.read_all()
    (stream,) = node.streams.by_request.values()
    assert stream.name is not None
    assert caller.name == signed_stream_name(node, stream)
    newer = stream.name._replace(lists_revision=NEWER_REVISION)
    caller.name = sign_name(newer, node.signer)
    await caller.resume(caller_address(daemon))
    assert caller.status == 503
    assert caller.response.headers["plantainsail-code"] == "7004"
    assert node.store.highest_seen[Family.LISTS] == NEWER_REVISION


async def test_running_work_is_not_cut_off_by_stale_lists(
    platform: Platform, daemon: Daemon
) -> None:
    for engine in platform.engines:
        engine.hold_position = 3
    chat_call = asyncio.create_task(post(daemon, "/v1/chat/completions"))
    await until(lambda: count_received(platform) > 0)
    cut_off_zone(daemon)
    for engine in platform.engines:
        engine.hold_released.set()
    answer = await chat_call
    assert answer.status == 200
    assert MODEL.encode() in answer.body
