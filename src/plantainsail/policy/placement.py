"""Which engine a request goes to.

An engine must have room for the request.  Among those that do, engines
seen to be slow come last; then a cached prompt prefix, the availability
zone and the free room decide together.  Long work prefers engines that
run long work already, so that most engines stay quick for short work.
"""

import heapq
from collections.abc import Sequence
from typing import NamedTuple

# What each advantage is worth, as a fraction of an engine's free room.
PREFIX_WEIGHT = 1.0
ZONE_WEIGHT = 0.05
LONG_WORK_WEIGHT = 0.1


class Candidate(NamedTuple):
    """What a daemon knows of one engine now.

    `limit_tokens` is its slice with what was borrowed, `room_tokens`
    that without what goes to others first, and `free_tokens` that
    without the forecast of what runs.  `long_fraction` is the part of
    the running tokens that belongs to long generations.
    """

    host: str
    free_tokens: int
    room_tokens: int
    limit_tokens: int
    is_same_zone: bool = True
    is_avoided: bool = False
    prefix_fraction: float = 0.0
    long_fraction: float = 0.0


def rank_candidates(
    candidates: Sequence[Candidate],
    needed_tokens: int | None,
    is_long: bool,
    count: int,
) -> list[Candidate]:
    """Return the best engines, best first.

    Engines without the needed room are left out; None is for work so
    short that the forecast of what runs does not matter.
    """
    fitting = [
        candidate
        for candidate in candidates
        if needed_tokens is None or candidate.free_tokens >= needed_tokens
    ]
    return heapq.nlargest(
        count, fitting, key=lambda c: (not c.is_avoided, score(c, is_long))
    )


def score(candidate: Candidate, is_long: bool) -> float:
    """Return how well an engine suits, larger for better."""
    value = candidate.free_tokens / max(1, candidate.limit_tokens)
    value += PREFIX_WEIGHT * candidate.prefix_fraction
    value += ZONE_WEIGHT * candidate.is_same_zone
    gathered = candidate.long_fraction
    value += LONG_WORK_WEIGHT * (gathered if is_long else -gathered)
    return value
