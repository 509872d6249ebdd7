"""Chooses the upstream of a request.

The placement of generations is designed for a fleet of engines that
are nearly full of long streams.  Every prompt that an engine reads
slows the streams that run there, and on an engine that is slower than
the others this causes pauses that callers notice.  Therefore long
streams go to fast engines, and short requests preferably to engines
with few long streams.
"""

import math
from enum import StrEnum
from typing import NamedTuple

from plantainsail.routing.fleet_loads import UpstreamLoad
from plantainsail.routing.model import EngineTraits, RoutedUpstream
from plantainsail.routing.ramp_records import RampLimit
from plantainsail.routing.reading import DEFAULT_READ_TOKENS_PER_S

# The planned memory of an engine is what all its generations hold when
# they end.  A new generation may raise it to this share of the memory,
# which is over 1 because they do not all end at the same time.
MAX_MEMORY_SHARE = 1.02
# A short generation ends before the long ones there have grown to their
# planned size, so it may raise the planned memory further.
MAX_SHORT_MEMORY_SHARE = 1.12
# A generation that must move is lost if no engine has room.  So its
# target may be overcommitted, as others will end before it does.
MAX_MOVE_MEMORY_SHARE = 1.18
# An engine's slowness is the ratio of its usual pause between events to
# that of the fastest engine.  The default holds until it is measured;
# an engine counts as slow from the minimum on.
DEFAULT_SLOWNESS = 1.08
MIN_SLOW_RATIO = 1.14
# A generation with at least this many output tokens counts as long.
LONG_OUTPUT_TOKENS = 200
# The costs are added to the seconds that an engine needs to read its
# prompts, to compare engines: for a long stream on a slow engine, and
# for a long stream or a short request beside each long stream there.
LONG_ON_SLOW_COST_S = 1.2
LONG_BESIDE_LONG_COST_S = 0.06
SHORT_BESIDE_LONG_COST_S = 0.05
# A pause may grow to this many times the usual one of its engine, as
# reading a prompt doubles it, and so does other work on the host.
DISTURBED_PAUSE_FACTOR = 4.0
# This counts only on an engine that is this many times slower than the
# fastest one.  Smaller differences have their cost below, and streams
# need the room of such engines.
MIN_UNEVEN_RATIO = 1.5
# The cost, for a long stream, of an engine on which such a pause would
# be longer than the route allows.  It exceeds the usual objective of a
# first event, so that an engine that is free of this is taken if any
# can read the prompt in time.
PAUSE_RISK_COST_S = 2.0
# A prompt read on a slow engine causes pauses that the callers of long
# streams there notice.  At most this many of the streams are counted.
READ_ON_SLOW_COST_S = 0.8
MAX_COUNTED_LONG = 4
# The cost of an engine whose memory is planned to be full; it grows
# with the square of the planned share.
MEMORY_COST_S = 0.4
# The cost of an engine whose newest pause between events is at least
# this many times its usual one.
RECENT_SLOW_COST_S = 0.5
MIN_RECENT_SLOW_RATIO = 1.9
# The costs of another availability zone for a new generation, for a
# generation that must move, and for a request to a plain service, where
# a cost of 1 is a full upstream.
OTHER_ZONE_COST_S = 0.02
OTHER_ZONE_MOVE_COST_S = 0.3
OTHER_ZONE_PLAIN_COST = 0.02
# The cost of an upstream that names a rate limit, as it is in need.
LIMITED_PLAIN_COST = 0.5
# A generation that must move is lost without a target, so an engine
# over its ramp limit is one if no other has room.
OVER_RAMP_MOVE_COST_S = 20.0
# The costs of a suspect upstream of a plain service, and of one that is
# over its ramp limit: each is chosen only if no other is left.
SUSPECT_PLAIN_COST = 100.0
OVER_RAMP_PLAIN_COST = 50.0


class GenerationNeed(NamedTuple):
    """What one generation needs of an engine.

    No pause of its stream may exceed `pause_s`; 0 allows any.
    """

    prompt_tokens: int
    output_tokens: int
    pause_s: float = 0.0

    @property
    def memory_tokens(self) -> int:
        """Return the memory, in tokens, held when it ends."""
        return self.prompt_tokens + self.output_tokens

    @property
    def is_long(self) -> bool:
        """Return whether its stream is expected to last seconds."""
        return self.output_tokens >= LONG_OUTPUT_TOKENS


def max_request_tokens(traits: EngineTraits) -> int:
    """Return the most memory, in tokens, that one request may get."""
    return int(traits.memory_tokens * MAX_MEMORY_SHARE)


class EngineView(NamedTuple):
    """One engine as this daemon sees it now.

    `slowness` is the ratio of its usual pause between events to that of
    the fastest engine, and `recent_slowness` the ratio of its newest
    pause to its usual one.  `read_tokens_s` is how many prompt tokens
    it reads a second, and `usual_pause_s` its usual pause, or 0 if that
    is not known.  `ramp` is its limit after a start or a failure, if it
    has one.
    """

    upstream: RoutedUpstream
    traits: EngineTraits
    load: UpstreamLoad
    slowness: float = DEFAULT_SLOWNESS
    recent_slowness: float = 1.0
    read_tokens_s: float = DEFAULT_READ_TOKENS_PER_S
    is_suspect: bool = False
    is_same_zone: bool = True
    usual_pause_s: float = 0.0
    ramp: RampLimit | None = None


class EngineChoice(NamedTuple):
    """The engine chosen for a generation.

    `read_s` is the expected time until the engine has read the prompt,
    and `cost_s` the cost by which engines were compared.
    """

    upstream: RoutedUpstream
    read_s: float
    cost_s: float


def has_slot(view: EngineView) -> bool:
    """Return whether an engine may run one more generation."""
    return view.load.running < min(view.traits.slots, view.upstream.slots)


def has_room(
    view: EngineView, need: GenerationNeed, share: float = MAX_MEMORY_SHARE
) -> bool:
    """Return whether an engine has a slot and memory left.

    The memory planned for all generations there may take up to `share`
    of the engine's memory.
    """
    if not has_slot(view):
        return False
    planned_tokens = view.load.memory_tokens + need.memory_tokens
    return planned_tokens <= view.traits.memory_tokens * share


def is_over_ramp(view: EngineView, need: GenerationNeed) -> bool:
    """Return whether an engine's ramp allows no such generation now."""
    if view.ramp is None:
        return False
    unread_tokens = view.load.unread_tokens
    if not unread_tokens:
        return view.ramp.is_over
    unread_tokens += need.prompt_tokens
    return view.ramp.is_over or unread_tokens > view.ramp.unread_tokens


class Departing(NamedTuple):
    """What the engines that leave mean for the others.

    `memory_tokens` is the memory planned on engines that are leaving
    now, and `is_frequent` says whether any left lately.
    """

    memory_tokens: int = 0
    is_frequent: bool = False


NOTHING_DEPARTING = Departing()


def long_room_tokens(views: list[EngineView], departing: Departing) -> float:
    """Return the memory that further long streams may plan to take.

    An engine that leaves is emptied onto the others, so these keep room
    for the streams that are leaving now.  While departures are
    frequent, they also keep room for those of the largest engine, which
    may be the next to leave.
    """
    if len(views) < 2:
        return math.inf
    total = 0
    largest = 0
    planned = 0
    for view in views:
        memory_tokens = view.traits.memory_tokens
        total += memory_tokens
        largest = max(largest, memory_tokens)
        planned += view.load.memory_tokens
    after_moves = (
        MAX_MOVE_MEMORY_SHARE * total - planned - departing.memory_tokens
    )
    if not departing.is_frequent:
        return after_moves
    after_next = MAX_MOVE_MEMORY_SHARE * (total - largest) - planned
    return min(after_moves, after_next)


def read_time_s(view: EngineView, need: GenerationNeed) -> float:
    """Return how long an engine needs to read all unread prompts.

    The generation's own prompt is included and read last.
    """
    tokens = view.load.unread_tokens + need.prompt_tokens
    return tokens / view.read_tokens_s


def cost_s(view: EngineView, need: GenerationNeed) -> float:
    """Return the cost of an engine for a generation, in seconds."""
    load = view.load
    cost = read_time_s(view, need)
    planned_tokens = load.memory_tokens + need.memory_tokens
    cost += MEMORY_COST_S * (planned_tokens / view.traits.memory_tokens) ** 2
    if view.recent_slowness >= MIN_RECENT_SLOW_RATIO:
        cost += RECENT_SLOW_COST_S
    if not view.is_same_zone:
        cost += OTHER_ZONE_COST_S
    if view.slowness >= MIN_SLOW_RATIO:
        cost += READ_ON_SLOW_COST_S * min(MAX_COUNTED_LONG, load.long_running)
    if not need.is_long:
        return cost + SHORT_BESIDE_LONG_COST_S * load.long_running
    return cost + _long_cost_s(view, need)


def risks_pause(view: EngineView, need: GenerationNeed) -> bool:
    """Return whether a stream may pause for too long on an engine."""
    if need.pause_s <= 0 or view.slowness < MIN_UNEVEN_RATIO:
        return False
    return view.usual_pause_s * DISTURBED_PAUSE_FACTOR > need.pause_s


def _long_cost_s(view: EngineView, need: GenerationNeed) -> float:
    """Return the extra cost of an engine for a long stream."""
    cost = LONG_BESIDE_LONG_COST_S * view.load.long_running
    if risks_pause(view, need):
        cost += PAUSE_RISK_COST_S
    if view.slowness >= MIN_SLOW_RATIO:
        cost += LONG_ON_SLOW_COST_S * min(1.0, (view.slowness - 1.0) / 0.3)
    return cost


class PassedOver(StrEnum):
    """Why an upstream isn't chosen."""

    SUSPECT = "suspect"
    NO_SLOT = "no slot"
    NO_MEMORY = "no memory"
    OVER_RAMP = "over its ramp limit"
    TOO_LONG_TO_READ = "too long to read"
    ROOM_FOR_MOVES = "room kept for streams that must move"
    WAITS = "wants no request yet"
    COSTS_MORE = "costs more"
    COSTS_AS_MUCH = "costs as much"


def why_passed_over(
    view: EngineView,
    need: GenerationNeed,
    read_s: float,
    read_limit_s: float,
) -> PassedOver | None:
    """Return why an engine can't get a generation now, or None.

    `read_s` is how long it needs to read all its unread prompts and the
    generation's own.
    """
    if view.is_suspect:
        return PassedOver.SUSPECT
    share = MAX_MEMORY_SHARE if need.is_long else MAX_SHORT_MEMORY_SHARE
    if not has_room(view, need, share):
        is_full = not has_slot(view)
        return PassedOver.NO_SLOT if is_full else PassedOver.NO_MEMORY
    if view.ramp is not None and is_over_ramp(view, need):
        return PassedOver.OVER_RAMP
    if read_s > read_limit_s:
        return PassedOver.TOO_LONG_TO_READ
    return None


def must_leave_room(
    views: list[EngineView], need: GenerationNeed, departing: Departing
) -> bool:
    """Return whether a long stream must leave room for moves."""
    if not need.is_long:
        return False
    return need.memory_tokens > long_room_tokens(views, departing)


def choose_engine(
    views: list[EngineView],
    need: GenerationNeed,
    read_limit_s: float,
    departing: Departing = NOTHING_DEPARTING,
) -> EngineChoice | None:
    """Return the engine with the lowest cost, or None.

    Only engines that have room and can read the prompt within
    `read_limit_s` are considered, and none for a long stream if the
    others would lack room for those of a departing engine.
    """
    if must_leave_room(views, need, departing):
        return None
    return choose_with_room(views, need, read_limit_s)


def choose_with_room(
    views: list[EngineView], need: GenerationNeed, read_limit_s: float
) -> EngineChoice | None:
    """Return the engine with the lowest cost among those with room."""
    best: EngineChoice | None = None
    for view in views:
        read_s = read_time_s(view, need)
        if why_passed_over(view, need, read_s, read_limit_s) is not None:
            continue
        cost = cost_s(view, need)
        if best is None or cost < best.cost_s:
            best = EngineChoice(view.upstream, read_s, cost)
    return best


def choose_move_target(
    views: list[EngineView], need: GenerationNeed
) -> RoutedUpstream | None:
    """Return the best engine for a generation that must move.

    Its memory is copied there, so the prompt isn't read again.  A copy
    to another availability zone occupies the link of the leaving engine
    twice as long.
    """
    best: RoutedUpstream | None = None
    best_cost = 0.0
    for view in views:
        if view.is_suspect or not has_room(view, need, MAX_MOVE_MEMORY_SHARE):
            continue
        load = view.load
        planned_tokens = load.memory_tokens + need.memory_tokens
        cost = (
            MEMORY_COST_S * (planned_tokens / view.traits.memory_tokens) ** 2
        )
        cost += _long_cost_s(view, need)
        if not view.is_same_zone:
            cost += OTHER_ZONE_MOVE_COST_S
        if is_over_ramp(view, need):
            cost += OVER_RAMP_MOVE_COST_S
        if best is None or cost < best_cost:
            best, best_cost = view.upstream, cost
    return best


class PlainView(NamedTuple):
    """One upstream of a plain service as this daemon sees it now."""

    upstream: RoutedUpstream
    running: int
    is_suspect: bool = False
    is_same_zone: bool = True
    is_limited: bool = False
    ramp: RampLimit | None = None


def plain_cost(view: PlainView) -> float:
    """Return the cost of an upstream of a plain service."""
    cost = (view.running + 1) / max(1, view.upstream.slots)
    if view.is_suspect:
        cost += SUSPECT_PLAIN_COST
    if view.ramp is not None and view.ramp.is_over:
        cost += OVER_RAMP_PLAIN_COST
    if not view.is_same_zone:
        cost += OTHER_ZONE_PLAIN_COST
    if view.is_limited:
        cost += LIMITED_PLAIN_COST
    return cost


def choose_plain(
    views: list[PlainView], tried: frozenset[str]
) -> RoutedUpstream | None:
    """Return the least loaded upstream that wasn't tried yet.

    Suspect upstreams, and those over their ramp limits, are chosen only
    if no other is left.
    """
    best: RoutedUpstream | None = None
    best_cost = 0.0
    for view in views:
        if view.upstream.identifier in tried:
            continue
        cost = plain_cost(view)
        if best is None or cost < best_cost:
            best, best_cost = view.upstream, cost
    return best
