"""Queues requests until the scheduler places them on an engine."""

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

DECISION_INTERVAL_S = 0.05

PlacementResult = Result[Placement, Failure]


class DaemonLocation(NamedTuple):
    """A daemon's identity and the availability zone of its host."""

    incarnation: Incarnation
    availability_zone: str


class ConfiguredRevisions(NamedTuple):
    """The revisions of the data that the scheduler is configured with.

    `lists` and `hosts` are revisions of the published lists, `marks` is
    the number of the latest leaving mark.
    """

    lists: int
    hosts: int
    marks: int


class OrganisationUsage(NamedTuple):
    """The usage of one organisation on this daemon.

    `tokens` counts the tokens served since the daemon started,
    `waiting` the requests that wait for an engine.
    """

    tokens: int
    waiting: int


class Dispatcher:
    """Carries out the scheduler's decisions for waiting requests."""

    def __init__(
        self,
        store: ListStore,
        rng: random.Random,
        clock: Clock,
        location: DaemonLocation,
        marks: LeavingMarks,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.marks = marks
        self.clock = clock
        self.metrics = metrics
        self.scheduler = Scheduler(
            location.incarnation.address,
            location.availability_zone,
            rng,
            clock.now_s(),
        )
        self.exchange = Exchange(self.scheduler, location.incarnation)
        self.heartbeats = CrowdHeartbeats(self.exchange, self.decide)
        self.demand = DemandMeter()
        # By request identifier.
        self.futures: dict[str, asyncio.Future[PlacementResult]] = {}
        self.configured_revisions: ConfiguredRevisions | None = None
        self.ticker: asyncio.Task[None] | None = None

    async def acquire(
        self,
        work: Work,
        excluded: Collection[str] = (),
        avoided: Collection[str] = (),
    ) -> PlacementResult:
        """Wait until a request is placed on an engine or refused.

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
        future: asyncio.Future[PlacementResult] = asyncio.Future()
        self.futures[work.request] = future
        self.decide(now_s)
        self._ensure_ticker()
        try:
            answer = await future
        except asyncio.CancelledError:
            self.demand.leave(work.request)
            self._abandon_request(work, future)
            raise
        if answer.is_error():
            self.demand.refuse(work.request)
        return answer

    def adopt(self, work: Work, host: str, produced: int) -> Placement:
        """Reserve memory for a generation already running on an engine.

        `produced` is the number of tokens that it has produced so far.
        """
        now_s = self.clock.now_s()
        self.configure(now_s)
        expected = self.scheduler.adopt(work, host, produced, now_s)
        return Placement(host, priority_of(expected))

    def record_failure(self, host: str) -> None:
        """Record a failure of an engine before the first token."""
        self.scheduler.record_failure(host, self.clock.now_s())

    def record_tokens(
        self, work: Work, placement: Placement, tokens: int, now_s: float
    ) -> None:
        """Charge newly produced tokens to a request's organisation."""
        self.demand.record_first_token(work.request)
        self.scheduler.record_tokens(work, placement.host, tokens, now_s)

    def release(
        self,
        work: Work,
        placement: Placement,
        now_s: float,
        is_completed: bool = True,
    ) -> None:
        """Release the memory of a generation that has ended.

        `is_completed` tells whether it ran to its regular end.
        """
        self.demand.leave(work.request)
        self.scheduler.release(work, placement.host, now_s, is_completed)
        self.decide(now_s)

    def slice_tokens(self) -> dict[str, int]:
        """Return how much memory of each engine this daemon may use."""
        now_s = self.clock.now_s()
        slices = self.scheduler.slices
        return {h: slices.limit(h, now_s) for h in self.scheduler.accounts}

    def usage_of(self, organisation: str) -> OrganisationUsage:
        """Return the current usage of an organisation."""
        queues = self.scheduler.queues.values()
        return OrganisationUsage(
            self.scheduler.organisations.served.get(organisation, 0),
            sum(queue.waiting_count(organisation) for queue in queues),
        )

    def decide(self, now_s: float) -> None:
        """Place or refuse waiting requests as the scheduler decides."""
        self.configure(now_s)
        for decision in self.scheduler.decide(now_s):
            future = self.futures.pop(decision.work.request)
            if isinstance(decision, Refused):
                future.set_result(Error(decision.failure))
            else:
                future.set_result(Ok(decision.placement))
        self.metrics.waiting.set(len(self.futures))

    def configure(self, now_s: float) -> None:
        """Configure the scheduler if the lists or marks changed."""
        revisions = ConfiguredRevisions(
            self.store.lists.revision,
            self.store.hosts.revision,
            self.marks.latest,
        )
        if revisions == self.configured_revisions:
            return
        self.configured_revisions = revisions
        engines: dict[str, list[EngineView]] = {}
        daemons: list[str] = []
        for entry in self.store.hosts.hosts.values():
            if entry.role is Role.ENTRY and entry.state is HostState.LIVE:
                daemons.append(entry.address)
            for model in entry.models:
                if _accepts_new_work(entry, model, self.marks):
                    engines.setdefault(model, []).append(_engine_view(entry))
        self.scheduler.configure(
            engines, daemons, self.store.lists.grants, now_s
        )

    def _ensure_ticker(self) -> None:
        if self.futures and (self.ticker is None or self.ticker.done()):
            self.ticker = asyncio.create_task(
                keep_running("dispatcher", self._tick, self.metrics)
            )

    async def _tick(self) -> None:
        """Decide periodically for as long as requests wait."""
        while self.futures:
            await asyncio.sleep(DECISION_INTERVAL_S)
            self.decide(self.clock.now_s())

    def _abandon_request(
        self, work: Work, future: asyncio.Future[PlacementResult]
    ) -> None:
        """Withdraw a request whose caller has disconnected.

        If it was placed in the meantime, its memory is released.
        """
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


def _accepts_new_work(
    entry: HostEntry, model: str, marks: LeavingMarks
) -> bool:
    if entry.role is not Role.ENGINE or marks.is_leaving(entry):
        return False
    return model in entry.models


def _engine_view(entry: HostEntry) -> EngineView:
    return EngineView(
        entry.host,
        entry.availability_zone,
        entry.incarnation,
        entry.kv_tokens,
    )
