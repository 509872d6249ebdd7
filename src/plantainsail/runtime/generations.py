"""Runs generations on engines and relays their output.

One task runs a request's generation from queueing to its end.  After a
failure it resumes on the same engine as long as the engine still knows
the generation.  It starts again on another engine only if the caller
has received nothing yet.
"""

import asyncio
from collections.abc import AsyncGenerator, Collection, Sequence
from contextlib import aclosing

from expression import Ok, Result

from plantainsail.identity import draw_identifier
from plantainsail.lists.model import HostEntry
from plantainsail.logs import get_logger
from plantainsail.policy.part_quarantine import SOUND_RUN_S
from plantainsail.policy.quarantine import fingerprint_of
from plantainsail.policy.retries import (
    back_off_s,
    may_retry,
    with_exact_outcome,
)
from plantainsail.policy.work import Placement, Work
from plantainsail.results import Code, Failure
from plantainsail.runtime.generation_endings import (
    AttemptCount,
    FailedGeneration,
    cancel_at_engine,
    check_retry,
    deadline_expired_failure,
    handle_engine_failure,
    schedule_cancel,
)
from plantainsail.runtime.generation_messages import (
    Prompt,
    make_generation_request,
    make_stream_name,
)
from plantainsail.runtime.live_streams import LiveStream
from plantainsail.runtime.moves import MOVED, Mover, Place
from plantainsail.runtime.node import Node
from plantainsail.streams.events import StreamFacts
from plantainsail.streams.relay import NextAction, Relay, RelayStep
from plantainsail.upstreams.protocols import ReadResult

# The silence timer isn't rescheduled for each chunk, but once this
# fraction (1/4) of the silence limit has passed.
SILENCE_TIMER_STEPS = 4

# Ends an attempt when a reader asks for an earlier position.
REWOUND = Failure(
    Code.STREAM_POSITION_GONE, "the caller went back to an earlier position"
)


def run_generation(
    node: Node, work: Work, prompt: Prompt, facts: StreamFacts
) -> LiveStream:
    """Start a generation in a task and return its stream."""
    stream = LiveStream(work, facts, node.now_s())
    node.streams.add(stream)
    runner = GenerationRunner(node, stream, prompt)
    stream.task = asyncio.create_task(runner.run())
    node.running.count_task("generation", stream.task)
    return stream


class GenerationRunner:
    """Runs the generation of one request until it ends or fails."""

    def __init__(self, node: Node, stream: LiveStream, prompt: Prompt) -> None:
        self.node = node
        self.stream = stream
        self.work = stream.work
        self.prompt = prompt
        self.place: Place | None = None
        self.failures: list[Failure] = []
        self.mover = Mover(node, stream)
        stream.request_move = self.mover.begin
        self.last_chunk_s: float | None = None
        self.logger = get_logger("generations")
        self.fingerprint = fingerprint_of(self.work, prompt.text)
        self.started_s = node.now_s()
        self.first_chunk_s: float | None = None
        self.is_proven_sound = False
        self.attempts = 0
        self.token_counter = node.metrics.tokens.labels(self.work.model)
        self.token_gap_histogram = node.metrics.token_gap.labels(
            self.work.model
        )

    async def run(self) -> None:
        """Run the generation until it ends, fails or times out."""
        remaining_s = max(0.0, self.work.deadline_s - self.node.now_s())
        failure: Failure | None
        try:
            async with asyncio.timeout(remaining_s):
                failure = await self._run_with_retries()
        except TimeoutError:
            failure = with_exact_outcome(
                deadline_expired_failure(self.stream.relay), self.failures
            )
            if self.stream.relay is not None and self.stream.engine:
                await cancel_at_engine(
                    self.node, self.stream.engine, self.stream.relay
                )
        except Exception as error:
            # The caller of a generation that hit a bug must get an
            # answer at once instead of waiting.
            self.logger.error("generation failed", error=repr(error))
            failure = Failure(Code.INTERNAL, type(error).__name__)
        finally:
            self.mover.release_place()
        self.stream.end(failure, self.node.now_s())

    async def _run_with_retries(self) -> Failure | None:
        """Run on one engine after another until a retry is refused.

        Returns None if the generation was completed.
        """
        failures = self.failures
        excluded: list[str] = []
        while True:
            refusal = self._quarantine_failure()
            if refusal is not None:
                return with_exact_outcome(refusal, failures)
            place_result = await self._reserve_place(excluded)
            if place_result.is_error():
                return with_exact_outcome(place_result.error, failures)
            attempts_before = self.attempts
            failure = await self._run_in_place(place_result.ok)
            if failure is None:
                return None
            failures.append(failure)
            if failure is MOVED:
                self._abandon_engine()
                continue
            excluded.append(place_result.ok.placement.host)
            if may_retry(self.stream.work_kind, failure.code):
                self.node.dispatcher.record_failure(
                    place_result.ok.placement.host
                )
            was_sent = self.attempts > attempts_before
            refusal = check_retry(
                self.node,
                self.stream,
                failures,
                AttemptCount(len(failures) - self.mover.moves, was_sent),
            )
            quarantined = self._quarantine_failure()
            if quarantined is not None and not self.stream.is_delivered:
                return with_exact_outcome(quarantined, failures)
            if refusal is not None:
                return refusal
            if was_sent:
                self.node.metrics.retries.labels(
                    "generation", Code(failure.code).name.lower()
                ).inc()
            self.stream.restart()
            await asyncio.sleep(back_off_s(len(failures), self.node.random))

    async def _reserve_place(
        self, excluded: Sequence[str]
    ) -> Result[Place, Failure]:
        """Return the place reserved for a move, or queue for one."""
        place = self.mover.take_place()
        if place is not None:
            return Ok(place)
        placement_result = await self.node.dispatcher.acquire(
            self.work, excluded, self._engines_to_avoid()
        )
        return placement_result.map(
            lambda placement: Place(self.work, placement)
        )

    async def _run_in_place(self, place: Place) -> Failure | None:
        """Run on the engine of a reserved place, then release it."""
        host = place.placement.host
        self.place = place
        is_completed = False
        self.started_s = self.node.now_s()
        self.first_chunk_s = None
        self.is_proven_sound = False
        self.mover.record_start(self._engines_to_avoid())
        self.node.quarantine.note_started(
            host, self.work.request, self.fingerprint
        )
        try:
            failure = await self._run_on_engine(place.placement)
            is_completed = failure is None
        finally:
            self.place = None
            self.node.quarantine.note_ended(host, self.work.request)
            self.node.dispatcher.release(
                place.work, place.placement, self.node.now_s(), is_completed
            )
        if failure is not MOVED:
            self.mover.release_place()
        return failure

    def _abandon_engine(self) -> None:
        """Cancel the generation on the engine that it has left."""
        engine, relay = self.stream.engine, self.stream.relay
        self.mover.record_move()
        self.stream.restart()
        if engine is None or relay is None:
            return
        schedule_cancel(self.node, engine, relay, self.work.deadline_s)

    def _quarantine_failure(self) -> Failure | None:
        """Return a failure if the request is quarantined.

        A request is quarantined after several engines died running it.
        """
        suspect = self.node.quarantine.find(
            self.fingerprint, self.node.now_s()
        )
        if suspect is not None and suspect.is_quarantined:
            return Failure(
                Code.QUARANTINED,
                f"{len(suspect.deaths)} engines died running this request",
            )
        cause = self.node.part_quarantine.find_cause(
            self.prompt.parts, self.node.now_s()
        )
        if cause is None:
            return None
        return Failure(
            Code.QUARANTINED,
            f"{len(cause.deaths)} engines died under {cause.part}",
        )

    def _record_sound_run(self) -> None:
        """Record once that the prompt does not crash its engine."""
        if self.is_proven_sound or self.first_chunk_s is None:
            return
        self.is_proven_sound = True
        self.node.part_quarantine.note_sound_run(
            self.prompt.parts, self.first_chunk_s, self.node.now_s()
        )

    def _engines_to_avoid(self) -> Collection[str]:
        return self.node.quarantine.engines_to_avoid(
            self.fingerprint, self.node.now_s()
        )

    def _start_failure(self) -> Failure | None:
        """Return why the request may not be sent to an engine now.

        Once it was sent, lists that are too old no longer prevent
        another attempt.
        """
        if self.attempts == 0:
            return self.node.find_act_failure()
        return self.node.find_pause_failure()

    async def _run_on_engine(self, placement: Placement) -> Failure | None:
        engine = self.node.store.hosts.hosts.get(placement.host)
        if engine is None:
            return Failure(
                Code.UPSTREAM_DRAINING, f"{placement.host} has left"
            )
        refusal = self._start_failure()
        if refusal is not None:
            return refusal
        if self.node.marks.is_leaving(engine):
            return Failure(Code.UPSTREAM_DRAINING, f"{engine.host} leaves")
        self.attempts += 1
        if self.attempts == 1:
            self.node.retries.note_first_attempt(
                self.work.organisation, self.node.now_s()
            )
        relay = Relay(
            self.work.request,
            draw_identifier("gen", self.node.random),
            self.prompt.max_tokens,
        )
        self.stream.begin(
            relay,
            engine,
            make_stream_name(self.node, self.stream, relay, engine),
        )
        failure = await self.relay_attempts(
            engine, relay, is_known_to_engine=False
        )
        if failure is not None and failure is not MOVED:
            handle_engine_failure(
                self.node,
                self.stream,
                FailedGeneration(
                    engine,
                    failure,
                    self.fingerprint,
                    () if self.is_proven_sound else self.prompt.parts,
                    self.started_s,
                    self.first_chunk_s is not None,
                ),
            )
        return failure

    async def relay_attempts(
        self, engine: HostEntry, relay: Relay, is_known_to_engine: bool
    ) -> Failure | None:
        """Relay the output of one engine, resuming after failures.

        Returns None if the generation was completed, or the failure
        after which it can't be resumed on this engine.
        """
        while True:
            if self.mover.is_ready():
                return MOVED
            priority = (
                0 if self.place is None else self.place.placement.priority
            )
            request = make_generation_request(
                self.work, self.prompt, relay, priority, self.node.now_s()
            )
            if is_known_to_engine:
                reads = self.node.engines.resume(
                    engine, request, relay.position
                )
            else:
                reads = self.node.engines.generate(engine, request)
            is_known_to_engine = True
            step = await self._read_attempt(reads, relay)
            if step.next is NextAction.FINISHED:
                self._record_sound_run()
                return None
            failure = step.failure or Failure(Code.INTERNAL, "no reason")
            if step.next is NextAction.LOST:
                return failure
            self.node.metrics.retries.labels(
                "resume", Code(failure.code).name.lower()
            ).inc()
            if relay.resumes_without_progress > 1:
                await asyncio.sleep(
                    back_off_s(
                        relay.resumes_without_progress, self.node.random
                    )
                )
            if not self.node.is_sure():
                self.stream.lifetime = self.stream.lifetime._replace(
                    was_paused=True
                )

    async def _read_attempt(
        self, reads: AsyncGenerator[ReadResult, None], relay: Relay
    ) -> RelayStep:
        """Relay one response of the engine until it ends or fails."""
        silence_s = self.node.settings.time_limits.silence_s
        loop = asyncio.get_running_loop()
        rescheduled_at_s = loop.time()
        try:
            async with (
                asyncio.timeout(silence_s) as timer,
                aclosing(reads),
            ):
                self.stream.timer = timer
                self.stream.is_rewound = False
                async for read_result in reads:
                    if read_result.failure is not None:
                        return relay.fail(read_result.failure)
                    step = relay.process_chunks(read_result.chunks)
                    self._deliver(step)
                    if step.next is not NextAction.READ:
                        return step
                    if self.mover.is_ready():
                        return RelayStep(NextAction.LOST, failure=MOVED)
                    if self.stream.buffer.is_full:
                        timer.reschedule(None)
                        await self.stream.wait_for_room()
                        rescheduled_at_s = 0.0
                    now_s = loop.time()
                    if (
                        now_s - rescheduled_at_s
                        > silence_s / SILENCE_TIMER_STEPS
                    ):
                        timer.reschedule(now_s + silence_s)
                        rescheduled_at_s = now_s
        except TimeoutError:
            if self.mover.is_ready():
                return RelayStep(NextAction.LOST, failure=MOVED)
            if self.stream.is_rewound:
                return RelayStep(NextAction.RESUME, failure=REWOUND)
            return relay.fail(
                Failure(
                    Code.UPSTREAM_TIMEOUT,
                    f"the engine was silent for {silence_s} s",
                )
            )
        finally:
            self.stream.timer = None
        return relay.fail(
            Failure(Code.UPSTREAM_TRUNCATED, "the engine ended too early")
        )

    def _deliver(self, step: RelayStep) -> None:
        """Pass relayed chunks to the reader and count their tokens."""
        for verdict in step.dropped:
            self.node.metrics.dropped_chunks.labels(verdict.value).inc()
        if not step.relayed:
            return
        self.stream.append(step.relayed)
        now_s = self.node.now_s()
        if self.last_chunk_s is None:
            self.node.metrics.time_to_first_token.labels(
                self.work.model
            ).observe(now_s - self.work.arrived_s)
        else:
            self.token_gap_histogram.observe(now_s - self.last_chunk_s)
        self.last_chunk_s = now_s
        if self.first_chunk_s is None:
            self.first_chunk_s = now_s
        elif now_s - self.first_chunk_s >= SOUND_RUN_S:
            self._record_sound_run()
        tokens = 0
        for chunk in step.relayed:
            tokens += chunk.tokens
        self.token_counter.inc(tokens)
        if self.place is not None:
            self.node.dispatcher.record_tokens(
                self.place.work, self.place.placement, tokens, now_s
            )
