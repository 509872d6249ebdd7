"""Pacing of the daemons' calls to the configuration service.

It keeps the calls of the whole fleet below the service's rate limit.
Daemons do not coordinate their calls.  Each takes its share of a cap:
the time between two of its calls grows with the number of daemons that
may be calling, and is jittered so that daemons which started together
do not call together.  Failures add an exponential back-off.
"""

import random

# Caps on the whole fleet's calls to the configuration service: of the
# watchers, of the other daemons, and of daemons that start together.
WATCHER_CALLS_PER_S = 80.0
OTHER_CALLS_PER_S = 60.0
START_CALLS_PER_S = 150.0
# The greatest back-off after one failed call, and after any number.
BACKOFF_BASE_S = 0.5
BACKOFF_LIMIT_S = 30.0
# The range of the random factor by which a daemon's interval varies.
JITTER_LOW = 0.75
JITTER_HIGH = 1.25


class CallPacer:
    """Computes when a daemon next calls the configuration service.

    `sharing_daemons` is the number of daemons that share the cap
    `calls_per_s`: all of them, or the watchers.  Before the host list
    is known it is `expected_daemons`, which comes from the settings.
    `consecutive_failures` counts the failed calls since the last
    successful one.
    """

    def __init__(self, source: random.Random, expected_daemons: int) -> None:
        self.random = source
        self.expected_daemons = expected_daemons
        self.sharing_daemons = expected_daemons
        self.calls_per_s = OTHER_CALLS_PER_S
        self.consecutive_failures = 0

    def use_watcher_share(self, watchers: int) -> None:
        """Share the cap for watchers among `watchers` daemons."""
        self.sharing_daemons = max(1, watchers)
        self.calls_per_s = WATCHER_CALLS_PER_S

    def use_non_watcher_share(self, daemons: int) -> None:
        """Share the cap for other daemons among `daemons` of them."""
        self.sharing_daemons = max(1, daemons)
        self.calls_per_s = OTHER_CALLS_PER_S

    @property
    def interval_s(self) -> float:
        """Return the mean time between two calls of this daemon."""
        return self.sharing_daemons / self.calls_per_s

    def first_delay_s(self) -> float:
        """Return how long to wait before the first call."""
        return self.random.uniform(
            0.0, self.expected_daemons / START_CALLS_PER_S
        )

    def record_success(self) -> None:
        """Record a successful call, which ends the back-off."""
        self.consecutive_failures = 0

    def record_failure(self) -> None:
        """Record a failed call, which lengthens the back-off."""
        self.consecutive_failures += 1

    def next_delay_s(self) -> float:
        """Return how long to wait between a call and the next."""
        jitter = self.random.uniform(JITTER_LOW, JITTER_HIGH)
        delay_s = self.interval_s * jitter
        if self.consecutive_failures == 0:
            return delay_s
        doublings = min(self.consecutive_failures - 1, 16)
        bound_s = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2.0**doublings)
        return delay_s + self.random.uniform(bound_s / 2, bound_s)
