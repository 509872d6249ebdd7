"""Notices that the process stood still."""

PAUSE_LIMIT_S = 1.0
TICK_INTERVAL_S = 0.1


class PauseDetector:
    """Compares the clock with the last tick.

    A task ticks every `TICK_INTERVAL_S`.  Whoever is about to act asks
    `has_paused` first, since after a pause it may run before that task does.
    """

    def __init__(self, now_s: float) -> None:
        self.last_tick_s = now_s

    def has_paused(self, now_s: float) -> bool:
        """Return whether the process stood still since a tick."""
        return now_s - self.last_tick_s > PAUSE_LIMIT_S

    def tick(self, now_s: float) -> None:
        """Note that the process runs."""
        self.last_tick_s = now_s
