"""Decides if and when a broken stream goes on at another upstream.

The rules are made for engines that read prompts of thousands of tokens
at 14 a millisecond, beside up to 24 streams with an event each 30 to
50 ms.  At any time some 15 % of them are 2.5 times slower for half a
second, and every 3.3 s one sixth of them leaves within two seconds.  A
pause of a second is therefore ordinary while prompts are read, and an
upstream that was silent for four times the expected time has probably
failed.  A caller waits some four seconds, so there is still time for
another upstream then.

Each repeat costs the reading of the prompt once more.  The attempts of
one request and the retry budget of all bound what failures can add to
the load.
"""

from enum import StrEnum
from typing import NamedTuple

from plantainsail.routing.placement import EngineView, GenerationNeed
from plantainsail.routing.urgency import (
    READ_MARGIN,
    Claim,
    caller_patience_s,
)

# An upstream that is silent for this many times the expected time has
# probably failed: estimates are exceeded by a factor of 1.2, and by 2.5
# while an engine is slow.
FAILED_FACTOR = 4.0
# If the caller gives up before that, an upstream counts as failed from
# this factor on, beyond what a slow engine takes.
SLOW_FACTOR = 2.5
# No upstream counts as failed after a shorter silence: prompts that
# other daemons sent there in the last moment delay an event by this.
MIN_SILENCE_S = 1.0


class Refusal(StrEnum):
    """Why a broken stream does not go on at another upstream."""

    ATTEMPTS = "attempts spent"
    POSITION = "no position"
    TIME = "no time"
    BUDGET = "no budget"
    ENGINE = "no engine"
    SUSPECT = "suspect"


class Interruption(NamedTuple):
    """The state of a stream that broke off.

    `attempts` upstreams may have run its request, of at most
    `max_attempts`.  `has_position` says whether another upstream can
    be told where to go on.  The caller gives up at `gives_up_s`, and an
    idle upstream needs `read_s` until its first event.
    """

    attempts: int
    max_attempts: int
    has_position: bool
    gives_up_s: float
    read_s: float


def refusal(
    interruption: Interruption, now_s: float, *, has_budget: bool
) -> Refusal | None:
    """Return why a broken stream must not be resumed, if so."""
    if interruption.attempts >= interruption.max_attempts:
        return Refusal.ATTEMPTS
    if not interruption.has_position:
        return Refusal.POSITION
    ready_s = now_s + READ_MARGIN * interruption.read_s
    if ready_s >= interruption.gives_up_s:
        return Refusal.TIME
    if not has_budget:
        return Refusal.BUDGET
    return None


def gives_up_s(
    claim: Claim,
    taken_s: float | None,
    objective_s: float,
    pause_s: float,
    deadline_s: float,
) -> float:
    """Return when the caller of a stream gives up.

    `taken_s` is when it took its last event, or None before the first
    one.
    """
    if taken_s is None:
        return claim.gives_up_s
    patience_s = caller_patience_s(objective_s, pause_s)
    return min(taken_s + patience_s, deadline_s)


def resumed_claim(
    claim: Claim, broken_s: float, objective_s: float, end_s: float
) -> Claim:
    """Return the claim of a request whose stream broke at `broken_s`.

    Its caller gives up at `end_s`.  It counts as on time for as long as
    a new request would, and keeps the place of its arrival, so that it
    goes before requests of its priority that came later.
    """
    late_from_s = min(broken_s + objective_s, end_s)
    return claim._replace(late_from_s=late_from_s, gives_up_s=end_s)


def resumed_need(
    need: GenerationNeed, output_tokens: int, max_tokens: int
) -> GenerationNeed:
    """Return what a request needs of another upstream.

    The `output_tokens` that its caller has are read there like a part
    of the prompt.  One engine gives at most `max_tokens` to it.
    """
    prompt_tokens = min(need.prompt_tokens + output_tokens, max_tokens - 1)
    return need._replace(
        prompt_tokens=prompt_tokens,
        output_tokens=max(
            1, min(need.memory_tokens, max_tokens) - prompt_tokens
        ),
    )


def silence_limit_s(
    expected_s: float, patience_s: float, restart_s: float
) -> float:
    """Return after which silence an upstream has probably failed.

    Its next event is expected after `expected_s`.  The caller gives up
    `patience_s` after the event before, and another upstream needs
    `restart_s` until its first event.
    """
    failed_s = max(MIN_SILENCE_S, FAILED_FACTOR * expected_s)
    slow_s = max(MIN_SILENCE_S, SLOW_FACTOR * expected_s)
    in_time_s = patience_s - READ_MARGIN * restart_s
    return max(slow_s, min(failed_s, in_time_s))


def prefer_untried(
    views: list[EngineView], tried: frozenset[str]
) -> list[EngineView]:
    """Return the engines at which a request was not tried.

    If none of them is in order, all engines are returned.
    """
    if not tried:
        return views
    untried: list[EngineView] = []
    for view in views:
        if view.upstream.identifier not in tried and not view.is_suspect:
            untried.append(view)
    return untried or views
