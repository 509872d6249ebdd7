"""The scheduler's view of a generation request and its placement."""

from typing import NamedTuple


class Work(NamedTuple):
    """A generation request that needs an engine.

    `deadline_s` is on the daemon's clock.  `prompt_bytes` limits how
    much daemon memory waiting requests may hold.  `operation` separates
    kinds of requests whose output lengths differ.  `prefixes` are the
    hashes of the prompt's prefixes, the shortest first.
    """

    request: str
    organisation: str
    plan: str
    model: str
    prompt_tokens: int
    prompt_bytes: int
    max_tokens: int
    arrived_s: float
    deadline_s: float
    prefixes: tuple[int, ...] = ()
    operation: str = ""


class Placement(NamedTuple):
    """The engine host for a request, and its priority there."""

    host: str
    priority: int
