"""Checks whether a request is refused on arrival, and why."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from plantainsail.lists.model import Grant
from plantainsail.policy.admission import MIN_RETRY_AFTER_S, Estimate
from plantainsail.policy.queue import (
    MAX_ORGANISATION_FRACTION,
    MAX_WAITING,
    MAX_WAITING_BYTES,
    WaitingQueue,
)
from plantainsail.policy.work import Work
from plantainsail.results import Code, Failure


class ServicePace(NamedTuple):
    """Measured speeds that the waiting time is estimated from.

    `run_s` is the request's likely run time, and `tokens_per_s` how
    many tokens a second all engines produce for the daemon.
    """

    run_s: float
    tokens_per_s: float


def estimate_times(
    work: Work,
    expected_tokens: int,
    queues: Sequence[WaitingQueue],
    weights: Mapping[str, int],
    pace: ServicePace,
) -> Estimate:
    """Return the likely wait and run time of a request."""
    plan_ahead = sum(
        q.tokens_ahead(work.plan, expected_tokens) for q in queues
    )
    # The wait can't be estimated until the daemon has served tokens.
    if plan_ahead == 0 or pace.tokens_per_s <= 0.0:
        return Estimate(0.0, pace.run_s)
    total_weight = 0
    total_ahead = 0
    for plan in {work.plan}.union(*(queue.plans for queue in queues)):
        total_weight += max(1, weights.get(plan, 1))
        for queue in queues:
            total_ahead += queue.tokens_ahead(plan, expected_tokens)
    share = max(1, weights.get(work.plan, 1)) / total_weight
    # The plan is served at its share of the rate, and faster once the
    # queues of other plans are empty.
    return Estimate(
        min(plan_ahead / share, total_ahead) / pace.tokens_per_s, pace.run_s
    )


def refuse_for_memory(work: Work, memory: Sequence[int]) -> Failure | None:
    """Return a failure if the request fits no engine's memory."""
    if not memory:
        return Failure(
            Code.NO_UPSTREAM,
            f"no engine of {work.model} is ready",
            MIN_RETRY_AFTER_S,
        )
    if work.prompt_tokens + 1 > max(memory):
        return Failure(Code.TOO_LARGE_FOR_MODEL, "the prompt fits no engine")
    return None


def refuse_for_bounds(
    work: Work,
    queues: Sequence[WaitingQueue],
    grant: Grant | None,
    estimate: Estimate,
) -> Failure | None:
    """Return a failure if the queues are full.

    A plan's grant may limit how many requests of each of its
    organisations wait.
    """
    waiting = sum(len(queue.entries) for queue in queues)
    held_bytes = sum(queue.bytes for queue in queues) + work.prompt_bytes
    if waiting >= MAX_WAITING or held_bytes > MAX_WAITING_BYTES:
        return Failure(
            Code.QUEUE_FULL, "too much waits", estimate.retry_after_s
        )
    limit = int(MAX_WAITING * MAX_ORGANISATION_FRACTION)
    if grant is not None and grant.waiting_requests is not None:
        limit = grant.waiting_requests
    organisation_waiting = sum(
        queue.waiting_count(work.organisation) for queue in queues
    )
    if organisation_waiting >= limit:
        return Failure(
            Code.ORGANISATION_QUEUE_FULL,
            "too much of the organisation waits",
            estimate.retry_after_s,
        )
    return None


def refuse_for_deadline(
    work: Work, estimate: Estimate, now_s: float
) -> Failure | None:
    """Return a failure if the request can't end in time."""
    if not estimate.is_late(now_s, work.deadline_s):
        return None
    return Failure(
        Code.DEADLINE_UNREACHABLE,
        f"the wait is about {estimate.wait_s:.1f} s",
        estimate.retry_after_s,
    )
