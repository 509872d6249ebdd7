"""Idempotent calls of plain services, with retries and hedges.

A failed read is retried on another replica within the retry budget.  A
read that takes longer than most is also sent to a second replica.
"""

import asyncio
from typing import NamedTuple

from expression import Error, Result

from plantainsail.identity import draw_identifier
from plantainsail.lists.model import HostEntry, Role
from plantainsail.policy.retries import (
    MAX_ATTEMPTS,
    WorkKind,
    back_off_s,
    may_retry,
    with_exact_outcome,
)
from plantainsail.results import Code, Failure
from plantainsail.runtime.call_quarantine import (
    CallRun,
    find_quarantine_failure,
    judge_run,
    part_of_call,
)
from plantainsail.runtime.node_core import NodeCore
from plantainsail.upstreams.protocols import ServiceAnswer, ServiceCall

ServiceResult = Result[ServiceAnswer, Failure]


class ServiceRead(NamedTuple):
    """One idempotent call; `deadline_s` is on the daemon's clock."""

    organisation: str
    service: str
    operation: str
    body: bytes
    deadline_s: float

    @property
    def name(self) -> str:
        """Return the operation's full name."""
        return f"{self.service}/{self.operation}"

    @property
    def part(self) -> str:
        """Return what describes the call in the quarantine."""
        return part_of_call(
            self.organisation, self.service, self.operation, self.body
        )


def ready_replicas(node: NodeCore, service: str) -> list[HostEntry]:
    """Return the replicas of a service that accept new work."""
    return [
        entry
        for entry in node.store.hosts.hosts.values()
        if entry.role is Role.SERVICE
        and not node.marks.is_leaving(entry)
        and service in entry.services
    ]


async def call_idempotent(node: NodeCore, read: ServiceRead) -> ServiceResult:
    """Call an idempotent operation, with retries until the deadline."""
    failures: list[Failure] = []
    used_hosts: list[str] = []
    node.retries.note_first_attempt(read.organisation, node.now_s())
    node.hedges.record_read()
    part = read.part
    while True:
        quarantined = find_quarantine_failure(node, part)
        if quarantined is not None:
            return Error(with_exact_outcome(quarantined, failures))
        replica = _choose_replica(node, read.service, used_hosts)
        if replica is None:
            return Error(
                Failure(
                    Code.NO_UPSTREAM,
                    f"no replica of {read.service} is ready",
                    1.0,
                )
            )
        if node.now_s() >= read.deadline_s:
            return Error(_deadline_failure(failures))
        used_hosts.append(replica.host)
        answer = await _call_hedged(node, read, replica, used_hosts)
        if answer.is_ok():
            return answer
        failures.append(answer.error)
        refusal = await _wait_before_retry(node, read, failures)
        if refusal is not None:
            return Error(refusal)
        node.metrics.retries.labels(
            "read", Code(answer.error.code).name.lower()
        ).inc()


async def _wait_before_retry(
    node: NodeCore, read: ServiceRead, failures: list[Failure]
) -> Failure | None:
    """Wait before the next attempt, or return why there is none."""
    failure = failures[-1]
    if not may_retry(WorkKind.READ, failure.code):
        return with_exact_outcome(failure, failures)
    if len(failures) >= MAX_ATTEMPTS:
        return with_exact_outcome(failure, failures)
    now_s = node.now_s()
    wait_s = back_off_s(len(failures), node.random)
    if now_s + wait_s >= read.deadline_s:
        return with_exact_outcome(failure, failures)
    if not node.retries.try_spend(read.organisation, now_s):
        return with_exact_outcome(
            Failure(Code.RETRY_BUDGET_EXHAUSTED, failure.detail, 1.0),
            failures,
        )
    await asyncio.sleep(wait_s)
    return None


async def _call_hedged(
    node: NodeCore,
    read: ServiceRead,
    replica: HostEntry,
    used_hosts: list[str],
) -> ServiceResult:
    """Call one replica, and a second one if the first is slow."""
    started_s = node.now_s()
    first = asyncio.create_task(_call(node, read, replica))
    tasks = {first}
    try:
        delay_s = node.hedges.delay_s(read.name)
        if delay_s is not None:
            await asyncio.wait(tasks, timeout=delay_s)
        if delay_s is not None and not first.done():
            second_replica = _choose_replica(
                node, read.service, used_hosts, only_unused=True
            )
            if second_replica is not None and node.hedges.try_spend():
                used_hosts.append(second_replica.host)
                tasks.add(
                    asyncio.create_task(_call(node, read, second_replica))
                )
        winner = await _first_answer(tasks)
        if len(tasks) > 1:
            is_first = winner is first
            node.metrics.hedges.labels("first" if is_first else "second").inc()
        answer = winner.result()
    finally:
        # Cancelling a call closes its connection and drops its answer.
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    if answer.is_ok():
        node.hedges.record_latency(read.name, node.now_s() - started_s)
    return answer


async def _first_answer(
    tasks: set[asyncio.Task[ServiceResult]],
) -> asyncio.Task[ServiceResult]:
    """Return the first task that succeeded, or the last that failed."""
    pending = set(tasks)
    while True:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if task.result().is_ok() or not pending:
                return task


async def _call(
    node: NodeCore, read: ServiceRead, replica: HostEntry
) -> ServiceResult:
    call = ServiceCall(
        request=draw_identifier("req", node.random),
        service=read.service,
        operation=read.operation,
        body=read.body,
        is_idempotent=True,
    )
    failure = node.find_act_failure()
    if failure is not None:
        return Error(failure)
    remaining_s = max(0.0, read.deadline_s - node.now_s())
    run = CallRun(read.part, replica, node.now_s())
    answer = await node.services.call(replica, call, remaining_s)
    judge_run(node, run, answer)
    if answer.is_error() and answer.error.code is Code.UPSTREAM_DRAINING:
        node.marks.mark_draining(replica, node.now_s())
    return answer


def _choose_replica(
    node: NodeCore,
    service: str,
    used_hosts: list[str],
    only_unused: bool = False,
) -> HostEntry | None:
    """Return a random replica, if possible one not used before.

    Returns None if there is no replica, or no unused one and
    `only_unused` is set.
    """
    replicas = ready_replicas(node, service)
    unused = [entry for entry in replicas if entry.host not in used_hosts]
    if unused:
        return node.random.choice(unused)
    if only_unused or not replicas:
        return None
    return node.random.choice(replicas)


def _deadline_failure(failures: list[Failure]) -> Failure:
    return with_exact_outcome(
        Failure(Code.DEADLINE_EXPIRED, "the caller's deadline passed"),
        failures,
    )
