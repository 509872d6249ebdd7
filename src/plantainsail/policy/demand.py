"""Measures a daemon's demand: its requests in progress by model.

The mean number of requests in progress is their arrival rate times the
time that each takes.  It therefore needs no estimate of output lengths,
and it keeps growing where there are too few engines.
"""

import math
from collections import Counter

# The time constant of the means of requests in progress.
SMOOTHING_S = 30.0
# A model or role whose mean is less than this many requests in progress
# is dropped from the means.
MIN_DEMAND = 0.001
# The roles of engines by which demand is counted.
PREFILL = "prefill"
DECODE = "decode"


class DemandMeter:
    """Smoothed counts of requests in progress, by model and by role.

    `models` and `roles` hold the mean numbers of requests.  An engine
    in the role `prefill` serves a request up to its first token, and
    one in the role `decode` serves the rest.  `in_progress` maps each
    request to its model, and `decoding` names those that have their
    first token.  `refused` counts, by model, the requests refused since
    the last sample, which was taken at `sampled_s`.
    """

    def __init__(self) -> None:
        self.in_progress: dict[str, str] = {}
        self.decoding: set[str] = set()
        self.refused: Counter[str] = Counter()
        self.models: dict[str, float] = {}
        self.roles: dict[str, float] = {}
        self.sampled_s: float | None = None

    def arrive(self, request: str, model: str) -> None:
        """Start to count a request that has arrived."""
        self.in_progress[request] = model

    def record_first_token(self, request: str) -> None:
        """Record that a request has its first token."""
        if request in self.in_progress:
            self.decoding.add(request)

    def leave(self, request: str) -> None:
        """Stop counting a request."""
        self.in_progress.pop(request, None)
        self.decoding.discard(request)

    def refuse(self, request: str) -> None:
        """Count a refused request until the next sample."""
        model = self.in_progress.get(request)
        if model is not None:
            self.refused[model] += 1
        self.leave(request)

    def sample(self, now_s: float) -> None:
        """Update the means with the current counts."""
        models = Counter(self.in_progress.values()) + self.refused
        decoding = len(self.decoding)
        roles = Counter({PREFILL: models.total() - decoding, DECODE: decoding})
        previous_s = now_s if self.sampled_s is None else self.sampled_s
        decay_factor = math.exp(-(now_s - previous_s) / SMOOTHING_S)
        self.models = _decay_means(self.models, models, decay_factor)
        self.roles = _decay_means(self.roles, roles, decay_factor)
        self.refused.clear()
        self.sampled_s = now_s


def _decay_means(
    means: dict[str, float], present: Counter[str], decay_factor: float
) -> dict[str, float]:
    faded: dict[str, float] = {}
    for name in sorted({*means, *present}):
        mean = (
            decay_factor * means.get(name, 0.0)
            + (1.0 - decay_factor) * present[name]
        )
        if mean >= MIN_DEMAND:
            faded[name] = mean
    return faded
