"""Estimates, on arrival, whether a request can meet its deadline.

A daemon measures how many tokens a second it serves while requests
wait.  The tokens queued before a request, divided by that rate, are its
expected wait.  A request that can't end before its deadline is refused
at once, so that no capacity is spent on it.
"""

import math
from typing import NamedTuple

# Time constants of the decay of the service rate, in tokens a second,
# and of the memory that short requests hold.
RATE_DECAY_S = 4.0
SHORT_DECAY_S = 20.0
# The reserve is this multiple of the memory that short requests hold.
BURST_FACTOR = 2.0
# The weight of a new request in the moving average of request sizes.
REQUEST_SIZE_SMOOTHING = 0.1
# The time between an engine's tokens that is assumed until the daemon
# has measured it.
DEFAULT_GAP_S = 0.03
# Refused callers are told to wait for a time in this range.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0


class Estimate(NamedTuple):
    """How long a request is expected to wait and then to run."""

    wait_s: float
    run_s: float

    def is_late(self, now_s: float, deadline_s: float) -> bool:
        """Return whether the request would miss its deadline."""
        return now_s + self.wait_s + self.run_s > deadline_s

    @property
    def retry_after_s(self) -> float:
        """Return after how long the caller should try again."""
        return min(max(self.wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)


class DecayingSum:
    """A sum that decays exponentially with the time constant `decay_s`.

    Divided by `decay_s` it approximates a rate a second.
    """

    def __init__(self, decay_s: float) -> None:
        self.decay_s = decay_s
        self.value = 0.0
        self.updated_s = float("-inf")

    def add(self, amount: float, now_s: float) -> None:
        """Add to the sum."""
        self.value = self.read(now_s) + amount
        self.updated_s = max(self.updated_s, now_s)

    def read(self, now_s: float) -> float:
        """Return the decayed sum at a time."""
        if self.value == 0.0:
            return 0.0
        return self.value * math.exp(
            min(0.0, self.updated_s - now_s) / self.decay_s
        )


class ServiceRate:
    """How many tokens a second engines recently produced for a daemon.

    `tokens` is the decayed sum of these tokens.
    """

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.tokens = DecayingSum(RATE_DECAY_S)

    def record(self, tokens: int, now_s: float) -> None:
        """Record tokens that engines produced."""
        self.tokens.add(tokens, now_s)

    def read(self, now_s: float) -> float:
        """Return the tokens served a second.

        Soon after the daemon's start, the sum of tokens is divided by
        the shorter time that it covers.
        """
        elapsed_s = max(0.1, now_s - self.started_s)
        window_s = RATE_DECAY_S * (1.0 - math.exp(-elapsed_s / RATE_DECAY_S))
        return self.tokens.read(now_s) / window_s


class ShortWorkReserve:
    """The memory on each engine that long requests leave to short ones.

    The reserve is the mean memory that recent short requests held,
    times a factor for bursts, and at least the mean size of one short
    request.  `held` is the decayed sum of the memory that short
    requests held, and `mean_tokens` the mean size of one.
    """

    def __init__(self) -> None:
        self.held = DecayingSum(SHORT_DECAY_S)
        self.mean_tokens = 0.0
        self.last_recorded_s = float("-inf")

    def record(self, tokens: int, run_s: float, now_s: float) -> None:
        """Record a short request's memory and its likely run time."""
        self.held.add(tokens * run_s / SHORT_DECAY_S, now_s)
        self.mean_tokens += REQUEST_SIZE_SMOOTHING * (
            tokens - self.mean_tokens
        )
        self.last_recorded_s = now_s

    def tokens(self, now_s: float) -> int:
        """Return the tokens of memory to keep free on each engine."""
        if now_s - self.last_recorded_s > SHORT_DECAY_S:
            return 0
        return int(max(BURST_FACTOR * self.held.read(now_s), self.mean_tokens))
