"""Tests which daemon orders which moves, and what answers change.

Faults would be two owners of one engine, an order by an outdated view,
moves that reverse each other under steady demand, and orders without
end to an engine that refuses them.
"""

import math
from collections import Counter
from typing import Any

import pytest
import xxhash
from hypothesis import given, settings
from hypothesis import strategies as st

from plantainsail.lists.model import Artifact, HostEntry, HostList, Role
from plantainsail.policy.demand import DECODE, PREFILL, DemandMeter
from plantainsail.policy.order_owners import (
    SETTLE_S,
    FencingNumbers,
    Owners,
    revision_of,
)
from plantainsail.policy.orders import (
    AnswerKind,
    Order,
    OrderAnswer,
    OrderLimits,
    OrderPlanner,
    OrderView,
    Withheld,
)
from plantainsail.policy.replica_plan import (
    HYSTERESIS_FACTOR,
    MIN_DEMAND,
    MIN_PRESSURE,
    EngineSlots,
    Move,
    plan_moves,
)

LIMITS = OrderLimits(loads=8, window_s=1.0, dwell_s=5.0, stable_s=0.0)
NAMES = ("a", "b", "c", "d")
START_S = 100.0
READY_S = START_S + SETTLE_S + LIMITS.window_s
names = st.sampled_from(NAMES)
demands = st.dictionaries(names, st.floats(0.0, 1_000.0))


def make_view(revision: int = 1, engines: int = 6) -> OrderView:
    """Return a view with engines that hold `a` and demand for `b`."""
    entries = [
        HostEntry(f"entry-{n}", Role.ENTRY, f"10.0.0.{n}:1", "z")
        for n in range(4)
    ]
    entries += [
        HostEntry(
            f"engine-{n}",
            Role.ENGINE,
            f"10.1.0.{n}:1",
            "z",
            models=("a",),
            may_hold=NAMES,
        )
        for n in range(engines)
    ]
    hosts = HostList(revision, {entry.host: entry for entry in entries})
    artifacts = {n: Artifact(n, min_replicas=0) for n in NAMES}
    return OrderView(hosts, artifacts, {"a": 2.0, "b": 60.0}, {}, 0.0)


def issue_all(view: OrderView, daemons: int = 4) -> list[Order]:
    """Return the orders of all daemons, which have the same view."""
    issued: list[Order] = []
    for number in range(daemons):
        orders = OrderPlanner(f"entry-{number}", LIMITS)
        orders.evaluate(view, START_S)
        orders.evaluate(view, READY_S)
        issued += orders.issue(view, READY_S)
        issued += orders.issue(view, READY_S)
    return issued


@pytest.fixture
def owner() -> OrderPlanner:
    """Return the settled owner of `engine-0`."""
    view = make_view(engines=1)
    owners = Owners(LIMITS.loads)
    owners.update(view.hosts)
    orders = OrderPlanner(owners.by_engine["engine-0"], LIMITS)
    orders.evaluate(view, START_S)
    return orders


def test_daemons_with_equal_views_give_the_moves_of_one_plan() -> None:
    view = make_view()
    engine_slots = [
        EngineSlots(f"engine-{n}", 1, NAMES, ("a",)) for n in range(6)
    ]
    min_replicas = dict.fromkeys(NAMES, 0)
    moves = plan_moves(engine_slots, min_replicas, view.models)
    issued = issue_all(view)
    assert len(moves) == 5
    assert {Move(o.host, o.subject, o.replaces) for o in issued} == set(moves)
    assert len(issued) == len(moves)


def test_order_waits_until_no_earlier_owner_can_act(
    owner: OrderPlanner,
) -> None:
    view = make_view(engines=1)._replace(models={"b": 60.0})
    owner.evaluate(view, START_S + SETTLE_S - 0.1)
    assert owner.issue(view, START_S + SETTLE_S - 0.1) == []
    owner.evaluate(view, READY_S)
    assert len(owner.issue(view, READY_S)) == 1


def test_skipped_revision_restarts_the_ownership(owner: OrderPlanner) -> None:
    view = make_view(revision=3, engines=1)._replace(models={"b": 60.0})
    owner.evaluate(view, READY_S)
    assert owner.issue(view, READY_S) == []


def test_failed_orders_are_delayed_and_raise_the_fencing_number(
    owner: OrderPlanner,
) -> None:
    view = make_view(engines=1)._replace(models={"b": 60.0})
    now_s = READY_S
    owner.evaluate(view, now_s)
    (first,) = owner.issue(view, now_s)
    seen = first.number + 1_000
    owner.note_answer(first, OrderAnswer(AnswerKind.FENCED, seen), now_s)
    assert owner.issue(view, now_s + 9.9) == []
    (second,) = owner.issue(view, now_s + 10.0)
    assert second.number > seen
    owner.note_answer(second, OrderAnswer(AnswerKind.REFUSED), now_s + 10.0)
    assert owner.issue(view, now_s + 29.9) == []
    (third,) = owner.issue(view, now_s + 30.0)
    newer = (revision_of(third.number) + 1) << 32
    answer = OrderAnswer(AnswerKind.FENCED, newer)
    owner.note_answer(third, answer, now_s + 30.0)
    assert owner.issue(view, now_s + 999.0) == []
    newer_view = view._replace(hosts=view.hosts._replace(revision=2))
    owner.evaluate(newer_view, now_s + 1_000.0)
    (fourth,) = owner.issue(newer_view, now_s + 1_000.0)
    assert fourth.number > third.number


def test_number_is_not_raised_into_a_newer_revision() -> None:
    source = FencingNumbers()
    assert not source.try_exceed((2 << 32) - 1, 1)
    assert revision_of(source.draw(1, START_S)) == 1


@pytest.mark.parametrize(
    ("change", "delay_s", "reason"),
    [
        ({"is_sure": False}, 0.0, Withheld.UNSURE),
        ({"is_behind": True}, 0.0, Withheld.BEHIND),
        ({"list_age_s": 7.1}, 0.0, Withheld.UNCONFIRMED),
        ({"leaving": {"engine-0"}}, 0.0, Withheld.LEAVING),
        ({"hosts": make_view(2).hosts}, 0.0, Withheld.REVISION_CHANGED),
        ({}, 1.1, Withheld.EXPIRED),
        ({}, 0.0, None),
    ],
)
def test_order_is_checked_again_right_before_writing(
    owner: OrderPlanner,
    change: dict[str, Any],
    delay_s: float,
    reason: Withheld | None,
) -> None:
    view = make_view(engines=1)._replace(models={"b": 60.0})
    owner.evaluate(view, READY_S)
    (order,) = owner.issue(view, READY_S)
    changed = view._replace(**change)
    assert (
        owner.reason_to_withhold(order, changed, READY_S + delay_s) is reason
    )


@settings(max_examples=300)
@given(
    st.lists(st.tuples(st.integers(1, 2), st.sets(names)), max_size=8),
    demands,
    st.dictionaries(names, st.integers(0, 2)),
)
def test_steady_demand_ends_in_no_moves(
    engines: list[tuple[int, set[str]]],
    demand: dict[str, float],
    min_replicas: dict[str, int],
) -> None:
    held: dict[str, tuple[str, ...]] = {}
    unloaded: set[Move] = set()
    min_replicas = dict.fromkeys(NAMES, 0) | min_replicas
    for _ in range(20):
        engine_slots = [
            EngineSlots(
                f"e{n}", slots, tuple(sorted(may)), held.get(f"e{n}", ())
            )
            for n, (slots, may) in enumerate(engines)
        ]
        moves = plan_moves(engine_slots, min_replicas, demand)
        assert max(Counter(m.host for m in moves).values(), default=0) <= 1
        if not moves:
            return
        for move in moves:
            assert Move(move.host, move.load) not in unloaded
            unloaded.add(Move(move.host, move.unload))
            kept = {*held.get(move.host, ()), move.load} - {move.unload}
            held[move.host] = tuple(sorted(kept))
    raise AssertionError("still moves after 20 rounds")


def exhaustive_first_move(
    engine_slots: list[EngineSlots],
    min_replicas: dict[str, int],
    demand: dict[str, float],
) -> Move | None:
    """Return the best first move by an exhaustive search."""

    def pressure(name: str, count: int) -> float:
        wanted = demand.get(name, 0.0)
        if count < min_replicas[name] or (count <= 0 and wanted > MIN_DEMAND):
            return math.inf
        return wanted / count if count else 0.0

    counts = Counter(name for engine in engine_slots for name in engine.holds)
    for name in sorted(NAMES, key=lambda n: (-pressure(n, counts[n]), n)):
        need = pressure(name, counts[name])
        candidates = []
        for engine in engine_slots:
            if name in engine.holds or name not in engine.may_hold:
                continue
            rank = xxhash.xxh3_64_intdigest(f"{name}\0{engine.host}".encode())
            if len(engine.holds) < engine.slots:
                candidates.append((-1.0, "", rank, engine.host))
            for held in engine.holds:
                loss = pressure(held, counts[held] - 1)
                if loss < math.inf and loss * HYSTERESIS_FACTOR <= need:
                    candidates.append((loss, held, rank, engine.host))
        if candidates and need >= MIN_PRESSURE:
            _, held, _, host = min(candidates)
            return Move(host, name, held)
    return None


@settings(max_examples=300)
@given(
    st.lists(st.tuples(st.integers(1, 3), st.sets(names)), max_size=8),
    st.lists(st.sets(names), min_size=8, max_size=8),
    demands,
    st.dictionaries(names, st.integers(0, 2)),
)
def test_first_move_matches_an_exhaustive_search(
    engines: list[tuple[int, set[str]]],
    held: list[set[str]],
    demand: dict[str, float],
    min_replicas: dict[str, int],
) -> None:
    min_replicas = dict.fromkeys(NAMES, 0) | min_replicas
    engine_slots = [
        EngineSlots(
            f"e{n}",
            slots,
            tuple(sorted(may)),
            tuple(sorted(may & held[n]))[:slots],
        )
        for n, (slots, may) in enumerate(engines)
    ]
    first = plan_moves(engine_slots, min_replicas, demand)[:1]
    expected = exhaustive_first_move(engine_slots, min_replicas, demand)
    assert first == (() if expected is None else (expected,))


def test_demand_counts_waiting_running_and_refused() -> None:
    meter = DemandMeter()
    meter.sample(0.0)
    meter.arrive("r1", "a")
    meter.record_first_token("r1")
    meter.arrive("r2", "b")
    meter.refuse("r2")
    meter.arrive("r3", "b")
    meter.sample(1_000.0)
    assert meter.models == pytest.approx({"a": 1.0, "b": 2.0})
    assert meter.roles == pytest.approx({PREFILL: 2.0, DECODE: 1.0})
    meter.leave("r1")
    meter.leave("r3")
    meter.sample(2_000.0)
    assert meter.models == {}
