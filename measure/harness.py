"""Runs arrivals through one way of scheduling a pool of engines."""

import random
from collections.abc import Callable, Generator, Sequence
from typing import Any, NamedTuple, Protocol

import simpy

from measure.engines import Engine, Generation, Record, Request

PLAN_WEIGHTS = {"large": 30, "small": 5}


class Pool(NamedTuple):
    """The size of a deployment."""

    engines: int = 6
    daemons: int = 6
    kv_tokens: int = 16_000


class SchedulingSystem(Protocol):
    """One way of scheduling."""

    def start(self, run: "Run") -> None:
        """Begin, before the first arrival."""

    def arrive(self, record: Record) -> None:
        """Take a request at its daemon."""

    def on_token(self, engine: Engine, generation: Generation) -> None:
        """Note a token."""

    def on_end(
        self, engine: Engine, generation: Generation, is_whole: bool
    ) -> None:
        """Note an end or a failure."""

    def on_caller_left(self, record: Record) -> None:
        """Note that a caller left at its deadline."""


class TokenSample(NamedTuple):
    """Tokens served to one plan in one moment."""

    at_s: float
    plan: str


class Run:
    """One run: engines, arrivals and what was seen."""

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
        self.number = 0
        self.engines = {
            f"engine-{n}": Engine(
                self.env, f"engine-{n}", pool.kv_tokens, self
            )
            for n in range(pool.engines)
        }
        system.start(self)
        self.env.process(self.arrivals())

    @property
    def now_s(self) -> float:
        """Return the time since the first arrivals may come."""
        return float(self.env.now)

    def execute(self, until_s: float) -> "Run":
        """Run to a time after the warm-up."""
        self.env.run(until=self.warmup_s + until_s)
        return self

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Do something at a time after the warm-up."""
        self.env.process(self._at(self.warmup_s + at_s, action))

    def every(self, interval_s: float, action: Callable[[], None]) -> None:
        """Do something again and again."""
        self.env.process(self._every(interval_s, action))

    def arrivals(self) -> Generator[Any, Any, None]:
        """Let requests arrive and leave."""
        for record in self.records:
            at_s = self.warmup_s + record.request.at_s
            yield self.env.timeout(max(0.0, at_s - self.env.now))
            patience_s = record.request.deadline_s - record.request.at_s
            self.env.process(self.cancel_at_deadline(record, patience_s))
            self.system.arrive(record)

    def cancel_at_deadline(
        self, record: Record, patience_s: float
    ) -> Generator[Any, Any, None]:
        """Cancel what a caller does not wait for any more."""
        yield self.env.timeout(patience_s)
        if record.done_s is not None or record.is_refused:
            return
        record.has_caller_left = True
        self.system.on_caller_left(record)
        generation = self.generations.pop(record.request.number, None)
        if generation is not None:
            generation.is_cancelled = True

    def launch(self, record: Record, host: str, priority: int = 0) -> None:
        """Send a request to an engine."""
        self.number += 1
        record.attempts += 1
        generation = Generation(record, priority, self.number)
        self.generations[record.request.number] = generation
        self.engines[host].submit(generation)

    def on_token(self, engine: Engine, generation: Generation) -> None:
        """Note a token and pass it on."""
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
        """Note an end and pass it on."""
        record = generation.record
        if record.has_caller_left:
            return
        self.generations.pop(record.request.number, None)
        if is_whole:
            record.done_s = self.now_s - self.warmup_s
        self.system.on_end(engine, generation, is_whole)

    def _at(
        self, event_s: float, action: Callable[[], None]
    ) -> Generator[Any, Any, None]:
        yield self.env.timeout(event_s - self.env.now)
        action()

    def _every(
        self, interval_s: float, action: Callable[[], None]
    ) -> Generator[Any, Any, None]:
        while True:
            yield self.env.timeout(interval_s)
            action()
