"""Generations that wait for an engine with room.

The most urgent come first, then those that came first.  One that does
not fit does not hold up smaller ones behind it.
"""

import asyncio
from typing import NamedTuple

from plantainsail.entry.node import EntryNode
from plantainsail.entry.views import engine_views
from plantainsail.routing.model import Service
from plantainsail.routing.placement import (
    EngineChoice,
    GenerationNeed,
    choose_engine,
)

LOOK_AGAIN_S = 0.02


class Waiter(NamedTuple):
    """One generation that waits."""

    priority: int
    arrived_s: float
    first_event_by_s: float
    service: Service
    need: GenerationNeed
    chosen: "asyncio.Future[EngineChoice]"


class WaitingLine:
    """Gives engines to waiting generations in their order.

    An engine is taken in the daemon's picture of loads by the caller
    of `on_chosen` in the same step, so two can't get the same room.
    """

    def __init__(self, node: EntryNode) -> None:
        self.node = node
        self.waiters: list[Waiter] = []
        self.arrived = asyncio.Event()

    async def run(self) -> None:
        """Look for room as long as anything waits."""
        while True:
            await self.arrived.wait()
            self.look()
            if not self.waiters:
                self.arrived.clear()
                continue
            await asyncio.sleep(LOOK_AGAIN_S)

    def add(self, waiter: Waiter) -> None:
        """Let a generation wait."""
        self.waiters.append(waiter)
        self.waiters.sort(key=lambda one: (one.priority, one.arrived_s))
        self.arrived.set()

    def remove(self, waiter: Waiter) -> None:
        """Let a generation wait no more."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def try_now(
        self, service: Service, need: GenerationNeed, time_left_s: float
    ) -> EngineChoice | None:
        """Return an engine with room, if there is one now."""
        views = engine_views(self.node, service)
        return choose_engine(views, need, time_left_s)

    def look(self) -> None:
        """Give every waiter that fits somewhere its engine."""
        now_s = self.node.now_s()
        for waiter in list(self.waiters):
            if waiter.chosen.done():
                self.waiters.remove(waiter)
                continue
            choice = self.try_now(
                waiter.service, waiter.need, waiter.first_event_by_s - now_s
            )
            if choice is None:
                continue
            self.waiters.remove(waiter)
            waiter.chosen.set_result(choice)
            # The others see this load only after the waiter ran.
            return
