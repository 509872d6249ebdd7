"""Which running stream moves to another engine, and where to.

The load that this answers is a fleet in which some engines are slower
than others.  A slow engine that reads prompts makes pauses that
callers notice; one that only generates does not.  So prompts are read
on fast engines, and as these fill, long streams move on to slow ones
that read nothing.
"""

from typing import NamedTuple

from plantainsail.routing.placement import (
    MEMORY_SHARE,
    SLOW_FROM,
    EngineView,
    GenerationNeed,
    has_room,
)

# Streams move off an engine only while this part of its memory and
# more is planned.
CROWDED_SHARE = 0.5
# The target keeps at least this much less planned than the source.
MIN_GAIN_SHARE = 0.1
MIN_AGE_S = 0.3
MIN_TOKENS_LEFT = 200
MAX_MOVES_OFF = 1


class Movable(NamedTuple):
    """A running stream of this daemon."""

    request: str
    engine: str
    need: GenerationNeed
    age_s: float
    tokens_left: int
    was_moved: bool


class Move(NamedTuple):
    """A stream and the engine that it moves to."""

    request: str
    target: str


def choose_move(
    streams: list[Movable], views: list[EngineView]
) -> Move | None:
    """Return the most useful move, or None."""
    by_name = {view.upstream.identifier: view for view in views}
    best: Move | None = None
    best_gain = MIN_GAIN_SHARE
    for stream in streams:
        source = by_name.get(stream.engine)
        if source is None or not _may_move(stream, source):
            continue
        for target in views:
            if not _may_take(target, stream.need):
                continue
            gain = _planned(source) - _planned(target)
            if gain > best_gain:
                best = Move(stream.request, target.upstream.identifier)
                best_gain = gain
    return best


def _may_move(stream: Movable, source: EngineView) -> bool:
    if stream.was_moved or not stream.need.is_long:
        return False
    if stream.age_s < MIN_AGE_S or stream.tokens_left < MIN_TOKENS_LEFT:
        return False
    if source.slowness >= SLOW_FROM or _planned(source) < CROWDED_SHARE:
        return False
    return source.load.first_copies < MAX_MOVES_OFF


def _may_take(target: EngineView, need: GenerationNeed) -> bool:
    if target.is_suspect or target.slowness < SLOW_FROM:
        return False
    if target.load.unread_tokens > 0:
        return False
    return has_room(target, need, MEMORY_SHARE)


def _planned(view: EngineView) -> float:
    return view.load.memory_tokens / view.traits.memory_tokens
