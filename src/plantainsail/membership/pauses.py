"""Detection of pauses of the process, as when its host is suspended."""

# The process counts as paused if the last tick is longer ago than this.
PAUSE_LIMIT_S = 1.0
# The time between two calls of `PauseDetector.tick`.
TICK_INTERVAL_S = 0.1


class PauseDetector:
    """Detects a pause by the time since the last tick.

    A task calls `tick` every `TICK_INTERVAL_S`.  Code that is about to
    act on its knowledge of the fleet calls `has_paused` first, since
    after a pause it may run before that task does.
    """

    def __init__(self, now_s: float) -> None:
        self.last_tick_s = now_s

    def has_paused(self, now_s: float) -> bool:
        """Return whether the process paused since the last tick."""
        return now_s - self.last_tick_s > PAUSE_LIMIT_S

    def tick(self, now_s: float) -> None:
        """Record that the process is running."""
        self.last_tick_s = now_s
