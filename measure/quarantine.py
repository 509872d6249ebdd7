"""Simulate engines lost to a poison request that is sent again.

A poison request crashes each engine that runs it.  Each run draws the
daemon that receives a resend, the engine that runs it, the delay of
heartbeats, and the innocent requests on the engine.  The program prints
one JSON line with the engines lost and the innocent requests refused,
with and without the quarantine.
"""

import argparse
import heapq
import itertools
import json
import random
from enum import Enum, auto
from typing import NamedTuple

from plantainsail.policy.quarantine import Quarantine

RUN_S = 60.0
RESEND_INTERVALS_S = (0.1, 0.4, 2.0)
CRASH_AFTER_S = 0.3
SPREAD_DELAY_RANGE_S = (0.005, 0.05)
ENGINES = 7
ENGINE_RESTART_S = 15.0
# A crashing engine runs fewer innocent requests than this.
INNOCENTS_LIMIT = 6
POISON_FINGERPRINT = 0


class EventKind(Enum):
    """The kind of an event."""

    RESEND = auto()
    CRASH = auto()
    SPREAD = auto()


class Event(NamedTuple):
    """One scheduled event, ordered by time and sequence."""

    at_s: float
    sequence: int
    kind: EventKind
    daemon: int
    engine: int


class RunCounts(NamedTuple):
    """The counts of one run."""

    engines_lost: int
    innocents_refused: int


class Run:
    """A simulated run with one poison request, resent until its end."""

    def __init__(
        self,
        daemons: int,
        uses_quarantine: bool,
        resend_interval_s: float,
        seed: int,
    ) -> None:
        self.source = random.Random(seed)
        self.uses_quarantine = uses_quarantine
        self.resend_interval_s = resend_interval_s
        self.daemons = [Quarantine() for _ in range(daemons)]
        self.events: list[Event] = []
        self.down_until_s = [0.0] * ENGINES
        self.engines_lost = 0
        self.innocent_fingerprints: set[int] = set()
        self.next_fingerprint = 1
        self.event_count = 0

    def schedule(
        self, at_s: float, kind: EventKind, daemon: int = 0, engine: int = 0
    ) -> None:
        """Add an event to the queue."""
        self.event_count += 1
        heapq.heappush(
            self.events, Event(at_s, self.event_count, kind, daemon, engine)
        )

    def run(self) -> RunCounts:
        """Process all events and return the counts."""
        self.schedule(0.0, EventKind.RESEND)
        while self.events and self.events[0].at_s < RUN_S:
            event = heapq.heappop(self.events)
            if event.kind is EventKind.RESEND:
                self.resend(event.at_s)
            elif event.kind is EventKind.CRASH:
                self.crash(event)
            else:
                self.spread_suspects(event)
        return RunCounts(self.engines_lost, self.count_refused())

    def resend(self, now_s: float) -> None:
        """Send the poison request to a random daemon."""
        self.schedule(now_s + self.resend_interval_s, EventKind.RESEND)
        daemon = self.source.randrange(len(self.daemons))
        suspect = self.daemons[daemon].find(POISON_FINGERPRINT, now_s)
        is_refused = suspect is not None and suspect.is_quarantined
        if self.uses_quarantine and is_refused:
            return
        alive = [e for e in range(ENGINES) if self.down_until_s[e] <= now_s]
        if alive:
            engine = self.source.choice(alive)
            self.schedule(
                now_s + CRASH_AFTER_S, EventKind.CRASH, daemon, engine
            )

    def crash(self, event: Event) -> None:
        """Crash an engine that also runs innocent requests."""
        now_s = event.at_s
        upstream = f"engine-{event.engine}/{self.down_until_s[event.engine]}"
        if self.down_until_s[event.engine] > now_s:
            return
        self.engines_lost += 1
        self.down_until_s[event.engine] = now_s + ENGINE_RESTART_S
        started_s = now_s - CRASH_AFTER_S
        owner = self.daemons[event.daemon]
        owner.note_death(POISON_FINGERPRINT, upstream, started_s, now_s)
        for _ in range(self.source.randrange(INNOCENTS_LIMIT)):
            fingerprint = self.next_fingerprint
            self.next_fingerprint += 1
            self.innocent_fingerprints.add(fingerprint)
            self.source.choice(self.daemons).note_death(
                fingerprint, upstream, started_s, now_s
            )
        for daemon in range(len(self.daemons)):
            delay_s = self.source.uniform(*SPREAD_DELAY_RANGE_S)
            self.schedule(now_s + delay_s, EventKind.SPREAD, daemon)

    def spread_suspects(self, event: Event) -> None:
        """Merge the suspects of all daemons into one daemon's."""
        target = self.daemons[event.daemon]
        for source in self.daemons:
            for suspect in source.newest_suspects(event.at_s):
                target.merge(suspect, event.at_s)

    def count_refused(self) -> int:
        """Return how many innocent requests any daemon would refuse."""
        refused = {
            suspect.fingerprint
            for quarantine in self.daemons
            for suspect in quarantine.suspects.values()
            if suspect.is_quarantined
        }
        return len(refused & self.innocent_fingerprints)


class Summary(NamedTuple):
    """The counts of several runs, summarised."""

    engines_lost_mean: float
    engines_lost_max: int
    innocents_refused: int


def measure(
    daemons: int,
    uses_quarantine: bool,
    resend_interval_s: float,
    seed: int,
    runs: int,
) -> Summary:
    """Run several times and summarise the counts."""
    counts_by_run = [
        Run(
            daemons, uses_quarantine, resend_interval_s, seed * 1_000 + run
        ).run()
        for run in range(runs)
    ]
    lost_engines = [run_counts.engines_lost for run_counts in counts_by_run]
    return Summary(
        engines_lost_mean=sum(lost_engines) / runs,
        engines_lost_max=max(lost_engines),
        innocents_refused=sum(
            run_counts.innocents_refused for run_counts in counts_by_run
        ),
    )


def main() -> None:
    """Print one JSON line for a seed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=5)
    options = parser.parse_args()
    result: dict[str, object] = {"name": "quarantine", "seed": options.seed}
    for daemons, resend_interval_s in itertools.product(
        (3, 9), RESEND_INTERVALS_S
    ):
        for uses_quarantine in (False, True):
            name = f"daemons_{daemons}_resend_{resend_interval_s}_s_" + (
                "with" if uses_quarantine else "without"
            )
            result[name] = measure(
                daemons,
                uses_quarantine,
                resend_interval_s,
                options.seed,
                options.runs,
            )._asdict()
    print(json.dumps(result))


if __name__ == "__main__":
    main()
