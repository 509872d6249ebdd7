"""A stream that moves, under every fault at every step.

Whatever is lost, late, repeated or refused, and whichever engine dies
when: the caller gets each event once and in order, an end that looks
whole only if it is, and the request never runs twice.
"""

import asyncio
from typing import NamedTuple

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from plantainsail.entry.evacuation import Evacuation
from plantainsail.entry.generation import Generation
from plantainsail.entry.mover import CopyResult
from tests.standins.moving_engines import (
    EVENTS,
    CallFault,
    Leg,
    MovingEngines,
    Scenario,
    Step,
    TakeFault,
)
from tests.standins.routed import (
    CallerAnswer,
    StandInCaller,
    StandInSource,
    configuration,
    event,
    start_entry,
)
from tests.standins.waiting import until

HEADERS = {"plantainsail-tokens": "10,900", "plantainsail-length-hint": "400"}
# A run that goes on elsewhere may make so much more where it was.
OVERLAP_EVENTS = 12
HANG_S = 20.0
EXAMPLES = 150
WHOLE = b"".join(event(number) for number in range(EVENTS))
SCENARIOS = st.builds(
    Scenario,
    first=st.sampled_from(CallFault),
    final=st.sampled_from(CallFault),
    take=st.sampled_from(TakeFault),
    source_dies=st.sampled_from(Step),
    target_dies=st.sampled_from(Step),
    ignores_close=st.booleans(),
    leaves_at=st.integers(1, EVENTS - 8),
    leaves_in_s=st.sampled_from([0.05, 0.4, 2.0]),
)


class Played(NamedTuple):
    """What a play showed."""

    got: CallerAnswer
    legs: list[Leg]
    fresh_runs: int


async def play(scenario: Scenario) -> Played:
    """Play one stream whose engine leaves."""
    engines = MovingEngines(scenario)
    source = StandInSource(configuration(), await engines.start())
    daemon = await start_entry(source, engines)
    try:
        await until(daemon.node.is_ready)
        caller = StandInCaller(daemon)
        asked = asyncio.create_task(caller.call("/stream/x", HEADERS))

        def has_begun() -> bool:
            running = list(daemon.stream.generations)
            count = scenario.leaves_at
            return any(one.positions.count >= count for one in running)

        await until(lambda: asked.done() or has_begun())
        for generation in list(daemon.stream.generations):
            assert generation.upstream is not None
            leaving = generation.upstream._replace(is_draining=True)
            source.put(leaving)
        got = await asked
        # Whatever was kept for the stream is given back.
        async with asyncio.timeout(HANG_S):
            await until(lambda: not daemon.node.fleet_loads.own)
            await until(lambda: all(leg.is_over for leg in engines.legs))
    finally:
        await daemon.stop()
        engines.stop()
    return Played(got, engines.legs, engines.fresh_runs)


def may_run_on(scenario: Scenario) -> bool:
    """Return whether nothing can stop the run at its source.

    An engine that ignores a closed connection has to be asked.
    """
    if not scenario.ignores_close:
        return False
    return scenario.final in (
        CallFault.LOST,
        CallFault.REFUSED,
        CallFault.GONE,
    )


def check(scenario: Scenario, played: Played) -> None:
    """Hold a play against what callers are promised."""
    got = played.got
    assert got.status == 200
    assert WHOLE.startswith(got.body), "an event is missing or came twice"
    assert got.is_whole == (got.body == WHOLE), "the end looks otherwise"
    assert played.fresh_runs == 1
    for leg in played.legs[:-1]:
        if may_run_on(scenario):
            continue
        assert leg.made_beside <= OVERLAP_EVENTS, "ran twice"
    if scenario.is_harmless:
        assert got.is_whole


@settings(
    max_examples=EXAMPLES,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(scenario=SCENARIOS)
def test_a_moving_stream_under_faults(scenario: Scenario) -> None:
    check(scenario, asyncio.run(play(scenario)))


@pytest.mark.parametrize("final", CallFault)
@pytest.mark.parametrize("first", CallFault)
def test_each_answer_of_both_copies(
    first: CallFault, final: CallFault
) -> None:
    scenario = Scenario(first=first, final=final)
    check(scenario, asyncio.run(play(scenario)))


@pytest.mark.parametrize("who", ["source_dies", "target_dies"])
@pytest.mark.parametrize("step", Step)
def test_an_engine_that_dies_at_each_step(who: str, step: Step) -> None:
    scenario = Scenario(
        source_dies=step if who == "source_dies" else Step.NEVER,
        target_dies=step if who == "target_dies" else Step.NEVER,
    )
    played = asyncio.run(play(scenario))
    check(scenario, played)
    before_copied = (Step.FIRST_ASKED, Step.FINAL_ASKED, Step.FINAL_MADE)
    if who == "target_dies" and step in before_copied:
        assert played.got.is_whole, "it could go on elsewhere"


def fails_somewhere(scenarios: list[Scenario]) -> bool:
    """Return whether a check fails in one of some plays."""
    for scenario in scenarios:
        try:
            check(scenario, asyncio.run(play(scenario)))
        except AssertionError:
            return True
    return False


def test_a_source_that_is_not_stopped_would_be_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Not every engine ends a run whose connection was closed."""
    scenarios = [Scenario(ignores_close=True)]
    assert not fails_somewhere(scenarios)

    async def copy_nothing(*_: object) -> CopyResult:
        return CopyResult(0)

    monkeypatch.setattr(Evacuation, "_final_copy", copy_nothing)
    assert fails_somewhere(scenarios)


def test_a_copy_used_before_its_time_would_be_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A stream that is cut in mid-event may not look whole."""
    scenarios = [Scenario(take=TakeFault.CUT)]
    assert not fails_somewhere(scenarios)

    async def end_quietly(self: Generation, _: object) -> None:
        await self.request.caller.end()

    monkeypatch.setattr(Generation, "relay", end_quietly)
    assert fails_somewhere(scenarios)
