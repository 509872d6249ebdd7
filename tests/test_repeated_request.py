"""A request that is repeated at the same time stops crashing upstreams.

Its copies crash all upstreams of a service at once.  If deaths that
overlap count as one, like those of an availability zone that fails, the
copies crash all of them again once they are back.
"""

import heapq
import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import pytest

from plantainsail.policy.part_quarantine import (
    EngineDeath,
    PartQuarantine,
    PartRecord,
)

# An event is called with the time at which it happens.
Event = Callable[[float], None]

DAEMONS = 9
DAY_S = 110.0
CRASH_S = 0.09
# A caller sends its request again after each failure or refusal.
REPEAT_S = 5.0
MAX_ATTEMPTS = 2
SOUND_REQUESTS_PER_S = 6.0
BAD = "request:bad"
# From this time after the third crash on, so many copies may be sent.
SETTLED_S = 3.0
MAX_LATE_COPIES = 3


class Copy(NamedTuple):
    """One attempt of a request at an upstream."""

    part: str
    daemon: int
    attempt: int
    tried: frozenset[int]


class Run(NamedTuple):
    """An attempt that an upstream runs, since `started_s`."""

    copy: Copy
    started_s: float


class Fleet:
    """Daemons that share news in milliseconds, and their upstreams.

    The upstream that runs the bad request crashes after `CRASH_S` with
    all that it runs, and is back some seconds later.
    """

    def __init__(self, seed: int, upstreams: int) -> None:
        self.source = random.Random(seed)
        self.daemons = [PartQuarantine() for _ in range(DAEMONS)]
        self.runs: list[list[Run]] = [[] for _ in range(upstreams)]
        self.back_s = [0.0] * upstreams
        self.events: list[tuple[float, int, Event]] = []
        self.number = 0
        self.crashes_s: list[float] = []
        self.copies_s: list[float] = []
        self.sound = 0
        self.refused_sound = 0

    def plan(self, at_s: float, event: Event) -> None:
        """Let an event happen at a time."""
        self.number += 1
        heapq.heappush(self.events, (at_s, self.number, event))

    def play(self, callers: int) -> None:
        """Play a day; so many callers repeat the bad request."""
        for _ in range(callers):
            self.plan(5.0, partial(self.arrive, BAD))
        at_s = 0.0
        while at_s < DAY_S:
            at_s += self.source.expovariate(SOUND_REQUESTS_PER_S)
            part = f"request:{self.number}"
            self.plan(at_s, partial(self.arrive, part))
        while self.events:
            now_s, _, event = heapq.heappop(self.events)
            if now_s < DAY_S:
                event(now_s)

    def arrive(self, part: str, now_s: float) -> None:
        """Take a request in at any daemon."""
        daemon = self.source.randrange(DAEMONS)
        if part == BAD:
            pause_s = REPEAT_S * self.source.uniform(0.95, 1.05)
            self.plan(now_s + pause_s, partial(self.arrive, BAD))
        else:
            self.sound += 1
        self.send(Copy(part, daemon, 1, frozenset()), now_s)

    def send(self, copy: Copy, now_s: float) -> None:
        """Send an attempt to an upstream, unless it is refused."""
        quarantine = self.daemons[copy.daemon]
        if quarantine.find_cause((copy.part,), now_s) is not None:
            self.refused_sound += copy.part != BAD
            return
        usable: list[int] = []
        for upstream, back_s in enumerate(self.back_s):
            if back_s <= now_s and upstream not in copy.tried:
                usable.append(upstream)
        if not usable:
            return
        upstream = self.source.choice(usable)
        run = Run(copy._replace(tried=copy.tried | {upstream}), now_s)
        self.runs[upstream].append(run)
        end = self.answer
        if copy.part == BAD:
            self.copies_s.append(now_s)
            end = self.crash
        self.plan(now_s + CRASH_S, partial(end, upstream, run))

    def answer(self, upstream: int, run: Run, now_s: float) -> None:
        """End a sound run, if its upstream is still there."""
        if run not in self.runs[upstream]:
            return
        self.runs[upstream].remove(run)
        quarantine = self.daemons[run.copy.daemon]
        quarantine.note_sound_run((run.copy.part,), run.started_s, now_s)
        self.share(quarantine, now_s)

    def crash(self, upstream: int, run: Run, now_s: float) -> None:
        """Crash an upstream, if it was not crashed meanwhile."""
        if run not in self.runs[upstream]:
            return
        self.crashes_s.append(now_s)
        name = f"e{upstream}/{len(self.crashes_s)}"
        for lost in self.runs[upstream]:
            death = EngineDeath(name, lost.started_s, now_s)
            self.plan(now_s + 0.003, partial(self.note, lost.copy, death))
            if lost.copy.attempt < MAX_ATTEMPTS:
                again = lost.copy._replace(attempt=lost.copy.attempt + 1)
                self.plan(now_s + 0.001, partial(self.send, again))
        self.runs[upstream] = []
        self.back_s[upstream] = now_s + self.source.uniform(2.0, 4.0)

    def note(self, copy: Copy, death: EngineDeath, now_s: float) -> None:
        """Note a death at the daemon that sent the attempt."""
        quarantine = self.daemons[copy.daemon]
        quarantine.note_death((copy.part,), death, now_s)
        self.share(quarantine, now_s)

    def share(self, sender: PartQuarantine, now_s: float) -> None:
        """Send what changed at one daemon to all others."""
        for record in sender.pop_unsent(now_s):
            for receiver in self.daemons:
                delay_s = self.source.uniform(0.005, 0.010)
                self.plan(
                    now_s + delay_s, partial(self.merge, receiver, record)
                )

    def merge(
        self, receiver: PartQuarantine, record: PartRecord, now_s: float
    ) -> None:
        """Apply news of a peer."""
        receiver.merge(record, now_s)

    def late_copies(self) -> int:
        """Return the copies sent long after the third crash."""
        if len(self.crashes_s) < 3:
            return 0
        settled_s = self.crashes_s[2] + SETTLED_S
        return sum(sent_s > settled_s for sent_s in self.copies_s)


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("upstreams", [3, 5, 30])
@pytest.mark.parametrize("callers", [1, 5, 9])
def test_a_request_repeated_at_the_same_time_stops_crashing_upstreams(
    callers: int, upstreams: int, seed: int
) -> None:
    fleet = Fleet(seed, upstreams)
    fleet.play(callers)
    assert fleet.late_copies() <= MAX_LATE_COPIES
    assert fleet.refused_sound <= fleet.sound / 50
