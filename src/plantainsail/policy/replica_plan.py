"""Plans which engines load or unload which names, given the demand.

A name is an artifact or a role.  Every daemon plans for all engines,
in an order that depends on its view alone, and carries out the moves of
the engines that it owns.  So daemons with equal views plan the same
moves, and each owner carries out its part of one plan.

The pressure on a name is its demand per replica, in requests.  A
replica moves from one name to another only if the pressure on the other
is at least `HYSTERESIS_FACTOR` times the pressure that the first will
have without it.  After the move the same demand cannot justify the
reverse move; the ratio of the two demands would have to change by the
square of that factor.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import xxhash

# A replica moves only to a name whose pressure is at least this many
# times the pressure that the name it leaves will have.
HYSTERESIS_FACTOR = 2.0
# The lowest pressure, in requests per replica, that justifies a move.
MIN_PRESSURE = 1.0
# A name with fewer requests in progress needs no replica.
MIN_DEMAND = 0.05
# One plan contains at most this many moves.
MAX_MOVES = 64


class EngineSlots(NamedTuple):
    """The names that an engine may hold, and those that it holds.

    `slots` is how many names it can hold at the same time.
    """

    host: str
    slots: int
    may_hold: tuple[str, ...]
    holds: tuple[str, ...]


class Move(NamedTuple):
    """The names that one engine loads and unloads; empty for none."""

    host: str
    load: str = ""
    unload: str = ""


class _Plan:
    """The replicas of each name after the moves chosen so far.

    `counts` are the replicas of each name, `holders` the engines that
    hold it, and `demand` its requests in progress.
    """

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
        self.with_free_slot: list[EngineSlots] = []
        for engine in self.engines.values():
            for name in engine.holds:
                self.holders.setdefault(name, []).append(engine)
            if len(engine.holds) < engine.slots:
                self.with_free_slot.append(engine)

    def pressure(self, name: str) -> float:
        """Return the pressure on a name, infinite below its minimum."""
        return self._pressure_at(name, self.counts[name])

    def pressure_after_loss(self, name: str) -> float:
        """Return the pressure on a name if it loses a replica."""
        if name not in self.min_replicas:
            return 0.0
        return self._pressure_at(name, self.counts[name] - 1)

    def _pressure_at(self, name: str, replicas: int) -> float:
        """Return the pressure that a name has with some replicas."""
        demand = self.demand.get(name, 0.0)
        if replicas < self.min_replicas[name]:
            return math.inf
        if replicas == 0:
            return math.inf if demand > MIN_DEMAND else 0.0
        return demand / replicas

    def apply(self, move: Move) -> None:
        """Count a move; its engine gets no other move in this plan."""
        engine = self.engines.pop(move.host)
        for name in engine.holds:
            self.holders[name].remove(engine)
        if engine in self.with_free_slot:
            self.with_free_slot.remove(engine)
        if move.load:
            self.counts[move.load] += 1
        if move.unload:
            self.counts[move.unload] -= 1

    def find_unpublished(self) -> Move | None:
        """Return a move that unloads a name that isn't published."""
        for name in sorted(set(self.holders) - set(self.min_replicas)):
            for engine in self.holders[name]:
                return Move(engine.host, unload=name)
        return None

    def find_move(self) -> Move | None:
        """Return the best move for the name under most pressure."""
        names = sorted(self.min_replicas, key=lambda n: (-self.pressure(n), n))
        for name in names:
            pressure = self.pressure(name)
            if pressure < MIN_PRESSURE:
                return None
            engine = _first_eligible(self.with_free_slot, name)
            if engine is not None:
                return Move(engine.host, name)
            move = self._find_replacement(name, pressure)
            if move is not None:
                return move
        return None

    def _find_replacement(self, name: str, pressure: float) -> Move | None:
        """Return the move that least raises another name's pressure."""
        names = sorted(
            self.holders, key=lambda n: (self.pressure_after_loss(n), n)
        )
        for other in names:
            loss = self.pressure_after_loss(other)
            if math.isinf(loss) or loss * HYSTERESIS_FACTOR > pressure:
                return None
            engine = _first_eligible(self.holders[other], name)
            if engine is not None:
                return Move(engine.host, name, other)
        return None


def _first_eligible(
    engines: Sequence[EngineSlots], name: str
) -> EngineSlots | None:
    """Return the first by rank of the engines that may load a name."""
    eligible = [
        e for e in engines if name in e.may_hold and name not in e.holds
    ]
    return min(
        eligible, key=lambda e: (_tie_rank(name, e.host), e.host), default=None
    )


def plan_moves(
    engines: Sequence[EngineSlots],
    min_replicas: Mapping[str, int],
    demand: Mapping[str, float],
) -> tuple[Move, ...]:
    """Return the next moves, at most one for each engine.

    `min_replicas` contains all published names; other names are
    unloaded.  `demand` is in requests in progress.  At most `MAX_MOVES`
    moves are planned, since the weight store could not serve more loads
    for a while.
    """
    plan = _Plan(engines, min_replicas, demand)
    moves: list[Move] = []
    while len(moves) < MAX_MOVES:
        move = plan.find_unpublished() or plan.find_move()
        if move is None:
            break
        plan.apply(move)
        moves.append(move)
    return tuple(moves)


def _tie_rank(name: str, host: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{name}\0{host}".encode()))
