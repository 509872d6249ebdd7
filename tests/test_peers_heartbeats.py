"""Heartbeats between real daemons on loopback."""

import asyncio

import grpc
import pytest

from plantainsail.daemon import Daemon
from plantainsail.identity import Incarnation
from plantainsail.lists.model import HostEntry, Role
from plantainsail.membership.view import PeerState
from plantainsail.peers.links import PeerLinks
from plantainsail.peers.messages import make_heartbeat
from tests.standins.platform import Platform, start_daemon

LIMIT_S = 20.0


async def wait_until(condition: object) -> None:
    """Wait until a condition holds, for a bounded time."""
    async with asyncio.timeout(LIMIT_S):
        while not condition():  # type: ignore[operator]  # noqa: ASYNC110
            await asyncio.sleep(0.01)


def states_at(daemon: Daemon) -> dict[Incarnation, PeerState]:
    peers = daemon.node.peers.peers(daemon.node.now_s())
    return {peer.incarnation: peer.state for peer in peers}


async def test_daemons_know_each_other(fleet: list[Daemon]) -> None:
    for daemon in fleet:
        others = {d.node.incarnation for d in fleet if d is not daemon}
        assert states_at(daemon) == dict.fromkeys(others, PeerState.ALIVE)
        zones = {
            peer.host: peer.availability_zone
            for peer in daemon.node.peers.peers(daemon.node.now_s())
        }
        assert zones == {
            d.node.settings.host: d.node.settings.availability_zone
            for d in fleet
            if d is not daemon
        }


async def test_mark_reaches_all_daemons(fleet: list[Daemon]) -> None:
    engine = fleet[0].node.store.hosts.hosts["engine-1"]
    fleet[0].node.marks.mark_draining(engine, fleet[0].node.now_s())
    await wait_until(
        lambda: all(d.node.marks.is_leaving(engine) for d in fleet)
    )


async def test_starting_daemon_learns_marks_before_it_serves(
    fleet: list[Daemon], platform: Platform
) -> None:
    marked = HostEntry("engine-9", Role.ENGINE, "127.0.0.1:9", "zone-0")
    node = fleet[0].node
    node.marks.mark_draining(marked, node.now_s())
    for number in range(250):
        other = marked._replace(incarnation=str(number + 1))
        node.marks.mark_draining(other, node.now_s())
    late = await start_daemon(platform.settings(4))
    assert late.node.life_cycle.state == "serving"
    assert late.node.marks.is_leaving(marked)
    assert late.node.marks.latest == node.marks.latest
    await late.stop()


async def test_restarted_daemon_makes_the_older_incarnation_dead(
    fleet: list[Daemon], platform: Platform
) -> None:
    old = fleet[2].node.incarnation
    await fleet[2].stop()
    settings = platform.settings(3, peer_address=old.address)
    again = await start_daemon(settings._replace(seed=99))
    new = again.node.incarnation
    await wait_until(lambda: states_at(fleet[0]).get(new) is PeerState.ALIVE)
    assert states_at(fleet[0])[old] is PeerState.DEAD
    await again.stop()


async def test_draining_is_told(fleet: list[Daemon]) -> None:
    fleet[1].drain.request()
    leaving = fleet[1].node.incarnation

    def is_known() -> bool:
        peers = fleet[0].node.peers.peers(fleet[0].node.now_s())
        return any(p.is_draining for p in peers if p.incarnation == leaving)

    await wait_until(is_known)


async def test_peer_without_credentials_gets_nothing(daemon: Daemon) -> None:
    links = PeerLinks("forged")
    sender = Incarnation("127.0.0.1:1", 1)
    with pytest.raises(grpc.RpcError) as refusal:
        await links.heartbeat(
            daemon.node.incarnation.address,
            make_heartbeat(sender, is_draining=False, is_unsure=False),
        )
    assert refusal.value.code() is grpc.StatusCode.UNAUTHENTICATED
    assert daemon.peer_server.guard.refused == 1
    assert states_at(daemon) == {}
    await links.close()


async def test_distant_version_is_refused(daemon: Daemon) -> None:
    node = daemon.node
    links = PeerLinks(node.links.token)
    message = make_heartbeat(
        Incarnation("127.0.0.1:1", 1), is_draining=False, is_unsure=False
    )
    message.version = 3
    with pytest.raises(grpc.RpcError) as refusal:
        await links.heartbeat(node.incarnation.address, message)
    assert refusal.value.code() is grpc.StatusCode.FAILED_PRECONDITION
    assert states_at(daemon) == {}
    await links.close()
