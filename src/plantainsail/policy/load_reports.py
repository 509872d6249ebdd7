"""Corrects the memory of engines by what they report of themselves.

Daemons count on the memory that the host list names.  Where something
else takes a part of it, generations wait inside the engine though all
daemons together stay within their slices.  A report of waiting work
says so, late.  Each report newer than the last correction makes the
part that is used smaller, or lets it grow back slowly, so reports that
lag can't swing it.
"""

from typing import NamedTuple

MAX_REPORT_AGE_S = 30.0
SHRINK_FACTOR = 0.8
GROWTH_STEP = 0.02
MIN_FACTOR = 0.4


class LoadReport(NamedTuple):
    """What an engine said of itself, `age_s` before it said so."""

    running: int
    waiting: int
    kv_tokens_used: int
    age_s: float


class _Correction(NamedTuple):
    factor: float
    corrected_s: float


NO_CORRECTION = _Correction(1.0, float("-inf"))


class LoadCorrections:
    """Keeps the part of each engine's memory that may be counted on."""

    def __init__(self) -> None:
        self.corrections: dict[str, _Correction] = {}

    def record(self, host: str, report: LoadReport, now_s: float) -> None:
        """Take in a report.

        One that is too old, or was taken before the last correction
        could show, changes nothing.
        """
        if report.age_s > MAX_REPORT_AGE_S:
            return
        known = self.corrections.get(host, NO_CORRECTION)
        if now_s - report.age_s <= known.corrected_s:
            return
        factor = min(1.0, known.factor + GROWTH_STEP)
        if report.waiting > 0:
            factor = max(MIN_FACTOR, known.factor * SHRINK_FACTOR)
        if factor == 1.0:
            self.corrections.pop(host, None)
            return
        self.corrections[host] = _Correction(factor, now_s)

    def forget_missing(self, hosts: set[str]) -> None:
        """Drop what is known of engines that are not in use."""
        for host in set(self.corrections) - hosts:
            del self.corrections[host]

    def usable_tokens(self, host: str, tokens: int) -> int:
        """Return the part of some memory that may be counted on."""
        known = self.corrections.get(host)
        return tokens if known is None else int(tokens * known.factor)
