"""Tests of length estimates and memory forecasts.

Wrong estimates make engines too full or leave them idle.  The results
are compared with direct calculations on the same lengths.
"""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainsail.policy.forecast import (
    EMPTY_FORECAST,
    FORECAST_STEPS,
    SPREAD_MARGIN_DEVIATIONS,
    GenerationTokens,
    MemoryForecast,
    forecast_of,
    peak_tokens,
    survival,
)
from plantainsail.policy.lengths import MAX_KEYS, LengthEstimator
from tests.test_policy_queue import make_work

GROWTHS = st.lists(
    st.builds(GenerationTokens, st.integers(0, 40), st.integers(1, 40)),
    max_size=8,
)


@given(GROWTHS)
def test_peak_tokens_equals_simulating_each_step(
    growths: list[GenerationTokens],
) -> None:
    peak = 0
    for step in range(1, 41):
        held = [g.held + step for g in growths if g.remaining >= step]
        peak = max(peak, sum(held))
    assert peak_tokens(growths) == peak


@pytest.mark.parametrize("produced", [0, 50, 400])
@pytest.mark.parametrize("fraction", [0.3, 0.5, 0.8])
def test_quantiles_are_close_to_those_of_sorted_lengths(
    produced: int, fraction: float
) -> None:
    source = random.Random(5)
    estimator = LengthEstimator()
    work = make_work(0, "a", max_tokens=8_000)
    lengths = [int(source.lognormvariate(5.0, 1.0)) + 1 for _ in range(1_500)]
    for length in lengths:
        estimator.observe(work, length)
    remaining = sorted(length for length in lengths if length > produced)
    rank = int(fraction * len(remaining))
    low = remaining[max(0, rank - len(remaining) // 10 - 2)]
    high = remaining[min(len(remaining) - 1, rank + len(remaining) // 10 + 2)]
    assert low <= estimator.expect(work, produced, fraction) <= high


def test_unknown_organisation_uses_lengths_of_all_organisations() -> None:
    estimator = LengthEstimator()
    for number in range(64):
        estimator.observe(make_work(number, "a"), 100 + number)
    unknown_work = make_work(99, "never-seen")
    assert 100 <= estimator.expect(unknown_work, 0, 0.5) <= 163
    other_operation = unknown_work._replace(operation="guide", max_tokens=30)
    assert estimator.expect(other_operation, 0, 0.5) == int(
        30 * 0.25 * math.log(2)
    )
    assert estimator.expect(unknown_work, 4_090, 0.9) == 4_096


def test_number_of_sketches_is_limited() -> None:
    estimator = LengthEstimator()
    for number in range(MAX_KEYS + 50):
        work = make_work(number, f"org-{number}")
        estimator.observe(work, 10)
    assert len(estimator.windows) == MAX_KEYS


@given(
    st.lists(st.integers(1, 900), min_size=1, max_size=12),
    st.lists(st.tuples(st.integers(0, 400), st.integers(0, 600)), max_size=6),
    st.integers(0, 3_000),
)
def test_fits_with_equals_summing_at_each_step(
    lengths: list[int], running: list[tuple[int, int]], room: int
) -> None:
    """Compares `fits_with` with summing the memory of all work."""
    lengths.sort()
    forecasts: list[MemoryForecast] = []
    for prompt, produced in running:
        probabilities = survival(lengths, produced, FORECAST_STEPS)
        forecasts.append(forecast_of(probabilities, prompt, produced, 1_000))
    total = EMPTY_FORECAST
    for forecast in forecasts:
        total = total.plus(forecast)
    probabilities = survival(lengths, 0, FORECAST_STEPS)
    new = forecast_of(probabilities, 50, 0, 1_000)
    fits = True
    for step, steps in enumerate(FORECAST_STEPS):
        still_running = sum(length > steps for length in lengths) / len(
            lengths
        )
        assert probabilities[step] == still_running
        if still_running * (50 + steps) < 8.0 or steps > 1_000:
            break
        mean = new.means[step] + sum(o.means[step] for o in forecasts)
        variance = new.variances[step]
        variance += sum(o.variances[step] for o in forecasts)
        fits &= mean + SPREAD_MARGIN_DEVIATIONS * math.sqrt(variance) <= room
    assert total.fits_with(new, room) == fits
