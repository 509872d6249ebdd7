"""Why a request is refused when it arrives."""

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
    """A request's likely run time, and all tokens served a second."""

    run_s: float
    rate: float


def estimate_times(
    work: Work,
    expected: int,
    queues: Sequence[WaitingQueue],
    weights: Mapping[str, int],
    pace: ServicePace,
) -> Estimate:
    """Return the likely wait and run time of a request."""
    ahead = sum(q.tokens_ahead(work.plan, expected) for q in queues)
    # Before anything was served the wait is not known.
    if ahead == 0 or pace.rate <= 0.0:
        return Estimate(0.0, pace.run_s)
    whole_weight = 0
    whole_ahead = 0
    for plan in {work.plan}.union(*(queue.plans for queue in queues)):
        whole_weight += max(1, weights.get(plan, 1))
        for queue in queues:
            whole_ahead += queue.tokens_ahead(plan, expected)
    part = max(1, weights.get(work.plan, 1)) / whole_weight
    # The plan gets its share, and more when others are done.
    return Estimate(min(ahead / part, whole_ahead) / pace.rate, pace.run_s)


def refuse_for_memory(work: Work, memory: Sequence[int]) -> Failure | None:
    """Return why no engine of the given memories takes a request."""
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
    """Return why a request may not wait, for the queues' bounds."""
    waiting = sum(len(queue.entries) for queue in queues)
    held_bytes = sum(queue.bytes for queue in queues) + work.prompt_bytes
    if waiting >= MAX_WAITING or held_bytes > MAX_WAITING_BYTES:
        return Failure(
            Code.QUEUE_FULL, "too much waits", estimate.retry_after_s
        )
    limit = int(MAX_WAITING * MAX_ORGANISATION_FRACTION)
    if grant is not None and grant.waiting_requests is not None:
        limit = grant.waiting_requests
    own = sum(queue.waiting_count(work.organisation) for queue in queues)
    if own >= limit:
        return Failure(
            Code.ORGANISATION_QUEUE_FULL,
            "too much of the organisation waits",
            estimate.retry_after_s,
        )
    return None


def refuse_for_deadline(
    work: Work, estimate: Estimate, now_s: float
) -> Failure | None:
    """Return why a request can't end in time."""
    if not estimate.is_late(now_s, work.deadline_s):
        return None
    return Failure(
        Code.DEADLINE_UNREACHABLE,
        f"the wait is about {estimate.wait_s:.1f} s",
        estimate.retry_after_s,
    )
