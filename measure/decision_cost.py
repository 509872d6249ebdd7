"""Measure the time of scheduler calls in one daemon.

The daemon has 100 replicas, 1,000 waiting requests, and seven other
daemons that share the replicas.
"""

import argparse
import json
import random
import sys
import time
from collections.abc import Callable
from functools import partial

from measure.workloads import percentile
from plantainsail.lists.model import Grant
from plantainsail.policy.accounts import EngineView
from plantainsail.policy.decisions import Started
from plantainsail.policy.scheduler import Scheduler
from plantainsail.policy.work import Work

REPLICAS = 100
DAEMONS = 8
WAITING_REQUESTS = 1_000
ORGANISATIONS = 200
ROUNDS = 2_000
KV_TOKENS = 16_000
US_PER_S = 1_000_000.0


def make_work(number: int, source: random.Random, now_s: float) -> Work:
    """Return the work of a request from a random organisation."""
    organisation = source.randrange(ORGANISATIONS)
    return Work(
        request=f"r{number}",
        organisation=f"o{organisation}",
        plan=f"p{organisation % 5}",
        model="model",
        prompt_tokens=source.randint(100, 600),
        prompt_bytes=1_000,
        max_tokens=2_048,
        arrived_s=now_s,
        deadline_s=now_s + 1e6,
        operation=source.choice(("letter", "check")),
    )


def time_call(action: Callable[[], object], costs_us: list[float]) -> None:
    """Call an action and append its time in microseconds."""
    start_s = time.perf_counter()
    action()
    costs_us.append((time.perf_counter() - start_s) * US_PER_S)


def main() -> int:
    """Print the median and 99th percentile for each call."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    source = random.Random(parser.parse_args().seed)
    scheduler = Scheduler("d0", "z0", source, 0.0)
    views = [
        EngineView(f"e{n}", f"z{n % 3}", "0", KV_TOKENS)
        for n in range(REPLICAS)
    ]
    grants = {f"p{n}": Grant(f"p{n}", 5 + n) for n in range(5)}
    names = [f"d{n}" for n in range(DAEMONS)]
    scheduler.configure({"model": views}, names, grants, 0.0)
    for peer in scheduler.slices.peers.values():
        peer.heard_s = peer.confirmed_s = float("inf")
    scheduler.decide(0.0)
    for number in range(200):
        work = make_work(-number - 1, source, 0.0)
        scheduler.lengths.observe(work, source.randint(10, 1_500))
    running: list[Started] = []
    number = 0
    now_s = 20.0
    costs: dict[str, list[float]] = {
        "submit": [],
        "decide": [],
        "release": [],
        "note_tokens": [],
    }
    while (
        sum(len(q.entries) for q in scheduler.queues.values())
        < WAITING_REQUESTS
    ):
        scheduler.submit(make_work(number, source, now_s), (), now_s)
        number += 1
        for decision in scheduler.decide(now_s):
            assert isinstance(decision, Started)
            running.append(decision)
    for _ in range(ROUNDS):
        now_s += 0.002
        index = source.randrange(len(running))
        finished = running.pop(index)
        host = finished.placement.host
        for step in range(2):
            record_tokens_call = partial(
                scheduler.record_tokens,
                finished.work,
                host,
                1,
                now_s + step / 1e3,
            )
            time_call(record_tokens_call, costs["note_tokens"])
        release = partial(scheduler.release, finished.work, host, now_s)
        time_call(release, costs["release"])
        start_s = time.perf_counter()
        decisions = scheduler.decide(now_s)
        spent_us = (time.perf_counter() - start_s) * US_PER_S
        costs["decide"].append(spent_us / max(1, len(decisions)))
        running += [d for d in decisions if isinstance(d, Started)]
        for _ in decisions:
            work = make_work(number, source, now_s)
            number += 1
            submit = partial(scheduler.submit, work, (), now_s)
            time_call(submit, costs["submit"])
    figures = {
        name: {
            "median_us": round(percentile(values, 0.5), 1),
            "p99_us": round(percentile(values, 0.99), 1),
        }
        for name, values in costs.items()
    }
    result = {
        "name": "decision_cost",
        "running": len(running),
        "figures": figures,
    }
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
