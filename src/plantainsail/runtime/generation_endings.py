"""Handles generations that fail, expire or are cancelled."""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from plantainsail.lists.model import HostEntry
from plantainsail.logs import get_logger
from plantainsail.policy.part_quarantine import EngineDeath
from plantainsail.policy.retries import (
    MAX_ATTEMPTS,
    may_retry,
    surely_not_run,
    with_exact_outcome,
)
from plantainsail.results import Code, Failure, Outcome
from plantainsail.runtime.live_streams import LiveStream
from plantainsail.runtime.node import Node
from plantainsail.streams.relay import Relay

logger = get_logger("generations")

# Only these codes say that the engine lost the generation.  A timeout
# isn't among them: a silent engine may be alive behind a stalled link.
ENGINE_DEATH_CODES = frozenset({Code.UPSTREAM_TRUNCATED, Code.GENERATION_LOST})

# After these codes the generation is gone from the engine, or another
# daemon relays it, so this daemon must not cancel it.
NOT_CANCELLABLE_CODES = frozenset(
    {Code.GENERATION_LOST, Code.STREAM_SUPERSEDED}
)


# The pause before a cancel is sent again doubles, up to a limit.
CANCEL_PAUSE_S = 0.1
MAX_CANCEL_PAUSE_S = 1.0


async def cancel_at_engine(
    node: Node, engine: HostEntry, relay: Relay
) -> bool:
    """Send an engine one request to cancel a generation.

    A daemon that was paused or cut off sends none, since another daemon
    may have taken over the generation.  Returns whether nothing is left
    to cancel for this daemon.
    """
    if node.find_act_failure() is not None:
        return True
    node.metrics.streams.labels("cancelled").inc()
    return await node.engines.cancel(
        engine, relay.expected.generation, relay.expected.attempt
    )


async def cancel_until_confirmed(
    node: Node, engine: HostEntry, relay: Relay, deadline_s: float
) -> None:
    """Cancel a generation that runs elsewhere from now on.

    A request to cancel that got no answer may be lost, and engines keep
    a generation whose connection is closed.  They end it by themselves
    at `deadline_s`, and with their process.
    """
    pause_s = CANCEL_PAUSE_S
    while not await cancel_at_engine(node, engine, relay):
        logger.warning(
            "generation may go on",
            engine=engine.host,
            generation=relay.expected.generation,
        )
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_CANCEL_PAUSE_S)
        listed = node.store.hosts.hosts.get(engine.host)
        if listed is None or listed.incarnation != engine.incarnation:
            return
        if node.now_s() >= deadline_s:
            return


def schedule_cancel(
    node: Node, engine: HostEntry, relay: Relay, deadline_s: float
) -> None:
    """Cancel a generation in the background without waiting for it."""
    node.hold_task_reference(
        asyncio.create_task(
            cancel_until_confirmed(node, engine, relay, deadline_s)
        )
    )


def generation_lost_failure(failure: Failure) -> Failure:
    """Return the failure of a generation lost after a part was sent."""
    return Failure(Code.GENERATION_LOST, failure.detail)


def deadline_expired_failure(relay: Relay | None) -> Failure:
    """Return the failure of a request whose deadline has passed.

    `relay` is None if the request never reached an engine, and then it
    certainly did not run.
    """
    detail = "the caller's deadline passed"
    if relay is None:
        return Failure(Code.DEADLINE_EXPIRED, detail)
    return Failure(Code.DEADLINE_EXPIRED, detail, outcome=Outcome.UNKNOWN)


class FailedGeneration(NamedTuple):
    """A generation that failed on an engine.

    `fingerprint` identifies its request in the quarantine, and `parts`
    those of its prompt that may have crashed the engine.  `started_s`
    is when it started on this engine, and `had_begun` says whether a
    chunk had come.
    """

    engine: HostEntry
    failure: Failure
    fingerprint: int
    parts: tuple[str, ...]
    started_s: float
    had_begun: bool


def handle_engine_failure(
    node: Node, stream: LiveStream, failed_generation: FailedGeneration
) -> None:
    """Record the failure and cancel a generation that may still run.

    A death is recorded in the quarantine unless the engine is leaving.
    """
    engine, failure = failed_generation.engine, failed_generation.failure
    is_leaving = node.marks.is_leaving(engine)
    if failure.code in ENGINE_DEATH_CODES and not is_leaving:
        _note_death(node, failed_generation)
    if failure.code == Code.UPSTREAM_DRAINING:
        node.marks.mark_draining(engine, node.now_s())
    relay = stream.relay
    if relay is None or surely_not_run([failure]):
        return
    if failure.code in NOT_CANCELLABLE_CODES:
        return
    schedule_cancel(node, engine, relay, stream.work.deadline_s)


def _note_death(node: Node, failed_generation: FailedGeneration) -> None:
    engine, started_s = failed_generation.engine, failed_generation.started_s
    upstream = f"{engine.host}/{engine.incarnation}"
    now_s = node.now_s()
    node.quarantine.note_death(
        failed_generation.fingerprint, upstream, started_s, now_s
    )
    quarantined = node.part_quarantine.note_death(
        failed_generation.parts,
        EngineDeath(upstream, started_s, now_s, failed_generation.had_begun),
        now_s,
    )
    for part in quarantined:
        logger.warning("part quarantined", part=part, engine=engine.host)


class AttemptCount(NamedTuple):
    """The number of attempts of a generation, not counting moves.

    `was_sent` is false if the last engine left before the request was
    sent to it.
    """

    attempts: int
    was_sent: bool


def check_retry(
    node: Node,
    stream: LiveStream,
    failures: Sequence[Failure],
    attempt_count: AttemptCount,
) -> Failure | None:
    """Return the failure for the caller, or None to retry.

    The last of the failures is the new one.  If the engine left before
    the request was sent to it, choosing another engine doesn't count
    against the retry budget.
    """
    failure = failures[-1]
    if failure.code == Code.STREAM_SUPERSEDED:
        stream.mark_taken_over()
        return failure
    if stream.is_delivered:
        return generation_lost_failure(failure)
    if not may_retry(stream.work_kind, failure.code):
        return with_exact_outcome(failure, failures)
    if attempt_count.attempts >= MAX_ATTEMPTS:
        return with_exact_outcome(failure, failures)
    if not attempt_count.was_sent:
        return None
    if node.retries.try_spend(stream.work.organisation, node.now_s()):
        return None
    return with_exact_outcome(
        Failure(Code.RETRY_BUDGET_EXHAUSTED, failure.detail, 1.0),
        failures,
    )
