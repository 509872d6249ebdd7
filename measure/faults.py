"""Scenarios with faults and with more work than the engines can do."""

import random
from functools import partial

from measure.baselines import Clairvoyant, Naive
from measure.daemons import Daemon, Fleet
from measure.engines import Engine
from measure.harness import Run
from measure.workloads import (
    CHECK,
    DEFAULT_POOL,
    LETTER,
    URGENT_LETTER,
    Arrivals,
    Figures,
    basic_figures,
    ratio,
)
from plantainsail.policy.slices import LEASE_S


def stragglers(seed: int) -> Figures:
    """Slow one upstream in five tenfold for some seconds."""
    arrivals = Arrivals(seed)
    arrivals.add(LETTER, 12.0, 0.0, 60.0).add(CHECK, 15.0, 0.0, 60.0)
    requests = arrivals.sorted_requests()
    rows: dict[str, dict[str, float]] = {}
    for name, system in (("naive", Naive), ("plantainsail", Fleet)):
        for is_slowed in (False, True):
            run = Run(system(), requests, DEFAULT_POOL, seed)
            if is_slowed:
                _schedule_slowdowns(run, seed)
            run.execute(70.0)
            rows[name + ("_slowed" if is_slowed else "")] = basic_figures(run)
    slowed, undisturbed = rows["plantainsail_slowed"], rows["plantainsail"]
    ratios = {
        "gap": ratio(slowed["gap_p99_s"], undisturbed["gap_p99_s"]),
        "ttft": ratio(slowed["ttft_p99_s"], undisturbed["ttft_p99_s"]),
    }
    return Figures(
        "stragglers", seed, rows, ratios, max(ratios.values()) <= 1.3
    )


def _schedule_slowdowns(run: Run, seed: int) -> None:
    """Slow random engines, one in five, for 3 s of each 10 s."""
    source = random.Random(seed + 1)
    names = sorted(run.engines)
    count = max(1, len(names) // 5)
    for interval in range(6):
        for name in source.sample(names, count):
            engine = run.engines[name]
            start_s = 3.0 + 10.0 * interval + source.random()
            run.at(start_s, partial(_set_slow_factor, engine, 10.0))
            run.at(start_s + 3.0, partial(_set_slow_factor, engine, 1.0))


def _set_slow_factor(engine: Engine, slow_factor: float) -> None:
    engine.slow_factor = slow_factor


def _set_failing(engine: Engine, is_failing: bool) -> None:
    """Set whether an engine fails new work; running work goes on."""
    engine.is_failing = is_failing


def _set_is_up(daemon: Daemon, is_up: bool) -> None:
    daemon.is_up = is_up


def retries(seed: int) -> Figures:
    """Let a third of the upstreams fail for 15 s and recover.

    Goodput after the recovery is compared with that of the same
    arrivals without failures.
    """
    arrivals = Arrivals(seed)
    arrivals.add(LETTER, 14.0, 0.0, 60.0).add(CHECK, 20.0, 0.0, 60.0)
    requests = arrivals.sorted_requests()
    rows: dict[str, dict[str, float]] = {}
    for name, system in (("naive", Naive), ("plantainsail", Fleet)):
        undisturbed = Run(system(), requests, DEFAULT_POOL, seed).execute(70.0)
        run = Run(system(), requests, DEFAULT_POOL, seed)
        for engine in list(run.engines.values())[: DEFAULT_POOL.engines // 3]:
            run.at(20.0, partial(_set_failing, engine, True))
            run.at(35.0, partial(_set_failing, engine, False))
        run.execute(70.0)
        attempts = sum(record.attempts for record in run.records)
        rows[name] = basic_figures(run) | {
            "attempts_per_request": ratio(attempts, len(requests)),
            "quiet_tokens_s": _tokens_between(undisturbed, 40.0, 50.0) / 10.0,
            "after_tokens_s": _tokens_between(run, 40.0, 50.0) / 10.0,
        }
    plantainsail_row = rows["plantainsail"]
    ratios = {
        "attempts": plantainsail_row["attempts_per_request"],
        "goodput": ratio(
            plantainsail_row["after_tokens_s"],
            plantainsail_row["quiet_tokens_s"],
        ),
    }
    passes = ratios["attempts"] <= 1.1 and ratios["goodput"] >= 0.95
    return Figures("retries", seed, rows, ratios, passes)


def _tokens_between(run: Run, start_s: float, end_s: float) -> int:
    return sum(start_s <= sample.at_s < end_s for sample in run.token_samples)


def overload(seed: int) -> Figures:
    """Offer twice the capacity for 30 s and compare goodput.

    Both runs share the usual arrivals, which fill the engines.
    """
    arrivals = Arrivals(seed)
    arrivals.add(URGENT_LETTER, 34.0, 0.0, 70.0).add(CHECK, 20.0, 0.0, 70.0)
    usual = arrivals.sorted_requests()
    arrivals.add(URGENT_LETTER, 34.0, 20.0, 50.0)
    crowded = arrivals.add(CHECK, 20.0, 20.0, 50.0).sorted_requests()
    rows: dict[str, dict[str, float]] = {}
    for name, system in (("naive", Naive), ("plantainsail", Fleet)):
        for suffix, requests in (("", usual), ("_crowded", crowded)):
            run = Run(system(), requests, DEFAULT_POOL, seed).execute(75.0)
            rows[name + suffix] = basic_figures(run) | {
                "crest_tokens_s": _goodput(run, 25.0, 50.0),
                "after_tokens_s": _goodput(run, 55.0, 65.0),
            }
    plantainsail_row, undisturbed = (
        rows["plantainsail_crowded"],
        rows["plantainsail"],
    )
    ratios = {
        "goodput": ratio(
            plantainsail_row["crest_tokens_s"], undisturbed["crest_tokens_s"]
        ),
        "after": ratio(
            plantainsail_row["after_tokens_s"], undisturbed["after_tokens_s"]
        ),
    }
    return Figures(
        "overload", seed, rows, ratios, min(ratios.values()) >= 0.95
    )


def _goodput(run: Run, start_s: float, end_s: float) -> float:
    """Return tokens a second of requests that completed in time."""
    tokens = sum(
        record.request.output_tokens
        for record in run.records
        if record.done_s is not None and start_s <= record.done_s < end_s
    )
    return round(tokens / (end_s - start_s), 1)


class MemoryPromiseMonitor:
    """Samples how much engine memory all daemons together promise."""

    def __init__(self, run: Run, fleet: Fleet) -> None:
        """Create a monitor without samples."""
        self.run = run
        self.fleet = fleet
        self.max_promised_share = 0.0
        self.overcommitted_s = 0.0
        self.own_share_by_second: dict[int, float] = {}

    def take_sample(self) -> None:
        """Record the promised and own memory at this moment."""
        now_s = self.run.now_s
        total_own_tokens = 0
        for engine in self.run.engines.values():
            promised_tokens = sum(
                daemon.scheduler.slices.limit(engine.name, now_s)
                for daemon in self.fleet.daemons
                if daemon.is_up
            )
            total_own_tokens += sum(
                daemon.scheduler.slices.own_tokens(engine.name, now_s)
                for daemon in self.fleet.daemons
                if daemon.is_up
            )
            self.max_promised_share = max(
                self.max_promised_share, promised_tokens / engine.kv_tokens
            )
            if promised_tokens > engine.kv_tokens:
                self.overcommitted_s += 0.1 / len(self.run.engines)
        own_share = total_own_tokens / sum(
            e.kv_tokens for e in self.run.engines.values()
        )
        self.own_share_by_second[int(now_s - self.run.warmup_s)] = own_share


def outage(seed: int) -> Figures:
    """Stop a daemon, pause one and partition all, under high load."""
    arrivals = Arrivals(seed)
    arrivals.add(LETTER, 8.0, 0.0, 20.0).add(CHECK, 10.0, 0.0, 20.0)
    arrivals.add(LETTER, 30.0, 20.0, 80.0).add(CHECK, 20.0, 20.0, 80.0)
    requests = arrivals.sorted_requests()
    fleet = Fleet()
    run = Run(fleet, requests, DEFAULT_POOL, seed)
    monitor = MemoryPromiseMonitor(run, fleet)
    run.every(0.1, monitor.take_sample)
    run.at(22.0, lambda: _stop_daemon(fleet, 1))
    run.at(25.0, partial(_set_is_up, fleet.daemons[2], False))
    run.at(35.0, partial(_set_is_up, fleet.daemons[2], True))
    run.at(40.0, lambda: _restart_daemon(fleet, 1))
    partition = ((0, 1), (2, 3, 4, 5))
    links_between_sides = {(a, b) for a in partition[0] for b in partition[1]}
    links_between_sides |= {(b, a) for a, b in links_between_sides}
    run.at(45.0, lambda: fleet.severed_links.update(links_between_sides))
    run.at(75.0, lambda: fleet.severed_links.clear())
    run.execute(95.0)
    naive_run = Run(Naive(), requests, DEFAULT_POOL, seed).execute(95.0)
    clairvoyant_run = Run(Clairvoyant(), requests, DEFAULT_POOL, seed).execute(
        95.0
    )
    initial_share = monitor.own_share_by_second[15]
    after_heal_s = 75 + int(2.0 * LEASE_S) + 2
    rows = {
        "naive": basic_figures(naive_run),
        "plantainsail": basic_figures(run)
        | {
            "promised_max": round(monitor.max_promised_share, 4),
            "broken_s": round(monitor.overcommitted_s, 2),
            "promised_after_lost": round(
                monitor.own_share_by_second[32] / initial_share, 3
            ),
            "promised_in_partition": round(
                monitor.own_share_by_second[60] / initial_share, 3
            ),
            "promised_after_heal": round(
                monitor.own_share_by_second[after_heal_s] / initial_share, 3
            ),
        },
        "clairvoyant": basic_figures(clairvoyant_run),
    }
    plantainsail_row = rows["plantainsail"]
    ratios = {
        "in_time": ratio(
            plantainsail_row["in_time"], rows["clairvoyant"]["in_time"]
        ),
        "promised_max": plantainsail_row["promised_max"],
        "promised_after_heal": plantainsail_row["promised_after_heal"],
    }
    passes = (
        plantainsail_row["broken_s"] <= LEASE_S
        and plantainsail_row["promised_after_heal"] >= 0.98
    )
    return Figures("outage", seed, rows, ratios, passes)


def _stop_daemon(fleet: Fleet, daemon_number: int) -> None:
    """Stop a daemon and cancel its callers' generations."""
    daemon = fleet.daemons[daemon_number]
    daemon.is_up = False
    for record in daemon.run.records:
        generation = fleet.run.generations.get(record.request.number)
        if generation is not None and record.daemon == daemon_number:
            generation.is_cancelled = True
            record.has_caller_left = True


def _restart_daemon(fleet: Fleet, daemon_number: int) -> None:
    fleet.daemons[daemon_number] = Daemon(fleet.run, daemon_number, nonce=2)
