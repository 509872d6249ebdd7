"""Checks in the background whether upstreams died under requests."""

import asyncio
from typing import NamedTuple

from plantainsail.entry import suspects
from plantainsail.entry.node import EntryNode
from plantainsail.policy.part_quarantine import EngineDeath
from plantainsail.routing.model import RoutedUpstream
from plantainsail.upstreams.probe import connect_error


class BrokenRun(NamedTuple):
    """A request whose answer an upstream broke off.

    `parts` describe it in the quarantine.  It was sent at `started_s`
    and broke off at `ended_s`.  `had_begun` says whether the upstream
    had begun to answer, and `was_sound` whether it had answered for so
    long that the request can't be the cause.
    """

    request: str
    upstream: RoutedUpstream
    parts: tuple[str, ...]
    started_s: float
    ended_s: float
    had_begun: bool = True
    was_sound: bool = False


class DeathChecks:
    """Records the upstreams that are dead after they broke off."""

    def __init__(self, node: EntryNode) -> None:
        self.node = node
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, run: BrokenRun) -> asyncio.Task[None] | None:
        """Check in the background whether an upstream died.

        One that announced its departure is not checked.
        """
        if run.upstream.identifier in self.node.registry.departures:
            return None
        task = asyncio.create_task(self._record_if_dead(run))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _record_if_dead(self, run: BrokenRun) -> None:
        upstream = run.upstream
        error = await connect_error(upstream.address)
        if error is None:
            return
        node = self.node
        if error.is_refused:
            node.note_ended(upstream.identifier)
        node.registry.note_failure(upstream.identifier, node.now_s())
        node.log.warning(
            "engine died",
            request=run.request,
            upstream=upstream.identifier,
            parts=run.parts,
            ran_ms=int((run.ended_s - run.started_s) * 1000),
            had_begun=run.had_begun,
            was_sound=run.was_sound,
        )
        if run.was_sound:
            return
        incarnation = f"{upstream.identifier}/{upstream.born_ms}"
        death = EngineDeath(
            incarnation, run.started_s, run.ended_s, run.had_begun
        )
        suspects.record_death(node, run.parts, death)
