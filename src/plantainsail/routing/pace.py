"""Estimates how fast engines generate from pauses between events.

Some engines are always slower than others, and every engine is slower
while it reads prompts or while something else uses its host.  The
lowest tenth of the pauses in a window of some seconds shows permanent
slowness, and the newest pause shows temporary slowness.  Daemons share
both with their peers.
"""

from collections import deque
from typing import Annotated, NamedTuple

from msgspec import Meta

# The pauses between events that are kept of an engine, and those needed
# to compute its usual pause.
MAX_SAMPLES = 240
MIN_SAMPLES = 8
# Older pauses are dropped.
SAMPLE_WINDOW_S = 5.0
# A pause is kept only if it ends this long after the last kept one.
SAMPLE_SPACING_S = 0.012
# Shorter pauses mean that events were delivered together; they say
# nothing about the engine.
MIN_PAUSE_S = 0.004
# Peers report no longer pause.
MAX_PAUSE_S = 1e6
# An older pause does not count as the newest pause of an engine.
RECENT_WINDOW_S = 0.5
# An engine's usual pause is this quantile of the kept ones.
USUAL_QUANTILE = 0.1


class Pace(NamedTuple):
    """The usual and the newest pause between events of one engine.

    `recent_s` is 0 if the engine sent no event recently.
    """

    usual_s: Annotated[float, Meta(ge=0, le=MAX_PAUSE_S)]
    recent_s: Annotated[float, Meta(ge=0, le=MAX_PAUSE_S)]


class Sample(NamedTuple):
    """One pause between two events, and when it ended."""

    at_s: float
    pause_s: float


class PauseSamples:
    """The recent pauses between events of one engine.

    The newest pause took `last_pause_s` and ended at `last_s`; it need
    not be among `samples`.  `usual_s` is the usual pause, or None
    before there are enough samples.
    """

    def __init__(self) -> None:
        self.samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)
        self.last_s = 0.0
        self.last_pause_s = 0.0
        self.usual_s: float | None = None

    def add(self, pause_s: float, now_s: float) -> None:
        """Add one pause between two events of a stream."""
        if pause_s < MIN_PAUSE_S:
            return
        self.last_s = now_s
        self.last_pause_s = pause_s
        if self.samples and now_s - self.samples[-1].at_s < SAMPLE_SPACING_S:
            return
        self.samples.append(Sample(now_s, pause_s))

    def pace(self, now_s: float) -> Pace | None:
        """Return the pace, or None before there are enough samples."""
        while self.samples and self.samples[0].at_s < now_s - SAMPLE_WINDOW_S:
            self.samples.popleft()
        if len(self.samples) >= MIN_SAMPLES:
            ordered = sorted(sample.pause_s for sample in self.samples)
            self.usual_s = ordered[int(len(ordered) * USUAL_QUANTILE)]
        if self.usual_s is None:
            return None
        is_recent = now_s - self.last_s <= RECENT_WINDOW_S
        return Pace(self.usual_s, self.last_pause_s if is_recent else 0.0)


class PeerPace(NamedTuple):
    """The pace of an engine that a peer reported, and when."""

    pace: Pace
    at_s: float


class EnginePaces:
    """The paces of all engines, by identifier.

    `samples` are this daemon's own, and `peer_paces` peers' reports.
    """

    def __init__(self) -> None:
        self.samples: dict[str, PauseSamples] = {}
        self.peer_paces: dict[str, PeerPace] = {}

    def add(self, identifier: str, pause_s: float, now_s: float) -> None:
        """Add a pause in a stream of this daemon."""
        samples = self.samples.setdefault(identifier, PauseSamples())
        samples.add(pause_s, now_s)

    def record_peer_pace(
        self, identifier: str, pace: Pace, now_s: float
    ) -> None:
        """Store the pace of an engine that a peer reported."""
        self.peer_paces[identifier] = PeerPace(pace, now_s)

    def local_paces(self, now_s: float) -> dict[str, Pace]:
        """Return the recent paces that this daemon itself measured."""
        paces: dict[str, Pace] = {}
        for identifier, samples in self.samples.items():
            pace = samples.pace(now_s)
            if pace is not None and now_s - samples.last_s <= RECENT_WINDOW_S:
                paces[identifier] = pace
        return paces

    def usual_s(self, identifier: str, now_s: float) -> float | None:
        """Return an engine's pause while nothing slows it down.

        The shortest usual pause that any daemon saw comes closest.
        """
        candidates: list[float] = []
        samples = self.samples.get(identifier)
        pace = None if samples is None else samples.pace(now_s)
        if pace is not None:
            candidates.append(pace.usual_s)
        reported = self.peer_paces.get(identifier)
        if reported is not None:
            candidates.append(reported.pace.usual_s)
        return min(candidates) if candidates else None

    def recent_s(self, identifier: str, now_s: float) -> float:
        """Return the newest pause of an engine, 0 if none is recent."""
        samples = self.samples.get(identifier)
        if samples is not None and now_s - samples.last_s <= RECENT_WINDOW_S:
            return samples.last_pause_s
        reported = self.peer_paces.get(identifier)
        if reported is not None and now_s - reported.at_s <= RECENT_WINDOW_S:
            return reported.pace.recent_s
        return 0.0

    def forget_except(self, identifiers: set[str]) -> None:
        """Remove all engines but the given ones."""
        for identifier in list(self.samples):
            if identifier not in identifiers:
                del self.samples[identifier]
        for identifier in list(self.peer_paces):
            if identifier not in identifiers:
                del self.peer_paces[identifier]
