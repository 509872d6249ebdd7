"""Estimates how fast engines read prompts, from first events.

An engine reads the prompts of many requests at the same time, beside
running streams; engines differ, and each is slow at times.  The
estimate therefore divides all tokens that were unread when a request
was sent by the time to its first event.
"""

# The prompt tokens a second that an engine is assumed to read before
# any daemon has measured it.
DEFAULT_READ_TOKENS_PER_S = 8_000.0
# The weight of a new measurement in an engine's moving average.
NEW_RATE_WEIGHT = 0.25
# Measurements are limited to this range.
MIN_READ_TOKENS_PER_S = 1_000.0
MAX_READ_TOKENS_PER_S = 30_000.0
# A shorter time to the first event is counted as this long.
MIN_ELAPSED_S = 0.01


class ReadRates:
    """The prompt tokens that each engine reads a second.

    `local_rates` are measured by this daemon, and `peer_rates` are
    reported by its peers.  Both are by the engine's identifier.
    """

    def __init__(self) -> None:
        self.local_rates: dict[str, float] = {}
        self.peer_rates: dict[str, float] = {}

    def record_first_event(
        self, identifier: str, tokens: int, elapsed_s: float
    ) -> None:
        """Update an engine's rate after the first event of a request.

        `tokens` counts the tokens that were unread when the request was
        sent, including its own prompt.
        """
        rate = tokens / max(MIN_ELAPSED_S, elapsed_s)
        rate = min(MAX_READ_TOKENS_PER_S, max(MIN_READ_TOKENS_PER_S, rate))
        previous = self.rate(identifier)
        self.local_rates[identifier] = (
            previous + (rate - previous) * NEW_RATE_WEIGHT
        )

    def record_peer_rate(self, identifier: str, rate: float) -> None:
        """Store the rate of an engine that a peer reported."""
        self.peer_rates[identifier] = rate

    def rate(self, identifier: str) -> float:
        """Return how many prompt tokens an engine reads a second.

        This daemon's estimate and that of its peers are averaged.
        """
        own = self.local_rates.get(identifier)
        reported = self.peer_rates.get(identifier)
        if own is None:
            return DEFAULT_READ_TOKENS_PER_S if reported is None else reported
        if reported is None:
            return own
        return (own + reported) / 2

    def forget_except(self, identifiers: set[str]) -> None:
        """Remove all engines but the given ones."""
        for rates in (self.local_rates, self.peer_rates):
            for identifier in list(rates):
                if identifier not in identifiers:
                    del rates[identifier]
