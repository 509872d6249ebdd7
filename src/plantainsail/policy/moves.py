"""Decides whether a generation moves off an engine that is leaving."""

from typing import NamedTuple

MAX_MOVES = 2


class MoveFacts(NamedTuple):
    """The state of a generation on an engine that is leaving.

    `is_delivered` tells whether the caller got a part of the answer.
    `moves` counts earlier moves, `elapsed_s` is the time on this
    engine, and `remaining_s` the time left until the deadline.
    """

    is_delivered: bool
    moves: int
    elapsed_s: float
    remaining_s: float


def may_move(facts: MoveFacts) -> bool:
    """Return whether a generation may start again on another engine.

    Starting again takes about as long as the generation has run.  If
    less time is left, it is more likely to finish where it is.
    """
    if facts.is_delivered or facts.moves >= MAX_MOVES:
        return False
    return facts.remaining_s > facts.elapsed_s
