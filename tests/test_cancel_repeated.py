"""A generation that runs at another engine is ended at the one before.

Engines keep a generation whose connection is closed.  The daemon sent
one request to cancel it and did not look at the answer, so that a lost
request left a generation at two engines.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest

from plantainsail.daemon import Daemon
from plantainsail.runtime.generation_endings import cancel_until_confirmed
from plantainsail.streams.relay import Relay
from tests.standins.platform import Platform
from tests.standins.waiting import until
from tests.test_leaving_moves import (
    check_whole_answer,
    engine_with_generation,
    pause_generations_at,
    publish_leaving,
    request_whole_answer,
)
from tests.test_streams_daemon import MIDDLE, start

LOST_CANCELS = 3
HANG_S = 10.0


@pytest.fixture
async def relay(platform: Platform) -> AsyncIterator[Daemon]:
    daemon = await start(platform, silence_s=30.0)
    yield daemon
    for engine in platform.engines:
        engine.hold_released.set()
    await daemon.stop()


class Cancels:
    """Takes the place of an engine client's requests to cancel."""

    def __init__(self, daemon: Daemon, confirmed_after: int) -> None:
        self.count = 0
        self.confirmed_after = confirmed_after
        setattr(daemon.node.engines, "cancel", self.cancel)  # noqa: B010

    async def cancel(
        self, engine: Any, generation: str, attempt: int = 0
    ) -> bool:
        """Count the request; return whether it is confirmed."""
        self.count += 1
        return self.count > self.confirmed_after


async def test_lost_cancel_of_a_moved_generation_is_repeated(
    platform: Platform, relay: Daemon
) -> None:
    for engine in platform.engines:
        engine.lost_cancels = LOST_CANCELS
    pause_generations_at(platform, MIDDLE)
    answer_task = request_whole_answer(relay)
    engine, other = await engine_with_generation(platform)
    other.hold_position = None
    await publish_leaving(platform, relay, engine)
    check_whole_answer(await answer_task)
    async with asyncio.timeout(HANG_S):
        await until(lambda: len(engine.cancels) == 1)
    assert engine.lost_cancels == 0
    assert other.cancels == []


async def test_cancel_ends_with_the_deadline_or_the_engine(
    platform: Platform, relay: Daemon
) -> None:
    """The engine ends the generation by itself then."""
    node = relay.node
    engine = node.store.hosts.hosts["engine-1"]
    cancels = Cancels(relay, confirmed_after=1_000)
    expected = Relay("req-1", "gen-1", 10)
    await cancel_until_confirmed(node, engine, expected, node.now_s())
    assert cancels.count == 1
    restarted = engine._replace(incarnation="earlier")
    far_s = node.now_s() + 1_000
    await cancel_until_confirmed(node, restarted, expected, far_s)
    assert cancels.count == 2


async def test_cancel_is_repeated_until_it_is_confirmed(
    platform: Platform, relay: Daemon
) -> None:
    node = relay.node
    engine = node.store.hosts.hosts["engine-1"]
    cancels = Cancels(relay, confirmed_after=2)
    far_s = node.now_s() + 1_000
    async with asyncio.timeout(HANG_S):
        await cancel_until_confirmed(
            node, engine, Relay("req-1", "gen-1", 10), far_s
        )
    assert cancels.count == 3
