"""Print the slopes that `docs/CAPACITY.md` is calculated from.

Memory for each organisation, host, waiting request and stream is
measured here.  The other slopes come from other modules of this
package, which are run one after another:

    python -m measure.slopes
    python -m measure.slopes --memory-only
"""

import argparse
import json
import random
import resource
import runpy
import sys
import tracemalloc
from collections.abc import Callable
from typing import NamedTuple

from measure.decision_cost import make_work
from plantainsail.lists.model import (
    Grant,
    HostEntry,
    Organisation,
    PublishedLists,
    Role,
)
from plantainsail.policy.accounts import EngineView
from plantainsail.policy.scheduler import Scheduler
from plantainsail.runtime.live_streams import LiveStream
from plantainsail.streams.events import Shape, StreamFacts

KIB_BYTES = 1_024
SMALL_COUNT = 1_000
LARGE_COUNT = 11_000
SHAPE = Shape("cmpl", "text_completion", False)
OTHER_MEASURES = (
    "decision_cost",
    "lists",
    "membership",
    "tickets",
    "heartbeats",
    "relay",
)


class MemorySlope(NamedTuple):
    """The bytes of memory that one more item takes."""

    measure: str
    per: str
    slope_bytes: float


def measure_slope(
    per: str,
    build: Callable[[int], object],
    small_count: int = SMALL_COUNT,
    large_count: int = LARGE_COUNT,
) -> MemorySlope:
    """Return the memory for each item, from two item counts."""
    sizes: list[int] = []
    for count in (small_count, large_count):
        tracemalloc.start()
        built = build(count)
        sizes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del built
    slope_bytes = (sizes[1] - sizes[0]) / (large_count - small_count)
    return MemorySlope("memory", per, round(slope_bytes, 1))


def build_lists(count: int) -> PublishedLists:
    """Return lists of organisations that have one key each."""
    source = random.Random(count)
    organisations = {}
    by_key_hash = {}
    for number in range(count):
        name = f"org-{number:05d}"
        key_hash = f"{source.getrandbits(256):064x}"
        plan = f"plan-{number % 5}"
        organisations[name] = Organisation(name, plan, (key_hash,))
        by_key_hash[key_hash] = name
    grants = {f"plan-{n}": Grant(f"plan-{n}", n + 1) for n in range(5)}
    return PublishedLists(1, organisations, by_key_hash, grants, {})


def build_hosts(count: int) -> dict[str, HostEntry]:
    """Return a number of engines."""
    return {
        f"engine-{n:05d}": HostEntry(
            f"engine-{n:05d}",
            Role.ENGINE,
            f"10.{n // 65_536}.{n // 256 % 256}.{n % 256}:9000",
            f"zone-{n % 21}",
            incarnation=str(n),
            models=(f"model-{n % 23}",),
            kv_tokens=120_000,
        )
        for n in range(count)
    }


def build_queue(count: int) -> Scheduler:
    """Return a scheduler with a number of requests waiting."""
    source = random.Random(count)
    scheduler = Scheduler("d0", "z0", source, 0.0)
    engines = {"model": [EngineView("e0", "z0", "0", 16_000)]}
    grants = {f"p{n}": Grant(f"p{n}", 5 + n) for n in range(5)}
    scheduler.configure(engines, ["d0"], grants, 0.0)
    for number in range(count):
        scheduler.submit(make_work(number, source, 0.0), (), 0.0)
    return scheduler


def build_streams(count: int) -> list[LiveStream]:
    """Return a number of streams with empty buffers."""
    source = random.Random(count)
    streams = []
    for number in range(count):
        work = make_work(number, source, 0.0)
        facts = StreamFacts(work.request, work.model, 100, SHAPE)
        streams.append(LiveStream(work, facts, 0.0))
    return streams


def run_measure(name: str) -> None:
    """Run another module of the package as its own command does."""
    sys.argv = [f"measure.{name}"]
    try:
        runpy.run_module(f"measure.{name}", run_name="__main__")
    except SystemExit as exit_request:
        if exit_request.code:
            raise


def main() -> int:
    """Print one JSON line for each slope."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--memory-only", action="store_true")
    options = parser.parse_args()
    resident_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    process_memory = MemorySlope("memory", "process", resident_kib * KIB_BYTES)
    slopes = [
        process_memory,
        measure_slope("organisation", build_lists),
        measure_slope("host", build_hosts),
        measure_slope("waiting request", build_queue, 100, 200),
        measure_slope("stream", build_streams),
    ]
    for slope in slopes:
        print(json.dumps(slope._asdict()), flush=True)
    if options.memory_only:
        return 0
    for name in OTHER_MEASURES:
        run_measure(name)
    return 0


if __name__ == "__main__":
    sys.exit(main())
