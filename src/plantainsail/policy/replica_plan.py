"""Which engines should load or unload what, given the demand.

Every daemon plans for all engines, in an order that depends on nothing
but its view, and carries out the moves of the engines that it owns.  So
equal views give equal moves, and the owners' parts fit together.

A replica moves from one name to another only if the pressure on the
other, in requests for each replica, is `HYSTERESIS` times the pressure
that the first would have without it.  After the move the same demand
can't justify the way back; the two demands would have to shift against
each other by the square of that.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import xxhash

HYSTERESIS = 2.0
# Requests for each replica, below which nothing is worth a move.
MIN_PRESSURE = 1.0
# Requests in progress, below which a name needs no replica at all.
DEMAND_FLOOR = 0.05
MAX_MOVES = 64


class EngineSlots(NamedTuple):
    """What one engine may hold, and what it holds.

    `slots` is how many names it can hold at a time.
    """

    host: str
    slots: int
    may_hold: tuple[str, ...]
    holds: tuple[str, ...]


class Move(NamedTuple):
    """One engine loads a name, unloads one, or both.

    An empty name stands for none.
    """

    host: str
    load: str = ""
    unload: str = ""


class _Plan:
    """The replicas of each name while moves are chosen."""

    def __init__(
        self,
        engines: Sequence[EngineSlots],
        min_replicas: Mapping[str, int],
        demand: Mapping[str, float],
    ) -> None:
        self.engines = {e.host: e for e in sorted(engines)}
        self.min_replicas = min_replicas
        self.demand = demand
        self.counts = Counter(n for e in engines for n in e.holds)
        self.holders: dict[str, list[EngineSlots]] = {}
        self.with_room: list[EngineSlots] = []
        for engine in self.engines.values():
            for name in engine.holds:
                self.holders.setdefault(name, []).append(engine)
            if len(engine.holds) < engine.slots:
                self.with_room.append(engine)

    def need(self, name: str) -> float:
        """Return the pressure on a name, infinite if one lacks."""
        return self._pressure(name, self.counts[name])

    def loss(self, name: str) -> float:
        """Return the pressure on a name after it lost a replica."""
        if name not in self.min_replicas:
            return 0.0
        return self._pressure(name, self.counts[name] - 1)

    def _pressure(self, name: str, replicas: int) -> float:
        """Return the demand on each of a number of replicas."""
        demand = self.demand.get(name, 0.0)
        if replicas < self.min_replicas[name]:
            return math.inf
        if replicas == 0:
            return math.inf if demand > DEMAND_FLOOR else 0.0
        return demand / replicas

    def apply(self, move: Move) -> None:
        """Count a move, and leave its engine alone from then on."""
        engine = self.engines.pop(move.host)
        for name in engine.holds:
            self.holders[name].remove(engine)
        if engine in self.with_room:
            self.with_room.remove(engine)
        if move.load:
            self.counts[move.load] += 1
        if move.unload:
            self.counts[move.unload] -= 1

    def find_withdrawn(self) -> Move | None:
        """Return the unloading of a name that is not published."""
        for name in sorted(set(self.holders) - set(self.min_replicas)):
            for engine in self.holders[name]:
                return Move(engine.host, unload=name)
        return None

    def find_move(self) -> Move | None:
        """Return the best move for the name that needs one most."""
        names = sorted(self.min_replicas, key=lambda n: (-self.need(n), n))
        for name in names:
            need = self.need(name)
            if need < MIN_PRESSURE:
                return None
            engine = _first(self.with_room, name)
            if engine is not None:
                return Move(engine.host, name)
            move = self._replace_for(name, need)
            if move is not None:
                return move
        return None

    def _replace_for(self, name: str, need: float) -> Move | None:
        """Return the move that costs other names least."""
        held = sorted(self.holders, key=lambda n: (self.loss(n), n))
        for other in held:
            loss = self.loss(other)
            if math.isinf(loss) or loss * HYSTERESIS > need:
                return None
            engine = _first(self.holders[other], name)
            if engine is not None:
                return Move(engine.host, name, other)
        return None


def _first(engines: Sequence[EngineSlots], name: str) -> EngineSlots | None:
    """Return the engine that ranks first among those that may load."""
    able = [e for e in engines if name in e.may_hold and name not in e.holds]
    return min(able, key=lambda e: (_rank(name, e.host), e.host), default=None)


def plan_moves(
    engines: Sequence[EngineSlots],
    min_replicas: Mapping[str, int],
    demand: Mapping[str, float],
) -> tuple[Move, ...]:
    """Return the next moves that a view asks for, one an engine.

    `min_replicas` has all published names; what is not among them is
    unloaded.  `demand` is in requests in progress.  No more than
    `MAX_MOVES` are worked out, since the weight store would not bear
    more for a while.
    """
    plan = _Plan(engines, min_replicas, demand)
    moves: list[Move] = []
    while len(moves) < MAX_MOVES:
        move = plan.find_withdrawn() or plan.find_move()
        if move is None:
            break
        plan.apply(move)
        moves.append(move)
    return tuple(moves)


def _rank(name: str, host: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{name}\0{host}".encode()))
