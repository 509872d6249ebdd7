"""Judges the engines of a service for many waiting generations at once.

While the engines are nearly full, hundreds of generations are compared
with all of them many times a second.  What does not depend on the
single generation is worked out once.  The choices are those of
`placement.choose_engine`.
"""

import math
from functools import cached_property

from plantainsail.routing.placement import (
    MAX_MEMORY_SHARE,
    MAX_SHORT_MEMORY_SHARE,
    Departing,
    EngineChoice,
    EngineView,
    GenerationNeed,
    choose_with_room,
    long_room_tokens,
)


class EngineOffers:
    """The engines that have a slot, with their room."""

    def __init__(self, views: list[EngineView], departing: Departing) -> None:
        self.views = views
        self.departing = departing
        self.open_views = [view for view in views if _is_open(view)]

    def choose(
        self, need: GenerationNeed, read_limit_s: float
    ) -> EngineChoice | None:
        """Return the engine with the lowest cost, or None."""
        if need.is_long:
            if need.memory_tokens > self._long_room_tokens:
                return None
            most_tokens = self._most_tokens
        else:
            most_tokens = self._most_short_tokens
        if need.memory_tokens > most_tokens:
            return None
        return choose_with_room(self.open_views, need, read_limit_s)

    @cached_property
    def _long_room_tokens(self) -> float:
        """Return the memory for further long streams in the service."""
        return long_room_tokens(self.views, self.departing)

    @cached_property
    def _most_tokens(self) -> int:
        """Return the memory that any engine has for a long stream."""
        return self._most_room_tokens(MAX_MEMORY_SHARE)

    @cached_property
    def _most_short_tokens(self) -> int:
        """Return the memory that any engine has for a short one."""
        return self._most_room_tokens(MAX_SHORT_MEMORY_SHARE)

    def _most_room_tokens(self, share: float) -> int:
        most = -1
        for view in self.open_views:
            limit = math.floor(view.traits.memory_tokens * share)
            most = max(most, limit - view.load.memory_tokens)
        return most


def _is_open(view: EngineView) -> bool:
    if view.is_suspect:
        return False
    return view.load.running < min(view.traits.slots, view.upstream.slots)
