"""Lets requests wait for an engine and tells them which."""

import asyncio
import random
from collections.abc import Collection
from typing import NamedTuple

from expression import Error, Ok, Result

from plantainsail.clock import Clock
from plantainsail.identity import Incarnation
from plantainsail.lists.model import HostEntry, HostState, Role
from plantainsail.lists.store import ListStore
from plantainsail.membership.marks import LeavingMarks
from plantainsail.metrics import Metrics
from plantainsail.policy.accounts import EngineView
from plantainsail.policy.decisions import Refused, priority_of
from plantainsail.policy.demand import DemandMeter
from plantainsail.policy.exchange import Exchange
from plantainsail.policy.scheduler import Scheduler
from plantainsail.policy.work import Placement, Work
from plantainsail.results import Failure
from plantainsail.runtime.crowd_section import CrowdHeartbeats
from plantainsail.runtime.task_supervision import keep_running

TICK_INTERVAL_S = 0.05

Answer = Result[Placement, Failure]


class DaemonPlace(NamedTuple):
    """Which daemon this is and where it runs."""

    incarnation: Incarnation
    availability_zone: str


class Revisions(NamedTuple):
    """What the scheduler was configured with."""

    lists: int
    hosts: int
    marks: int


class Usage(NamedTuple):
    """What one organisation uses on this daemon.

    `tokens` were served since the daemon started.
    """

    tokens: int
    waiting: int


class Dispatcher:
    """Carries out the scheduler's decisions for waiting requests."""

    def __init__(
        self,
        store: ListStore,
        source: random.Random,
        clock: Clock,
        place: DaemonPlace,
        marks: LeavingMarks,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.marks = marks
        self.clock = clock
        self.metrics = metrics
        self.scheduler = Scheduler(
            place.incarnation.address,
            place.availability_zone,
            source,
            clock.now_s(),
        )
        self.exchange = Exchange(self.scheduler, place.incarnation)
        self.heartbeats = CrowdHeartbeats(self.exchange, self.decide)
        self.demand = DemandMeter()
        self.futures: dict[str, asyncio.Future[Answer]] = {}
        self.configured: Revisions | None = None
        self.ticker: asyncio.Task[None] | None = None

    async def acquire(
        self,
        work: Work,
        excluded: Collection[str] = (),
        avoided: Collection[str] = (),
    ) -> Answer:
        """Wait for room and return the placement, or a refusal.

        Engines in `excluded` failed this request before its first
        token.  Those in `avoided` did not fail, but may not be used
        either.
        """
        now_s = self.clock.now_s()
        self.configure(now_s)
        self.demand.arrive(work.request, work.model)
        failure = self.scheduler.submit(work, (*avoided, *excluded), now_s)
        if failure is not None:
            self.demand.refuse(work.request)
            return Error(failure)
        future: asyncio.Future[Answer] = asyncio.Future()
        self.futures[work.request] = future
        self.decide(now_s)
        self._keep_ticking()
        try:
            answer = await future
        except asyncio.CancelledError:
            self.demand.leave(work.request)
            self._give_up(work, future)
            raise
        if answer.is_error():
            self.demand.refuse(work.request)
        return answer

    def adopt(self, work: Work, host: str, produced: int) -> Placement:
        """Take room for a generation that runs on an engine already."""
        now_s = self.clock.now_s()
        self.configure(now_s)
        expected = self.scheduler.adopt(work, host, produced, now_s)
        return Placement(host, priority_of(expected))

    def record_failure(self, host: str) -> None:
        """Note that an engine failed before its first token."""
        self.scheduler.record_failure(host, self.clock.now_s())

    def record_tokens(
        self, work: Work, placement: Placement, tokens: int, now_s: float
    ) -> None:
        """Charge tokens as they appear."""
        self.demand.record_first_token(work.request)
        self.scheduler.record_tokens(work, placement.host, tokens, now_s)

    def release(
        self,
        work: Work,
        placement: Placement,
        now_s: float,
        is_whole: bool = True,
    ) -> None:
        """Give back the room of a generation that ended."""
        self.demand.leave(work.request)
        self.scheduler.release(work, placement.host, now_s, is_whole)
        self.decide(now_s)

    def slice_tokens(self) -> dict[str, int]:
        """Return the part of each engine's memory that is held here."""
        now_s = self.clock.now_s()
        slices = self.scheduler.slices
        return {h: slices.limit(h, now_s) for h in self.scheduler.accounts}

    def usage_of(self, organisation: str) -> Usage:
        """Return what an organisation uses."""
        queues = self.scheduler.queues.values()
        return Usage(
            self.scheduler.organisations.served.get(organisation, 0),
            sum(queue.waiting_count(organisation) for queue in queues),
        )

    def decide(self, now_s: float) -> None:
        """Start and refuse what can be decided now."""
        self.configure(now_s)
        for decision in self.scheduler.decide(now_s):
            future = self.futures.pop(decision.work.request)
            if isinstance(decision, Refused):
                future.set_result(Error(decision.failure))
            else:
                future.set_result(Ok(decision.placement))
        self.metrics.waiting.set(len(self.futures))

    def configure(self, now_s: float) -> None:
        """Take over the lists and marks in force, if they changed."""
        revisions = Revisions(
            self.store.lists.revision,
            self.store.hosts.revision,
            self.marks.latest,
        )
        if revisions == self.configured:
            return
        self.configured = revisions
        engines: dict[str, list[EngineView]] = {}
        daemons: list[str] = []
        for entry in self.store.hosts.hosts.values():
            if entry.role is Role.ENTRY and entry.state is HostState.LIVE:
                daemons.append(entry.address)
            for model in entry.models:
                if _takes(entry, model, self.marks):
                    engines.setdefault(model, []).append(_view_of(entry))
        self.scheduler.configure(
            engines, daemons, self.store.lists.grants, now_s
        )

    def _keep_ticking(self) -> None:
        if self.futures and (self.ticker is None or self.ticker.done()):
            self.ticker = asyncio.create_task(
                keep_running("dispatcher", self._tick, self.metrics)
            )

    async def _tick(self) -> None:
        """Let time pass for as long as work waits."""
        while self.futures:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.decide(self.clock.now_s())

    def _give_up(self, work: Work, future: asyncio.Future[Answer]) -> None:
        """Undo what was decided for a caller that left."""
        if self.futures.pop(work.request, None) is not None:
            self.scheduler.withdraw(work)
            return
        if (
            future.done()
            and not future.cancelled()
            and future.result().is_ok()
        ):
            placement = future.result().ok
            self.release(work, placement, self.clock.now_s(), False)


def _takes(entry: HostEntry, model: str, marks: LeavingMarks) -> bool:
    if entry.role is not Role.ENGINE or marks.is_leaving(entry):
        return False
    return model in entry.models


def _view_of(entry: HostEntry) -> EngineView:
    return EngineView(
        entry.host,
        entry.availability_zone,
        entry.incarnation,
        entry.kv_tokens,
    )
