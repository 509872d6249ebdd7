"""One daemon's accounting of its generations on each engine.

Memory is measured in tokens of the engine's KV cache.
"""

from typing import NamedTuple

from plantainsail.policy.forecast import EMPTY_FORECAST
from plantainsail.policy.lengths import LengthEstimator
from plantainsail.policy.work import Work

# Work with at least this many expected output tokens counts as long.
LONG_TOKENS = 512
# The memory of an engine's generations is forecast again this often.
REFRESH_INTERVAL_S = 0.25


class EngineView(NamedTuple):
    """An engine that accepts new work.

    `kv_tokens` is its memory, in tokens of its KV cache.
    """

    host: str
    availability_zone: str
    incarnation: str
    kv_tokens: int


class RunningGeneration:
    """A generation that runs on an engine.

    `expected_tokens` is the output length estimated at the start.
    `charged_tokens` is the length charged to the shares, which is
    estimated again whenever the output reaches it.  `produced` counts
    the output tokens so far.
    """

    def __init__(
        self, work: Work, expected_tokens: int, sent_s: float
    ) -> None:
        self.work = work
        self.expected_tokens = expected_tokens
        self.charged_tokens = expected_tokens
        self.forecast = EMPTY_FORECAST
        self.produced = 0
        self.sent_s = sent_s
        self.last_token_s: float | None = None

    @property
    def outstanding(self) -> int:
        """Return the charged tokens that are not produced yet."""
        return max(0, self.charged_tokens - self.produced)

    @property
    def held_tokens(self) -> int:
        """Return the memory that the generation holds now."""
        return self.work.prompt_tokens + self.produced


class EngineAccount:
    """The generations that one daemon runs on one engine.

    `reserved` is the forecast peak of their memory, in tokens.
    `running` is by request.  `long_fraction` is the part of the held
    memory that belongs to long generations.
    """

    def __init__(self, engine: EngineView, lengths: LengthEstimator) -> None:
        self.engine = engine
        self.lengths = lengths
        self.running: dict[str, RunningGeneration] = {}
        self.forecast = EMPTY_FORECAST
        self.reserved = 0
        self.long_fraction = 0.0
        self.refreshed_s = float("-inf")

    def start(self, running: RunningGeneration) -> None:
        """Add a generation and its forecast."""
        self.running[running.work.request] = running
        running.forecast = self.lengths.forecast(
            running.work, running.produced
        )
        self.forecast = self.forecast.plus(running.forecast)
        self.reserved = self.forecast.peak()

    def end(self, request: str) -> RunningGeneration | None:
        """Remove a generation and its forecast."""
        running = self.running.pop(request, None)
        if running is not None:
            self.forecast = self.forecast.plus(running.forecast, -1)
            self.reserved = self.forecast.peak()
        return running

    def refresh(self, now_s: float) -> None:
        """Forecast the memory again, unless the forecast is recent."""
        if now_s - self.refreshed_s < REFRESH_INTERVAL_S:
            return
        self.refreshed_s = now_s
        forecast = EMPTY_FORECAST
        held = 0
        long_held = 0
        for running in self.running.values():
            work = running.work
            self.lengths.record_progress(work, running.produced, now_s)
            running.forecast = self.lengths.forecast(work, running.produced)
            forecast = forecast.plus(running.forecast)
            held += running.held_tokens
            if max(running.expected_tokens, running.produced) >= LONG_TOKENS:
                long_held += running.held_tokens
        self.forecast = forecast
        self.reserved = forecast.peak()
        self.long_fraction = long_held / max(1, held)
