"""How a generation ends other than well, and what is done then."""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from plantainsail.lists.model import HostEntry
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

# A silent engine may be alive behind a link that stalls; these say that
# it lost the generation.
DEATH_CODES = frozenset({Code.UPSTREAM_TRUNCATED, Code.GENERATION_LOST})

# After these there is nothing at the engine that this daemon may end.
GONE_CODES = frozenset({Code.GENERATION_LOST, Code.STREAM_SUPERSEDED})


async def cancel_at_engine(
    node: Node, engine: HostEntry, relay: Relay
) -> None:
    """Ask an engine once to end a generation.

    A daemon that was paused or cut off may have been relieved and does
    not ask.
    """
    if node.find_act_failure() is not None:
        return
    node.metrics.streams.labels("cancelled").inc()
    await node.engines.cancel(
        engine, relay.expected.generation, relay.expected.attempt
    )


def cancel_later(node: Node, engine: HostEntry, relay: Relay) -> None:
    """Ask an engine to end a generation, and wait for nothing."""
    node.hold_task_reference(
        asyncio.create_task(cancel_at_engine(node, engine, relay))
    )


def lost_failure(failure: Failure) -> Failure:
    """Return the failure of a generation that was partly delivered."""
    return Failure(Code.GENERATION_LOST, failure.detail)


def expired_failure(relay: Relay | None) -> Failure:
    """Return the failure of a request whose deadline passed.

    Without a relay it never reached an engine, so it did not run.
    """
    detail = "the caller's deadline passed"
    if relay is None:
        return Failure(Code.DEADLINE_EXPIRED, detail)
    return Failure(Code.DEADLINE_EXPIRED, detail, outcome=Outcome.UNKNOWN)


class Loss(NamedTuple):
    """A generation that failed on an engine, begun at `started_s`."""

    engine: HostEntry
    failure: Failure
    fingerprint: int
    started_s: float


def note_loss(node: Node, stream: LiveStream, loss: Loss) -> None:
    """Report a dead engine; cancel on one that may live."""
    engine, failure = loss.engine, loss.failure
    is_leaving = node.marks.is_leaving(engine)
    if failure.code in DEATH_CODES and not is_leaving:
        node.quarantine.note_death(
            loss.fingerprint,
            f"{engine.host}/{engine.incarnation}",
            loss.started_s,
            node.now_s(),
        )
    if failure.code == Code.UPSTREAM_DRAINING:
        node.marks.mark_draining(engine, node.now_s())
    relay = stream.relay
    if relay is None or surely_not_run([failure]):
        return
    if failure.code in GONE_CODES:
        return
    cancel_later(node, engine, relay)


class Tries(NamedTuple):
    """How often a generation was tried, moves left aside.

    `was_sent` is false where the last engine left before anything was
    sent to it.
    """

    number: int
    was_sent: bool


def refuse_retry(
    node: Node,
    stream: LiveStream,
    failures: Sequence[Failure],
    tries: Tries,
) -> Failure | None:
    """Return what the caller is told where no retry is made.

    The last of the failures is new.  An engine that left before
    anything was sent was not tried, so choosing another takes nothing
    of the budget.
    """
    failure = failures[-1]
    if failure.code == Code.STREAM_SUPERSEDED:
        stream.relieve()
        return failure
    if stream.is_delivered:
        return lost_failure(failure)
    if not may_retry(stream.work_kind, failure.code):
        return with_exact_outcome(failure, failures)
    if tries.number >= MAX_ATTEMPTS:
        return with_exact_outcome(failure, failures)
    if not tries.was_sent:
        return None
    if node.retries.try_spend(stream.work.organisation, node.now_s()):
        return None
    return with_exact_outcome(
        Failure(Code.RETRY_BUDGET_EXHAUSTED, failure.detail, 1.0),
        failures,
    )
