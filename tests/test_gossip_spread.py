"""Messages to all daemons cross to another availability zone once.

With a message from each daemon to each other, the bytes between zones
grow with the square of the fleet.
"""

from collections import Counter
from collections.abc import AsyncIterator

import pytest

from plantainsail.entry.daemon import EntryDaemon
from plantainsail.entry.datagrams import (
    ENCODER,
    FORWARD_PREFIX,
    INTRODUCTION_PREFIX,
)
from plantainsail.entry.heartbeats import make_heartbeat
from plantainsail.routing.fleet_loads import UpstreamLoad
from plantainsail.routing.members import Member
from plantainsail.routing.messages import Introduction
from plantainsail.routing.spread import (
    FORWARDERS,
    MIN_FORWARDED_ZONE,
    choose_receivers,
)
from soak.fleet import free_address
from tests.standins.routed import (
    StandInSource,
    configuration,
    start_entry,
)
from tests.standins.waiting import until

ZONES = ("a", "b", "c", "d", "e")
LOAD = UpstreamLoad(running=1, memory_tokens=500)


def fleet(size: int) -> list[Member]:
    members = []
    for number in range(size):
        member = Member(f"10.0.{number // 250}.{number % 250}:7200")
        member.availability_zone = ZONES[number % len(ZONES)]
        members.append(member)
    return members


def others(members: list[Member], sender: Member) -> list[Member]:
    return [member for member in members if member is not sender]


@pytest.mark.parametrize("size", [30, 100, 300, 540])
def test_a_message_crosses_to_each_zone_once(size: int) -> None:
    members = fleet(size)
    sender = members[0]
    receivers = choose_receivers(
        sender.address, "a", others(members, sender), 1
    )
    zones = [member.availability_zone for member in receivers.forwarders]
    assert sorted(str(zone) for zone in zones) == ["b", "c", "d", "e"]
    assert all(one.availability_zone == "a" for one in receivers.direct)
    assert len(receivers.direct) == size // len(ZONES) - 1


@pytest.mark.parametrize("size", [100, 300, 540])
def test_forwarding_is_spread_over_all_daemons(size: int) -> None:
    """No daemon forwards for more than a few times the mean."""
    members = fleet(size)
    forwards: Counter[str] = Counter()
    for sender in members:
        for turn in range(FORWARDERS):
            receivers = choose_receivers(
                sender.address,
                str(sender.availability_zone),
                others(members, sender),
                turn,
            )
            forwards.update(one.address for one in receivers.forwarders)
    mean = (len(ZONES) - 1) * FORWARDERS
    assert max(forwards.values()) <= 3 * mean


def test_successive_messages_take_different_forwarders() -> None:
    members = fleet(50)
    sender = members[0]
    first, second = (
        choose_receivers(sender.address, "a", others(members, sender), turn)
        for turn in (1, 2)
    )
    for one, other in zip(first.forwarders, second.forwarders, strict=True):
        assert one.availability_zone == other.availability_zone
        assert one is not other


def test_small_and_unknown_zones_get_messages_directly() -> None:
    members = fleet(len(ZONES) * (MIN_FORWARDED_ZONE - 1))
    receivers = choose_receivers("10.9.9.9:1", "a", members, 1)
    assert receivers.forwarders == []
    members = fleet(50)
    for member in members:
        member.availability_zone = None
    assert len(choose_receivers("10.9.9.9:1", "a", members, 1).direct) == 50


@pytest.fixture
async def daemons() -> AsyncIterator[list[EntryDaemon]]:
    """Start one daemon in zone a, and some in zone b."""
    source = StandInSource(configuration(), ())
    seeds = (free_address(),)
    started = [await start_entry(source, peer_address=seeds[0], seeds=seeds)]
    for _ in range(MIN_FORWARDED_ZONE):
        started.append(await start_entry(source, seeds=seeds, zone="b"))
    for one in started:
        await until(lambda one=one: knows_all_zones(one))  # type: ignore[misc]
    yield started
    for one in started:
        await one.stop()


def knows_all_zones(daemon: EntryDaemon) -> bool:
    live = daemon.node.members.live(daemon.node.now_s())
    zones = [member.availability_zone for member in live]
    if len(daemon.gossip.live) != MIN_FORWARDED_ZONE:
        return False
    return len(live) == MIN_FORWARDED_ZONE and None not in zones


async def test_a_load_reaches_another_zone_by_one_message(
    daemons: list[EntryDaemon], monkeypatch: pytest.MonkeyPatch
) -> None:
    sender, *receivers = daemons
    forwarded: list[bytes] = []
    send_data = sender.gossip._send_data

    def record(member: Member, data: bytes) -> None:
        if data.startswith(FORWARD_PREFIX):
            forwarded.append(data)
        send_data(member, data)

    monkeypatch.setattr(sender.gossip, "_send_data", record)
    sender.node.fleet_loads.add("u0", LOAD)
    sender.node.load_changed.set()
    for one in receivers:
        await until(
            lambda one=one: (  # type: ignore[misc]
                one.node.fleet_loads.load_of("u0", one.node.now_s()) == LOAD
            )
        )
    assert forwarded


async def test_each_daemon_gets_one_heartbeat_a_round(
    daemons: list[EntryDaemon], monkeypatch: pytest.MonkeyPatch
) -> None:
    gossip = daemons[-1].gossip
    sent: Counter[str] = Counter()

    def record(member: Member, _: bytes) -> None:
        sent[member.address] += 1

    monkeypatch.setattr(gossip, "_send_data", record)
    node = gossip.node
    heartbeat = make_heartbeat(node, (), is_whole=True)
    gossip._send_round(heartbeat, node.now_s())
    assert len(sent) == MIN_FORWARDED_ZONE
    assert set(sent.values()) == {1}


async def test_a_daemon_that_asks_for_a_zone_gets_it(
    daemons: list[EntryDaemon],
) -> None:
    first, second, *_ = daemons
    address = second.node.settings.peer_address
    member = first.node.members.members[address]
    member.availability_zone = None
    question = Introduction(
        first.node.settings.peer_address, "a", is_question=True
    )
    second.gossip.datagram_received(
        INTRODUCTION_PREFIX + ENCODER.encode(question), ("", 0)
    )
    await until(lambda: member.availability_zone == "b")
