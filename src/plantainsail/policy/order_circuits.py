"""Leaves engines alone for a while after orders to them failed."""

from typing import NamedTuple

RETRY_BASE_S = 10.0
RETRY_LIMIT_S = 600.0


class CircuitBreaker(NamedTuple):
    """Failures in a row, and when the next try may be made."""

    failures: int
    retry_s: float


class CircuitBreakers:
    """The engines that orders failed to reach or were refused by."""

    def __init__(self) -> None:
        self.by_host: dict[str, CircuitBreaker] = {}

    def open(self, host: str, now_s: float) -> None:
        """Note a failure; each one doubles the time to the next try."""
        known = self.by_host.get(host)
        failures = 1 if known is None else known.failures + 1
        delay_s = min(RETRY_LIMIT_S, RETRY_BASE_S * 2.0 ** (failures - 1))
        self.by_host[host] = CircuitBreaker(failures, now_s + delay_s)

    def close(self, host: str) -> None:
        """Note a success."""
        self.by_host.pop(host, None)

    def is_failing(self, host: str) -> bool:
        """Return whether the last order to an engine failed."""
        return host in self.by_host

    def is_open(self, host: str, now_s: float) -> bool:
        """Return whether an engine gets no orders now."""
        circuit = self.by_host.get(host)
        return circuit is not None and now_s < circuit.retry_s
