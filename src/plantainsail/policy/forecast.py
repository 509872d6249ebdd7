"""Forecasts the memory that running generations will need together.

A generation's memory grows by one token each step and is freed at its
end, which is not known in advance.  At several steps ahead, the
forecast sums each generation's memory times the probability that it
still runs, and adds a margin for the variance of the sum.  The largest
of these sums must fit into the engine's memory.
"""

import math
from bisect import bisect_right
from collections.abc import Sequence
from typing import NamedTuple

# How many tokens from now, for each generation, memory is forecast.
FORECAST_STEPS = (
    0, 8, 16, 24, 36, 54, 80, 120, 180, 270, 400, 600, 900, 1_350, 2_000,
    3_000, 4_500,
)  # fmt: skip
# This many standard deviations of the sum are kept free.
SPREAD_MARGIN_DEVIATIONS = 0.35
# A generation longer than all observed ones is expected to produce this
# fraction of its tokens once more.
TAIL_FRACTION = 0.5
# A generation whose expected memory in tokens is less counts as ended.
MIN_COUNTED_TOKENS = 8.0


class GenerationTokens(NamedTuple):
    """The tokens that a generation holds and has still to produce.

    `held` counts the prompt and the output so far.
    """

    held: int
    remaining: int


class MemoryForecast(NamedTuple):
    """The mean and variance of the tokens held at `FORECAST_STEPS`."""

    means: tuple[float, ...]
    variances: tuple[float, ...]

    def peak(self) -> int:
        """Return the most tokens forecast for any step, plus margin."""
        peak = 0.0
        for mean, variance in zip(self.means, self.variances, strict=True):
            margin = SPREAD_MARGIN_DEVIATIONS * math.sqrt(max(0.0, variance))
            peak = max(peak, mean + margin)
        return math.ceil(peak)

    def fits_with(
        self, other: "MemoryForecast", available_tokens: int
    ) -> bool:
        """Return whether another forecast fits into the memory as well.

        Steps after the other's likely end are ignored, so short work
        may start on an engine that will be full much later.
        """
        for mean, variance, other_mean, other_variance in zip(
            self.means,
            self.variances,
            other.means,
            other.variances,
            strict=True,
        ):
            if other_mean < MIN_COUNTED_TOKENS:
                break
            free_tokens = available_tokens - mean - other_mean
            if free_tokens < 0.0:
                return False
            margin = SPREAD_MARGIN_DEVIATIONS * math.sqrt(
                max(0.0, variance + other_variance)
            )
            if margin > free_tokens:
                return False
        return True

    def plus(self, other: "MemoryForecast", sign: int = 1) -> "MemoryForecast":
        """Return the sum, or the difference if `sign` is -1."""
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
    """Return the chances that a generation still runs at later steps.

    `lengths` are equally likely final lengths, sorted.  `steps` are
    counted from now, in ascending order.
    """
    first = bisect_right(lengths, produced)
    remaining = len(lengths) - first
    if remaining == 0:
        mean = TAIL_FRACTION * max(1, produced)
        return [math.exp(-step / mean) for step in steps]
    probabilities: list[float] = []
    for step in steps:
        first = bisect_right(lengths, produced + step, first)
        probabilities.append((len(lengths) - first) / remaining)
        if first == len(lengths):
            break
    return probabilities + [0.0] * (len(steps) - len(probabilities))


def forecast_of(
    probabilities: Sequence[float], prompt: int, produced: int, max_tokens: int
) -> MemoryForecast:
    """Return the memory forecast of one generation.

    `probabilities` are the result of `survival` for `FORECAST_STEPS`;
    `prompt` and `produced` are in tokens.
    """
    means: list[float] = []
    variances: list[float] = []
    held = prompt + produced
    remaining_tokens = max_tokens - produced
    for steps, probability in zip(FORECAST_STEPS, probabilities, strict=True):
        if probability == 0.0 or steps > remaining_tokens:
            break
        mean = probability * (held + steps)
        means.append(mean)
        variances.append((1.0 - probability) * mean * (held + steps))
    padding = (0.0,) * (len(FORECAST_STEPS) - len(means))
    return MemoryForecast((*means, *padding), (*variances, *padding))


def peak_tokens(generations: Sequence[GenerationTokens]) -> int:
    """Return the peak of the tokens held if final lengths are known.

    All generations are assumed to grow at the same rate, so the peak
    comes just before one of them ends.

    >>> peak_tokens([GenerationTokens(10, 2), GenerationTokens(10, 10)])
    24
    """
    ordered = sorted(generations, key=_remaining_tokens, reverse=True)
    held = 0
    peak = 0
    for count, growth in enumerate(ordered, 1):
        held += growth.held
        peak = max(peak, held + count * growth.remaining)
    return peak


def _remaining_tokens(growth: GenerationTokens) -> int:
    return growth.remaining
