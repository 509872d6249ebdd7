"""Finds an engine for each streaming request and relays its stream."""

import asyncio

from plantainsail.entry import deaths
from plantainsail.entry.dialect import read_counts, read_number
from plantainsail.entry.engine_watch import EngineWatch
from plantainsail.entry.generation import (
    Generation,
    LostError,
    NotRunError,
)
from plantainsail.entry.mover import EngineMover
from plantainsail.entry.node import EntryNode
from plantainsail.entry.plain import read_whole, refuse_line
from plantainsail.entry.request import RoutedRequest
from plantainsail.entry.waiting import Waiter, WaitingLine
from plantainsail.results import Code, Failure
from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.placement import (
    MAX_MEMORY_SHARE,
    EngineChoice,
    GenerationNeed,
)
from plantainsail.routing.registry import Departure
from plantainsail.routing.urgency import make_claim
from plantainsail.upstreams.single_use import AnswerHead, CutShortError

HINT_SHARE = 1.0
UNHINTED_SHARE = 0.6
RETRY_AFTER_S = 0.5
RETRY_SPREAD_S = 1.5
MAX_REFUSALS = 3
MUTE_AFTER_S = 3.0


class StreamForwarder:
    """Forwards requests of streaming routes."""

    def __init__(self, node: EntryNode, mover: EngineMover | None) -> None:
        self.node = node
        self.mover = mover
        self.line = WaitingLine(node)
        self.generations: set[Generation] = set()
        self.engine_watch: EngineWatch | None = None
        if mover is not None:
            self.engine_watch = EngineWatch(node, mover)
        self.questions: set[asyncio.Task[None]] = set()

    async def follow_departures(self) -> None:
        """Move generations off engines as these announce to leave."""
        while True:
            await self.node.departures_pending.wait()
            self.node.departures_pending.clear()
            departures = self.node.departures
            self.node.departures = []
            for departure in departures:
                self._ask_notice(departure)
                for generation in list(self.generations):
                    self._move_if_there(
                        generation, departure.upstream, departure.at_s
                    )

    def _ask_notice(self, departure: Departure) -> None:
        if self.engine_watch is None:
            return
        task = asyncio.create_task(
            self.engine_watch.ask_notice_period(departure)
        )
        self.questions.add(task)
        task.add_done_callback(self.questions.discard)

    async def forward(self, request: RoutedRequest) -> None:
        """Answer a request."""
        node = self.node
        fingerprint = deaths.fingerprint_of(request)
        suspect = node.quarantine.find(fingerprint, node.now_s())
        if suspect is not None and suspect.is_quarantined:
            failure = Failure(Code.QUARANTINED, "engines died under it")
            await self._refuse(request, failure)
            return
        need = need_of(request, node)
        node.repeat_budget(request.service.name).note_request(node.now_s())
        refusals = 0
        while True:
            choice = await self._wait_for_engine(request, need)
            if choice is None:
                await self._refuse(request, self._no_room(request))
                return
            generation = Generation(node, self.mover, request, need)
            generation.occupy(choice.upstream)
            self.generations.add(generation)
            self._log_placed(request, generation, choice)
            try:
                await self._run(generation)
                return
            except NotRunError as error:
                refusals += 1
                reason = str(error)
                self._note_not_run(generation, reason)
                if not self._may_go_on(request, refusals, reason):
                    await self._refuse(request, self._no_room(request))
                    return
            finally:
                self.generations.discard(generation)
                await generation.close()

    async def _run(self, generation: Generation) -> None:
        request = generation.request
        try:
            try:
                async with asyncio.timeout(self._left_s(request)):
                    head = await self._open_watched(generation)
            except TimeoutError:
                failure = Failure(Code.UPSTREAM_TIMEOUT, "no first event")
                await self._refuse(request, failure)
                return
            if head.status != 200:
                assert generation.connection is not None
                body = await read_whole(generation.connection)
                self._log_end(generation, f"status {head.status}")
                await request.caller.answer(head.status, head.headers, body)
                return
            async with asyncio.timeout(self._left_s(request)):
                await generation.relay(head)
            self._log_end(generation, "whole")
        except TimeoutError:
            self._log_end(generation, "route timeout")
        except (LostError, CutShortError) as error:
            self._log_end(generation, str(error))
            self._look_for_death(generation)
            if not generation.has_begun:
                self._avoid(generation)
            if not request.caller.is_started:
                failure = Failure(Code.UPSTREAM_TRUNCATED, str(error))
                await self._refuse(request, failure)

    async def _open_watched(self, generation: Generation) -> AnswerHead:
        loop = asyncio.get_running_loop()
        assert generation.upstream is not None
        upstream = generation.upstream.identifier
        mute = loop.call_later(MUTE_AFTER_S, self._note_mute, upstream)
        try:
            return await generation.open()
        finally:
            mute.cancel()

    def _look_for_death(self, generation: Generation) -> None:
        """Note a death if the engine that cut the stream is gone."""
        upstream = generation.upstream
        assert upstream is not None
        if upstream.identifier in self.node.registry.departures:
            return
        task = asyncio.create_task(
            self._note_if_dead(generation.request, upstream)
        )
        self.questions.add(task)
        task.add_done_callback(self.questions.discard)

    def _avoid(self, generation: Generation) -> None:
        """Send less to an engine that cut a stream before its start."""
        upstream = generation.upstream
        assert upstream is not None
        if upstream.identifier not in self.node.registry.departures:
            self.node.note_cut(upstream.identifier)

    async def _note_if_dead(
        self, request: RoutedRequest, upstream: RoutedUpstream
    ) -> None:
        if not await deaths.has_died(upstream):
            return
        node = self.node
        now_s = node.now_s()
        node.registry.note_failure(upstream.identifier, now_s)
        node.quarantine.note_death(
            deaths.fingerprint_of(request),
            f"{upstream.identifier}/{upstream.born_ms}",
            request.arrived_s,
            now_s,
        )
        node.log.warning(
            "engine died",
            request=request.identifier,
            upstream=upstream.identifier,
        )

    def _note_mute(self, upstream: str) -> None:
        self.node.registry.note_failure(upstream, self.node.now_s())
        self.node.log.warning("engine mute", upstream=upstream)

    def _left_s(self, request: RoutedRequest) -> float:
        return max(0.0, request.deadline_s - self.node.now_s())

    async def _wait_for_engine(
        self, request: RoutedRequest, need: GenerationNeed
    ) -> EngineChoice | None:
        route = request.route
        # A caller's first try has the route's whole time left.
        left_s = request.deadline_s - request.arrived_s
        claim = make_claim(
            request.priority,
            request.arrived_s,
            route.objective_s,
            max(0.0, route.timeout_s - left_s),
            request.deadline_s,
        )
        chosen = asyncio.get_running_loop().create_future()
        return await self.line.wait(
            Waiter(claim, request.service, need, chosen)
        )

    def _no_room(self, request: RoutedRequest) -> Failure:
        if not self.node.registry.usable_upstreams(request.service.name):
            return Failure(Code.NO_UPSTREAM, "no engine is there", 0.5)
        spread_s = RETRY_SPREAD_S * self.node.random.random()
        return Failure(
            Code.QUEUE_FULL,
            "no engine has room in time",
            RETRY_AFTER_S + spread_s,
        )

    def _may_go_on(
        self, request: RoutedRequest, refusals: int, reason: str
    ) -> bool:
        if refusals >= MAX_REFUSALS or self._left_s(request) <= 0:
            return False
        if reason == "unreachable":
            return True
        node = self.node
        budget = node.repeat_budget(request.service.name)
        if not budget.take_repeat(node.now_s(), node.members.fleet_size()):
            return False
        node.metrics.repeats.labels(reason).inc()
        return True

    def _note_not_run(self, generation: Generation, reason: str) -> None:
        assert generation.upstream is not None
        upstream = generation.upstream.identifier
        self.node.registry.note_failure(upstream, self.node.now_s())
        self.node.log.info(
            "send failed",
            request=generation.request.identifier,
            upstream=upstream,
            reason=reason,
            outcome="not_run",
            suspect=self.node.registry.failures.get(upstream, 0),
        )

    def _move_if_there(
        self,
        generation: Generation,
        upstream: RoutedUpstream,
        noticed_s: float,
    ) -> None:
        current = generation.upstream
        if current is None or current.identifier != upstream.identifier:
            return
        generation.leave(noticed_s)

    async def _refuse(self, request: RoutedRequest, failure: Failure) -> None:
        kind = request.route.kind.value
        self.node.metrics.requests.labels(kind, "failed").inc()
        refuse_line(self.node, request, failure)
        await request.caller.refuse(failure)

    def _log_placed(
        self,
        request: RoutedRequest,
        generation: Generation,
        choice: EngineChoice,
    ) -> None:
        node = self.node
        now_s = node.now_s()
        load = node.fleet_loads.load_of(choice.upstream.identifier, now_s)
        node.log.info(
            "generation placed",
            request=request.identifier,
            upstream=choice.upstream.identifier,
            waited_ms=int((now_s - request.arrived_s) * 1000),
            read_ms=int(choice.read_s * 1000),
            memory_tokens=load.memory_tokens,
            running=load.running,
            need=generation.need.memory_tokens,
            configuration=request.configuration_version,
        )

    def _log_end(self, generation: Generation, outcome: str) -> None:
        node = self.node
        request = generation.request
        kind = request.route.kind.value
        result = "answered" if outcome == "whole" else "cut"
        node.metrics.requests.labels(kind, result).inc()
        first_s = generation.first_event_s - request.arrived_s
        has_begun = generation.has_begun
        if has_begun:
            node.metrics.latency.labels(kind).observe(first_s)
        upstream = generation.upstream
        node.log.info(
            "generation ended",
            request=request.identifier,
            outcome=outcome,
            upstream=None if upstream is None else upstream.identifier,
            events=generation.positions.count,
            moves=generation.legs,
            first_event_ms=int(first_s * 1000) if has_begun else None,
            longest_pause_ms=int(generation.longest_pause_s * 1000),
            after_ms=int((node.now_s() - request.arrived_s) * 1000),
        )


def need_of(request: RoutedRequest, node: EntryNode) -> GenerationNeed:
    """Return what a request is expected to need of an engine."""
    dialect = node.dialect
    counts = read_counts(request.caller.get(dialect.tokens))
    hint = read_number(request.caller.get(dialect.length_hint))
    if hint:
        output = min(float(counts.output_limit), hint * HINT_SHARE)
    else:
        output = counts.output_limit * UNHINTED_SHARE
    most = int(request.service.traits.memory_tokens * MAX_MEMORY_SHARE)
    prompt = min(counts.prompt, most - 1)
    return GenerationNeed(prompt, max(1, min(int(output), most - prompt)))
