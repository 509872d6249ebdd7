"""Prepares broken streams to go on at another upstream.

`routing.resumption` decides; this module joins what the daemon knows.
"""

import asyncio

from plantainsail.entry.generation import Generation
from plantainsail.entry.node import EntryNode
from plantainsail.entry.run_stops import RunStops
from plantainsail.entry.send_results import CUT_SHORT
from plantainsail.entry.stream_log import log_interruption
from plantainsail.entry.streamed_request import RunResult, StreamedRequest
from plantainsail.entry.views import view_service
from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.placement import (
    EngineView,
    GenerationNeed,
    choose_engine,
    max_request_tokens,
)
from plantainsail.routing.reading import DEFAULT_READ_TOKENS_PER_S
from plantainsail.routing.resumption import (
    Interruption,
    Refusal,
    gives_up_s,
    refusal,
    resumed_claim,
    resumed_need,
    silence_limit_s,
)
from plantainsail.routing.run_ends import OrderedRun
from plantainsail.routing.urgency import READ_MARGIN

# How often a silent upstream is judged again that can't be left yet.
RECHECK_S = 0.25
# A broken stream waits at most this long for the check of its upstream.
DEATH_CHECK_TIMEOUT_S = 0.35


class Resumer:
    """Decides for one request whether it goes on elsewhere."""

    def __init__(
        self, node: EntryNode, work: StreamedRequest, stops: RunStops | None
    ) -> None:
        self.node = node
        self.work = work
        self.stops = stops

    async def is_resumed(self, result: RunResult) -> bool:
        """Return whether the request goes to another upstream now."""
        if result.death_check is not None:
            # If the upstream died, that counts against the request
            # before another one gets it.
            await asyncio.wait(
                (result.death_check,), timeout=DEATH_CHECK_TIMEOUT_S
            )
        refused = self._prepare(result)
        log_interruption(self.node, self.work, result, refused)
        if refused is not None:
            self.count_refusal(refused)
            return False
        for run in result.unended:
            self._order_stop(run)
        self.work.is_resuming = True
        return True

    def _order_stop(self, run: OrderedRun) -> None:
        """Order an engine to stop a run that goes on elsewhere.

        Its connection is closed, but not every engine drops a run with
        that.  Engines can be ordered only where runs can be moved.
        """
        request = self.work.request
        service = request.service
        if self.stops is None or not service.traits.can_move:
            return
        source = run.upstream
        target: RoutedUpstream | None = None
        for upstream in self.node.upstreams_in(service.name, request.zones):
            if upstream.identifier == source.identifier:
                continue
            target = upstream
            if upstream.availability_zone == source.availability_zone:
                break
        if target is not None:
            self.stops.start(run, target)

    def count_run(self, generation: Generation, result: RunResult) -> None:
        """Count whether a resumed run brought its stream forward."""
        if not self.work.is_resuming:
            return
        self.work.is_resuming = False
        is_resumed = generation.has_begun or result.is_answered
        outcome = "resumed" if is_resumed else "failed"
        self.node.metrics.resumptions.labels(outcome).inc()

    def count_refusal(self, refused: Refusal) -> None:
        """Count a broken stream that goes to no other upstream."""
        self.work.is_resuming = False
        self.node.metrics.resumptions.labels(refused).inc()

    def _prepare(self, result: RunResult) -> Refusal | None:
        """Set need and claim of the next run, or return why not.

        It takes one repeat from the service's budget.
        """
        work = self.work
        now_s = self.node.now_s()
        refused = self._refusal(work.stream.may_have_run, now_s)
        if refused is not None:
            return refused
        node = self.node
        budget = node.repeat_budget(work.request.service.name)
        budget.take_repeat(now_s, node.members.fleet_size())
        node.metrics.repeats.labels(_reason_label(result)).inc()
        work.need = self._need()
        work.claim = resumed_claim(
            work.first_claim,
            now_s,
            work.request.route.objective_s,
            self._gives_up_s(),
        )
        work.stream.resumption_count += 1
        return None

    def wait_more_s(self, generation: Generation, silent_s: float) -> float:
        """Return how long to wait on, or 0 to leave the upstream.

        An upstream is left only if the request may go on at another
        one that is there.
        """
        now_s = self.node.now_s()
        limit_s = silence_limit_s(
            self._expected_s(generation, now_s),
            self._gives_up_s() - now_s + silent_s,
            self._restart_s(),
        )
        if silent_s < limit_s:
            return limit_s - silent_s
        # The silent upstream may have run the request, too.
        attempts = self.work.stream.may_have_run + 1
        if self._refusal(attempts, now_s) is not None:
            return RECHECK_S
        return 0.0 if self._has_other(generation, now_s) else RECHECK_S

    def _refusal(self, attempts: int, now_s: float) -> Refusal | None:
        work = self.work
        node = self.node
        budget = node.repeat_budget(work.request.service.name)
        interruption = Interruption(
            attempts,
            work.request.route.max_attempts,
            work.stream.positions.can_resume,
            self._gives_up_s(),
            self._restart_s(),
        )
        has_budget = budget.has_repeat(now_s, node.members.fleet_size())
        return refusal(interruption, now_s, has_budget=has_budget)

    def _gives_up_s(self) -> float:
        request = self.work.request
        stream = self.work.stream
        return gives_up_s(
            self.work.first_claim,
            stream.taken_s if stream.has_begun else None,
            request.route.objective_s,
            request.route.pause_s,
            request.deadline_s,
        )

    def _restart_s(self) -> float:
        """Return how long an idle upstream takes to the next event."""
        return self._need().prompt_tokens / DEFAULT_READ_TOKENS_PER_S

    def _need(self) -> GenerationNeed:
        """Return what the request needs of another upstream now."""
        work = self.work
        return resumed_need(
            work.first_need,
            work.stream.output_tokens,
            max_request_tokens(work.request.service.traits),
        )

    def _expected_s(self, generation: Generation, now_s: float) -> float:
        """Return how long the next event should take."""
        if not generation.has_begun:
            return generation.expected_read_s
        assert generation.upstream is not None
        identifier = generation.upstream.identifier
        load = self.node.fleet_loads.load_of(identifier, now_s)
        read_s = load.unread_tokens / self.node.read_rates.rate(identifier)
        return read_s + (self.node.paces.usual_s(identifier, now_s) or 0.0)

    def _has_other(self, generation: Generation, now_s: float) -> bool:
        """Return whether another upstream would take the request now.

        It must be likely to send an event before the caller gives up.
        """
        assert generation.upstream is not None
        work = self.work
        request = work.request
        view = view_service(self.node, request.service, request.zones)
        excluded = work.tried | {generation.upstream.identifier}
        others: list[EngineView] = []
        for engine in view.engines:
            if engine.upstream.identifier not in excluded:
                others.append(engine)
        read_limit_s = (self._gives_up_s() - now_s) / READ_MARGIN
        choice = choose_engine(
            others, self._need(), read_limit_s, view.departing
        )
        return choice is not None


def _reason_label(result: RunResult) -> str:
    return CUT_SHORT if result.error is None else "error status"
