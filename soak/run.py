"""Runs a random load with faults and checks the guarantees.

    python -m soak --seed 7 --seconds 20

The checks compare what callers received with what upstreams ran: an
answer is complete and belongs to its request; a request that is not
idempotent runs at most once; a request reported as not run did not
run; a key that was revoked long ago does not work; requests are served
again once all faults have ended; from then on an upstream that names a
rate limit gets no more than that, and a drained availability zone gets
nothing until its order is lifted; and no daemon outgrows the memory of
a small host.
"""

import asyncio
import json
import random
import signal
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

from soak.caller import Attempt, call
from soak.fleet import SMALL_HOST_BYTES, SoakDaemon, free_address
from soak.proxy import Fault, FaultyLink
from soak.upstreams import (
    SoakUpstream,
    count_runs,
    most_arrivals,
    whole_stream,
)

CALLS_PER_SECOND = 40.0
MEAN_FAULT_INTERVAL_S = 0.7
RECOVERY_S = 12.0
# Daemons read the published file every 0.2 s; a revoked key must stop
# working within this time.
REVOCATION_LIMIT_S = 3.0
KINDS = ("safe", "once", "stream")
LIMIT_PER_S = 3.0
# Daemons must keep a rate limit this long after the last fault, in any
# window, with some tolerance.
LIMIT_SETTLED_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_TOLERANCE = 1.5
LIMIT_EXTRA_REQUESTS = 5
CALM_S = 8.0
# The upstreams' availability zones, of which the last one is drained at
# times.  Once all faults have ended, nothing reaches it this long after
# an order.
ZONES = ("a", "b")
DRAIN_LIMIT_S = 2.0
MEAN_DRAIN_INTERVAL_S = 2.0
# Entries that can be read and not used.
ODD_ENTRY = {
    "identifier": "odd",
    "service": "service",
    "address": "127.0.0.1:9",
    "availability_zone": "a",
    "slots": 8,
}
ODD_ENTRIES = [
    None,
    ODD_ENTRY | {"address": "127.0.0.1:99999"},
    ODD_ENTRY | {"address": "127.0.0.1:0"},
    ODD_ENTRY | {"slots": 2**50},
    ODD_ENTRY | {"identifier": "odd\r\nx: y"},
]


class SeedResult(NamedTuple):
    """The result of one seed; a passed run has no `problems`."""

    seed: int
    attempts: int
    answered: int
    faults: Counter[str]
    problems: list[str]


class Soak:
    """Runs the fleet, the load and the faults of one seed."""

    def __init__(self, seed: int, daemons: int, directory: Path) -> None:
        self.seed = seed
        self.random_source = random.Random(seed)
        self.directory = directory
        seeds = [free_address() for _ in range(daemons)]
        self.daemons = [
            SoakDaemon(number, directory, seeds) for number in range(daemons)
        ]
        self.upstreams = [
            SoakUpstream(f"u{n}", random.Random(seed * 100 + n))
            for n in range(4)
        ]
        self.limited = self.upstreams[0]
        self.limited.limit_per_s = LIMIT_PER_S
        self.links: list[FaultyLink] = []
        self.version = 0
        self.keys = {"key-0": "desk"}
        self.revoked_s: dict[str, float] = {}
        self.draining: set[str] = set()
        self.drained: set[str] = set()
        # When the last drain, without faults, was ordered and lifted.
        self.calm_drain_s = (0.0, 0.0)
        self.attempts: list[Attempt] = []
        self.faults: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()
        # What another writer put among the upstreams; it stays there.
        self.odd_entry: dict[str, Any] | None = None
        self.is_over = False

    async def run(self, seconds: float) -> SeedResult:
        """Run the load with faults and check all attempts."""
        try:
            await self._start()
            load = asyncio.create_task(self._send_load())
            faults = asyncio.create_task(self._inject_faults(seconds))
            drains = asyncio.create_task(self._drain_at_times())
            await faults
            drains.cancel()
            await self._end_faults()
            recovered_from = len(self.attempts)
            recovered_s = asyncio.get_running_loop().time()
            await self._drain_in_calm()
            self.is_over = True
            await load
            await asyncio.gather(*self.tasks)
            result = self._check_attempts(recovered_from)
            result.problems.extend(self._check_limit(recovered_s))
            result.problems.extend(self.check_drain())
            result.problems.extend(self._check_memory())
            return result
        finally:
            await self._stop()

    async def _start(self) -> None:
        for upstream in self.upstreams:
            await upstream.start()
            link = FaultyLink(upstream.address)
            await link.start()
            self.links.append(link)
        self._publish()
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))

    async def _stop(self) -> None:
        await asyncio.gather(*(daemon.end() for daemon in self.daemons))
        for link in self.links:
            link.stop()
        for upstream in self.upstreams:
            upstream.stop()

    def _publish(self) -> None:
        self.version += 1
        organisation_keys: dict[str, list[str]] = {}
        for key, organisation in self.keys.items():
            organisation_keys.setdefault(organisation, []).append(key)
        value: dict[str, Any] = {
            "version": self.version,
            "routes": [_route(kind) for kind in KINDS],
            "services": [{"name": "service"}],
            "organisations": [
                {"name": name, "keys": keys}
                for name, keys in organisation_keys.items()
            ],
            "upstreams": [
                {
                    "identifier": upstream.name,
                    "service": "service",
                    "address": link.address,
                    "availability_zone": self.zone_of(upstream),
                    "slots": 8,
                    "is_draining": upstream.name in self.draining,
                }
                for upstream, link in zip(
                    self.upstreams, self.links, strict=True
                )
            ],
        }
        value["drained_zones"] = sorted(self.drained)
        if self.odd_entry is not None:
            value["upstreams"].insert(0, self.odd_entry)
        new_file = self.directory / "published.new"
        new_file.write_text(json.dumps(value))
        new_file.replace(self.directory / "published.json")

    def zone_of(self, upstream: SoakUpstream) -> str:
        """Return the availability zone of an upstream."""
        number = self.upstreams.index(upstream)
        return ZONES[number * len(ZONES) // len(self.upstreams)]

    async def _drain_at_times(self) -> None:
        """Order and lift drains, by draws apart from the faults'."""
        source = random.Random(self.seed)
        while True:
            await asyncio.sleep(source.expovariate(1 / MEAN_DRAIN_INTERVAL_S))
            self._order_drain(is_drained=not self.drained)
            self.faults["zone drain"] += 1

    def _order_drain(self, *, is_drained: bool) -> None:
        self.drained = {ZONES[-1]} if is_drained else set()
        self._publish()

    async def _drain_in_calm(self) -> None:
        """Drain a zone for half of the time without faults."""
        loop = asyncio.get_running_loop()
        self._order_drain(is_drained=True)
        ordered_s = loop.time()
        await asyncio.sleep(CALM_S / 2)
        self.calm_drain_s = (ordered_s, loop.time())
        self._order_drain(is_drained=False)
        await asyncio.sleep(CALM_S / 2)

    async def _send_load(self) -> None:
        number = 0
        while not self.is_over:
            number += 1
            attempt = Attempt(
                f"r{self.seed}-{number}",
                self.random_source.choice(KINDS),
                self.random_source.choice([*self.keys, *self.revoked_s]),
                asyncio.get_running_loop().time(),
            )
            self.attempts.append(attempt)
            daemon = self.random_source.choice(self.daemons)
            task = asyncio.create_task(call(daemon.caller_address, attempt))
            self.tasks.add(task)
            await asyncio.sleep(
                self.random_source.expovariate(CALLS_PER_SECOND)
            )

    async def _inject_faults(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        while loop.time() < end_s:
            self._inject_fault()
            await asyncio.sleep(
                self.random_source.expovariate(1 / MEAN_FAULT_INTERVAL_S)
            )

    def _inject_fault(self) -> None:
        name = self.random_source.choice(
            [
                "link",
                "link",
                "odd",
                "endless",
                "entries",
                "keys",
                "drain",
                "signal",
                "signal",
            ]
        )
        if name == "link":
            fault = self.random_source.choice(list(Fault))
            self.random_source.choice(self.links).set_fault(fault)
            name = f"link {fault.value}"
        elif name == "odd":
            share = self.random_source.choice([0.0, 0.2, 0.6])
            self.random_source.choice(self.upstreams).failure_share = share
        elif name == "endless":
            share = self.random_source.choice([0.0, 0.1, 0.4])
            self.random_source.choice(self.upstreams).endless_share = share
        elif name == "entries":
            self.odd_entry = self.random_source.choice(ODD_ENTRIES)
            self._publish()
        elif name == "keys":
            self._change_keys()
        elif name == "drain":
            upstream = self.random_source.choice(self.upstreams).name
            self.draining ^= {upstream}
            if len(self.draining) == len(self.upstreams):
                self.draining.clear()
            self._publish()
        else:
            name = self._send_random_signal()
        self.faults[name] += 1

    def _change_keys(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if len(self.keys) > 1 and self.random_source.random() < 0.5:
            key = self.random_source.choice(list(self.keys)[:-1])
            del self.keys[key]
            self.revoked_s[key] = now_s
        else:
            self.keys[f"key-{self.version}"] = f"org-{self.version % 3}"
        self._publish()

    def _send_random_signal(self) -> str:
        daemon = self.random_source.choice(self.daemons)
        number = self.random_source.choice(
            [signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP, signal.SIGHUP]
        )
        if number is signal.SIGHUP and daemon.is_stopped:
            number = signal.SIGCONT
        daemon.send(number)
        if number is signal.SIGSTOP:
            self._schedule_recovery(
                daemon, self.random_source.uniform(0.2, 4.0)
            )
        elif number is not signal.SIGHUP:
            self._schedule_recovery(
                daemon, self.random_source.uniform(0.1, 5.0)
            )
        return number.name

    def _schedule_recovery(self, daemon: SoakDaemon, after_s: float) -> None:
        task = asyncio.create_task(self._recover(daemon, after_s))
        self.tasks.add(task)

    async def _recover(self, daemon: SoakDaemon, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if daemon.is_stopped:
            daemon.send(signal.SIGCONT)
        if daemon.process is None or daemon.process.returncode is None:
            return
        if not self.is_over:
            await self._restart(daemon)

    async def _restart(self, daemon: SoakDaemon) -> None:
        daemon.is_stopped = False
        try:
            await daemon.start()
        except (OSError, TimeoutError):
            # Another signal ended the daemon before it was ready.
            self.faults["killed at its start"] += 1

    async def _end_faults(self) -> None:
        for link in self.links:
            link.set_fault(Fault.NONE)
        for upstream in self.upstreams:
            upstream.failure_share = 0.0
            upstream.endless_share = 0.0
        self.draining.clear()
        self._order_drain(is_drained=False)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + RECOVERY_S
        while loop.time() < end_s:
            for daemon in self.daemons:
                if daemon.is_stopped:
                    daemon.send(signal.SIGCONT)
                process = daemon.process
                if process is not None and process.returncode is not None:
                    await self._restart(daemon)
            ready = [await daemon.is_ready() for daemon in self.daemons]
            if all(ready):
                return
            await asyncio.sleep(0.2)

    def _check_attempts(self, recovered_from: int) -> SeedResult:
        problems: list[str] = []
        runs = count_runs(self.upstreams)
        for attempt in self.attempts:
            problems += self.check_attempt(attempt, runs[attempt.request])
        last_runs = {
            run.request: run
            for upstream in self.upstreams
            for run in upstream.runs
        }
        for attempt in self.attempts:
            run = last_runs.get(attempt.request)
            if run is not None and run.body != attempt.body:
                problems.append(f"{attempt.request}: ran with another body")
        after = self.attempts[recovered_from:]
        valid = [attempt for attempt in after if attempt.key in self.keys]
        served = sum(attempt.status == 200 for attempt in valid)
        if served < 0.9 * len(valid):
            problems.append(
                f"only {served} of {len(valid)} served after the faults"
            )
        answered = sum(attempt.status == 200 for attempt in self.attempts)
        return SeedResult(
            self.seed, len(self.attempts), answered, self.faults, problems
        )

    def _check_limit(self, recovered_s: float) -> list[str]:
        """Return a problem if the limited upstream got too much."""
        allowed = LIMIT_TOLERANCE * LIMIT_PER_S * LIMIT_WINDOW_S
        allowed += LIMIT_EXTRA_REQUESTS
        got = most_arrivals(
            self.limited, recovered_s + LIMIT_SETTLED_S, LIMIT_WINDOW_S
        )
        if got <= allowed:
            return []
        return [f"{self.limited.name}: got {got} requests, not {allowed:.0f}"]

    def check_drain(self) -> list[str]:
        """Return a problem for each upstream used against an order.

        One that is not used again afterwards is a problem, too.
        """
        problems: list[str] = []
        ordered_s, lifted_s = self.calm_drain_s
        for upstream in self.upstreams:
            if self.zone_of(upstream) != ZONES[-1]:
                continue
            late = 0
            after = 0
            for at_s in upstream.arrivals_s:
                late += ordered_s + DRAIN_LIMIT_S < at_s < lifted_s
                after += at_s >= lifted_s
            if late:
                problems.append(f"{upstream.name}: {late} sent while drained")
            if not after:
                problems.append(f"{upstream.name}: not used after the drain")
        return problems

    def _check_memory(self) -> list[str]:
        """Return a problem for each daemon with too much memory."""
        problems: list[str] = []
        for daemon in self.daemons:
            peak_bytes = daemon.peak_memory_bytes()
            if peak_bytes > SMALL_HOST_BYTES:
                problems.append(f"{daemon.peer_address}: {peak_bytes} bytes")
        return problems

    def check_attempt(self, attempt: Attempt, runs: int) -> list[str]:
        """Return the problems of an attempt with that many runs."""
        problems: list[str] = []
        if attempt.kind != "safe" and runs > 1:
            problems.append(f"{attempt.request}: ran {runs} times")
        if attempt.is_not_run and runs and attempt.kind != "safe":
            problems.append(
                f"{attempt.request}: said not to have run, but ran"
            )
        if attempt.status == 200 and attempt.is_complete:
            if attempt.answer != _expected(attempt):
                problems.append(
                    f"{attempt.request}: got the answer of another request"
                )
        elif attempt.status == 200 and not _expected(attempt).startswith(
            attempt.answer
        ):
            problems.append(f"{attempt.request}: got a stream out of order")
        revoked_s = self.revoked_s.get(attempt.key)
        if revoked_s is not None and runs:
            since_s = attempt.sent_s - revoked_s
            if since_s > REVOCATION_LIMIT_S + 5.0:
                problems.append(
                    f"{attempt.request}: key gone {since_s:.1f} s ago"
                )
        return problems


def _expected(attempt: Attempt) -> bytes:
    """Return the complete answer that an attempt must receive."""
    if attempt.kind == "stream":
        return whole_stream(attempt.request)
    return attempt.request.encode()


def _route(kind: str) -> dict[str, Any]:
    published_kinds = {
        "safe": "idempotent",
        "once": "non_idempotent",
        "stream": "streaming",
    }
    return {
        "name": kind,
        "host": "example.org",
        "path_prefix": f"/{kind}/",
        "kind": published_kinds[kind],
        "services": [{"service": "service", "weight": 1}],
        "timeout_s": 4,
        "objective_s": 0.5,
        "max_attempts": 2 if kind == "safe" else 1,
    }


async def run_seed(seed: int, seconds: float, daemons: int) -> SeedResult:
    """Run one seed in a temporary directory; keep logs if it fails."""
    with tempfile.TemporaryDirectory() as directory:
        result = await Soak(seed, daemons, Path(directory)).run(seconds)
        if result.problems:
            _keep_logs(seed, Path(directory))
        return result


def _keep_logs(seed: int, directory: Path) -> None:
    log_directory = Path("report") / f"soak-{seed}"
    log_directory.mkdir(parents=True, exist_ok=True)
    for file in directory.glob("*.log"):
        (log_directory / file.name).write_bytes(file.read_bytes())
