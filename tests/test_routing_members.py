"""Who belongs to the fleet, by messages that are lost or late."""

import random

import pytest

from plantainsail.entry.feed import CHECK_INTERVAL_S
from plantainsail.routing.in_force import (
    FRESHNESS_MARGIN_S,
    READER_INTERVAL_S,
)
from plantainsail.routing.members import (
    CONFIGURATION_BEHIND_S,
    FORGET_AFTER_S,
    MIN_SILENCE_LIMIT_S,
    UPSTREAMS_BEHIND_S,
    WATCHERS,
    Heartbeat,
    Members,
    contact_interval_s,
    distributor_interval_s,
    heartbeat_interval_s,
)

OWN = "10.0.0.2:7000"
REVOCATION_S = 5.0


def beat(address: str, sequence: int, **fields: object) -> Heartbeat:
    values: dict[str, object] = {
        "address": address,
        "nonce": 1,
        "sequence": sequence,
        "sent_ms": sequence,
        "echo_ms": -1,
        "echo_nonce": 0,
        "is_leaving": False,
        "configuration_version": 1,
        "configuration_age_ms": -1,
        "registry_revision": 1,
        "is_whole": True,
        "loads": (),
    }
    return Heartbeat(**(values | fields))  # type: ignore[arg-type]


@pytest.fixture
def members() -> Members:
    return Members(OWN, ("10.0.0.1:7000", OWN))


def test_a_daemon_is_not_its_own_peer(members: Members) -> None:
    assert list(members.members) == ["10.0.0.1:7000"]
    assert members.record_heartbeat(beat(OWN, 1), 0.0) is None


def test_older_messages_are_dropped(members: Members) -> None:
    assert members.record_heartbeat(beat("a:1", 5), 0.0) is not None
    assert members.record_heartbeat(beat("a:1", 5), 0.1) is None
    assert members.record_heartbeat(beat("a:1", 4), 0.1) is None


def test_a_new_run_starts_its_numbers_again(members: Members) -> None:
    members.record_heartbeat(beat("a:1", 50), 0.0)
    assert members.record_heartbeat(beat("a:1", 1, nonce=2), 0.1) is not None


def test_members_are_learned_from_others(members: Members) -> None:
    members.record_heartbeat(beat("a:1", 1, members=("b:1", OWN)), 0.0)
    assert set(members.members) == {"10.0.0.1:7000", "a:1", "b:1"}


def test_silence_ends_a_life_and_later_the_memory(members: Members) -> None:
    members.record_heartbeat(beat("a:1", 1), 0.0)
    assert [one.address for one in members.live(MIN_SILENCE_LIMIT_S)] == [
        "a:1"
    ]
    assert members.live(MIN_SILENCE_LIMIT_S + 0.1) == []
    assert members.forget_silent(FORGET_AFTER_S + 0.1) == ["a:1"]
    assert "10.0.0.1:7000" in members.members


def test_rank_counts_live_daemons_before_this_one(members: Members) -> None:
    members.record_heartbeat(beat("10.0.0.1:7000", 1), 0.0)
    members.record_heartbeat(beat("10.0.0.3:7000", 1), 0.0)
    assert members.rank(0.1) == 1
    members.record_heartbeat(beat("10.0.0.1:7000", 2, is_leaving=True), 0.2)
    assert members.rank(0.3) == 0


def test_the_largest_fleet_is_remembered(members: Members) -> None:
    assert members.fleet_size() is None
    members.record_heartbeat(beat("a:1", 1), 0.0)
    members.record_heartbeat(beat("b:1", 1), 0.0)
    members.live(100.0)
    assert members.fleet_size() == 3


def test_to_tell_is_bounded(members: Members) -> None:
    for number in range(100):
        members.record_heartbeat(beat(f"p{number}:1", 1), 0.0)
    assert len(members.sample_addresses(random.Random(1), 0.1)) <= 12


def test_behind_is_told_after_a_while(members: Members) -> None:
    member = members.record_heartbeat(
        beat("a:1", 1, configuration_version=3), 0.0
    )
    assert member is not None
    assert not member.is_ahead_too_long(2, 1, 0.0)
    assert member.is_ahead_too_long(2, 1, CONFIGURATION_BEHIND_S)
    assert not member.is_ahead_too_long(3, 1, CONFIGURATION_BEHIND_S + 0.1)


def test_lists_that_change_all_the_time_look_current(
    members: Members,
) -> None:
    """A daemon one change behind each time has not stood still."""
    member = members.record_heartbeat(beat("a:1", 1, registry_revision=1), 0.0)
    assert member is not None
    for step in range(40):
        now_s = step * 0.05
        member.registry_revision = step + 1
        assert not member.is_ahead_too_long(1, step, now_s)
    stuck_s = 40 * 0.05
    member.is_ahead_too_long(1, 39, stuck_s)
    assert member.is_ahead_too_long(1, 39, stuck_s + UPSTREAMS_BEHIND_S)


def test_all_watch_in_a_small_fleet_and_few_in_a_large_one() -> None:
    addresses = [f"10.0.0.{number}:7000" for number in range(100, 188)]
    fleets = []
    for own in addresses:
        members = Members(own, ())
        for other in addresses:
            members.record_heartbeat(beat(other, 1), 0.0)
        fleets.append(members)
    assert sum(one.is_watcher(0.1) for one in fleets) == WATCHERS
    small = Members(addresses[8], ())
    for other in addresses[:8]:
        small.record_heartbeat(beat(other, 1), 0.0)
    assert small.is_watcher(0.1)


def test_watchers_that_fall_silent_are_replaced() -> None:
    members = Members("10.0.0.9:7000", ())
    for number in range(10, 40):
        members.record_heartbeat(beat(f"10.0.0.{number}:7000", 1), 0.0)
    # By text, 29 addresses and more come before this one.
    assert not members.is_watcher(0.1)
    for number in range(10, 40):
        if number >= 37:
            members.record_heartbeat(beat(f"10.0.0.{number}:7000", 2), 5.0)
    assert members.is_watcher(5.1)


def test_only_those_that_are_ahead_are_asked(members: Members) -> None:
    members.record_heartbeat(beat("a:1", 1, configuration_version=3), 0.0)
    members.record_heartbeat(beat("b:1", 1, registry_revision=9), 0.0)
    members.record_heartbeat(beat("c:1", 1), 0.0)
    ahead = [one.address for one in members.members_ahead_of(1, 1)]
    assert ahead == ["a:1", "b:1"]


@pytest.mark.parametrize("fleet", [3, 9, 88, 300, 540])
def test_a_lost_heartbeat_makes_nobody_look_dead(fleet: int) -> None:
    """In a large fleet heartbeats are rarer than in a small one."""
    members = Members(OWN, ())
    for number in range(fleet - 1):
        members.record_heartbeat(beat(f"p{number}:1", 1), 0.0)
    two_later_s = 2 * heartbeat_interval_s(fleet - 1)
    assert len(members.live(two_later_s)) == fleet - 1
    assert members.live(members.silence_limit_s() + 0.1) == []


@pytest.mark.parametrize("fleet", [3, 9, 88, 300, 540])
def test_proofs_of_freshness_reach_all_in_time(fleet: int) -> None:
    """A proof is read, told, and holds as of what its teller heard."""
    oldest_s = READER_INTERVAL_S + CHECK_INTERVAL_S
    oldest_s += distributor_interval_s(fleet - 1)
    oldest_s += contact_interval_s(fleet - 1)
    assert oldest_s <= REVOCATION_S - FRESHNESS_MARGIN_S


@pytest.mark.parametrize("own", ["a:1", "c:1", "z:1"])
def test_all_agree_who_tells(own: str) -> None:
    """A daemon is a teller by its rank, and knows the other ones."""
    fleet = [f"{letter}:1" for letter in "abcdefgz"]
    members = Members(own, ())
    for address in fleet:
        if address != own:
            members.record_heartbeat(beat(address, 1), 0.0)
    distributors = {one.address for one in members.distributors(0.1)}
    if members.is_distributor(0.1):
        distributors.add(own)
    assert distributors == set(fleet[:WATCHERS])
