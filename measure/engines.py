"""A model of an engine with continuous batching and limited memory."""

import heapq
from collections.abc import Generator
from typing import Any, NamedTuple, Protocol

import simpy

BASE_STEP_S = 0.012
SEQUENCE_STEP_S = 0.000_25
KV_STEP_S = 0.000_000_4
PREFILL_STEP_S = 0.000_02
MAX_BATCH = 128
FAILURE_S = 0.02


class Request(NamedTuple):
    """One request of a measurement; only `output_tokens` is hidden."""

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
    """What became of one request."""

    def __init__(self, request: Request) -> None:
        """Create the record of a request not yet sent."""
        self.request = request
        self.attempts = 0
        self.first_s: float | None = None
        self.last_s: float | None = None
        self.done_s: float | None = None
        self.is_refused = False
        self.has_caller_left = False
        self.preemptions = 0
        self.stall_s = 0.0
        self.daemon = request.daemon


class Generation:
    """One generation on one engine."""

    def __init__(self, record: Record, priority: int, number: int) -> None:
        """Create a generation that has produced nothing."""
        self.record = record
        self.priority = priority
        self.number = number
        self.produced = 0
        self.stalled_s: float | None = None
        self.is_cancelled = False

    @property
    def held(self) -> int:
        """Return the KV tokens that it takes while it runs."""
        return self.record.request.prompt_tokens + self.produced

    def __lt__(self, other: "Generation") -> bool:
        """Order the engine's queue."""
        mine = (self.priority, self.number)
        return mine < (other.priority, other.number)


class Listener(Protocol):
    """Learns what engines do."""

    def on_token(self, engine: "Engine", generation: Generation) -> None:
        """Take one token."""

    def on_end(
        self, engine: "Engine", generation: Generation, is_whole: bool
    ) -> None:
        """Note that a generation has ended or failed."""


class Engine:
    """Runs generations in steps and preempts when memory is full."""

    def __init__(
        self,
        env: simpy.Environment,
        name: str,
        kv_tokens: int,
        listener: Listener,
    ) -> None:
        """Create an idle engine."""
        self.env = env
        self.name = name
        self.kv_tokens = kv_tokens
        self.listener = listener
        self.slow_factor = 1.0
        self.is_failing = False
        self.used = 0
        self.preemptions = 0
        self.running: list[Generation] = []
        self.waiting: list[Generation] = []
        self.wake = env.event()
        env.process(self.run())

    def submit(self, generation: Generation) -> None:
        """Take a request."""
        if self.is_failing:
            self.env.process(self.fail(generation))
            return
        heapq.heappush(self.waiting, generation)
        if not self.wake.triggered:
            self.wake.succeed()

    def fail(self, generation: Generation) -> Generator[Any, Any, None]:
        """Answer a request with an error."""
        yield self.env.timeout(FAILURE_S)
        self.listener.on_end(self, generation, False)

    def run(self) -> Generator[Any, Any, None]:
        """Step for as long as there is work."""
        while True:
            if not self.running and not self.waiting:
                self.wake = self.env.event()
                yield self.wake
            prefill = self.admit()
            if not self.running:
                yield self.env.timeout(BASE_STEP_S)
                continue
            self.make_room()
            step_s = BASE_STEP_S + SEQUENCE_STEP_S * len(self.running)
            step_s += KV_STEP_S * self.used + PREFILL_STEP_S * prefill
            yield self.env.timeout(step_s * self.slow_factor)
            self.produce()

    def admit(self) -> int:
        """Start waiting generations; return the tokens to prefill."""
        prefill = 0
        while self.waiting and len(self.running) < MAX_BATCH:
            first = self.waiting[0]
            if first.is_cancelled:
                heapq.heappop(self.waiting)
                continue
            if self.used + first.held + 1 > self.kv_tokens:
                break
            heapq.heappop(self.waiting)
            self.running.append(first)
            self.used += first.held
            prefill += first.held
        return prefill

    def make_room(self) -> None:
        """Preempt the latest until one more token each fits."""
        self.running = [g for g in self.running if not self.drops(g)]
        while (
            self.used + len(self.running) > self.kv_tokens
            and len(self.running) > 1
        ):
            victim = max(self.running)
            self.running.remove(victim)
            self.used -= victim.held
            self.preemptions += 1
            victim.record.preemptions += 1
            victim.stalled_s = self.env.now
            heapq.heappush(self.waiting, victim)

    def drops(self, generation: Generation) -> bool:
        """Free a cancelled generation; return whether it was one."""
        if generation.is_cancelled:
            self.used -= generation.held
        return generation.is_cancelled

    def produce(self) -> None:
        """Produce one token of each running generation."""
        left: list[Generation] = []
        ended: list[Generation] = []
        for generation in self.running:
            if self.drops(generation):
                continue
            generation.produced += 1
            self.used += 1
            record = generation.record
            if generation.stalled_s is not None:
                record.stall_s += self.env.now - generation.stalled_s
                generation.stalled_s = None
            self.listener.on_token(self, generation)
            if generation.produced < record.request.output_tokens:
                left.append(generation)
                continue
            self.used -= generation.held
            ended.append(generation)
        self.running = left
        for generation in ended:
            self.listener.on_end(self, generation, True)
