"""How fast each engine reads prompts, from the first events seen.

Prompts of many requests are read at the same time, beside streams that
run, on engines that differ and are slow at times.  What counts for the
next request is how long all that was unread took until a first event.
"""

DEFAULT_READ_TOKENS_PER_S = 8_000.0
NEW_RATE_WEIGHT = 0.25
MIN_READ_TOKENS_PER_S = 1_000.0
MAX_READ_TOKENS_PER_S = 30_000.0
MIN_ELAPSED_S = 0.01


class ReadRates:
    """Tokens of prompts that engines read a second."""

    def __init__(self) -> None:
        self.local_rates: dict[str, float] = {}
        self.peer_rates: dict[str, float] = {}

    def record_first_event(
        self, identifier: str, tokens: int, elapsed_s: float
    ) -> None:
        """Take one first event.

        `tokens` is what was unread when the request was sent, its own
        prompt counted.
        """
        rate = tokens / max(MIN_ELAPSED_S, elapsed_s)
        rate = min(MAX_READ_TOKENS_PER_S, max(MIN_READ_TOKENS_PER_S, rate))
        before = self.rate(identifier)
        self.local_rates[identifier] = (
            before + (rate - before) * NEW_RATE_WEIGHT
        )

    def record_peer_rate(self, identifier: str, rate: float) -> None:
        """Take a peer's word."""
        self.peer_rates[identifier] = rate

    def rate(self, identifier: str) -> float:
        """Return tokens a second, by own and peers' sight."""
        own = self.local_rates.get(identifier)
        heard = self.peer_rates.get(identifier)
        if own is None:
            return DEFAULT_READ_TOKENS_PER_S if heard is None else heard
        if heard is None:
            return own
        return (own + heard) / 2

    def forget_except(self, identifiers: set[str]) -> None:
        """Drop engines that are gone."""
        for rates in (self.local_rates, self.peer_rates):
            for identifier in list(rates):
                if identifier not in identifiers:
                    del rates[identifier]
