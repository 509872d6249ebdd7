"""The memory that running generations will need together.

A generation's memory grows by a token a step and is freed at its end,
which is not known.  For some steps ahead the forecast adds up what each
would hold, times the probability that it still runs, and a margin for
the spread of the sum.  The largest of these sums must fit the memory.
"""

import math
from bisect import bisect_right
from collections.abc import Sequence
from typing import NamedTuple

FORECAST_STEPS = (
    0, 8, 16, 24, 36, 54, 80, 120, 180, 270, 400, 600, 900, 1_350, 2_000,
    3_000, 4_500,
)  # fmt: skip
# Standard deviations of the sum that are kept free.
SPREAD_MARGIN_DEVIATIONS = 0.35
# Beyond all lengths seen, the mean of what is left, as a part of what
# was produced.
TAIL_FRACTION = 0.5

MIN_COUNTED_TOKENS = 8.0


class Growth(NamedTuple):
    """Tokens that one generation holds and will yet produce."""

    held: int
    remaining: int


class MemoryForecast(NamedTuple):
    """Expected tokens and their variance at each forecast step."""

    means: tuple[float, ...]
    variances: tuple[float, ...]

    def peak(self) -> int:
        """Return the most that is likely to be held."""
        peak = 0.0
        for mean, variance in zip(self.means, self.variances, strict=True):
            margin = SPREAD_MARGIN_DEVIATIONS * math.sqrt(max(0.0, variance))
            peak = max(peak, mean + margin)
        return math.ceil(peak)

    def fits_with(self, other: "MemoryForecast", room_tokens: int) -> bool:
        """Return whether another fits a room for as long as it may run.

        What is held after the other's likely end is not counted: short
        work may start on an engine that is to be full much later.
        """
        for mean, variance, more, spread in zip(
            self.means,
            self.variances,
            other.means,
            other.variances,
            strict=True,
        ):
            if more < MIN_COUNTED_TOKENS:
                break
            left = room_tokens - mean - more
            if left < 0.0:
                return False
            margin = SPREAD_MARGIN_DEVIATIONS * math.sqrt(
                max(0.0, variance + spread)
            )
            if margin > left:
                return False
        return True

    def plus(self, other: "MemoryForecast", sign: int = 1) -> "MemoryForecast":
        """Return the outlook with another added, or taken away."""
        return MemoryForecast(
            tuple(
                a + sign * b
                for a, b in zip(self.means, other.means, strict=True)
            ),
            tuple(
                a + sign * b
                for a, b in zip(self.variances, other.variances, strict=True)
            ),
        )


EMPTY_FORECAST = MemoryForecast(
    (0.0,) * len(FORECAST_STEPS), (0.0,) * len(FORECAST_STEPS)
)


def survival(
    lengths: Sequence[float], produced: int, steps: Sequence[int]
) -> list[float]:
    """Return the probabilities that a generation runs on for steps.

    `lengths` are sorted, equally likely final lengths; `steps` ascend.
    """
    first = bisect_right(lengths, produced)
    left = len(lengths) - first
    if left == 0:
        mean = TAIL_FRACTION * max(1, produced)
        return [math.exp(-step / mean) for step in steps]
    found: list[float] = []
    for step in steps:
        first = bisect_right(lengths, produced + step, first)
        found.append((len(lengths) - first) / left)
        if first == len(lengths):
            break
    return found + [0.0] * (len(steps) - len(found))


def forecast_of(
    probabilities: Sequence[float], prompt: int, produced: int, max_tokens: int
) -> MemoryForecast:
    """Return the outlook of one generation.

    `probabilities` are those of `survival` at `FORECAST_STEPS`.
    """
    means: list[float] = []
    variances: list[float] = []
    held = prompt + produced
    left = max_tokens - produced
    for steps, runs in zip(FORECAST_STEPS, probabilities, strict=True):
        if runs == 0.0 or steps > left:
            break
        mean = runs * (held + steps)
        means.append(mean)
        variances.append((1.0 - runs) * mean * (held + steps))
    missing = (0.0,) * (len(FORECAST_STEPS) - len(means))
    return MemoryForecast((*means, *missing), (*variances, *missing))


def peak_tokens(generations: Sequence[Growth]) -> int:
    """Return the largest number of tokens held where ends are known.

    All generations are taken to grow at one pace.  The peak then comes
    right before one of them ends.

    >>> peak_tokens([Growth(10, 2), Growth(10, 10)])
    24
    """
    ordered = sorted(generations, key=_remaining_tokens, reverse=True)
    held = 0
    peak = 0
    for count, growth in enumerate(ordered, 1):
        held += growth.held
        peak = max(peak, held + count * growth.remaining)
    return peak


def _remaining_tokens(growth: Growth) -> int:
    return growth.remaining
