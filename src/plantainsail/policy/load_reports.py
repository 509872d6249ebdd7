"""Corrects the usable memory of engines by their load reports.

Daemons plan with the memory given in the host list.  If something else
uses a part of it, generations wait inside the engine although all
daemons stay within their slices, and the engine's next load report
counts waiting work.  A report taken after the last correction shrinks
the usable part of the memory, or lets it grow back slowly.  Older
reports are ignored, so that delayed reports can't make it oscillate.
"""

from typing import NamedTuple

# An older load report of an engine is ignored.
MAX_REPORT_AGE_S = 30.0
# A report of waiting work multiplies the usable part of the memory by
# `SHRINK_FACTOR`, down to `MIN_FACTOR`; any other report adds
# `GROWTH_STEP`.
SHRINK_FACTOR = 0.8
GROWTH_STEP = 0.02
MIN_FACTOR = 0.4


class LoadReport(NamedTuple):
    """An engine's load, measured `age_s` before it was reported.

    `running` and `waiting` count generations inside the engine.
    """

    running: int
    waiting: int
    kv_tokens_used: int
    age_s: float


class _Correction(NamedTuple):
    """The usable part of an engine's memory, and when it changed."""

    factor: float
    updated_s: float


NO_CORRECTION = _Correction(1.0, float("-inf"))


class LoadCorrections:
    """Holds the usable part of each engine's memory, by host."""

    def __init__(self) -> None:
        self.corrections: dict[str, _Correction] = {}

    def record(self, host: str, report: LoadReport, now_s: float) -> None:
        """Apply a report.

        A report that is too old, or was measured before the last
        correction, changes nothing.
        """
        if report.age_s > MAX_REPORT_AGE_S:
            return
        correction = self.corrections.get(host, NO_CORRECTION)
        if now_s - report.age_s <= correction.updated_s:
            return
        factor = min(1.0, correction.factor + GROWTH_STEP)
        if report.waiting > 0:
            factor = max(MIN_FACTOR, correction.factor * SHRINK_FACTOR)
        if factor == 1.0:
            self.corrections.pop(host, None)
            return
        self.corrections[host] = _Correction(factor, now_s)

    def drop_missing(self, hosts: set[str]) -> None:
        """Remove the corrections of all other engines than `hosts`."""
        for host in set(self.corrections) - hosts:
            del self.corrections[host]

    def usable_tokens(self, host: str, tokens: int) -> int:
        """Return the usable part of an amount of an engine's memory."""
        correction = self.corrections.get(host)
        return (
            tokens if correction is None else int(tokens * correction.factor)
        )
