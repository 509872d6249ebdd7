"""Tests of a stream that moves, with faults at every step.

Copy calls are lost, late, repeated or refused, and engines die at each
step.  In every case the caller must get each event once and in order
and a complete end only for a complete stream, and the request must not
run twice.
"""

import asyncio
from typing import NamedTuple
from unittest.mock import Mock

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from plantainsail.entry.evacuation import Evacuation
from plantainsail.entry.generation import Generation
from plantainsail.entry.mover import CopyResult
from plantainsail.upstreams.single_use import (
    ABORTED_HERE,
    CutShortError,
    OutgoingRequest,
    SingleUseConnection,
)
from tests.standins.moving_engines import (
    EVENTS,
    CallFault,
    ContinueFault,
    Leg,
    MovingEngines,
    Scenario,
    Step,
)
from tests.standins.routed import (
    UNFRAMED_HEAD,
    CallerAnswer,
    StandInCaller,
    StandInSource,
    configuration,
    event,
    start_entry,
)
from tests.standins.waiting import until

HEADERS = {"plantainsail-tokens": "10,900", "plantainsail-length-hint": "400"}
# The most events that the source may still generate once the run
# continues on another engine.
OVERLAP_EVENTS = 12
HANG_S = 20.0
EXAMPLES = 150
WHOLE = b"".join(event(number) for number in range(EVENTS))
SCENARIOS = st.builds(
    Scenario,
    first=st.sampled_from(CallFault),
    final=st.sampled_from(CallFault),
    continue_fault=st.sampled_from(ContinueFault),
    source_dies=st.sampled_from(Step),
    target_dies=st.sampled_from(Step),
    ignores_close=st.booleans(),
    leaves_at=st.integers(1, EVENTS - 8),
    leaves_in_s=st.sampled_from([0.05, 0.4, 2.0]),
)


class ScenarioResult(NamedTuple):
    """The caller's answer and the runs of one scenario."""

    answer: CallerAnswer
    legs: list[Leg]
    fresh_runs: int


async def play(scenario: Scenario) -> ScenarioResult:
    """Run one stream whose engine leaves."""
    engines = MovingEngines(scenario)
    source = StandInSource(configuration(), await engines.start())
    daemon = await start_entry(source, engines)
    try:
        await until(daemon.node.is_ready)
        caller = StandInCaller(daemon)
        caller_request = asyncio.create_task(caller.call("/stream/x", HEADERS))

        def is_due() -> bool:
            generations = list(daemon.stream.generations)
            count = scenario.leaves_at
            return any(
                generation.positions.count >= count
                for generation in generations
            )

        await until(lambda: caller_request.done() or is_due())
        for generation in list(daemon.stream.generations):
            assert generation.upstream is not None
            draining = generation.upstream._replace(is_draining=True)
            source.put(draining)
        answer = await caller_request
        # All load that the stream reserved must be released.
        async with asyncio.timeout(HANG_S):
            await until(lambda: not daemon.node.fleet_loads.own)
            await until(lambda: all(leg.is_over for leg in engines.legs))
    finally:
        await daemon.stop()
        engines.stop()
    return ScenarioResult(answer, engines.legs, engines.fresh_runs)


def source_may_keep_running(scenario: Scenario) -> bool:
    """Return whether nothing stops the run at its source.

    An engine that ignores closed connections is stopped only by the
    call for the final copy, which always fails in these scenarios.
    `test_run_stops` plays those in which a later call succeeds.
    """
    if not scenario.ignores_close:
        return False
    return scenario.final in (
        CallFault.LOST,
        CallFault.REFUSED,
        CallFault.GONE,
    )


def check(scenario: Scenario, result: ScenarioResult) -> None:
    """Assert the guarantees that callers have."""
    answer = result.answer
    assert answer.status == 200
    assert WHOLE.startswith(answer.body), "an event is missing or came twice"
    # A fault may cut a stream between its last event and its end.
    assert answer.body == WHOLE or not answer.is_whole, "cut looks whole"
    assert result.fresh_runs == 1
    for leg in result.legs[:-1]:
        if source_may_keep_running(scenario):
            continue
        assert leg.overlap_events <= OVERLAP_EVENTS, "ran twice"
    if scenario.is_harmless:
        assert answer.is_whole


# Hypothesis derives the examples from the source of this test, so that
# another name or body would change them.
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
def test_each_fault_of_both_copies_keeps_guarantees(
    first: CallFault, final: CallFault
) -> None:
    scenario = Scenario(first=first, final=final)
    check(scenario, asyncio.run(play(scenario)))


@pytest.mark.parametrize("who", ["source_dies", "target_dies"])
@pytest.mark.parametrize("step", Step)
def test_engine_death_at_each_step_keeps_guarantees(
    who: str, step: Step
) -> None:
    scenario = Scenario(
        source_dies=step if who == "source_dies" else Step.NEVER,
        target_dies=step if who == "target_dies" else Step.NEVER,
    )
    result = asyncio.run(play(scenario))
    check(scenario, result)
    before_copied = (Step.FIRST_ASKED, Step.FINAL_ASKED, Step.FINAL_MADE)
    if who == "target_dies" and step in before_copied:
        assert result.answer.is_whole, "it could go on elsewhere"


@pytest.mark.parametrize("final", CallFault)
@pytest.mark.parametrize("first", CallFault)
def test_moved_stream_without_a_length_never_ends_half_way_as_complete(
    first: CallFault, final: CallFault
) -> None:
    """The daemon's abort of the old stream looked like its end."""
    scenario = Scenario(first=first, final=final, is_unframed=True)
    check(scenario, asyncio.run(play(scenario)))


async def test_own_abort_is_named_as_the_end_of_an_answer() -> None:
    """The log said that the upstream had reset the connection."""
    reader = asyncio.StreamReader()
    writer = Mock(spec=asyncio.StreamWriter)
    connection = SingleUseConnection(reader, writer)
    connection.send(OutgoingRequest(b"GET", b"/", [(b"host", b"a")]))
    reader.feed_data(UNFRAMED_HEAD)
    await connection.read_head()
    connection.abort()
    reader.feed_eof()
    with pytest.raises(CutShortError, match=ABORTED_HERE):
        await connection.read_piece()


@pytest.mark.parametrize("step", Step)
def test_stream_without_a_length_is_not_whole_if_its_engine_dies(
    step: Step,
) -> None:
    scenario = Scenario(source_dies=step, is_unframed=True)
    check(scenario, asyncio.run(play(scenario)))


def fails_somewhere(scenarios: list[Scenario]) -> bool:
    """Return whether the guarantees fail in any of the scenarios."""
    for scenario in scenarios:
        try:
            check(scenario, asyncio.run(play(scenario)))
        except AssertionError:
            return True
    return False


def test_checks_detect_a_source_that_is_not_stopped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the final copy's call the source is never stopped.

    Not every engine ends a run whose connection was closed.
    """
    scenarios = [Scenario(ignores_close=True)]
    assert not fails_somewhere(scenarios)

    async def copy_nothing(*_: object) -> CopyResult:
        return CopyResult(0)

    monkeypatch.setattr(Evacuation, "_final_copy", copy_nothing)
    assert fails_somewhere(scenarios)


def test_checks_detect_a_cut_stream_that_looks_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A stream that is cut within an event must not end as complete."""
    scenarios = [Scenario(continue_fault=ContinueFault.CUT)]
    assert not fails_somewhere(scenarios)

    async def end_as_complete(self: Generation, _: object) -> None:
        await self.request.caller.end()

    monkeypatch.setattr(Generation, "relay", end_as_complete)
    assert fails_somewhere(scenarios)
