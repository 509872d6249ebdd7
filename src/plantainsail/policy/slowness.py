"""Detects engines that are much slower than others of their model.

A daemon compares the time between an engine's tokens with the median of
all engines of the model.  An engine that is far slower is avoided, and
probed with single generations until it recovers.  Only a part of the
engines is avoided at once: if all are slow, none of them is at fault.
"""

from collections.abc import Collection, Mapping
from statistics import median_low
from typing import NamedTuple

# An engine is slow if the gap between its tokens exceeds this multiple
# of the median gap of all engines of the model.
SLOW_RATIO = 3.0
# The weight of a new gap in the moving average of an engine's gaps.
SMOOTHING = 0.3
# Tokens that follow each other faster come from one step of an engine.
# The median gap is also taken to be at least this long.
MIN_GAP_S = 0.005
# An engine that has work and sends no token for at least this long is
# judged by that silence if it is longer than the engine's average gap.
MIN_SILENCE_S = 0.2
# The delay before the first probe of an avoided engine, and the limit
# up to which the delay doubles with each further probe.
FIRST_PROBE_S = 0.5
MAX_PROBE_S = 4.0
# At most this fraction of a model's engines, but at least one engine,
# may be avoided at once.
MAX_AVOIDED_FRACTION = 0.34
# An engine's average gap is ignored once its last gap is this old.
OBSERVATION_TTL_S = 10.0
# The engines of a model are compared at most once in this time.
REVIEW_INTERVAL_S = 0.1


class AvoidedEngine(NamedTuple):
    """When to probe an avoided engine, and the delay of that probe."""

    probe_at_s: float
    probe_after_s: float


class _EngineTiming:
    """The smoothed gap between the tokens of one engine.

    `gap_s` is the smoothed gap, which was last updated at `measured_s`.
    `waiting_since_s` is when the engine last sent a token or got work,
    or None if it has no work of this daemon.
    """

    def __init__(self) -> None:
        self.gap_s = 0.0
        self.measured_s = float("-inf")
        self.waiting_since_s: float | None = None


class SlownessDetector:
    """Decides which engines to avoid because they are slow or failed.

    `timings` and `avoided` are by host.  `failed_hosts` are engines
    that failed and have sent no token since.  `median_gaps_s` holds the
    median time between tokens by model, and `reviewed_s` when each
    model's engines were last compared.
    """

    def __init__(self) -> None:
        self.timings: dict[str, _EngineTiming] = {}
        self.avoided: dict[str, AvoidedEngine] = {}
        self.failed_hosts: set[str] = set()
        self.median_gaps_s: dict[str, float] = {}
        self.reviewed_s: dict[str, float] = {}

    def record_sent(self, host: str, now_s: float) -> None:
        """Record that a generation was sent to an engine."""
        timing = self.timings.setdefault(host, _EngineTiming())
        if timing.waiting_since_s is None:
            timing.waiting_since_s = now_s

    def record_gap(self, host: str, gap_s: float, now_s: float) -> None:
        """Record the time between two tokens of one generation."""
        timing = self.timings.setdefault(host, _EngineTiming())
        timing.waiting_since_s = now_s
        self.failed_hosts.discard(host)
        age_s = now_s - timing.measured_s
        if age_s < MIN_GAP_S:
            # This token of another generation is from the same step.
            return
        if age_s > OBSERVATION_TTL_S:
            timing.gap_s = gap_s
        timing.gap_s += SMOOTHING * (gap_s - timing.gap_s)
        timing.measured_s = now_s

    def record_first_token(self, host: str, now_s: float) -> None:
        """Record the first token of a generation."""
        self.failed_hosts.discard(host)
        self.timings.setdefault(host, _EngineTiming()).waiting_since_s = now_s

    def record_idle(self, host: str) -> None:
        """Record that an engine has no work of this daemon left."""
        timing = self.timings.get(host)
        if timing is not None:
            timing.waiting_since_s = None

    def record_failure(self, host: str, now_s: float) -> None:
        """Record that an engine failed before its first token."""
        self.failed_hosts.add(host)
        self._avoid(host, now_s)

    def review(self, model: str, hosts: Collection[str], now_s: float) -> None:
        """Avoid slow engines, and stop avoiding recovered ones."""
        reviewed_s = self.reviewed_s.get(model, float("-inf"))
        if now_s - reviewed_s < REVIEW_INTERVAL_S:
            return
        self.reviewed_s[model] = now_s
        gaps_s: dict[str, float] = {}
        for host in hosts:
            gap_s = self._effective_gap(host, now_s)
            if gap_s is not None:
                gaps_s[host] = gap_s
        if not gaps_s:
            return
        median_s = max(median_low(list(gaps_s.values())), MIN_GAP_S)
        self.median_gaps_s[model] = median_s
        for host, gap_s in gaps_s.items():
            if host in self.failed_hosts:
                continue
            if gap_s > SLOW_RATIO * median_s:
                if host not in self.avoided:
                    self._avoid(host, now_s)
                continue
            measured_s = self.timings[host].measured_s
            if host in self.avoided and now_s - measured_s < FIRST_PROBE_S:
                del self.avoided[host]
        self._limit_avoided(hosts, gaps_s)

    def is_probe_due(self, host: str, now_s: float) -> bool:
        """Return whether to probe an engine now.

        An engine that still runs generations needs no probe, since
        their tokens show its speed.
        """
        avoided = self.avoided.get(host)
        if avoided is None or now_s < avoided.probe_at_s:
            return False
        timing = self.timings.get(host)
        return timing is None or timing.waiting_since_s is None

    def try_probe(self, host: str, now_s: float) -> bool:
        """Return whether to probe an engine now, and record the probe.

        Each probe doubles the delay to the next one.
        """
        if not self.is_probe_due(host, now_s):
            return False
        avoided = self.avoided[host]
        after_s = min(2.0 * avoided.probe_after_s, MAX_PROBE_S)
        self.avoided[host] = AvoidedEngine(now_s + after_s, after_s)
        return True

    def _avoid(self, host: str, now_s: float) -> None:
        previous = self.avoided.get(host)
        after_s = FIRST_PROBE_S if previous is None else previous.probe_after_s
        self.avoided[host] = AvoidedEngine(now_s + after_s, after_s)

    def _effective_gap(self, host: str, now_s: float) -> float | None:
        timing = self.timings.get(host)
        if timing is None or now_s - timing.measured_s > OBSERVATION_TTL_S:
            return None
        if timing.waiting_since_s is None:
            return timing.gap_s
        silence_s = now_s - timing.waiting_since_s
        if silence_s < MIN_SILENCE_S:
            return timing.gap_s
        return max(timing.gap_s, silence_s)

    def _limit_avoided(
        self, hosts: Collection[str], gaps_s: Mapping[str, float]
    ) -> None:
        limit = max(1, int(len(hosts) * MAX_AVOIDED_FRACTION))
        avoided = [host for host in hosts if host in self.avoided]
        if len(avoided) <= limit:
            return
        avoided.sort(
            key=lambda host: (host in self.failed_hosts, gaps_s.get(host, 0))
        )
        for host in avoided[: len(avoided) - limit]:
            del self.avoided[host]
