"""Plays a fleet that is full while its engines leave one by one.

Long streams hold memory for seconds, and an engine gives some two
seconds of notice.  If the others are full by then, its streams are
lost.  Short requests must still find room beside the long ones.
"""

import random

import pytest

from plantainsail.routing.placement import (
    MAX_MOVE_MEMORY_SHARE,
    NOTHING_DEPARTING,
    Departing,
    GenerationNeed,
    choose_engine,
    choose_move_target,
    long_room_tokens,
)
from plantainsail.routing.reading import ReadRates
from tests.standins.engine_play import (
    MEMORY_TOKENS,
    Asked,
    Got,
    PlayedEngine,
    place,
    views_of,
)

ENGINES = 6
TICK_S = 0.02
LOAD_DURATION_S = 40.0
# An engine leaves this often, and another joins after a while.
DEPARTURE_INTERVAL_S = 3.3
NOTICE_S = 1.7
JOIN_DELAY_S = 6.0
LONGS_PER_S = 4.5
SHORTS_PER_S = 3.0
SEEDS = (1, 3)
LONG = Asked(0.0, GenerationNeed(3_000, 900), 4.0, 0.2)
SHORT = Asked(0.0, GenerationNeed(2_200, 20), 1.5, 0.2)


class Fleet:
    """Engines that leave and join while requests arrive.

    `lost` counts the streams of engines that left before these streams
    found another engine.
    """

    def __init__(self, seed: int, *, keeps_room: bool) -> None:
        self.random = random.Random(seed)
        self.keeps_room = keeps_room
        self.rates = ReadRates()
        self.engines = [self._new_engine(n) for n in range(ENGINES)]
        self.joined = ENGINES
        self.leaving: PlayedEngine | None = None
        self.gone_s = 0.0
        self.join_at_s: list[float] = []
        self.waiting: list[Got] = []
        self.asked: list[Got] = []
        self.lost = 0

    def _new_engine(self, number: int) -> PlayedEngine:
        return PlayedEngine(f"e{number}", 1.0, number)

    def play(self) -> None:
        """Play the whole load."""
        now_s = 0.0
        next_departure_s = DEPARTURE_INTERVAL_S
        while now_s < LOAD_DURATION_S:
            now_s += TICK_S
            self._arrive(now_s)
            if now_s >= next_departure_s:
                next_departure_s += DEPARTURE_INTERVAL_S
                self._begin_departure(now_s)
            self._end_departure(now_s)
            self._join(now_s)
            self._move()
            self._place(now_s)
            for engine in [*self.engines, *self._leaving_engines()]:
                engine.play(now_s, self.rates)

    def _arrive(self, now_s: float) -> None:
        for asked, rate in ((LONG, LONGS_PER_S), (SHORT, SHORTS_PER_S)):
            if self.random.random() < rate * TICK_S:
                got = Got(asked._replace(at_s=now_s))
                self.asked.append(got)
                self.waiting.append(got)

    def _begin_departure(self, now_s: float) -> None:
        self.leaving = self.engines.pop(0)
        self.gone_s = now_s + NOTICE_S
        self.join_at_s.append(now_s + JOIN_DELAY_S)

    def _end_departure(self, now_s: float) -> None:
        if self.leaving is None or now_s < self.gone_s:
            return
        self.lost += sum(got.asked.need.is_long for got in self._to_move())
        self.leaving = None

    def _join(self, now_s: float) -> None:
        if self.join_at_s and now_s >= self.join_at_s[0]:
            del self.join_at_s[0]
            self.joined += 1
            self.engines.append(self._new_engine(self.joined))

    def _leaving_engines(self) -> list[PlayedEngine]:
        return [] if self.leaving is None else [self.leaving]

    def _to_move(self) -> list[Got]:
        return [got for one in self._leaving_engines() for got in one.running]

    def _move(self) -> None:
        """Move the streams of the leaving engine that find room."""
        for got in self._to_move():
            views = views_of(self.engines, self.rates)
            target = choose_move_target(views, got.asked.need)
            if target is None:
                return
            assert self.leaving is not None
            self.leaving.running.remove(got)
            for engine in self.engines:
                if engine.upstream == target:
                    engine.running.append(got)

    def _place(self, now_s: float) -> None:
        for got in list(self.waiting):
            views = views_of(self.engines, self.rates)
            need = got.asked.need
            choice = choose_engine(
                views, need, got.asked.objective_s, self._departing()
            )
            if choice is None:
                continue
            self.waiting.remove(got)
            for engine in self.engines:
                if engine.upstream == choice.upstream:
                    place(engine, got, now_s)

    def _departing(self) -> Departing:
        if not self.keeps_room:
            return NOTHING_DEPARTING
        leaving_tokens = sum(
            one.load().memory_tokens for one in self._leaving_engines()
        )
        return Departing(leaving_tokens, is_frequent=True)

    def on_time(self, *, is_long: bool) -> float:
        """Return the share of first events that came in time."""
        ones = [one for one in self.asked if one.asked.need.is_long == is_long]
        in_time = 0
        for one in ones:
            first_s = one.first_s
            limit_s = one.asked.at_s + one.asked.objective_s
            in_time += first_s is not None and first_s <= limit_s
        return in_time / len(ones)


@pytest.fixture(scope="module", params=SEEDS)
def fleet(request: pytest.FixtureRequest) -> Fleet:
    played = Fleet(request.param, keeps_room=True)
    played.play()
    return played


def test_no_stream_is_lost_to_a_departure(fleet: Fleet) -> None:
    assert fleet.lost == 0


def test_short_requests_find_room_beside_long_streams(fleet: Fleet) -> None:
    assert fleet.on_time(is_long=False) >= 0.9


def test_without_kept_room_streams_are_lost() -> None:
    """Shows that the load of this test fills the fleet."""
    fleet = Fleet(SEEDS[0], keeps_room=False)
    fleet.play()
    assert fleet.lost > 0


def test_room_of_long_streams_shrinks_with_departing_memory() -> None:
    views = views_of(
        [PlayedEngine(f"e{n}", 1.0, n) for n in range(4)], ReadRates()
    )
    leaving_tokens = 2 * MEMORY_TOKENS
    calm = Departing(leaving_tokens, is_frequent=False)
    room = (MAX_MOVE_MEMORY_SHARE * 4 - 2) * MEMORY_TOKENS
    assert long_room_tokens(views, calm) == pytest.approx(room)
    frequent = Departing(0, is_frequent=True)
    room = MAX_MOVE_MEMORY_SHARE * 3 * MEMORY_TOKENS
    assert long_room_tokens(views, frequent) == pytest.approx(room)


def test_an_only_engine_takes_long_streams() -> None:
    """One engine can't be emptied onto others, so no room is kept."""
    view = views_of([PlayedEngine("e0", 1.0, 0)], ReadRates())
    departing = Departing(MEMORY_TOKENS, is_frequent=True)
    assert choose_engine(view, LONG.need, 4.0, departing) is not None
