"""A request that crashes the upstreams of a plain service is refused.

Its caller repeats it, at any daemon, and each daemon sends an
idempotent request to a second upstream if the first one fails.  Without
a quarantine it takes down all upstreams of the service again and again.
"""

from collections.abc import AsyncIterator

import pytest

from tests.standins.crashing import CrashingFleet

CRASHING_BODY = b"poison"
# What three crashes and three further sends may cost at the most.
MAX_CRASHES = 6


@pytest.fixture
async def fleet() -> AsyncIterator[CrashingFleet]:
    crashing_fleet = CrashingFleet()
    crashing_fleet.crashing_body = CRASHING_BODY
    await crashing_fleet.start()
    yield crashing_fleet
    await crashing_fleet.stop()


async def test_a_repeated_request_that_crashes_a_plain_service_is_refused(
    fleet: CrashingFleet,
) -> None:
    for turn in range(8):
        answer = await fleet.read(CRASHING_BODY, turn % 2)
        assert answer.status in (502, 503)
        await fleet.settle()
        sound = await fleet.read(b"sound %d" % turn, (turn + 1) % 2)
        assert (sound.status, sound.body) == (200, b"done")
    assert fleet.crashes <= MAX_CRASHES
    refused = await fleet.read(CRASHING_BODY, 0)
    assert refused.headers["plantainsail-code"] == "3007"


async def test_a_repeat_that_crashed_two_upstreams_has_an_unknown_outcome(
    fleet: CrashingFleet,
) -> None:
    """It ran, so "not run" would be false."""
    answer = await fleet.read(CRASHING_BODY, 0)
    assert answer.status == 502
    assert answer.headers["plantainsail-outcome"] == "unknown"
    assert fleet.crashes <= MAX_CRASHES


async def test_a_crash_that_ends_an_unframed_answer_counts(
    fleet: CrashingFleet,
) -> None:
    """Such an answer seems whole, though the upstream crashed."""
    fleet.is_unframed = True
    for turn in range(8):
        await fleet.read(CRASHING_BODY, turn % 2)
        await fleet.settle()
    assert fleet.crashes <= MAX_CRASHES
    assert (await fleet.read(b"sound", 0)).body == b"done"
