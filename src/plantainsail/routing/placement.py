"""Chooses the upstream of a request.

For generations the load that this answers is a fleet of engines that
are nearly full of long streams: every prompt that an engine reads
slows the streams that run there, and an engine that is slower than
its like turns that into pauses that callers notice.  Long streams
therefore go where engines are fast, and short requests rather where
few long streams run.
"""

from typing import NamedTuple

from plantainsail.routing.fleet_loads import UpstreamLoad
from plantainsail.routing.model import EngineTraits, RoutedUpstream
from plantainsail.routing.reading import DEFAULT_READ_TOKENS_PER_S

MAX_MEMORY_SHARE = 0.93
# What is planned is the memory at the end; a run that is moved is lost
# if it finds no room, so it may count on others ending before.
MAX_MOVE_MEMORY_SHARE = 1.1
DEFAULT_SLOWNESS = 1.08
MIN_SLOW_RATIO = 1.14
LONG_OUTPUT_TOKENS = 200
LONG_ON_SLOW_COST_S = 1.2
LONG_BESIDE_LONG_COST_S = 0.06
SHORT_BESIDE_LONG_COST_S = 0.05
# A prompt that is read on a slow engine makes pauses that callers of
# the long streams there notice.
READ_ON_SLOW_COST_S = 0.8
MAX_COUNTED_LONG = 4
MEMORY_COST_S = 0.4
RECENT_SLOW_COST_S = 0.5
MIN_RECENT_SLOW_RATIO = 1.9
OTHER_ZONE_COST_S = 0.02
OTHER_ZONE_MOVE_COST_S = 0.3
OTHER_ZONE_PLAIN_COST = 0.02


class GenerationNeed(NamedTuple):
    """What one generation needs of an engine."""

    prompt_tokens: int
    output_tokens: int

    @property
    def memory_tokens(self) -> int:
        """Return the memory held at its end."""
        return self.prompt_tokens + self.output_tokens

    @property
    def is_long(self) -> bool:
        """Return whether its stream lasts for seconds."""
        return self.output_tokens >= LONG_OUTPUT_TOKENS


class EngineView(NamedTuple):
    """One engine as this daemon sees it now.

    `slowness` is its usual pause against that of the fastest engine,
    and `recent_slowness` its newest pause against its usual one.
    """

    upstream: RoutedUpstream
    traits: EngineTraits
    load: UpstreamLoad
    slowness: float = DEFAULT_SLOWNESS
    recent_slowness: float = 1.0
    read_tokens_s: float = DEFAULT_READ_TOKENS_PER_S
    is_suspect: bool = False
    is_same_zone: bool = True


class EngineChoice(NamedTuple):
    """The engine chosen, and when its first event is expected."""

    upstream: RoutedUpstream
    read_s: float
    cost_s: float


def has_room(
    view: EngineView, need: GenerationNeed, share: float = MAX_MEMORY_SHARE
) -> bool:
    """Return whether a generation fits beside all that is planned."""
    load = view.load
    if load.running >= min(view.traits.slots, view.upstream.slots):
        return False
    held = load.memory_tokens + need.memory_tokens
    return held <= view.traits.memory_tokens * share


def read_time_s(view: EngineView, need: GenerationNeed) -> float:
    """Return how long all prompts take to be read, this one last."""
    tokens = view.load.unread_tokens + need.prompt_tokens
    return tokens / view.read_tokens_s


def cost_s(view: EngineView, need: GenerationNeed) -> float:
    """Return how bad an engine is for a generation, in seconds."""
    load = view.load
    cost = read_time_s(view, need)
    held = load.memory_tokens + need.memory_tokens
    cost += MEMORY_COST_S * (held / view.traits.memory_tokens) ** 2
    if view.recent_slowness >= MIN_RECENT_SLOW_RATIO:
        cost += RECENT_SLOW_COST_S
    if not view.is_same_zone:
        cost += OTHER_ZONE_COST_S
    if view.slowness >= MIN_SLOW_RATIO:
        cost += READ_ON_SLOW_COST_S * min(MAX_COUNTED_LONG, load.long_running)
    if not need.is_long:
        return cost + SHORT_BESIDE_LONG_COST_S * load.long_running
    return cost + _long_cost_s(view)


def _long_cost_s(view: EngineView) -> float:
    """Return how bad an engine is for a long stream beside others."""
    cost = LONG_BESIDE_LONG_COST_S * view.load.long_running
    if view.slowness >= MIN_SLOW_RATIO:
        cost += LONG_ON_SLOW_COST_S * min(1.0, (view.slowness - 1.0) / 0.3)
    return cost


def choose_engine(
    views: list[EngineView], need: GenerationNeed, read_limit_s: float
) -> EngineChoice | None:
    """Return the best engine with room, or None.

    Only engines that can read the prompt within `read_limit_s` are
    taken.
    """
    best: EngineChoice | None = None
    for view in views:
        if view.is_suspect or not has_room(view, need):
            continue
        read_s = read_time_s(view, need)
        if read_s > read_limit_s:
            continue
        cost = cost_s(view, need)
        if best is None or cost < best.cost_s:
            best = EngineChoice(view.upstream, read_s, cost)
    return best


def choose_move_target(
    views: list[EngineView], need: GenerationNeed
) -> RoutedUpstream | None:
    """Return the best engine for a run that leaves another.

    Its memory is copied, so nothing is read there.  A copy to another
    availability zone holds the leaving engine's link twice as long.
    """
    best: RoutedUpstream | None = None
    best_cost = 0.0
    for view in views:
        if view.is_suspect or not has_room(view, need, MAX_MOVE_MEMORY_SHARE):
            continue
        load = view.load
        held = load.memory_tokens + need.memory_tokens
        cost = MEMORY_COST_S * (held / view.traits.memory_tokens) ** 2
        cost += _long_cost_s(view)
        if not view.is_same_zone:
            cost += OTHER_ZONE_MOVE_COST_S
        if best is None or cost < best_cost:
            best, best_cost = view.upstream, cost
    return best


class PlainView(NamedTuple):
    """One upstream of a plain service as this daemon sees it now."""

    upstream: RoutedUpstream
    running: int
    is_suspect: bool = False
    is_same_zone: bool = True


def choose_plain(
    views: list[PlainView], tried: frozenset[str]
) -> RoutedUpstream | None:
    """Return the least loaded upstream that wasn't tried yet.

    Suspects are taken only where nothing else is left.
    """
    best: RoutedUpstream | None = None
    best_cost = 0.0
    for view in views:
        if view.upstream.identifier in tried:
            continue
        cost = (view.running + 1) / max(1, view.upstream.slots)
        if view.is_suspect:
            cost += 100.0
        if not view.is_same_zone:
            cost += OTHER_ZONE_PLAIN_COST
        if best is None or cost < best_cost:
            best, best_cost = view.upstream, cost
    return best
