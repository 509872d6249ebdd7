"""Measure the benefit of reading the engines' reports.

`load`: half of an engine's memory is unavailable, and one daemon places
work by its slices, with and without corrections from load reports that
lag by a second.  `cache`: two daemons send prompts with a few shared
prefixes to four engines, with and without cache events, some of which
are late or lost.  The simulated engines are those of the tests.
"""

import argparse
import json
import random
from collections.abc import Iterator
from typing import Any

from plantainsail.policy.accounts import EngineView
from plantainsail.policy.decisions import Started
from plantainsail.policy.load_reports import LoadReport
from plantainsail.policy.prefixes import CacheChange, CacheEvent, prefix_hashes
from plantainsail.policy.scheduler import Scheduler
from plantainsail.policy.work import Work
from tests.standins.batching import Batch, Generation

STEP_S = 0.03
LISTED_TOKENS = 20_000
STEPS = 4_000
REPORT_STEPS = 33
PREFIX_COUNT = 24
PROMPT_BYTES = 2_048
EVENT_LOSS_SHARE = 0.05
LATE_EVENT_COUNT = 20
ENGINES = 4


class StepTiming:
    """The timing of an engine that makes one token a step."""

    step_s = STEP_S
    tokens_per_event = 1


class Pool:
    """A pool of engines, and daemons that place work on them."""

    def __init__(self, seed: int, engines: int, daemons: int) -> None:
        self.random = random.Random(seed)
        self.batches = {f"e{n}": Batch(StepTiming()) for n in range(engines)}
        views = [EngineView(h, "z", "", LISTED_TOKENS) for h in self.batches]
        names = [f"d{n}" for n in range(daemons)]
        self.daemons = [
            Scheduler(name, "z", random.Random(seed), 0.0) for name in names
        ]
        for daemon in self.daemons:
            daemon.configure({"m": views}, names, {}, 0.0)
        self.running_work: list[tuple[Scheduler, Work, str, Generation]] = []
        self.request_count = 0

    def arrive(self, prompt: str, tokens: int, now_s: float) -> None:
        """Submit one request to a random daemon."""
        self.request_count += 1
        work = Work(
            request=f"r{self.request_count}",
            organisation="o",
            plan="p",
            model="m",
            prompt_tokens=len(prompt) // 4,
            prompt_bytes=len(prompt),
            max_tokens=tokens,
            arrived_s=now_s,
            deadline_s=now_s + 1e6,
            prefixes=prefix_hashes(prompt.encode()),
        )
        daemon = self.random.choice(self.daemons)
        daemon.submit(work, (), now_s)
        self._start(daemon, prompt, now_s)

    def step(self, now_s: float) -> None:
        """Run one step of all engines and release finished work."""
        for batch in self.batches.values():
            batch.step()
        running = self.running_work
        self.running_work = []
        for daemon, work, host, generation in running:
            new_tokens = generation.produced - generation.sent
            generation.sent = generation.produced
            if new_tokens > 0:
                daemon.record_tokens(work, host, new_tokens, now_s)
            if generation.is_done:
                daemon.release(work, host, now_s)
                continue
            self.running_work.append((daemon, work, host, generation))
        for daemon in self.daemons:
            self._start(daemon, "x" * 1_600, now_s)

    def _start(self, daemon: Scheduler, prompt: str, now_s: float) -> None:
        for decision in daemon.decide(now_s):
            if not isinstance(decision, Started):
                continue
            work, host = decision.work, decision.placement.host
            body: dict[str, Any] = {"prompt": prompt}
            generation = Generation(body, work.max_tokens)
            self.batches[host].waiting.append(generation)
            self.running_work.append((daemon, work, host, generation))


def step_times_s() -> Iterator[float]:
    """Return the times of all steps."""
    return (number * STEP_S for number in range(1, STEPS + 1))


def measure_load(seed: int, uses_reports: bool) -> dict[str, float]:
    """Return preemptions and tokens with half the listed memory."""
    pool = Pool(seed, engines=1, daemons=1)
    batch = pool.batches["e0"]
    batch.kv_tokens = LISTED_TOKENS // 2
    batch.report_lag = REPORT_STEPS
    for step, now_s in enumerate(step_times_s()):
        if pool.random.random() < 0.2:
            tokens = pool.random.choice((50, 400, 1_500))
            pool.arrive("x" * 1_600, tokens, now_s)
        pool.step(now_s)
        if uses_reports and step % REPORT_STEPS == 0:
            load = batch.load()
            report = LoadReport(
                load.running,
                load.waiting,
                load.kv_tokens_used,
                (batch.steps - load.taken_step) * STEP_S,
            )
            corrections = pool.daemons[0].placer.corrections
            corrections.record("e0", report, now_s)
    tokens = pool.daemons[0].plans.served.get("p", 0)
    return {"preemptions": batch.preemptions, "tokens": tokens}


def measure_cache(seed: int, uses_reports: bool) -> float:
    """Return the share of prompt prefixes that were cached."""
    pool = Pool(seed, engines=ENGINES, daemons=2)
    prefix_numbers = range(PREFIX_COUNT)
    prefix_texts = [
        f"letterhead {n} ".ljust(PROMPT_BYTES, "x") for n in prefix_numbers
    ]
    for batch in pool.batches.values():
        batch.cache.late = LATE_EVENT_COUNT
        batch.cache.capacity = PREFIX_COUNT
    for step, now_s in enumerate(step_times_s()):
        if pool.random.random() < 0.2:
            pool.arrive(pool.random.choice(prefix_texts), 60, now_s)
        pool.step(now_s)
        if uses_reports and step % REPORT_STEPS == 0:
            engine_number = step // REPORT_STEPS % ENGINES
            read_events(pool, f"e{engine_number}", now_s)
    hits = sum(batch.cache.hits for batch in pool.batches.values())
    return hits / (
        pool.request_count * len(prefix_hashes(prefix_texts[0].encode()))
    )


def read_events(pool: Pool, host: str, now_s: float) -> None:
    """Let each daemon read one engine's cache events."""
    cache = pool.batches[host].cache
    for daemon in pool.daemons:
        after = daemon.prefixes.latest_number(host, "")
        for event in cache.events_after(after):
            if pool.random.random() < EVENT_LOSS_SHARE:
                continue
            change = CacheChange(event["change"])
            cache_event = CacheEvent(
                host, "", event["number"], change, event["prefix"]
            )
            daemon.prefixes.record_event(cache_event, now_s)


def main() -> int:
    """Print the figures of one seed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    figures = {
        "seed": seed,
        "load_unread": measure_load(seed, False),
        "load_read": measure_load(seed, True),
        "cache_hits_unread": round(measure_cache(seed, False), 3),
        "cache_hits_read": round(measure_cache(seed, True), 3),
    }
    print(json.dumps(figures))
    return 0
