"""The queue of generations that wait for an engine."""

import asyncio
import math
from typing import NamedTuple

from plantainsail.entry import ramping
from plantainsail.entry.node import EntryNode
from plantainsail.entry.views import ServiceView, view_service
from plantainsail.routing.engine_offers import EngineOffers
from plantainsail.routing.homes import Zones
from plantainsail.routing.model import Service
from plantainsail.routing.placement import EngineChoice, GenerationNeed
from plantainsail.routing.reading import DEFAULT_READ_TOKENS_PER_S
from plantainsail.routing.resumption import prefer_untried
from plantainsail.routing.urgency import (
    Claim,
    engine_requirement,
    gives_up_before_first_event,
    waiting_order,
)

POLL_INTERVAL_S = 0.015


class Place(NamedTuple):
    """A service, and the zones in which its engines may be."""

    service: str
    zones: Zones


class Waiter(NamedTuple):
    """One generation that waits for an engine.

    `choice` is set to the engine, or to None once the generation can
    get no engine before its caller gives up.  `parts` describe its
    request in the quarantine.  `tried` are upstreams that may have run
    it before; they are used only if no other is there.  Only engines
    in `zones` may be chosen; if it is None, all may.
    """

    claim: Claim
    service: Service
    need: GenerationNeed
    choice: "asyncio.Future[EngineChoice | None]"
    parts: tuple[str, ...] = ()
    tried: frozenset[str] = frozenset()
    zones: Zones = None

    @property
    def place(self) -> "Place":
        """Return the service, and where its engines may be."""
        return Place(self.service.name, self.zones)

    @property
    def prompt_read_s(self) -> float:
        """Return how long an idle engine takes to read the prompt."""
        return idle_read_s(self.need)


class WaitingQueue:
    """Assigns engines to waiting generations by urgency.

    A generation that fits on no engine does not block the smaller ones
    behind it.
    """

    def __init__(self, node: EntryNode) -> None:
        self.node = node
        self.waiters: list[Waiter] = []
        self.arrived = asyncio.Event()

    async def run(self) -> None:
        """Assign engines for as long as generations wait."""
        while True:
            await self.arrived.wait()
            self.assign_next()
            if not self.waiters:
                self.arrived.clear()
                continue
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait(self, waiter: Waiter) -> EngineChoice | None:
        """Return the engine for a generation, or None if it gets none.

        Blocks until the generation's turn.
        """
        self.waiters.append(waiter)
        self.assign_next()
        try:
            if not waiter.choice.done():
                self.arrived.set()
            return await waiter.choice
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)

    def count_before(self, claim: Claim, need: GenerationNeed) -> int:
        """Return how many waiting generations come before another."""
        now_s = self.node.now_s()
        order = waiting_order(claim, idle_read_s(need), now_s)
        return sum(
            1
            for waiter in self.waiters
            if waiting_order(waiter.claim, waiter.prompt_read_s, now_s)
            <= order
        )

    def assign_next(self) -> None:
        """Assign an engine to the first generation that fits on one.

        Only one is assigned at a time, since the choice for the next
        must include the load of the first.  Until then all generations
        of a service, in the same zones, are judged by the same view of
        it.
        """
        now_s = self.node.now_s()
        views: dict[Place, ServiceView] = {}
        offers: dict[Place, EngineOffers] = {}
        starts_s: dict[Place, float] = {}
        self.waiters.sort(
            key=lambda waiter: waiting_order(
                waiter.claim, waiter.prompt_read_s, now_s
            )
        )
        for waiter in list(self.waiters):
            place = waiter.place
            if place not in starts_s:
                starts_s[place] = self._start_s(place, now_s)
            if self._is_hopeless(waiter, now_s, starts_s[place]):
                self._finish_wait(waiter, None)
                continue
            if place not in views:
                ramping.note_choice(self.node, waiter.service)
                view = view_service(self.node, waiter.service, waiter.zones)
                views[place] = view
                offers[place] = EngineOffers(view.engines, view.departing)
            offer = offers[place]
            if waiter.tried:
                view = views[place]
                untried = prefer_untried(view.engines, waiter.tried)
                offer = EngineOffers(untried, view.departing)
            choice = choose(waiter.claim, waiter.need, offer, now_s)
            if choice is not None:
                self._finish_wait(waiter, choice)
                return

    def _start_s(self, place: Place, now_s: float) -> float:
        """Return when a generation can start there at the earliest.

        In zones without an engine it can't, nor where all engines are
        in drained availability zones.
        """
        if self.node.registry.is_service_drained(place.service):
            return math.inf
        if place.zones is not None and not self.node.upstreams_in(*place):
            return math.inf
        return now_s + self.node.shortest_wait_s(*place)

    def _is_hopeless(
        self, waiter: Waiter, now_s: float, start_s: float
    ) -> bool:
        """Return whether a generation will get no engine in time.

        It can start at `start_s` at the earliest.  One that crashes
        engines gets none either.
        """
        quarantine = self.node.quarantine
        if quarantine.find_cause(waiter.parts, now_s) is not None:
            return True
        return gives_up_before_first_event(
            waiter.claim, waiter.prompt_read_s, start_s
        )

    def _finish_wait(
        self, waiter: Waiter, choice: EngineChoice | None
    ) -> None:
        self.waiters.remove(waiter)
        if not waiter.choice.done():
            waiter.choice.set_result(choice)


def idle_read_s(need: GenerationNeed) -> float:
    """Return how long an idle engine takes to read a prompt."""
    return need.prompt_tokens / DEFAULT_READ_TOKENS_PER_S


def choose(
    claim: Claim, need: GenerationNeed, offers: EngineOffers, now_s: float
) -> EngineChoice | None:
    """Return the engine that a generation gets now, or None."""
    requirement = engine_requirement(claim, idle_read_s(need), now_s)
    return offers.choose(need, requirement.read_limit_s)
