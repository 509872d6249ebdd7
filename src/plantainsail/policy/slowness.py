"""Upstreams that are slower than their peers, from own observations.

An engine's time between tokens is compared with the median of the
engines of the same model.  One that is far slower becomes a last
resort, and is tried again with single generations.  Only a part of the
engines is put aside at once: when all are slow, none is faulty.
"""

from collections.abc import Collection, Mapping
from statistics import median_low
from typing import NamedTuple

SLOW_RATIO = 3.0
SMOOTHING = 0.3
MIN_GAP_S = 0.005
MIN_SILENCE_S = 0.2
FIRST_PROBE_S = 0.5
MAX_PROBE_S = 4.0
MAX_AVOIDED_FRACTION = 0.34
OBSERVATION_TTL_S = 10.0
REVIEW_INTERVAL_S = 0.1


class AvoidedEngine(NamedTuple):
    """An engine that is a last resort until it was probed."""

    probe_at_s: float
    probe_after_s: float


class _Pace:
    """The latest paces of one engine."""

    def __init__(self) -> None:
        self.gap_s = 0.0
        self.seen_s = float("-inf")
        self.waiting_since_s: float | None = None


class SlownessDetector:
    """Tells which engines to avoid."""

    def __init__(self) -> None:
        self.paces: dict[str, _Pace] = {}
        self.avoided: dict[str, AvoidedEngine] = {}
        self.failing: set[str] = set()
        self.median_gaps_s: dict[str, float] = {}
        self.reviewed_s: dict[str, float] = {}

    def record_sent(self, host: str, now_s: float) -> None:
        """Note that an engine owes a token."""
        pace = self.paces.setdefault(host, _Pace())
        if pace.waiting_since_s is None:
            pace.waiting_since_s = now_s

    def record_gap(self, host: str, gap_s: float, now_s: float) -> None:
        """Note the time between two tokens of one generation."""
        pace = self.paces.setdefault(host, _Pace())
        pace.waiting_since_s = now_s
        self.failing.discard(host)
        age_s = now_s - pace.seen_s
        if age_s < MIN_GAP_S:
            # Another generation's token of the same step.
            return
        if age_s > OBSERVATION_TTL_S:
            pace.gap_s = gap_s
        pace.gap_s += SMOOTHING * (gap_s - pace.gap_s)
        pace.seen_s = now_s

    def record_first_token(self, host: str, now_s: float) -> None:
        """Note the first token of a generation."""
        self.failing.discard(host)
        self.paces.setdefault(host, _Pace()).waiting_since_s = now_s

    def record_idle(self, host: str) -> None:
        """Note that an engine owes nothing any more."""
        pace = self.paces.get(host)
        if pace is not None:
            pace.waiting_since_s = None

    def record_failure(self, host: str, now_s: float) -> None:
        """Note that an engine failed before its first token."""
        self.failing.add(host)
        self._avoid(host, now_s)

    def review(self, model: str, hosts: Collection[str], now_s: float) -> None:
        """Put slow engines aside and take recovered ones back."""
        reviewed_s = self.reviewed_s.get(model, float("-inf"))
        if now_s - reviewed_s < REVIEW_INTERVAL_S:
            return
        self.reviewed_s[model] = now_s
        paces: dict[str, float] = {}
        for host in hosts:
            pace_s = self._pace_of(host, now_s)
            if pace_s is not None:
                paces[host] = pace_s
        if not paces:
            return
        median_s = max(median_low(list(paces.values())), MIN_GAP_S)
        self.median_gaps_s[model] = median_s
        for host, pace_s in paces.items():
            if host in self.failing:
                continue
            if pace_s > SLOW_RATIO * median_s:
                if host not in self.avoided:
                    self._avoid(host, now_s)
                continue
            seen_s = self.paces[host].seen_s
            if host in self.avoided and now_s - seen_s < FIRST_PROBE_S:
                del self.avoided[host]
        self._limit_avoided(hosts, paces)

    def is_probe_due(self, host: str, now_s: float) -> bool:
        """Return whether to try an engine now.

        Where generations still run, they show the engine's pace and no
        probe is needed.
        """
        avoided = self.avoided.get(host)
        if avoided is None or now_s < avoided.probe_at_s:
            return False
        pace = self.paces.get(host)
        return pace is None or pace.waiting_since_s is None

    def try_probe(self, host: str, now_s: float) -> bool:
        """Return whether to try an engine now, and note the try."""
        if not self.is_probe_due(host, now_s):
            return False
        avoided = self.avoided[host]
        after_s = min(2.0 * avoided.probe_after_s, MAX_PROBE_S)
        self.avoided[host] = AvoidedEngine(now_s + after_s, after_s)
        return True

    def _avoid(self, host: str, now_s: float) -> None:
        before = self.avoided.get(host)
        after_s = FIRST_PROBE_S if before is None else before.probe_after_s
        self.avoided[host] = AvoidedEngine(now_s + after_s, after_s)

    def _pace_of(self, host: str, now_s: float) -> float | None:
        pace = self.paces.get(host)
        if pace is None or now_s - pace.seen_s > OBSERVATION_TTL_S:
            return None
        if pace.waiting_since_s is None:
            return pace.gap_s
        silence_s = now_s - pace.waiting_since_s
        if silence_s < MIN_SILENCE_S:
            return pace.gap_s
        return max(pace.gap_s, silence_s)

    def _limit_avoided(
        self, hosts: Collection[str], paces: Mapping[str, float]
    ) -> None:
        limit = max(1, int(len(hosts) * MAX_AVOIDED_FRACTION))
        avoided = [host for host in hosts if host in self.avoided]
        if len(avoided) <= limit:
            return
        avoided.sort(
            key=lambda host: (host in self.failing, paces.get(host, 0))
        )
        for host in avoided[: len(avoided) - limit]:
            del self.avoided[host]
