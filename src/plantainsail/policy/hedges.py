"""Decides when an idempotent read is also sent to a second replica.

A read that takes longer than most is hedged: it is sent to another
replica as well, and the first answer wins.  Hedges are limited to one
for every 20 reads since the daemon started.
"""

from collections import deque

READS_PER_HEDGE = 20
# The hedges that may be saved up while reads are fast.
MAX_UNSPENT_HEDGES = 10
# The latencies that an operation needs before its reads are hedged, and
# the latest ones that are kept.
MIN_SAMPLES = 20
MAX_SAMPLES = 200
# A read is hedged after this quantile of its operation's latencies, but
# not sooner than the minimum.
DELAY_QUANTILE = 0.95
MIN_DELAY_S = 0.002
# The quantile is computed again after this many new latencies.
REFRESH_SAMPLES = 10


class LatencySamples:
    """The latest latencies of one operation and the delay of hedges.

    `samples` are the latencies in seconds.  `delay_s` is the time after
    which a read is hedged, or None until there are enough latencies.
    """

    def __init__(self) -> None:
        self.samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.delay_s: float | None = None
        self.new_samples = 0

    def add(self, latency_s: float) -> None:
        """Add the latency of one answer."""
        self.samples.append(latency_s)
        self.new_samples += 1
        if len(self.samples) < MIN_SAMPLES:
            return
        if self.delay_s is not None and self.new_samples < REFRESH_SAMPLES:
            return
        self.new_samples = 0
        ordered = sorted(self.samples)
        quantile_s = ordered[int(DELAY_QUANTILE * len(ordered))]
        self.delay_s = max(MIN_DELAY_S, quantile_s)


class HedgePolicy:
    """The hedge delays and the hedge budget of one daemon.

    `unspent_reads` counts reads that no hedge was spent on, up to a
    limit.
    """

    def __init__(self) -> None:
        self.operations: dict[str, LatencySamples] = {}
        self.unspent_reads = 0

    def record_read(self) -> None:
        """Count a read towards the hedge budget."""
        self.unspent_reads = min(
            self.unspent_reads + 1, MAX_UNSPENT_HEDGES * READS_PER_HEDGE
        )

    def record_latency(self, operation: str, latency_s: float) -> None:
        """Record the latency of an answer."""
        samples = self.operations.get(operation)
        if samples is None:
            samples = self.operations[operation] = LatencySamples()
        samples.add(latency_s)

    def delay_s(self, operation: str) -> float | None:
        """Return the delay before a hedge, or None to send none."""
        samples = self.operations.get(operation)
        return None if samples is None else samples.delay_s

    def try_spend(self) -> bool:
        """Spend one hedge, or return False if none is left."""
        if self.unspent_reads < READS_PER_HEDGE:
            return False
        self.unspent_reads -= READS_PER_HEDGE
        return True
