"""Generations on an engine that is reclaimed at short notice."""

import asyncio
import json
from collections.abc import AsyncIterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainsail.daemon import Daemon
from plantainsail.policy.moves import MAX_MOVES, MoveFacts, may_move
from tests.standins.engine import Engine, Fault
from tests.standins.platform import Answer, Platform, call, earn_retries
from tests.standins.stream_client import StreamClient
from tests.standins.waiting import until
from tests.test_streams_daemon import (
    CHAT,
    LENGTH,
    MIDDLE,
    STREAM_BODY,
    WHOLE_BODY,
    WORDS,
    address_of,
    start,
)


@pytest.fixture
async def relay(platform: Platform) -> AsyncIterator[Daemon]:
    daemon = await start(platform, silence_s=30.0)
    yield daemon
    for engine in platform.engines:
        engine.go_on.set()
    await daemon.stop()


def hold_at(platform: Platform, position: int) -> None:
    """Let generations stop before a position."""
    for engine in platform.engines:
        engine.hold_position = position


async def busy_engine(platform: Platform) -> tuple[Engine, Engine]:
    """Return the engine that got the generation, then the other."""
    await until(lambda: any(e.received for e in platform.engines))
    first, other = platform.engines
    return (first, other) if first.received else (other, first)


async def reclaim(platform: Platform, relay: Daemon, engine: Engine) -> None:
    """Publish that an engine leaves, and wait until that is known."""
    number = platform.engines.index(engine) + 1
    platform.hosts[f"engine-{number}"]["state"] = "leaving"
    platform.publish_hosts()
    entry = relay.node.store.hosts.hosts[f"engine-{number}"]
    await until(lambda: relay.node.marks.is_leaving(entry))


def moves(relay: Daemon, result: str) -> float:
    value: float = relay.node.metrics.moves.labels(result)._value.get()
    return value


def retries(relay: Daemon) -> int:
    return len(relay.node.retries.daemon.retries)


def ask_whole(relay: Daemon) -> asyncio.Task[Answer]:
    return asyncio.create_task(
        call(address_of(relay), "POST", CHAT, WHOLE_BODY)
    )


def check_whole(answer: Answer) -> None:
    assert answer.status == 200
    value = json.loads(answer.body)
    assert value["choices"][0]["message"]["content"] == WORDS
    assert value["usage"]["completion_tokens"] == LENGTH


@pytest.mark.parametrize("position", [0, MIDDLE])
async def test_a_held_answer_moves_at_once(
    platform: Platform, relay: Daemon, position: int
) -> None:
    hold_at(platform, position)
    asked = ask_whole(relay)
    engine, other = await busy_engine(platform)
    await until(lambda: _produced(engine) >= position)
    other.hold_position = None
    await reclaim(platform, relay, engine)
    check_whole(await asked)
    assert len(engine.received) == len(other.received) == 1
    assert moves(relay, "moved") == 1
    assert retries(relay) == 0
    # The place on the engine that leaves is given back there too.
    await until(lambda: len(engine.cancels) == 1)
    assert other.cancels == []
    assert relay.node.dispatcher.scheduler.running == 0


def _produced(engine: Engine) -> int:
    return sum(g.produced for g in engine.generations.values())


async def test_an_undelivered_stream_moves_and_a_delivered_one_stays(
    platform: Platform, relay: Daemon
) -> None:
    hold_at(platform, MIDDLE)
    reader = StreamClient()
    await reader.post(address_of(relay), STREAM_BODY)
    await reader.read_to(MIDDLE)
    engine, other = await busy_engine(platform)
    await reclaim(platform, relay, engine)
    await until(lambda: relay.leaving_watch.last_handled_mark > 0)
    assert moves(relay, "moved") == 0
    engine.go_on.set()
    await reader.read_all()
    assert reader.is_done
    assert reader.text == WORDS
    assert other.received == []
    assert engine.cancels == []


async def test_a_stream_without_a_first_token_moves(
    platform: Platform, relay: Daemon
) -> None:
    hold_at(platform, 0)
    caller = StreamClient()
    posted = asyncio.create_task(caller.post(address_of(relay), STREAM_BODY))
    engine, other = await busy_engine(platform)
    other.hold_position = None
    await reclaim(platform, relay, engine)
    await posted
    await caller.read_all()
    assert caller.is_done
    assert caller.text == WORDS
    assert len(other.received) == 1
    assert moves(relay, "moved") == 1


async def test_without_another_engine_it_runs_to_its_end(
    platform: Platform, relay: Daemon
) -> None:
    hold_at(platform, MIDDLE)
    asked = ask_whole(relay)
    engine, other = await busy_engine(platform)
    await reclaim(platform, relay, other)
    await reclaim(platform, relay, engine)
    await until(lambda: moves(relay, "no_place") == 1)
    engine.go_on.set()
    check_whole(await asked)
    assert other.received == []
    assert engine.cancels == []


async def test_what_moved_and_failed_is_not_told_as_not_run(
    platform: Platform, relay: Daemon
) -> None:
    hold_at(platform, MIDDLE)
    relay.node.retries.try_spend("desk", relay.node.now_s())
    asked = ask_whole(relay)
    engine, other = await busy_engine(platform)
    await other.listener.stop()
    await reclaim(platform, relay, engine)
    answer = await asked
    assert answer.status != 200
    assert answer.headers["plantainsail-outcome"] == "unknown"
    assert moves(relay, "moved") == 1


async def test_a_deadline_after_a_lost_try_is_not_told_as_not_run(
    platform: Platform, relay: Daemon
) -> None:
    """The request waits for another engine when its time is over."""
    earn_retries(relay, 1)
    platform.engines[0].fault = platform.engines[1].fault = Fault.DIES
    for _ in range(20):
        relay.node.retries.note_first_attempt("desk", relay.node.now_s())
    relay.node.quarantine.engines_to_avoid = (  # type: ignore[method-assign]
        lambda fingerprint, now_s: ()
    )
    relay.node.random.uniform = (  # type: ignore[method-assign]
        lambda a, b: 60.0
    )
    answer = await call(
        address_of(relay),
        "POST",
        CHAT,
        WHOLE_BODY,
        headers={"plantainsail-deadline-ms": "400"},
    )
    assert answer.status == 504
    assert answer.headers["plantainsail-outcome"] == "unknown"


@given(
    st.builds(
        MoveFacts,
        st.booleans(),
        st.integers(0, 3),
        st.floats(0, 100),
        st.floats(-10, 100),
    )
)
def test_nothing_delivered_or_too_late_moves(facts: MoveFacts) -> None:
    is_allowed = may_move(facts)
    if facts.is_delivered or facts.remaining_s <= 0:
        assert not is_allowed
    if not facts.is_delivered and facts.moves < MAX_MOVES:
        assert is_allowed == (facts.remaining_s > facts.elapsed_s)
