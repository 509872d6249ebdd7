"""Moves of generations off an engine that leaves at short notice.

An engine that is reclaimed stops soon after it is published as leaving.
A generation of which the caller has received nothing must start again
on another engine instead of being lost; one with delivered tokens must
stay.  A failure after a move must not claim that nothing ran.
"""

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
        engine.hold_released.set()
    await daemon.stop()


def pause_generations_at(platform: Platform, position: int) -> None:
    """Let the engines pause their generations before a position."""
    for engine in platform.engines:
        engine.hold_position = position


async def engine_with_generation(platform: Platform) -> tuple[Engine, Engine]:
    """Return the engine that got the generation and the other one."""
    await until(lambda: any(e.received for e in platform.engines))
    first, other = platform.engines
    return (first, other) if first.received else (other, first)


async def publish_leaving(
    platform: Platform, relay: Daemon, engine: Engine
) -> None:
    """Publish that an engine leaves and wait for the daemon."""
    number = platform.engines.index(engine) + 1
    platform.hosts[f"engine-{number}"]["state"] = "leaving"
    platform.publish_hosts()
    entry = relay.node.store.hosts.hosts[f"engine-{number}"]
    await until(lambda: relay.node.marks.is_leaving(entry))


def move_count(relay: Daemon, result: str) -> float:
    value: float = relay.node.metrics.moves.labels(result)._value.get()
    return value


def retry_count(relay: Daemon) -> int:
    return len(relay.node.retries.daemon.retries)


def request_whole_answer(relay: Daemon) -> asyncio.Task[Answer]:
    return asyncio.create_task(
        call(address_of(relay), "POST", CHAT, WHOLE_BODY)
    )


def check_whole_answer(answer: Answer) -> None:
    assert answer.status == 200
    value = json.loads(answer.body)
    assert value["choices"][0]["message"]["content"] == WORDS
    assert value["usage"]["completion_tokens"] == LENGTH


@pytest.mark.parametrize("position", [0, MIDDLE])
async def test_unstreamed_answer_moves_off_a_leaving_engine(
    platform: Platform, relay: Daemon, position: int
) -> None:
    pause_generations_at(platform, position)
    answer_task = request_whole_answer(relay)
    engine, other = await engine_with_generation(platform)
    await until(lambda: _produced_tokens(engine) >= position)
    other.hold_position = None
    await publish_leaving(platform, relay, engine)
    check_whole_answer(await answer_task)
    assert len(engine.received) == len(other.received) == 1
    assert move_count(relay, "moved") == 1
    assert retry_count(relay) == 0
    # The generation is also cancelled on the leaving engine.
    await until(lambda: len(engine.cancels) == 1)
    assert other.cancels == []
    assert relay.node.dispatcher.scheduler.running == 0


def _produced_tokens(engine: Engine) -> int:
    return sum(g.produced for g in engine.generations.values())


async def test_stream_with_delivered_tokens_stays_on_a_leaving_engine(
    platform: Platform, relay: Daemon
) -> None:
    pause_generations_at(platform, MIDDLE)
    reader = StreamClient()
    await reader.post(address_of(relay), STREAM_BODY)
    await reader.read_to(MIDDLE)
    engine, other = await engine_with_generation(platform)
    await publish_leaving(platform, relay, engine)
    await until(lambda: relay.leaving_watch.last_handled_mark > 0)
    assert move_count(relay, "moved") == 0
    engine.hold_released.set()
    await reader.read_all()
    assert reader.is_done
    assert reader.text == WORDS
    assert other.received == []
    assert engine.cancels == []


async def test_stream_without_a_first_token_moves_off_a_leaving_engine(
    platform: Platform, relay: Daemon
) -> None:
    pause_generations_at(platform, 0)
    caller = StreamClient()
    posted = asyncio.create_task(caller.post(address_of(relay), STREAM_BODY))
    engine, other = await engine_with_generation(platform)
    other.hold_position = None
    await publish_leaving(platform, relay, engine)
    await posted
    await caller.read_all()
    assert caller.is_done
    assert caller.text == WORDS
    assert len(other.received) == 1
    assert move_count(relay, "moved") == 1


async def test_generation_without_another_engine_completes_where_it_is(
    platform: Platform, relay: Daemon
) -> None:
    pause_generations_at(platform, MIDDLE)
    answer_task = request_whole_answer(relay)
    engine, other = await engine_with_generation(platform)
    await publish_leaving(platform, relay, other)
    await publish_leaving(platform, relay, engine)
    await until(lambda: move_count(relay, "no_place") == 1)
    engine.hold_released.set()
    check_whole_answer(await answer_task)
    assert other.received == []
    assert engine.cancels == []


async def test_failure_after_a_move_has_unknown_outcome(
    platform: Platform, relay: Daemon
) -> None:
    pause_generations_at(platform, MIDDLE)
    relay.node.retries.try_spend("desk", relay.node.now_s())
    answer_task = request_whole_answer(relay)
    engine, other = await engine_with_generation(platform)
    await other.listener.stop()
    await publish_leaving(platform, relay, engine)
    answer = await answer_task
    assert answer.status != 200
    assert answer.headers["plantainsail-outcome"] == "unknown"
    assert move_count(relay, "moved") == 1


async def test_deadline_after_a_failed_attempt_has_unknown_outcome(
    platform: Platform, relay: Daemon
) -> None:
    """The deadline passes while the request waits for its retry."""
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
def test_generation_moves_only_if_undelivered_and_in_time(
    facts: MoveFacts,
) -> None:
    is_allowed = may_move(facts)
    if facts.is_delivered or facts.remaining_s <= 0:
        assert not is_allowed
    if not facts.is_delivered and facts.moves < MAX_MOVES:
        assert is_allowed == (facts.remaining_s > facts.elapsed_s)
