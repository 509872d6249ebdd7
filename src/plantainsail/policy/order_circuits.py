"""Delays further orders to an engine after an order to it failed."""

from typing import NamedTuple

# The delay of orders after a first failure, and the longest delay.
BASE_DELAY_S = 10.0
MAX_DELAY_S = 600.0


class CircuitBreaker(NamedTuple):
    """An engine's failed orders in a row, and when to send the next.

    `retry_s` is a time on the daemon's clock.
    """

    failures: int
    retry_s: float


class CircuitBreakers:
    """The engines that could not be reached or that refused orders."""

    def __init__(self) -> None:
        self.by_host: dict[str, CircuitBreaker] = {}

    def open(self, host: str, now_s: float) -> None:
        """Note a failure; each one doubles the delay of orders."""
        breaker = self.by_host.get(host)
        failures = 1 if breaker is None else breaker.failures + 1
        delay_s = min(MAX_DELAY_S, BASE_DELAY_S * 2.0 ** (failures - 1))
        self.by_host[host] = CircuitBreaker(failures, now_s + delay_s)

    def close(self, host: str) -> None:
        """Note a success, which ends the delay."""
        self.by_host.pop(host, None)

    def is_failing(self, host: str) -> bool:
        """Return whether the last order to an engine failed."""
        return host in self.by_host

    def is_open(self, host: str, now_s: float) -> bool:
        """Return whether orders to an engine are still delayed."""
        breaker = self.by_host.get(host)
        return breaker is not None and now_s < breaker.retry_s
