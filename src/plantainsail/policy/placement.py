"""Ranks the engines that a request may be sent to.

An engine needs enough free memory for the request.  Slow engines rank
last.  The others are ranked by a weighted sum of their free memory, a
cached prompt prefix and the availability zone.  Long work prefers
engines that already run long work, so that most engines stay fast for
short work.
"""

import heapq
from collections.abc import Sequence
from typing import NamedTuple

# Weights of the score, relative to an engine's free fraction of memory.
PREFIX_WEIGHT = 1.0
ZONE_WEIGHT = 0.05
LONG_WORK_WEIGHT = 0.1


class Candidate(NamedTuple):
    """The current state of an engine, as one daemon knows it.

    `limit_tokens` is the memory that the daemon may fill: its slice and
    borrowed memory.  `room_tokens` leaves out the memory claimed by
    work of a higher rank, and `free_tokens` also the forecast peak of
    running work.  `long_fraction` is the part of the held tokens that
    belongs to long generations.
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
    """Return the `count` best engines, the best first.

    Engines with fewer free tokens than needed are left out, unless
    `needed_tokens` is None: very short work ends before the forecast
    memory of running work is used.
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
    """Return the score of an engine; higher is better."""
    value = candidate.free_tokens / max(1, candidate.limit_tokens)
    value += PREFIX_WEIGHT * candidate.prefix_fraction
    value += ZONE_WEIGHT * candidate.is_same_zone
    long_fraction = candidate.long_fraction
    value += LONG_WORK_WEIGHT * (long_fraction if is_long else -long_fraction)
    return value
