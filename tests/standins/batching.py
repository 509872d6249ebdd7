"""A simple model of an engine's continuous batching.

Generations wait by priority until the memory has room for them, and
each step decodes the next tokens of all that run.  If their growth
fills the memory, the last one is preempted and waits again.
"""

import asyncio
from collections import OrderedDict, deque
from typing import Any, NamedTuple, Protocol

from plantainsail.policy.prefixes import prefix_hashes

BYTES_PER_TOKEN = 4
AMPLE_TOKENS = 1_000_000_000


class Pace(Protocol):
    """How fast an engine decodes."""

    step_s: float
    tokens_per_event: int


class Load(NamedTuple):
    """A load report of an engine, taken at a step."""

    running: int
    waiting: int
    kv_tokens_used: int
    taken_step: int


class Generation:
    """A generation with its number of produced and sent tokens."""

    def __init__(self, body: dict[str, Any], length: int) -> None:
        self.body = body
        self.length = length
        self.produced = 0
        self.sent = 0
        self.newest_attempt = 0
        self.is_cancelled = False
        self.preemptions = 0

    @property
    def is_done(self) -> bool:
        """Return whether it needs no more steps."""
        return self.is_cancelled or self.produced >= self.length

    @property
    def held_tokens(self) -> int:
        """Return the KV cache tokens that it uses while it runs."""
        return len(self.body["prompt"]) // BYTES_PER_TOKEN + self.produced


class PrefixCache:
    """The prompt prefixes in memory and the events about them.

    The newest `late` events are not reported yet, and events whose
    numbers are in `lost` are never reported.
    """

    def __init__(self, prefixes: int = 64) -> None:
        self.capacity = prefixes
        self.held: OrderedDict[int, None] = OrderedDict()
        self.events: list[dict[str, Any]] = []
        self.late = 0
        self.lost: set[int] = set()
        self.hits = 0

    def use(self, prompt: str) -> None:
        """Store a prompt's prefixes; evict the least recently used."""
        for prefix in prefix_hashes(prompt.encode()):
            if prefix in self.held:
                self.hits += 1
                self.held.move_to_end(prefix)
                continue
            self.held[prefix] = None
            self._tell("stored", prefix)
        while len(self.held) > self.capacity:
            oldest, _ = self.held.popitem(last=False)
            self._tell("removed", oldest)

    def events_after(self, number: int) -> list[dict[str, Any]]:
        """Return the reported events with a higher number."""
        told = self.events[: len(self.events) - self.late]
        return [
            event
            for event in told[number:]
            if event["number"] not in self.lost
        ]

    def _tell(self, change: str, prefix: int) -> None:
        number = len(self.events) + 1
        self.events.append(
            {"number": number, "change": change, "prefix": prefix}
        )


class Batch:
    """Decodes all generations of one engine.

    Load reports are `report_lag` steps old.
    """

    def __init__(self, pace: Pace) -> None:
        self.pace = pace
        self.kv_tokens = AMPLE_TOKENS
        self.cache = PrefixCache()
        self.waiting: list[Generation] = []
        self.running: list[Generation] = []
        self.preemptions = 0
        self.stepped = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.report_lag = 0
        self.loads: deque[Load] = deque([Load(0, 0, 0, 0)])
        self.steps = 0

    @property
    def used_tokens(self) -> int:
        """Return the KV cache tokens of all running generations."""
        return sum(generation.held_tokens for generation in self.running)

    def submit(self, generation: Generation) -> None:
        """Add a generation to the waiting ones and start the batch."""
        self.waiting.append(generation)
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        """Run steps until no generation waits or runs."""
        while self.waiting or self.running:
            await asyncio.sleep(self.pace.step_s)
            self.step()
            stepped, self.stepped = self.stepped, asyncio.Event()
            stepped.set()

    async def reach(self, generation: Generation, position: int) -> None:
        """Wait until a generation reaches a position or ends."""
        while generation.produced < position and not generation.is_done:
            await self.stepped.wait()

    def step(self) -> None:
        """Give each running generation its next tokens."""
        self.steps += 1
        self.running = [g for g in self.running if not g.is_done]
        self._admit()
        self._preempt()
        for generation in self.running:
            generation.produced = min(
                generation.length,
                generation.produced + self.pace.tokens_per_event,
            )
        self._note_load()

    def drop_all(self) -> None:
        """Cancel all generations and empty the prefix cache."""
        for generation in [*self.running, *self.waiting]:
            generation.is_cancelled = True
        self.running.clear()
        self.waiting.clear()
        self.cache = PrefixCache(self.cache.capacity)

    def load(self) -> Load:
        """Return the load report that the engine gives now."""
        return self.loads[0]

    def _admit(self) -> None:
        self.waiting = [g for g in self.waiting if not g.is_done]
        # The sort is stable: equal priorities stay in arrival order.
        self.waiting.sort(key=_priority)
        while self.waiting:
            first = self.waiting[0]
            growth = (len(self.running) + 1) * self.pace.tokens_per_event
            need = self.used_tokens + first.held_tokens + growth
            if self.running and need > self.kv_tokens:
                return
            self.running.append(self.waiting.pop(0))
            self.cache.use(first.body["prompt"])

    def _preempt(self) -> None:
        """Preempt the last generations until the growth of all fits."""
        self.running.sort(key=_priority)
        while len(self.running) > 1:
            growth = len(self.running) * self.pace.tokens_per_event
            if self.used_tokens + growth <= self.kv_tokens:
                return
            victim = self.running.pop()
            victim.preemptions += 1
            self.preemptions += 1
            self.waiting.append(victim)

    def _note_load(self) -> None:
        running = sum(not g.is_done for g in self.running)
        self.loads.append(
            Load(running, len(self.waiting), self.used_tokens, self.steps)
        )
        while len(self.loads) > self.report_lag + 1:
            self.loads.popleft()


def _priority(generation: Generation) -> int:
    return int(generation.body.get("priority", 0))
