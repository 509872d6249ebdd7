"""Finds an engine for each streaming request and relays its stream."""

import asyncio

from plantainsail.entry import ramping, suspects, zone_orders
from plantainsail.entry.caller_stream import CallerStream
from plantainsail.entry.death_checks import BrokenRun, DeathChecks
from plantainsail.entry.engine_watch import EngineWatch
from plantainsail.entry.event_reader import StalledError
from plantainsail.entry.failures import record_failure
from plantainsail.entry.generation import (
    HTTP_OK,
    Generation,
    NotRunError,
)
from plantainsail.entry.mover import EngineMover
from plantainsail.entry.node import EntryNode
from plantainsail.entry.relay import GenerationLostError
from plantainsail.entry.request import RoutedRequest
from plantainsail.entry.resuming import Resumer
from plantainsail.entry.run_stops import RunStops
from plantainsail.entry.send_results import (
    FIRST_SERVER_ERROR_STATUS,
    ZONE_DRAINED,
)
from plantainsail.entry.stream_log import log_end, log_not_run, log_placement
from plantainsail.entry.streamed_request import (
    ErrorAnswer,
    RunResult,
    StreamedRequest,
    estimate_need,
)
from plantainsail.entry.waiting import Waiter, WaitingQueue
from plantainsail.results import Code, Failure
from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.placement import (
    EngineChoice,
)
from plantainsail.routing.registry import Departure
from plantainsail.routing.resumption import Refusal
from plantainsail.upstreams.single_use import (
    CONNECT_PROBLEMS,
    AnswerHead,
    ConnectProblem,
    CutShortError,
)

MIN_RETRY_AFTER_S = 0.5
RETRY_AFTER_SPREAD_S = 1.5
MAX_NOT_RUN_ATTEMPTS = 3
# The body of an error is short and follows its head at once.
ERROR_BODY_TIMEOUT_S = 2.0
MAX_ERROR_BYTES = 262_144
# An engine that sends no answer head for so long counts as failed.
SILENCE_TIMEOUT_S = 3.0


class StreamForwarder:
    """Forwards requests of streaming routes."""

    def __init__(
        self,
        node: EntryNode,
        mover: EngineMover | None,
        death_checks: DeathChecks,
    ) -> None:
        self.node = node
        self.stops: RunStops | None = None
        self.death_checks = death_checks
        self.queue = WaitingQueue(node)
        self.generations: set[Generation] = set()
        self.engine_watch: EngineWatch | None = None
        if mover is not None:
            self.engine_watch = EngineWatch(node, mover)
            self.stops = RunStops(node, mover)
        self.background_tasks: set[asyncio.Task[None]] = set()

    async def follow_departures(self) -> None:
        """Move generations off engines that will leave."""
        while True:
            await self.node.departures_pending.wait()
            self.node.departures_pending.clear()
            departures = self.node.departures
            self.node.departures = []
            for departure in departures:
                self._request_notice(departure)
                for generation in list(self.generations):
                    self._move_if_on(
                        generation, departure.upstream, departure.at_s
                    )

    def _request_notice(self, departure: Departure) -> None:
        if self.engine_watch is None:
            return
        task = asyncio.create_task(
            self.engine_watch.ask_notice_period(departure)
        )
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def forward(self, request: RoutedRequest) -> None:
        """Stream a request's events from an engine, or refuse it.

        A request that an engine surely did not run is sent to another
        engine, within `MAX_NOT_RUN_ATTEMPTS` and the retry budget.  A
        resumable stream that breaks off goes on at another engine.
        """
        node = self.node
        parts = suspects.parts_of(request, node.dialect)
        quarantined = suspects.refusal(node, request, parts)
        if quarantined is not None:
            await self._refuse(request, quarantined)
            return
        stream = CallerStream(node, request)
        need = estimate_need(request, node)
        work = StreamedRequest(request, stream, need, parts)
        node.repeat_budget(request.service.name).note_request(node.now_s())
        while True:
            choice = await self._wait_for_engine(work)
            quarantined = suspects.refusal(node, request, parts)
            if quarantined is not None:
                await self._give_up(work, quarantined, Refusal.SUSPECT)
                return
            if choice is None:
                await self._give_up(work, self._no_engine_failure(request))
                return
            result = await self._run_at(work, choice)
            if result.is_answered:
                return
            if not await self._is_sent_again(work, result):
                await self._give_up(work, self._no_engine_failure(request))
                return

    async def _run_at(
        self, work: StreamedRequest, choice: EngineChoice
    ) -> RunResult:
        """Run a request at one engine; return how that ended.

        Its connection is closed then.
        """
        resumer = self._resumer(work)
        generation = Generation(
            self.node,
            self.stops,
            work.stream,
            work.need,
            work.parts,
            resumer,
        )
        generation.expected_read_s = choice.read_s
        generation.reservation.reserve(choice.upstream)
        self.generations.add(generation)
        log_placement(self.node, generation, choice)
        try:
            result = await self._run(work, generation)
        finally:
            self.generations.discard(generation)
            await generation.close()
        if result.is_not_run and result.reason == ZONE_DRAINED:
            # Nothing was sent, and no engine there is chosen now.
            return result
        if result.is_not_run:
            if result.reason == ConnectProblem.NO_PROCESS:
                self.node.note_ended(choice.upstream.identifier)
            else:
                work.not_run_attempts += 1
            self.node.registry.note_failure(
                choice.upstream.identifier, self.node.now_s()
            )
            ramping.note_failed(
                self.node,
                choice.upstream,
                generation.reservation.placed_s,
                result.reason,
            )
            log_not_run(self.node, generation, result.reason)
            return result
        if resumer is not None:
            resumer.count_run(generation, result)
            result = result._replace(unended=generation.unended_runs())
        work.last = result
        work.upstream = generation.upstream
        work.tried |= generation.asked
        work.stream.may_have_run += 1
        return result

    async def _run(
        self, work: StreamedRequest, generation: Generation
    ) -> RunResult:
        request = generation.request
        try:
            async with asyncio.timeout(self._remaining_s(request)):
                head = await self._open_with_silence_timer(generation)
                error_body = await self._read_error_body(generation, head)
            if error_body is not None:
                return await self._take_error(
                    work, generation, ErrorAnswer(head, error_body)
                )
            async with asyncio.timeout(self._remaining_s(request)):
                await generation.relay(head)
            log_end(self.node, work, generation.upstream, "whole")
            if head.ends_with_connection:
                self._check_engine_death(generation)
            return RunResult("whole", is_answered=True)
        except NotRunError as error:
            return RunResult(str(error), is_not_run=True)
        except TimeoutError:
            return RunResult("route timeout", is_out_of_time=True)
        except (GenerationLostError, CutShortError) as error:
            check = self._check_engine_death(generation)
            is_stalled = isinstance(error.__cause__, StalledError)
            if is_stalled and request.route.is_resumable:
                # It may only be slow, so that other daemons use it on.
                self._record_silent_engine(
                    generation.upstream, generation.reservation.placed_s
                )
            elif not generation.has_begun:
                self._avoid_engine(generation)
            if generation.is_proven_sound:
                # Then a death does not count against the request.
                check = None
            return RunResult(str(error), death_check=check)

    async def _take_error(
        self,
        work: StreamedRequest,
        generation: Generation,
        error: ErrorAnswer,
    ) -> RunResult:
        """Pass on an upstream's error, unless another may do better."""
        reason = f"status {error.head.status}"
        is_own_error = error.head.status >= FIRST_SERVER_ERROR_STATUS
        has_head = work.stream.has_head
        if has_head or (is_own_error and work.request.route.is_resumable):
            assert generation.upstream is not None
            self.node.registry.note_failure(
                generation.upstream.identifier, self.node.now_s()
            )
            return RunResult(reason, error=None if has_head else error)
        await self._answer_error(work, generation.upstream, error)
        return RunResult(reason, is_answered=True)

    async def _answer_error(
        self,
        work: StreamedRequest,
        upstream: RoutedUpstream | None,
        error: ErrorAnswer,
    ) -> None:
        log_end(self.node, work, upstream, f"status {error.head.status}")
        await work.request.caller.answer(
            error.head.status, error.head.headers, error.body
        )

    def _resumer(self, work: StreamedRequest) -> Resumer | None:
        if not work.request.route.is_resumable:
            return None
        return Resumer(self.node, work, self.stops)

    async def _is_sent_again(
        self, work: StreamedRequest, result: RunResult
    ) -> bool:
        """Return whether a request goes to another engine."""
        if result.is_not_run:
            return self._may_retry(
                work.request, work.not_run_attempts, result.reason
            )
        resumer = self._resumer(work)
        if resumer is None or result.is_out_of_time:
            return False
        return await resumer.is_resumed(result)

    async def _give_up(
        self,
        work: StreamedRequest,
        failure: Failure,
        refused: Refusal = Refusal.ENGINE,
    ) -> None:
        """End a request that goes to no further engine.

        `failure` is the answer if no engine may have run it, and
        `refused` says why its stream is not resumed, if it broke off.
        """
        last = work.last
        request = work.request
        if work.is_resuming:
            Resumer(self.node, work, self.stops).count_refusal(refused)
        if last is None:
            await self._refuse(request, failure)
            return
        if last.error is not None:
            # No further engine improved on the upstream's own error.
            await self._answer_error(work, work.upstream, last.error)
            return
        log_end(self.node, work, work.upstream, last.reason)
        if request.caller.is_answer_started:
            return
        if last.is_out_of_time:
            failure = Failure(Code.UPSTREAM_TIMEOUT, "no first event")
        else:
            failure = Failure(Code.UPSTREAM_TRUNCATED, last.reason)
        await self._refuse(request, failure)

    async def _open_with_silence_timer(
        self, generation: Generation
    ) -> AnswerHead:
        loop = asyncio.get_running_loop()
        silence_timer = loop.call_later(
            SILENCE_TIMEOUT_S,
            self._record_silent_engine,
            generation.upstream,
            generation.reservation.placed_s,
        )
        try:
            return await generation.open()
        finally:
            silence_timer.cancel()

    async def _read_error_body(
        self, generation: Generation, head: AnswerHead
    ) -> bytes | None:
        """Return the body of an answer that is no stream, else None.

        Raises `CutShortError` if it does not end in time.
        """
        if head.status == HTTP_OK:
            return None
        assert generation.connection is not None
        request = generation.request
        # What an attempt before read of its answer is dropped.
        request.caller.buffers.release_to(len(request.body))
        try:
            async with asyncio.timeout(ERROR_BODY_TIMEOUT_S):
                body = await generation.connection.read_body(
                    MAX_ERROR_BYTES, request.caller.buffers
                )
        except TimeoutError as error:
            reason = f"the body of a status {head.status} did not end"
            raise CutShortError(reason) from error
        generation.note_run_ended()
        return body

    def _check_engine_death(
        self, generation: Generation
    ) -> asyncio.Task[None] | None:
        assert generation.upstream is not None
        return self.death_checks.start(
            BrokenRun(
                request=generation.request.identifier,
                upstream=generation.upstream,
                parts=generation.parts,
                started_s=generation.reservation.placed_s,
                ended_s=self.node.now_s(),
                had_begun=generation.has_head,
                was_sound=generation.is_proven_sound,
            )
        )

    def _avoid_engine(self, generation: Generation) -> None:
        """Avoid an engine that cut a stream before its first event."""
        upstream = generation.upstream
        assert upstream is not None
        if upstream.identifier not in self.node.registry.departures:
            self.node.note_cut(upstream.identifier)
            ramping.note_failed(
                self.node, upstream, generation.reservation.placed_s, "cut"
            )

    def _record_silent_engine(
        self, upstream: RoutedUpstream | None, sent_s: float
    ) -> None:
        assert upstream is not None
        identifier = upstream.identifier
        self.node.registry.note_failure(identifier, self.node.now_s())
        ramping.note_failed(self.node, upstream, sent_s, "silent")
        self.node.log.warning("engine silent", upstream=identifier)

    def _remaining_s(self, request: RoutedRequest) -> float:
        return max(0.0, request.deadline_s - self.node.now_s())

    async def _wait_for_engine(
        self, work: StreamedRequest
    ) -> EngineChoice | None:
        choice = asyncio.get_running_loop().create_future()
        return await self.queue.wait(
            Waiter(
                work.claim,
                work.request.service,
                work.need,
                choice,
                work.parts,
                work.tried,
                work.request.zones,
            )
        )

    def _no_engine_failure(self, request: RoutedRequest) -> Failure:
        place = request.service.name, request.zones
        drained = zone_orders.refusal(self.node, request.service.name)
        if drained is not None:
            return drained
        if not self.node.upstreams_in(*place):
            return Failure(Code.NO_UPSTREAM, "no engine is there", 0.5)
        spread_s = RETRY_AFTER_SPREAD_S * self.node.random.random()
        wait_s = self.node.shortest_wait_s(*place)
        return Failure(
            Code.QUEUE_FULL,
            "no engine has room in time",
            max(MIN_RETRY_AFTER_S, wait_s) + spread_s,
        )

    def _may_retry(
        self, request: RoutedRequest, not_run_attempts: int, reason: str
    ) -> bool:
        if (
            not_run_attempts >= MAX_NOT_RUN_ATTEMPTS
            or self._remaining_s(request) <= 0
        ):
            return False
        if reason in CONNECT_PROBLEMS or reason == ZONE_DRAINED:
            return True
        node = self.node
        budget = node.repeat_budget(request.service.name)
        if not budget.take_repeat(node.now_s(), node.members.fleet_size()):
            return False
        node.metrics.repeats.labels(reason).inc()
        return True

    def _move_if_on(
        self,
        generation: Generation,
        upstream: RoutedUpstream,
        noticed_s: float,
    ) -> None:
        current = generation.upstream
        if current is None or current.identifier != upstream.identifier:
            return
        generation.start_evacuation(noticed_s)

    async def _refuse(self, request: RoutedRequest, failure: Failure) -> None:
        kind = request.route.kind.value
        self.node.metrics.requests.labels(kind, "failed").inc()
        record_failure(self.node, request, failure)
        await request.caller.refuse(failure)
