"""Which upstreams are used around outages and departures."""

import pytest

from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.registry import (
    LAPSE_WINDOW_S,
    NOTICE_KEPT_S,
    RETURN_GRACE_S,
    UPSTREAM_CATCH_UP_S,
    DepartureNotice,
    UpstreamRegistry,
)

DRAIN_TIMEOUT_S = 2.0


def upstream(
    identifier: str, *, is_draining: bool = False, born_ms: int = 0
) -> RoutedUpstream:
    return RoutedUpstream(
        identifier, "letters", "10.0.0.1:80", "a", 24, is_draining, born_ms
    )


@pytest.fixture
def registry() -> UpstreamRegistry:
    made = UpstreamRegistry()
    made.replace((upstream("one"), upstream("two")), 10, 0.0)
    return made


def names(registry: UpstreamRegistry) -> list[str]:
    return sorted(one.identifier for one in registry.usable("letters"))


def test_a_draining_upstream_takes_no_requests(
    registry: UpstreamRegistry,
) -> None:
    departures = registry.put(upstream("one", is_draining=True), 11, 1.0)
    assert [one.upstream.identifier for one in departures] == ["one"]
    assert names(registry) == ["two"]


def test_a_departure_is_told_once(registry: UpstreamRegistry) -> None:
    registry.put(upstream("one", is_draining=True), 11, 1.0)
    assert registry.put(upstream("one", is_draining=True), 12, 1.1) == []
    assert registry.remove("one", 13, 1.5) == []


def test_a_removed_entry_is_a_departure(registry: UpstreamRegistry) -> None:
    departures = registry.remove("one", 11, 1.0)
    assert [one.upstream.identifier for one in departures] == ["one"]
    assert names(registry) == ["two"]


def test_an_older_word_changes_nothing(registry: UpstreamRegistry) -> None:
    registry.put(upstream("one", is_draining=True), 12, 1.0)
    assert registry.put(upstream("one"), 11, 1.1) == []
    assert registry.replace((upstream("one"),), 11, 1.2) == []
    assert names(registry) == ["two"]


def test_entries_lapsed_in_an_outage_stay_until_they_are_back(
    registry: UpstreamRegistry,
) -> None:
    registry.mark_service_lost()
    registry.mark_service_regained(20.0)
    assert registry.replace((), 15, 20.0) == []
    assert names(registry) == ["one", "two"]
    registry.put(upstream("one"), 16, 21.0)
    gone = registry.sweep(20.0 + RETURN_GRACE_S)
    assert [one.upstream.identifier for one in gone] == ["two"]
    assert names(registry) == ["one"]


def test_a_lapsed_entry_is_gone_before_a_drain_would_end() -> None:
    assert RETURN_GRACE_S < DRAIN_TIMEOUT_S


def test_an_entry_removed_after_an_outage_left(
    registry: UpstreamRegistry,
) -> None:
    """Found by a hunt: mix --seed 53525724854, DRAIN.

    Two daemons that the service had refused took a removal 1.7 s after
    its return for a lapsed entry, and used the upstream for too long.
    """
    registry.mark_service_lost()
    registry.mark_service_regained(20.0)
    departures = registry.remove("one", 11, 20.0 + LAPSE_WINDOW_S)
    assert [one.upstream.identifier for one in departures] == ["one"]
    assert names(registry) == ["two"]


def test_a_new_birth_forgets_old_failures(registry: UpstreamRegistry) -> None:
    registry.note_failure("one", 1.0)
    assert registry.is_suspect("one", 1.1)
    registry.put(upstream("one", born_ms=5), 11, 1.2)
    assert not registry.is_suspect("one", 1.3)


def test_failures_are_forgiven_later_each_time(
    registry: UpstreamRegistry,
) -> None:
    registry.note_failure("one", 0.0)
    first_s = registry.suspect_until_s["one"]
    registry.note_failure("one", first_s)
    assert registry.suspect_until_s["one"] - first_s > first_s
    registry.note_success("one")
    assert not registry.is_suspect("one", first_s)


def test_an_upstream_s_own_word_outlives_its_entry(
    registry: UpstreamRegistry,
) -> None:
    """Found on a day with an outage.

    After it, an engine that had said itself that it leaves wrote its
    entry once more as ready.
    """
    departures = registry.record_departure_notice(
        "one", DepartureNotice(0, 3.0), 1.0
    )
    assert [one.upstream.identifier for one in departures] == ["one"]
    assert registry.put(upstream("one"), 11, 1.1) == []
    assert names(registry) == ["two"]


def test_an_own_word_holds_for_one_run(registry: UpstreamRegistry) -> None:
    assert (
        registry.record_departure_notice("one", DepartureNotice(7, 3.0), 1.0)
        == []
    )
    assert (
        registry.record_departure_notice("gone", DepartureNotice(0, 3.0), 1.0)
        == []
    )
    registry.record_departure_notice("one", DepartureNotice(0, 3.0), 1.0)
    registry.put(upstream("one", born_ms=9), 11, 2.0)
    assert names(registry) == ["one", "two"]


def test_a_lapsed_upstream_may_say_that_it_leaves(
    registry: UpstreamRegistry,
) -> None:
    registry.mark_service_lost()
    registry.remove("one", 11, 1.0)
    assert names(registry) == ["one", "two"]
    departures = registry.record_departure_notice(
        "one", DepartureNotice(0, 3.0), 1.2
    )
    assert [one.upstream.identifier for one in departures] == ["one"]
    assert names(registry) == ["two"]
    assert registry.sweep(1.0 + RETURN_GRACE_S) == []


def test_own_words_are_told_for_a_while(registry: UpstreamRegistry) -> None:
    word = DepartureNotice(0, 3.0)
    registry.record_departure_notice("one", word, 1.0)
    assert registry.notices_to_send(4.0) == {"one": word}
    assert registry.notices_to_send(3.1 + NOTICE_KEPT_S) == {}


def test_entries_are_doubtful_until_all_caught_up(
    registry: UpstreamRegistry,
) -> None:
    assert not registry.may_miss_departures(1.0)
    registry.mark_service_lost()
    assert registry.may_miss_departures(2.0)
    registry.mark_service_regained(4.0)
    assert registry.may_miss_departures(3.9 + UPSTREAM_CATCH_UP_S)
    assert not registry.may_miss_departures(4.1 + UPSTREAM_CATCH_UP_S)
