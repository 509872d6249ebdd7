"""Tests of the detection of slow engines and of prefix hints.

A slow or silent engine must be avoided soon, but a slowdown of all
engines must not take the whole model out.  Hints must lose their weight
when they are old or when events were lost.
"""

import pytest

from plantainsail.policy.prefixes import (
    HINT_TTL_S,
    CacheChange,
    CacheEvent,
    PrefixHints,
)
from plantainsail.policy.slowness import (
    MAX_AVOIDED_FRACTION,
    SlownessDetector,
)

HOSTS = [f"e{n}" for n in range(6)]
GAP_S = 0.03


def run_steps(
    detector: SlownessDetector,
    start_s: float,
    seconds: float,
    slow_factors: dict[str, float],
) -> float:
    """Simulate tokens of all engines, and return the end time.

    `slow_factors` multiplies the gap between tokens of some hosts.
    """
    events = [
        (start_s + step * GAP_S * slow_factors.get(host, 1.0), host)
        for host in HOSTS
        for step in range(
            1, int(seconds / GAP_S / slow_factors.get(host, 1.0)) + 1
        )
    ]
    for now_s, host in sorted(events):
        detector.record_gap(host, GAP_S * slow_factors.get(host, 1.0), now_s)
        detector.review("model", HOSTS, now_s)
    return start_s + seconds


def test_slow_engine_is_avoided_until_it_recovers() -> None:
    detector = SlownessDetector()
    now_s = run_steps(detector, 0.0, 2.0, {})
    assert not detector.avoided
    now_s = run_steps(detector, now_s, 5 * GAP_S * 10, {"e2": 10.0})
    assert set(detector.avoided) == {"e2"}
    run_steps(detector, now_s, 2.0, {})
    assert not detector.avoided


def test_silent_engine_is_avoided_without_a_token() -> None:
    detector = SlownessDetector()
    now_s = run_steps(detector, 0.0, 2.0, {})
    for step in range(20):
        now_s += GAP_S
        for host in HOSTS[1:]:
            detector.record_gap(host, GAP_S, now_s)
        detector.review("model", HOSTS, now_s)
        if step < 5:
            assert "e0" not in detector.avoided
    assert set(detector.avoided) == {"e0"}


def test_slowdown_of_all_engines_avoids_none() -> None:
    detector = SlownessDetector()
    now_s = run_steps(detector, 0.0, 2.0, {})
    run_steps(detector, now_s, 5.0, dict.fromkeys(HOSTS, 8.0))
    assert not detector.avoided


def test_only_a_part_of_the_engines_is_avoided() -> None:
    detector = SlownessDetector()
    for host in HOSTS:
        detector.record_failure(host, 1.0)
    run_steps(detector, 1.0, 1.0, {"e0": 10.0, "e1": 10.0, "e2": 30.0})
    limit = int(len(HOSTS) * MAX_AVOIDED_FRACTION)
    assert 1 <= len(detector.avoided) <= limit


def test_probe_interval_grows_up_to_its_limit() -> None:
    detector = SlownessDetector()
    detector.record_failure("e0", 0.0)
    probes = []
    for tick in range(200):
        if detector.try_probe("e0", tick * 0.1):
            probes.append(tick * 0.1)
            detector.record_failure("e0", tick * 0.1)
    gaps = [b - a for a, b in zip(probes, probes[1:], strict=False)]
    assert gaps[0] == pytest.approx(1.0, abs=0.2)
    assert max(gaps) == pytest.approx(4.0, abs=0.2)
    assert len(probes) <= 8


def event(number: int, prefix: int, **changes: object) -> CacheEvent:
    cache_event = CacheEvent("e0", "0", number, CacheChange.STORED, prefix)
    return cache_event._replace(**changes)  # type: ignore[arg-type]


def test_prefix_hints_decay_and_lost_events_drop_them() -> None:
    hints = PrefixHints()
    hints.record_event(event(1, 11), 0.0)
    hints.record_event(event(2, 22), 0.0)
    assert hints.cached_fraction("e0", (11, 22), 0.0) == 1.0
    assert hints.cached_fraction("e0", (11, 33), 0.0) == 0.5
    assert hints.cached_fraction("e0", (11, 22), HINT_TTL_S / 2) == 0.5
    assert hints.cached_fraction("e0", (11, 22), HINT_TTL_S) == 0.0
    hints.record_event(event(1, 44), 0.0)
    assert hints.cached_fraction("e0", (44,), 0.0) == 0.0
    hints.record_event(event(4, 55), 0.0)
    assert hints.cached_fraction("e0", (11,), 0.0) == 0.0
    assert hints.cached_fraction("e0", (11, 22), 0.0) == 1.0
    assert hints.cached_fraction("e0", (55,), 0.0) == 1.0
    hints.record_event(event(8, 55), 0.0)
    assert hints.cached_fraction("e0", (11, 22), 0.0) == 0.0
    assert hints.cached_fraction("e0", (55,), 0.0) == 1.0
    hints.record_event(event(9, 55, change=CacheChange.REMOVED), 0.0)
    assert hints.cached_fraction("e0", (55,), 0.0) == 0.0
    hints.record_event(event(10, 66), 0.0)
    hints.record_event(event(1, 77, incarnation="1"), 0.0)
    assert hints.cached_fraction("e0", (66,), 0.0) == 0.0
