"""A simulated engine with continuous batching and limited KV memory.

The time of a step grows with the running generations, the occupied KV
tokens and the tokens to prefill.
"""

import heapq
from collections.abc import Generator
from typing import Any, NamedTuple, Protocol

import simpy

BASE_STEP_S = 0.012
SEQUENCE_STEP_S = 0.000_25
KV_TOKEN_STEP_S = 0.000_000_4
PREFILL_TOKEN_STEP_S = 0.000_02
MAX_BATCH = 128
ERROR_ANSWER_S = 0.02


class Request(NamedTuple):
    """One simulated request.

    The systems see all fields but `output_tokens`, which only the
    engines and the clairvoyant baseline may read.
    """

    number: int
    at_s: float
    daemon: int
    organisation: str
    plan: str
    operation: str
    prompt_tokens: int
    output_tokens: int
    max_tokens: int
    deadline_s: float


class Record:
    """The outcome and timing of one request."""

    def __init__(self, request: Request) -> None:
        """Create the record of a request that was not yet sent."""
        self.request = request
        self.attempts = 0
        # Token times include the warm-up, done_s does not.
        self.first_token_s: float | None = None
        self.last_token_s: float | None = None
        self.done_s: float | None = None
        self.is_refused = False
        self.has_caller_left = False
        self.preemptions = 0
        self.stall_s = 0.0
        self.daemon = request.daemon


class Generation:
    """One attempt of a request on one engine."""

    def __init__(self, record: Record, priority: int, number: int) -> None:
        """Create a generation that has produced no token yet."""
        self.record = record
        self.priority = priority
        self.number = number
        self.produced = 0
        self.preempted_at_s: float | None = None
        self.is_cancelled = False

    @property
    def occupied_kv_tokens(self) -> int:
        """Return the KV tokens that the generation occupies."""
        return self.record.request.prompt_tokens + self.produced

    def __lt__(self, other: "Generation") -> bool:
        """Compare by priority, then by the order of starts."""
        own_key = (self.priority, self.number)
        return own_key < (other.priority, other.number)


class Listener(Protocol):
    """Receives the tokens and ends of generations from engines."""

    def on_token(self, engine: "Engine", generation: Generation) -> None:
        """Handle one produced token."""

    def on_end(
        self, engine: "Engine", generation: Generation, is_whole: bool
    ) -> None:
        """Handle a generation that finished (is_whole) or failed."""


class Engine:
    """Decodes generations in steps; preempts when memory is full."""

    def __init__(
        self,
        env: simpy.Environment,
        name: str,
        kv_tokens: int,
        listener: Listener,
    ) -> None:
        """Create an idle engine and start its simulation process."""
        self.env = env
        self.name = name
        self.kv_tokens = kv_tokens
        self.listener = listener
        self.slow_factor = 1.0
        self.is_failing = False
        self.used_kv_tokens = 0
        self.preemptions = 0
        self.running: list[Generation] = []
        self.waiting: list[Generation] = []
        self.wake_event = env.event()
        env.process(self.run())

    def submit(self, generation: Generation) -> None:
        """Queue a generation, or answer with an error while failing."""
        if self.is_failing:
            self.env.process(self.answer_with_error(generation))
            return
        heapq.heappush(self.waiting, generation)
        if not self.wake_event.triggered:
            self.wake_event.succeed()

    def answer_with_error(
        self, generation: Generation
    ) -> Generator[Any, Any, None]:
        """Report a failed generation after a short delay."""
        yield self.env.timeout(ERROR_ANSWER_S)
        self.listener.on_end(self, generation, False)

    def run(self) -> Generator[Any, Any, None]:
        """Run decoding steps while there is work; sleep otherwise."""
        while True:
            if not self.running and not self.waiting:
                self.wake_event = self.env.event()
                yield self.wake_event
            prefill_tokens = self.admit()
            if not self.running:
                yield self.env.timeout(BASE_STEP_S)
                continue
            self.preempt_to_fit()
            step_s = BASE_STEP_S + SEQUENCE_STEP_S * len(self.running)
            step_s += (
                KV_TOKEN_STEP_S * self.used_kv_tokens
                + PREFILL_TOKEN_STEP_S * prefill_tokens
            )
            yield self.env.timeout(step_s * self.slow_factor)
            self.produce()

    def admit(self) -> int:
        """Start waiting generations that fit; return prefill tokens."""
        prefill_tokens = 0
        while self.waiting and len(self.running) < MAX_BATCH:
            first = self.waiting[0]
            if first.is_cancelled:
                heapq.heappop(self.waiting)
                continue
            if (
                self.used_kv_tokens + first.occupied_kv_tokens + 1
                > self.kv_tokens
            ):
                break
            heapq.heappop(self.waiting)
            self.running.append(first)
            self.used_kv_tokens += first.occupied_kv_tokens
            prefill_tokens += first.occupied_kv_tokens
        return prefill_tokens

    def preempt_to_fit(self) -> None:
        """Preempt the last in order until each can add one token."""
        self.running = [
            g for g in self.running if not self.discard_if_cancelled(g)
        ]
        while (
            self.used_kv_tokens + len(self.running) > self.kv_tokens
            and len(self.running) > 1
        ):
            victim = max(self.running)
            self.running.remove(victim)
            self.used_kv_tokens -= victim.occupied_kv_tokens
            self.preemptions += 1
            victim.record.preemptions += 1
            victim.preempted_at_s = self.env.now
            heapq.heappush(self.waiting, victim)

    def discard_if_cancelled(self, generation: Generation) -> bool:
        """Free a cancelled generation; return whether it was one."""
        if generation.is_cancelled:
            self.used_kv_tokens -= generation.occupied_kv_tokens
        return generation.is_cancelled

    def produce(self) -> None:
        """Produce one token for each running generation."""
        still_running: list[Generation] = []
        ended: list[Generation] = []
        for generation in self.running:
            if self.discard_if_cancelled(generation):
                continue
            generation.produced += 1
            self.used_kv_tokens += 1
            record = generation.record
            if generation.preempted_at_s is not None:
                record.stall_s += self.env.now - generation.preempted_at_s
                generation.preempted_at_s = None
            self.listener.on_token(self, generation)
            if generation.produced < record.request.output_tokens:
                still_running.append(generation)
                continue
            self.used_kv_tokens -= generation.occupied_kv_tokens
            ended.append(generation)
        self.running = still_running
        for generation in ended:
            self.listener.on_end(self, generation, True)
