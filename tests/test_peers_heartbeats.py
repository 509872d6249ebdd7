"""Heartbeats between real daemons on loopback.

They spread peer states, marks and draining, and calls without valid
credentials or of an incompatible version are refused.
"""

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


async def test_daemons_learn_hosts_and_zones_of_all_peers(
    fleet: list[Daemon],
) -> None:
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
    late_daemon = await start_daemon(platform.settings(4))
    assert late_daemon.node.life_cycle.state == "serving"
    assert late_daemon.node.marks.is_leaving(marked)
    assert late_daemon.node.marks.latest == node.marks.latest
    await late_daemon.stop()


async def test_restarted_daemon_marks_its_old_incarnation_dead(
    fleet: list[Daemon], platform: Platform
) -> None:
    old_incarnation = fleet[2].node.incarnation
    await fleet[2].stop()
    settings = platform.settings(3, peer_address=old_incarnation.address)
    restarted = await start_daemon(settings._replace(seed=99))
    new_incarnation = restarted.node.incarnation
    await wait_until(
        lambda: states_at(fleet[0]).get(new_incarnation) is PeerState.ALIVE
    )
    assert states_at(fleet[0])[old_incarnation] is PeerState.DEAD
    await restarted.stop()


async def test_peers_learn_that_a_daemon_drains(fleet: list[Daemon]) -> None:
    fleet[1].drain.request()
    leaving = fleet[1].node.incarnation

    def is_known() -> bool:
        peers = fleet[0].node.peers.peers(fleet[0].node.now_s())
        return any(p.is_draining for p in peers if p.incarnation == leaving)

    await wait_until(is_known)


async def test_peer_with_forged_token_is_refused(daemon: Daemon) -> None:
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


async def test_incompatible_version_is_refused(daemon: Daemon) -> None:
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
