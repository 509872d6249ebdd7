"""Tests which upstreams are usable around outages and departures."""

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


def usable_names(registry: UpstreamRegistry) -> list[str]:
    return sorted(
        one.identifier for one in registry.usable_upstreams("letters")
    )


def test_a_draining_upstream_departs_and_is_unusable(
    registry: UpstreamRegistry,
) -> None:
    departures = registry.put(upstream("one", is_draining=True), 11, 1.0)
    assert [one.upstream.identifier for one in departures] == ["one"]
    assert usable_names(registry) == ["two"]


def test_a_departure_is_returned_only_once(registry: UpstreamRegistry) -> None:
    registry.put(upstream("one", is_draining=True), 11, 1.0)
    assert registry.put(upstream("one", is_draining=True), 12, 1.1) == []
    assert registry.remove("one", 13, 1.5) == []


def test_a_removed_entry_is_a_departure(registry: UpstreamRegistry) -> None:
    departures = registry.remove("one", 11, 1.0)
    assert [one.upstream.identifier for one in departures] == ["one"]
    assert usable_names(registry) == ["two"]


def test_an_older_revision_changes_nothing(registry: UpstreamRegistry) -> None:
    registry.put(upstream("one", is_draining=True), 12, 1.0)
    assert registry.put(upstream("one"), 11, 1.1) == []
    assert registry.replace((upstream("one"),), 11, 1.2) == []
    assert usable_names(registry) == ["two"]


def test_entries_that_expired_in_an_outage_stay_usable_for_a_grace_time(
    registry: UpstreamRegistry,
) -> None:
    registry.mark_service_lost()
    registry.mark_service_regained(20.0)
    assert registry.replace((), 15, 20.0) == []
    assert usable_names(registry) == ["one", "two"]
    registry.put(upstream("one"), 16, 21.0)
    gone = registry.expire_vanished(20.0 + RETURN_GRACE_S)
    assert [one.upstream.identifier for one in gone] == ["two"]
    assert usable_names(registry) == ["one"]


def test_the_grace_time_is_shorter_than_the_drain_timeout() -> None:
    assert RETURN_GRACE_S < DRAIN_TIMEOUT_S


def test_an_entry_removed_some_time_after_an_outage_departs_at_once(
    registry: UpstreamRegistry,
) -> None:
    """Guards against using an upstream that left after an outage.

    The configuration service had refused two daemons.  They took a
    removal 1.7 s after its return for an expired entry, and kept using
    the upstream too long (search run mix --seed 53525724854, DRAIN).
    """
    registry.mark_service_lost()
    registry.mark_service_regained(20.0)
    departures = registry.remove("one", 11, 20.0 + LAPSE_WINDOW_S)
    assert [one.upstream.identifier for one in departures] == ["one"]
    assert usable_names(registry) == ["two"]


def test_a_new_incarnation_is_not_suspect(registry: UpstreamRegistry) -> None:
    registry.note_failure("one", 1.0)
    assert registry.is_suspect("one", 1.1)
    registry.put(upstream("one", born_ms=5), 11, 1.2)
    assert not registry.is_suspect("one", 1.3)


def test_each_failure_makes_an_upstream_suspect_for_longer(
    registry: UpstreamRegistry,
) -> None:
    registry.note_failure("one", 0.0)
    first_s = registry.suspect_until_s["one"]
    registry.note_failure("one", first_s)
    assert registry.suspect_until_s["one"] - first_s > first_s
    registry.note_success("one")
    assert not registry.is_suspect("one", first_s)


def test_a_departure_notice_overrides_a_later_ready_entry(
    registry: UpstreamRegistry,
) -> None:
    """Guards against using an engine that gave notice that it leaves.

    After an outage such an engine wrote its entry once more as ready.
    """
    departures = registry.record_departure_notice(
        "one", DepartureNotice(0, 3.0), 1.0
    )
    assert [one.upstream.identifier for one in departures] == ["one"]
    assert registry.put(upstream("one"), 11, 1.1) == []
    assert usable_names(registry) == ["two"]


def test_a_departure_notice_applies_to_one_incarnation(
    registry: UpstreamRegistry,
) -> None:
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
    assert usable_names(registry) == ["one", "two"]


def test_a_vanished_upstream_departs_when_it_gives_notice(
    registry: UpstreamRegistry,
) -> None:
    registry.mark_service_lost()
    registry.remove("one", 11, 1.0)
    assert usable_names(registry) == ["one", "two"]
    departures = registry.record_departure_notice(
        "one", DepartureNotice(0, 3.0), 1.2
    )
    assert [one.upstream.identifier for one in departures] == ["one"]
    assert usable_names(registry) == ["two"]
    assert registry.expire_vanished(1.0 + RETURN_GRACE_S) == []


def test_departure_notices_are_sent_until_they_are_outdated(
    registry: UpstreamRegistry,
) -> None:
    notice = DepartureNotice(0, 3.0)
    registry.record_departure_notice("one", notice, 1.0)
    assert registry.notices_to_send(4.0) == {"one": notice}
    assert registry.notices_to_send(3.1 + NOTICE_KEPT_S) == {}


def test_departures_may_be_missed_until_upstreams_caught_up(
    registry: UpstreamRegistry,
) -> None:
    assert not registry.may_miss_departures(1.0)
    registry.mark_service_lost()
    assert registry.may_miss_departures(2.0)
    registry.mark_service_regained(4.0)
    assert registry.may_miss_departures(3.9 + UPSTREAM_CATCH_UP_S)
    assert not registry.may_miss_departures(4.1 + UPSTREAM_CATCH_UP_S)
