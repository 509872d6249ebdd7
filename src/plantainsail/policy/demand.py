"""How many requests of each model a daemon has in progress.

The number of requests in progress is the rate of arrivals times the
time that each takes, so it needs no guess of their length, and it grows
without bound where engines are too few.
"""

import math
from collections import Counter

SMOOTHING_S = 30.0
MIN_DEMAND = 0.001
PREFILL = "prefill"
DECODE = "decode"


class DemandMeter:
    """Requests in progress, by model and by phase, faded over time.

    `models` and `roles` hold the mean numbers; an engine in the role
    `prefill` serves requests up to their first token, one in the role
    `decode` the rest of them.
    """

    def __init__(self) -> None:
        self.in_progress: dict[str, str] = {}
        self.decoding: set[str] = set()
        self.refused: Counter[str] = Counter()
        self.models: dict[str, float] = {}
        self.roles: dict[str, float] = {}
        self.sampled_s: float | None = None

    def arrive(self, request: str, model: str) -> None:
        """Count a request from its arrival on."""
        self.in_progress[request] = model

    def record_first_token(self, request: str) -> None:
        """Note that a request has its first token."""
        if request in self.in_progress:
            self.decoding.add(request)

    def leave(self, request: str) -> None:
        """Count a request no more."""
        self.in_progress.pop(request, None)
        self.decoding.discard(request)

    def refuse(self, request: str) -> None:
        """Count a refused request until the next sample."""
        model = self.in_progress.get(request)
        if model is not None:
            self.refused[model] += 1
        self.leave(request)

    def sample(self, now_s: float) -> None:
        """Take the present numbers into the means."""
        models = Counter(self.in_progress.values()) + self.refused
        decoding = len(self.decoding)
        roles = Counter({PREFILL: models.total() - decoding, DECODE: decoding})
        before_s = now_s if self.sampled_s is None else self.sampled_s
        kept = math.exp(-(now_s - before_s) / SMOOTHING_S)
        self.models = _decay_means(self.models, models, kept)
        self.roles = _decay_means(self.roles, roles, kept)
        self.refused.clear()
        self.sampled_s = now_s


def _decay_means(
    means: dict[str, float], present: Counter[str], kept: float
) -> dict[str, float]:
    faded: dict[str, float] = {}
    for name in sorted({*means, *present}):
        mean = kept * means.get(name, 0.0) + (1.0 - kept) * present[name]
        if mean >= MIN_DEMAND:
            faded[name] = mean
    return faded
