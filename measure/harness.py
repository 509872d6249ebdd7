"""Simulates how one system schedules requests onto engines."""

import random
from collections.abc import Callable, Generator, Sequence
from typing import Any, NamedTuple, Protocol

import simpy

from measure.engines import Engine, Generation, Record, Request

# Served tokens are shared between plans in this ratio.
PLAN_WEIGHTS = {"large": 30, "small": 5}


class Pool(NamedTuple):
    """The numbers of engines and daemons, and KV tokens per engine."""

    engines: int = 6
    daemons: int = 6
    kv_tokens: int = 16_000


class SchedulingSystem(Protocol):
    """A system under comparison that places requests on engines."""

    def start(self, run: "Run") -> None:
        """Prepare the system before the first request arrives."""

    def arrive(self, record: Record) -> None:
        """Accept a new request at the daemon that it names."""

    def on_token(self, engine: Engine, generation: Generation) -> None:
        """Record that an engine produced a token."""

    def on_end(
        self, engine: Engine, generation: Generation, is_whole: bool
    ) -> None:
        """Record that a generation finished (is_whole) or failed."""

    def on_caller_left(self, record: Record) -> None:
        """Record that a caller gave up at its deadline."""


class TokenSample(NamedTuple):
    """One token that was served to a plan, with its time."""

    at_s: float
    plan: str


class Run:
    """One simulation run with its engines, requests and samples.

    Simulation time includes the warm-up; request and sample times
    count from its end.
    """

    def __init__(
        self,
        system: SchedulingSystem,
        requests: Sequence[Request],
        pool: Pool,
        seed: int,
        warmup_s: float = 8.0,
    ) -> None:
        """Create the engines and start the system."""
        self.env = simpy.Environment()
        self.random = random.Random(seed)
        self.pool = pool
        self.system = system
        self.warmup_s = warmup_s
        self.records = [Record(request) for request in requests]
        self.gaps_s: list[float] = []
        self.token_samples: list[TokenSample] = []
        self.generations: dict[int, Generation] = {}
        self.launch_count = 0
        self.engines = {
            f"engine-{n}": Engine(
                self.env, f"engine-{n}", pool.kv_tokens, self
            )
            for n in range(pool.engines)
        }
        system.start(self)
        self.env.process(self.submit_requests())

    @property
    def now_s(self) -> float:
        """Return the simulation time, which includes the warm-up."""
        return float(self.env.now)

    def execute(self, until_s: float) -> "Run":
        """Simulate until a time that counts from the warm-up's end."""
        self.env.run(until=self.warmup_s + until_s)
        return self

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Call an action at a time counted from the warm-up's end."""
        self.env.process(self._at(self.warmup_s + at_s, action))

    def every(self, interval_s: float, action: Callable[[], None]) -> None:
        """Call an action at regular intervals."""
        self.env.process(self._every(interval_s, action))

    def submit_requests(self) -> Generator[Any, Any, None]:
        """Submit each request at its time and start its deadline."""
        for record in self.records:
            at_s = self.warmup_s + record.request.at_s
            yield self.env.timeout(max(0.0, at_s - self.env.now))
            patience_s = record.request.deadline_s - record.request.at_s
            self.env.process(self.cancel_at_deadline(record, patience_s))
            self.system.arrive(record)

    def cancel_at_deadline(
        self, record: Record, patience_s: float
    ) -> Generator[Any, Any, None]:
        """Cancel a request that is not done by its deadline."""
        yield self.env.timeout(patience_s)
        if record.done_s is not None or record.is_refused:
            return
        record.has_caller_left = True
        self.system.on_caller_left(record)
        generation = self.generations.pop(record.request.number, None)
        if generation is not None:
            generation.is_cancelled = True

    def launch(self, record: Record, host: str, priority: int = 0) -> None:
        """Start a new attempt of a request on an engine."""
        self.launch_count += 1
        record.attempts += 1
        generation = Generation(record, priority, self.launch_count)
        self.generations[record.request.number] = generation
        self.engines[host].submit(generation)

    def on_token(self, engine: Engine, generation: Generation) -> None:
        """Record the times of a token and tell the system of it."""
        record = generation.record
        now_s = self.now_s
        if record.first_token_s is None:
            record.first_token_s = now_s
        elif record.last_token_s is not None:
            self.gaps_s.append(now_s - record.last_token_s)
        record.last_token_s = now_s
        self.token_samples.append(
            TokenSample(now_s - self.warmup_s, record.request.plan)
        )
        self.system.on_token(engine, generation)

    def on_end(
        self, engine: Engine, generation: Generation, is_whole: bool
    ) -> None:
        """Record that a generation ended and tell the system of it."""
        record = generation.record
        if record.has_caller_left:
            return
        self.generations.pop(record.request.number, None)
        if is_whole:
            record.done_s = self.now_s - self.warmup_s
        self.system.on_end(engine, generation, is_whole)

    def _at(
        self, action_s: float, action: Callable[[], None]
    ) -> Generator[Any, Any, None]:
        yield self.env.timeout(action_s - self.env.now)
        action()

    def _every(
        self, interval_s: float, action: Callable[[], None]
    ) -> Generator[Any, Any, None]:
        while True:
            yield self.env.timeout(interval_s)
            action()
