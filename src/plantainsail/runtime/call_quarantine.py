"""Refuses calls of plain services that crash the upstreams.

A call counts a death if its answer broke off and its upstream accepts
no connection then.  The suspects are shared with those of generations,
so peers learn of them by the same section of heartbeats.
"""

import asyncio
from typing import NamedTuple

import xxhash
from expression import Result

from plantainsail.lists.model import HostEntry
from plantainsail.logs import get_logger
from plantainsail.policy.part_quarantine import (
    EngineDeath,
    whole_request_part,
)
from plantainsail.results import Code, Failure
from plantainsail.runtime.node_core import NodeCore
from plantainsail.upstreams.probe import connect_error
from plantainsail.upstreams.protocols import ServiceAnswer

logger = get_logger("calls")


def part_of_call(
    organisation: str, service: str, operation: str, body: bytes
) -> str:
    """Return what describes a call in the quarantine.

    It stays the same when a caller repeats the call.
    """
    digest = xxhash.xxh3_64()
    for text in (organisation, service, operation):
        digest.update(text.encode())
        digest.update(b"\0")
    digest.update(body)
    return whole_request_part(digest.intdigest())


def find_quarantine_failure(node: NodeCore, part: str) -> Failure | None:
    """Return why a call is refused, if upstreams died under it."""
    now_s = node.now_s()
    cause = node.part_quarantine.find_cause((part,), now_s)
    if cause is None:
        return None
    return Failure(
        Code.QUARANTINED,
        f"{len(cause.deaths)} upstreams died under {cause.part}",
        cause.refused_until_s - now_s,
    )


class CallRun(NamedTuple):
    """One attempt of a call at an upstream, started at `started_s`."""

    part: str
    replica: HostEntry
    started_s: float


def judge_run(
    node: NodeCore, run: CallRun, answer: Result[ServiceAnswer, Failure]
) -> None:
    """Record whether a call may have crashed its upstream."""
    if answer.is_ok():
        if node.part_quarantine.has_records((run.part,)):
            node.part_quarantine.note_sound_run(
                (run.part,), run.started_s, node.now_s()
            )
        return
    if answer.error.code is not Code.UPSTREAM_TRUNCATED:
        return
    ended_s = node.now_s()
    check = asyncio.create_task(_record_if_dead(node, run, ended_s))
    node.hold_task_reference(check)


async def _record_if_dead(
    node: NodeCore, run: CallRun, ended_s: float
) -> None:
    replica = run.replica
    if await connect_error(replica.address) is None:
        return
    death = EngineDeath(
        f"{replica.host}/{replica.incarnation}", run.started_s, ended_s
    )
    quarantined = node.part_quarantine.note_death(
        (run.part,), death, node.now_s()
    )
    logger.warning("upstream died", part=run.part, upstream=replica.host)
    for part in quarantined:
        logger.warning("part quarantined", part=part, upstream=replica.host)
