"""Tests loads, paces, read rates and the repeat budget of the fleet.

Messages between daemons may be lost or late.
"""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainsail.routing.budget import RepeatBudget
from plantainsail.routing.fleet_loads import (
    NO_LOAD,
    PEER_SILENCE_S,
    FleetLoads,
    UpstreamLoad,
)
from plantainsail.routing.pace import MIN_SAMPLES, EnginePaces, Pace
from plantainsail.routing.reading import DEFAULT_READ_TOKENS_PER_S, ReadRates

ONE = UpstreamLoad(running=1, memory_tokens=100, unread_tokens=50)


@given(st.lists(st.booleans(), max_size=60), st.integers(0, 2**16))
def test_a_whole_message_replaces_what_lost_changes_left_wrong(
    is_delivered: list[bool], seed: int
) -> None:
    source = random.Random(seed)
    sender, receiver = FleetLoads(), FleetLoads()
    held: list[str] = []
    for arrives in is_delivered:
        if held and source.random() < 0.5:
            sender.subtract(held.pop(), ONE)
        else:
            held.append(source.choice("abc"))
            sender.add(held[-1], ONE)
        changed = sender.pop_changed()
        if arrives:
            receiver.record_peer_loads("peer", changed, 0.0, is_whole=False)
    receiver.record_peer_loads("peer", dict(sender.own), 0.0, is_whole=True)
    for engine in "abc":
        assert receiver.load_of(engine, 0.0) == sender.load_of(engine, 0.0)
        assert sender.load_of(engine, 0.0).running == held.count(engine)


@given(st.integers(0, 2**16))
def test_totals_equal_the_load_of_each_upstream(seed: int) -> None:
    source = random.Random(seed)
    fleet_loads = FleetLoads()
    for number in range(source.randrange(8)):
        received_s = source.choice([0.0, PEER_SILENCE_S])
        loads = dict.fromkeys(source.sample("abcd", 2), ONE)
        fleet_loads.record_peer_loads(
            f"peer-{number}", loads, received_s, is_whole=True
        )
    if source.random() < 0.5:
        fleet_loads.add("a", ONE)
    now_s = PEER_SILENCE_S + 1.0
    totals = fleet_loads.totals(now_s)
    for engine in "abcd":
        expected = fleet_loads.load_of(engine, now_s)
        assert totals.get(engine, NO_LOAD) == expected


def test_the_load_of_a_silent_peer_no_longer_counts() -> None:
    fleet_loads = FleetLoads()
    fleet_loads.add("a", ONE)
    fleet_loads.record_peer_loads("peer", {"a": ONE}, 0.0, is_whole=True)
    assert fleet_loads.load_of("a", 0.1).running == 2
    assert fleet_loads.load_of("a", PEER_SILENCE_S + 0.1).running == 1


def test_load_that_ended_is_sent_as_no_load() -> None:
    fleet_loads = FleetLoads()
    fleet_loads.add("a", ONE)
    fleet_loads.pop_changed()
    fleet_loads.subtract("a", ONE)
    assert fleet_loads.pop_changed() == {"a": NO_LOAD}
    assert fleet_loads.own == {}


def test_short_lived_load_is_sent_only_with_heartbeats() -> None:
    fleet_loads = FleetLoads()
    fleet_loads.add_short_lived("a", ONE)
    assert fleet_loads.pop_changed() == {}
    assert fleet_loads.own == {"a": ONE}
    fleet_loads.subtract_short_lived("a", ONE)
    assert fleet_loads.own == {}


def test_a_restarted_peer_has_no_load() -> None:
    fleet_loads = FleetLoads()
    fleet_loads.record_peer_loads("peer", {"a": ONE}, 0.0, is_whole=True)
    fleet_loads.forget("peer")
    assert fleet_loads.load_of("a", 0.0) == NO_LOAD


@pytest.fixture
def paces() -> EnginePaces:
    return EnginePaces()


def test_reading_prompts_does_not_raise_the_usual_pause(
    paces: EnginePaces,
) -> None:
    """Guards against taking engines for slow that only read prompts.

    Reading prompts doubles most pauses; this was seen in the scenario
    quiet-1.
    """
    now_s = 0.0
    for step in range(100):
        pause_s = 0.032 if step % 4 == 0 else 0.064
        now_s += pause_s
        paces.add("fast", pause_s, now_s)
        paces.add("slow", pause_s * 1.3, now_s)
    fast_s = paces.usual_s("fast", now_s)
    slow_s = paces.usual_s("slow", now_s)
    assert fast_s == pytest.approx(0.032)
    assert slow_s == pytest.approx(0.0416)


def test_events_delivered_together_are_not_counted_as_a_pause(
    paces: EnginePaces,
) -> None:
    for step in range(MIN_SAMPLES):
        paces.add("a", 0.04, step * 0.04)
        paces.add("a", 0.0, step * 0.04)
    assert paces.usual_s("a", 0.3) == pytest.approx(0.04)


def test_the_usual_pause_is_the_shortest_of_own_and_reported(
    paces: EnginePaces,
) -> None:
    paces.record_peer_pace("a", Pace(0.03, 0.05), 0.0)
    for step in range(MIN_SAMPLES):
        paces.add("a", 0.06, step * 0.06)
    assert paces.usual_s("a", 0.5) == pytest.approx(0.03)
    paces.forget_except(set())
    assert paces.usual_s("a", 0.5) is None


def test_a_recent_pause_expires(paces: EnginePaces) -> None:
    paces.record_peer_pace("a", Pace(0.03, 0.2), 0.0)
    assert paces.recent_s("a", 0.1) == pytest.approx(0.2)
    assert paces.recent_s("a", 2.0) == 0.0


def test_read_rates_follow_first_events_and_peer_reports() -> None:
    rates = ReadRates()
    assert rates.rate("a") == DEFAULT_READ_TOKENS_PER_S
    for _ in range(30):
        rates.record_first_event("a", 4_000, 1.0)
    assert rates.rate("a") == pytest.approx(4_000, rel=0.01)
    rates.record_peer_rate("a", 6_000)
    assert rates.rate("a") == pytest.approx(5_000, rel=0.01)


@given(st.integers(0, 2**16), st.integers(1, 9))
def test_repeats_of_all_daemons_stay_within_the_budget(
    seed: int, daemons: int
) -> None:
    source = random.Random(seed)
    ratio, extra, window_s = 0.2, 50.0, 10.0
    budgets = [RepeatBudget(ratio, extra, window_s) for _ in range(daemons)]
    requests: list[float] = []
    repeats: list[float] = []
    for step in range(2_000):
        now_s = step * 0.02
        budget = source.choice(budgets)
        if source.random() < 0.4:
            budget.note_request(now_s)
            requests.append(now_s)
        elif budget.take_repeat(now_s, daemons if daemons > 1 else None):
            repeats.append(now_s)
    for end_s in range(10, 40):
        in_window = sum(end_s - window_s < at <= end_s for at in requests)
        repeated = sum(end_s - window_s < at <= end_s for at in repeats)
        assert repeated <= ratio * in_window + extra


def test_a_daemon_without_peers_gets_no_extra_repeats() -> None:
    budget = RepeatBudget(0.2, 50.0, 10.0)
    assert not budget.take_repeat(0.0, None)
    assert budget.take_repeat(0.0, 2)
