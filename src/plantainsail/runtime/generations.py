"""Runs generations on engines and relays what they write.

One task runs a generation from its place in the queue to its end.  It
resumes at the same engine as long as that knows the generation, and
starts again on another only while nothing has reached the caller.
"""

import asyncio
from collections.abc import AsyncGenerator, Collection, Sequence
from contextlib import aclosing

from expression import Ok, Result

from plantainsail.identity import draw_identifier
from plantainsail.lists.model import HostEntry
from plantainsail.logs import get_logger
from plantainsail.policy.quarantine import fingerprint_of
from plantainsail.policy.retries import (
    back_off_s,
    may_retry,
    with_exact_outcome,
)
from plantainsail.policy.work import Placement, Work
from plantainsail.results import Code, Failure
from plantainsail.runtime.generation_endings import (
    Loss,
    Tries,
    cancel_at_engine,
    cancel_later,
    expired_failure,
    note_loss,
    refuse_retry,
)
from plantainsail.runtime.generation_messages import (
    Prompt,
    make_name,
    make_request,
)
from plantainsail.runtime.live_streams import LiveStream
from plantainsail.runtime.moves import MOVED, Mover, Place
from plantainsail.runtime.node import Node
from plantainsail.streams.events import StreamFacts
from plantainsail.streams.relay import NextAction, Relay, RelayStep
from plantainsail.upstreams.protocols import Arrival

# The timer for silence is moved once in so many parts of its length.
TIMER_PARTS = 4

REWOUND = Failure(
    Code.STREAM_POSITION_GONE, "the caller went back to an earlier position"
)


def run_generation(
    node: Node, work: Work, prompt: Prompt, facts: StreamFacts
) -> LiveStream:
    """Start a generation and return its stream at once."""
    stream = LiveStream(work, facts, node.now_s())
    node.streams.add(stream)
    runner = GenerationRunner(node, stream, prompt)
    stream.task = asyncio.create_task(runner.run())
    node.running.follow("generation", stream.task)
    return stream


class GenerationRunner:
    """Runs one request's generation to its end."""

    def __init__(self, node: Node, stream: LiveStream, prompt: Prompt) -> None:
        self.node = node
        self.stream = stream
        self.work = stream.work
        self.prompt = prompt
        self.place: Place | None = None
        self.failures: list[Failure] = []
        self.mover = Mover(node, stream)
        stream.move = self.mover.begin
        self.last_chunk_s: float | None = None
        self.logger = get_logger("generations")
        self.fingerprint = fingerprint_of(self.work, prompt.text)
        self.started_s = node.now_s()
        self.attempts = 0
        self.tokens = node.metrics.tokens.labels(self.work.model)
        self.gap = node.metrics.token_gap.labels(self.work.model)

    async def run(self) -> None:
        """Run until the end, a failure or the caller's deadline."""
        remaining_s = max(0.0, self.work.deadline_s - self.node.now_s())
        failure: Failure | None
        try:
            async with asyncio.timeout(remaining_s):
                failure = await self._run_anywhere()
        except TimeoutError:
            failure = with_exact_outcome(
                expired_failure(self.stream.relay), self.failures
            )
            if self.stream.relay is not None and self.stream.engine:
                await cancel_at_engine(
                    self.node, self.stream.engine, self.stream.relay
                )
        except Exception as error:
            # Whatever went wrong, the caller is told so and not kept
            # waiting.
            self.logger.error("generation failed", error=repr(error))
            failure = Failure(Code.INTERNAL, type(error).__name__)
        finally:
            self.mover.drop()
        self.stream.end(failure, self.node.now_s())

    async def _run_anywhere(self) -> Failure | None:
        failures = self.failures
        excluded: list[str] = []
        while True:
            refusal = self._refuse_quarantined()
            if refusal is not None:
                return with_exact_outcome(refusal, failures)
            found = await self._find_place(excluded)
            if found.is_error():
                return with_exact_outcome(found.error, failures)
            attempts_before = self.attempts
            failure = await self._run_at(found.ok)
            if failure is None:
                return None
            failures.append(failure)
            if failure is MOVED:
                self._leave_engine()
                continue
            excluded.append(found.ok.placement.host)
            if may_retry(self.stream.work_kind, failure.code):
                self.node.dispatcher.record_failure(found.ok.placement.host)
            was_sent = self.attempts > attempts_before
            refusal = refuse_retry(
                self.node,
                self.stream,
                failures,
                Tries(len(failures) - self.mover.moves, was_sent),
            )
            quarantined = self._refuse_quarantined()
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

    async def _find_place(
        self, excluded: Sequence[str]
    ) -> Result[Place, Failure]:
        place = self.mover.take()
        if place is not None:
            return Ok(place)
        placed = await self.node.dispatcher.acquire(
            self.work, excluded, self._engines_to_avoid()
        )
        return placed.map(lambda placement: Place(self.work, placement))

    async def _run_at(self, place: Place) -> Failure | None:
        """Run in a place, and give the place back."""
        host = place.placement.host
        self.place = place
        is_whole = False
        self.started_s = self.node.now_s()
        self.mover.note_started(self._engines_to_avoid())
        self.node.quarantine.note_started(
            host, self.work.request, self.fingerprint
        )
        try:
            failure = await self._run_on(place.placement)
            is_whole = failure is None
        finally:
            self.place = None
            self.node.quarantine.note_ended(host, self.work.request)
            self.node.dispatcher.release(
                place.work, place.placement, self.node.now_s(), is_whole
            )
        if failure is not MOVED:
            self.mover.drop()
        return failure

    def _leave_engine(self) -> None:
        """Forget the generation on an engine that leaves."""
        engine, relay = self.stream.engine, self.stream.relay
        self.mover.note_moved()
        self.stream.restart()
        if engine is None or relay is None:
            return
        cancel_later(self.node, engine, relay)

    def _refuse_quarantined(self) -> Failure | None:
        """Return a refusal if engines died under this request."""
        suspect = self.node.quarantine.find(
            self.fingerprint, self.node.now_s()
        )
        if suspect is None or not suspect.is_quarantined:
            return None
        return Failure(
            Code.QUARANTINED,
            f"{len(suspect.deaths)} engines died while running this request",
        )

    def _engines_to_avoid(self) -> Collection[str]:
        return self.node.quarantine.engines_to_avoid(
            self.fingerprint, self.node.now_s()
        )

    def _refuse_start(self) -> Failure | None:
        """Return why nothing may be sent to an engine now.

        Work that was sent once is not lost for the age of the lists.
        """
        if self.attempts == 0:
            return self.node.find_act_failure()
        return self.node.find_pause_failure()

    async def _run_on(self, placement: Placement) -> Failure | None:
        engine = self.node.store.hosts.hosts.get(placement.host)
        if engine is None:
            return Failure(
                Code.UPSTREAM_DRAINING, f"{placement.host} has left"
            )
        refusal = self._refuse_start()
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
            relay, engine, make_name(self.node, self.stream, relay, engine)
        )
        failure = await self.relay_all(engine, relay, is_known=False)
        if failure is not None and failure is not MOVED:
            note_loss(
                self.node,
                self.stream,
                Loss(engine, failure, self.fingerprint, self.started_s),
            )
        return failure

    async def relay_all(
        self, engine: HostEntry, relay: Relay, is_known: bool
    ) -> Failure | None:
        """Read all attempts; return why the engine was lost."""
        while True:
            if self.mover.is_ready():
                return MOVED
            priority = (
                0 if self.place is None else self.place.placement.priority
            )
            request = make_request(
                self.work, self.prompt, relay, priority, self.node.now_s()
            )
            if is_known:
                arrivals = self.node.engines.resume(
                    engine, request, relay.position
                )
            else:
                arrivals = self.node.engines.generate(engine, request)
            is_known = True
            step = await self._read_attempt(arrivals, relay)
            if step.next is NextAction.FINISHED:
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
        self, arrivals: AsyncGenerator[Arrival, None], relay: Relay
    ) -> RelayStep:
        """Relay one answer of the engine until it ends."""
        silence_s = self.node.settings.time_limits.silence_s
        loop = asyncio.get_running_loop()
        set_at_s = loop.time()
        try:
            async with (
                asyncio.timeout(silence_s) as timer,
                aclosing(arrivals),
            ):
                self.stream.timer = timer
                self.stream.is_rewound = False
                async for arrival in arrivals:
                    if arrival.failure is not None:
                        return relay.fail(arrival.failure)
                    step = relay.process_chunks(arrival.chunks)
                    self._deliver(step)
                    if step.next is not NextAction.READ:
                        return step
                    if self.mover.is_ready():
                        return RelayStep(NextAction.LOST, failure=MOVED)
                    if self.stream.buffer.is_full:
                        timer.reschedule(None)
                        await self.stream.wait_for_room()
                        set_at_s = 0.0
                    now_s = loop.time()
                    if now_s - set_at_s > silence_s / TIMER_PARTS:
                        timer.reschedule(now_s + silence_s)
                        set_at_s = now_s
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
            self.gap.observe(now_s - self.last_chunk_s)
        self.last_chunk_s = now_s
        tokens = 0
        for chunk in step.relayed:
            tokens += chunk.tokens
        self.tokens.inc(tokens)
        if self.place is not None:
            self.node.dispatcher.record_tokens(
                self.place.work, self.place.placement, tokens, now_s
            )
