"""Moves generations off engines that leave at short notice.

Only a generation of which the caller has received nothing is moved.  A
place on another engine is reserved before it leaves its own.  If there
is none, it continues where it is.
"""

import asyncio
from collections.abc import Collection
from typing import NamedTuple

from plantainsail.policy.moves import MoveFacts, may_move
from plantainsail.policy.work import Placement, Work
from plantainsail.results import Code, Failure
from plantainsail.runtime.live_streams import LiveStream
from plantainsail.runtime.node import Node

MARK_POLL_INTERVAL_S = 0.1
# The outcome of this failure isn't "not run", since the leaving engine
# may have run a part of the generation.
MOVED = Failure(Code.GENERATION_LOST, "the engine leaves")


class Place(NamedTuple):
    """Memory reserved on an engine, and the work that it is for."""

    work: Work
    placement: Placement


class Mover:
    """Reserves a place on another engine for one generation."""

    def __init__(self, node: Node, stream: LiveStream) -> None:
        self.node = node
        self.stream = stream
        self.started_s = node.now_s()
        self.avoided_engines: Collection[str] = ()
        self.moves = 0
        self.place: Place | None = None
        self.task: asyncio.Task[None] | None = None

    def record_start(self, avoided_engines: Collection[str]) -> None:
        """Record that the generation starts on an engine."""
        self.started_s = self.node.now_s()
        self.avoided_engines = avoided_engines

    def should_move(self) -> bool:
        """Return whether the generation should leave its engine."""
        stream = self.stream
        if stream.engine is None or stream.relay is None or stream.is_ended:
            return False
        if not self.node.marks.is_leaving(stream.engine):
            return False
        now_s = self.node.now_s()
        facts = MoveFacts(
            stream.is_delivered,
            self.moves,
            now_s - self.started_s,
            stream.work.deadline_s - now_s,
        )
        return may_move(facts) and self.node.find_act_failure() is None

    def begin(self) -> None:
        """Start to reserve a place if the generation should move."""
        if self.task is None and self.place is None and self.should_move():
            self.task = asyncio.create_task(self._reserve_place())

    def take_place(self) -> Place | None:
        """Return the reserved place and forget it here."""
        place, self.place = self.place, None
        return place

    def is_ready(self) -> bool:
        """Return whether the generation must leave its engine now.

        The reserved place is released if the generation should no
        longer move, for example since its caller has received a part.
        """
        if self.place is None:
            return False
        if self.should_move():
            return True
        self.release_place()
        return False

    def release_place(self) -> None:
        """Stop reserving a place and release a reserved one."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
        place = self.take_place()
        if place is not None:
            self._count("too_late")
            self._release(place)

    def record_move(self) -> None:
        """Count a move."""
        self.moves += 1
        self._count("moved")

    async def _reserve_place(self) -> None:
        # The old place stays reserved under the request's identifier,
        # so the new one needs a different identifier.
        work = self.stream.work
        moved = work._replace(request=f"{work.request}/{self.moves + 1}")
        placement_result = await self.node.dispatcher.acquire(
            moved, (), self.avoided_engines
        )
        self.task = None
        if placement_result.is_error():
            self._count("no_place")
            return
        self.place = Place(moved, placement_result.ok)
        if self.is_ready():
            self.stream.interrupt()

    def _release(self, place: Place) -> None:
        self.node.dispatcher.release(
            place.work, place.placement, self.node.now_s(), False
        )

    def _count(self, result: str) -> None:
        self.node.metrics.moves.labels(result).inc()


class LeavingWatch:
    """Requests moves when a new leaving mark has arrived."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.last_handled_mark = 0

    async def run(self) -> None:
        """Check periodically for new marks until cancelled."""
        while True:
            self.update()
            await asyncio.sleep(MARK_POLL_INTERVAL_S)

    def update(self) -> None:
        """Request moves from all generations once for each new mark.

        A daemon that is unsure defers this until it is sure again.
        """
        latest = self.node.marks.latest
        if latest == self.last_handled_mark or not self.node.is_sure():
            return
        self.last_handled_mark = latest
        for stream in self.node.streams.running():
            if stream.request_move is not None:
                stream.request_move()
