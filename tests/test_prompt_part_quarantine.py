"""Requests that share a crashing prompt part must all be refused.

No two of these requests are alike: only a part of their prompts is the
same, and sound requests share their caller and all their other parts.
A daemon that recognises only whole requests lets each of them crash one
more engine.
"""

from collections.abc import AsyncIterator

import pytest

from tests.standins.crashing import EVENTS, CrashingFleet
from tests.standins.routed import event

# From the fifth crash on, no further request may reach an engine.
MAX_CRASHES = 5
WHOLE = b"".join(event(number) for number in range(EVENTS))


@pytest.fixture
async def fleet() -> AsyncIterator[CrashingFleet]:
    crashing_fleet = CrashingFleet()
    await crashing_fleet.start()
    yield crashing_fleet
    await crashing_fleet.stop()


async def test_unlike_requests_that_share_a_crashing_part_are_refused(
    fleet: CrashingFleet,
) -> None:
    for turn in range(12):
        answer = await fleet.stream(
            f"system topic-{turn % 3} bad own-{turn}",
            turn % 2,
            b"prompt %d" % turn,
        )
        assert not answer.is_whole or answer.status != 200
        await fleet.settle()
        sound = await fleet.stream(
            f"system topic-{turn % 3} sound own-{turn}", (turn + 1) % 2
        )
        assert (sound.status, sound.body) == (200, WHOLE)
    assert fleet.crashes <= MAX_CRASHES
