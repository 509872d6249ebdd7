"""Random workloads, and figures that several scenarios compute."""

import math
import random
from collections.abc import Sequence
from typing import NamedTuple

from measure.baselines import Clairvoyant, Naive
from measure.daemons import Fleet
from measure.engines import Record, Request
from measure.harness import Pool, Run, SchedulingSystem

DEFAULT_POOL = Pool()


class Workload(NamedTuple):
    """A kind of request, with log-normally distributed output lengths.

    Callers wait for `patience_s`.
    """

    operation: str
    median_tokens: int
    sigma: float
    prompt_tokens: int
    max_tokens: int
    patience_s: float


class Figures(NamedTuple):
    """The result of one scenario; `rows` holds figures by system."""

    name: str
    seed: int
    rows: dict[str, dict[str, float]]
    ratios: dict[str, float]
    passes: bool


CHECK = Workload("check", 12, 0.4, 120, 64, 10.0)
LETTER = Workload("letter", 200, 0.6, 300, 2_048, 30.0)
URGENT_LETTER = LETTER._replace(patience_s=12.0)
GUIDE = Workload("guide", 1_600, 0.4, 250, 8_192, 300.0)
MIXED_SHORT = Workload("text", 120, 1.0, 200, 8_192, 120.0)
MIXED_LONG = Workload("text", 1_500, 0.5, 200, 8_192, 120.0)
NOTE = Workload("note", 40, 0.5, 100, 256, 20.0)

ORGANISATIONS = tuple(f"large-{n}" for n in range(2)) + tuple(
    f"small-{n}" for n in range(8)
)


class Arrivals:
    """Generates random requests from a seed."""

    def __init__(self, seed: int) -> None:
        """Create a generator without requests."""
        self.random = random.Random(seed)
        self.requests: list[Request] = []

    def add(
        self,
        workload: Workload,
        rate: float,
        start_s: float,
        end_s: float,
        organisations: Sequence[str] = ORGANISATIONS,
        daemons: Sequence[int] = range(DEFAULT_POOL.daemons),
    ) -> "Arrivals":
        """Add requests of one workload as a Poisson process.

        The rate is in requests a second.
        """
        at_s = start_s
        while True:
            at_s += self.random.expovariate(rate)
            if at_s >= end_s:
                return self
            drawn_tokens = self.random.lognormvariate(
                math.log(workload.median_tokens), workload.sigma
            )
            organisation = self.random.choice(organisations)
            request = Request(
                number=0,
                at_s=at_s,
                daemon=self.random.choice(daemons),
                organisation=organisation,
                plan=organisation.split("-")[0],
                operation=workload.operation,
                prompt_tokens=self.random.randint(
                    workload.prompt_tokens // 2,
                    workload.prompt_tokens * 3 // 2,
                ),
                output_tokens=min(
                    max(1, int(drawn_tokens)), workload.max_tokens
                ),
                max_tokens=workload.max_tokens,
                deadline_s=at_s + workload.patience_s,
            )
            self.requests.append(request)

    def sorted_requests(self) -> list[Request]:
        """Return all requests in order of arrival, numbered anew."""
        self.requests.sort(key=lambda request: request.at_s)
        return [r._replace(number=n) for n, r in enumerate(self.requests)]


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the percentile for a fraction, or 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def latencies(run: Run, workload: Workload) -> list[float]:
    """Return the latencies of one workload's requests.

    A request that was not completed counts with its patience.
    """
    latencies_s: list[float] = []
    for record in run.records:
        request = record.request
        if request.operation != workload.operation:
            continue
        if record.done_s is None:
            latencies_s.append(workload.patience_s)
        else:
            latencies_s.append(record.done_s - request.at_s)
    return latencies_s


def times_to_first_token(
    records: Sequence[Record], warmup_s: float
) -> list[float]:
    """Return the times to first token of requests that got one."""
    return [
        record.first_token_s - warmup_s - record.request.at_s
        for record in records
        if record.first_token_s is not None
    ]


def basic_figures(run: Run) -> dict[str, float]:
    """Return the figures that all scenarios report."""
    in_time = sum(record.done_s is not None for record in run.records)
    return {
        "requests": len(run.records),
        "in_time": in_time,
        "refused": sum(record.is_refused for record in run.records),
        "tokens": len(run.token_samples),
        "preemptions": sum(
            engine.preemptions for engine in run.engines.values()
        ),
        "stall_s": round(sum(r.stall_s for r in run.records), 2),
        "gap_p99_s": round(percentile(run.gaps_s, 0.99), 4),
        "ttft_p99_s": round(
            percentile(times_to_first_token(run.records, run.warmup_s), 0.99),
            3,
        ),
    }


def ratio(numerator: float, denominator: float) -> float:
    """Return a rounded ratio; 0 / 0 gives 0, and x / 0 gives 1e9."""
    return (
        round(numerator / denominator, 4)
        if denominator
        else (0.0 if not numerator else 1e9)
    )


def run_three_systems(
    requests: Sequence[Request], seed: int, until_s: float, **options: bool
) -> dict[str, Run]:
    """Run plantainsail and both baselines on the same requests."""
    systems: dict[str, SchedulingSystem] = {
        "naive": Naive(),
        "plantainsail": Fleet(),
        "clairvoyant": Clairvoyant(**options),
    }
    return {
        name: Run(system, requests, DEFAULT_POOL, seed).execute(until_s)
        for name, system in systems.items()
    }
