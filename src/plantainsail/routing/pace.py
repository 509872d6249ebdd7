"""How fast each engine generates, from the pauses between its events.

Some engines are slower than others for good, some for moments.  The
lower quartile of the pauses tells the first, the newest pauses the
second.  Both are told to peers.
"""

from collections import deque
from typing import NamedTuple

SAMPLES = 48
MIN_SAMPLES = 6
RECENT_S = 0.5
USUAL_QUANTILE = 0.25


class Pace(NamedTuple):
    """Pauses between events of one engine, in seconds.

    `recent_s` is 0 where no event came a short time ago.
    """

    usual_s: float
    recent_s: float
    samples: int


class PauseSamples:
    """The newest pauses seen on one engine."""

    def __init__(self) -> None:
        self.pauses_s: deque[float] = deque(maxlen=SAMPLES)
        self.last_s = 0.0
        self.last_pause_s = 0.0
        self.seen = 0

    def add(self, pause_s: float, now_s: float) -> None:
        """Note one pause between two events of a stream."""
        self.pauses_s.append(pause_s)
        self.last_s = now_s
        self.last_pause_s = pause_s
        self.seen += 1

    def pace(self, now_s: float) -> Pace | None:
        """Return the pace, or None before there are enough samples."""
        if len(self.pauses_s) < MIN_SAMPLES:
            return None
        ordered = sorted(self.pauses_s)
        usual_s = ordered[int(len(ordered) * USUAL_QUANTILE)]
        is_recent = now_s - self.last_s <= RECENT_S
        return Pace(
            usual_s, self.last_pause_s if is_recent else 0.0, self.seen
        )


class PaceBook:
    """The pace of every engine, by own samples and by peers' word."""

    def __init__(self) -> None:
        self.samples: dict[str, PauseSamples] = {}
        self.heard: dict[str, tuple[Pace, float]] = {}

    def add(self, identifier: str, pause_s: float, now_s: float) -> None:
        """Note a pause in a stream of this daemon."""
        samples = self.samples.setdefault(identifier, PauseSamples())
        samples.add(pause_s, now_s)

    def hear(self, identifier: str, pace: Pace, now_s: float) -> None:
        """Take a peer's word."""
        self.heard[identifier] = (pace, now_s)

    def own(self, now_s: float) -> dict[str, Pace]:
        """Return what this daemon has seen, for its peers."""
        found: dict[str, Pace] = {}
        for identifier, samples in self.samples.items():
            pace = samples.pace(now_s)
            if pace is not None and now_s - samples.last_s <= RECENT_S:
                found[identifier] = pace
        return found

    def usual_s(self, identifier: str, now_s: float) -> float | None:
        """Return an engine's usual pause between events."""
        samples = self.samples.get(identifier)
        pace = None if samples is None else samples.pace(now_s)
        heard = self.heard.get(identifier)
        if pace is None:
            return None if heard is None else heard[0].usual_s
        if heard is None or heard[0].samples < pace.samples:
            return pace.usual_s
        return heard[0].usual_s

    def recent_s(self, identifier: str, now_s: float) -> float:
        """Return the newest pause, 0 where none is recent."""
        samples = self.samples.get(identifier)
        if samples is not None and now_s - samples.last_s <= RECENT_S:
            return samples.last_pause_s
        heard = self.heard.get(identifier)
        if heard is not None and now_s - heard[1] <= RECENT_S:
            return heard[0].recent_s
        return 0.0

    def forget_except(self, identifiers: set[str]) -> None:
        """Drop engines that are gone."""
        for identifier in list(self.samples):
            if identifier not in identifiers:
                del self.samples[identifier]
        for identifier in list(self.heard):
            if identifier not in identifiers:
                del self.heard[identifier]
