"""Generations that wait for an engine."""

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
from plantainsail.routing.reading import DEFAULT_READ_TOKENS_PER_S
from plantainsail.routing.urgency import (
    Claim,
    engine_requirement,
    gives_up_before_first_event,
    waiting_order,
)

POLL_INTERVAL_S = 0.015


class Waiter(NamedTuple):
    """One generation that waits; None in `choice` means no chance."""

    claim: Claim
    service: Service
    need: GenerationNeed
    choice: "asyncio.Future[EngineChoice | None]"

    @property
    def prompt_read_s(self) -> float:
        """Return how long an idle engine reads its prompt."""
        return self.need.prompt_tokens / DEFAULT_READ_TOKENS_PER_S


class WaitingQueue:
    """Gives engines to waiting generations in their order.

    One that fits nowhere does not hold up smaller ones behind it.
    """

    def __init__(self, node: EntryNode) -> None:
        self.node = node
        self.waiters: list[Waiter] = []
        self.arrived = asyncio.Event()

    async def run(self) -> None:
        """Look for room as long as anything waits."""
        while True:
            await self.arrived.wait()
            self.assign_next()
            if not self.waiters:
                self.arrived.clear()
                continue
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait(self, waiter: Waiter) -> EngineChoice | None:
        """Return an engine once it is this generation's turn."""
        self.waiters.append(waiter)
        self.assign_next()
        try:
            if not waiter.choice.done():
                self.arrived.set()
            return await waiter.choice
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)

    def assign_next(self) -> None:
        """Give the first generation that fits somewhere its engine.

        Only one at a time: the next must see the load of the first.
        """
        now_s = self.node.now_s()
        self.waiters.sort(
            key=lambda one: waiting_order(one.claim, one.prompt_read_s, now_s)
        )
        for waiter in list(self.waiters):
            if gives_up_before_first_event(
                waiter.claim, waiter.prompt_read_s, now_s
            ):
                self._finish_wait(waiter, None)
                continue
            choice = self._choose(waiter, now_s)
            if choice is not None:
                self._finish_wait(waiter, choice)
                return

    def _choose(self, waiter: Waiter, now_s: float) -> EngineChoice | None:
        terms = engine_requirement(waiter.claim, waiter.prompt_read_s, now_s)
        views = engine_views(self.node, waiter.service)
        return choose_engine(views, waiter.need, terms.read_limit_s)

    def _finish_wait(
        self, waiter: Waiter, choice: EngineChoice | None
    ) -> None:
        self.waiters.remove(waiter)
        if not waiter.choice.done():
            waiter.choice.set_result(choice)
