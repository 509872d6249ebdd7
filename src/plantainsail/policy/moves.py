"""Whether a generation moves off an engine that leaves."""

from typing import NamedTuple

MAX_MOVES = 2


class MoveFacts(NamedTuple):
    """What is known of a generation on an engine that leaves.

    `moves` counts how often it moved before, `elapsed_s` is its time
    on this engine, and `remaining_s` the time to its deadline.
    """

    is_delivered: bool
    moves: int
    elapsed_s: float
    remaining_s: float


def may_move(facts: MoveFacts) -> bool:
    """Return whether a generation may start again elsewhere.

    Starting again takes about as long as it has run so far; where the
    deadline leaves less, the engine that leaves is the better chance.
    """
    if facts.is_delivered or facts.moves >= MAX_MOVES:
        return False
    return facts.remaining_s > facts.elapsed_s
