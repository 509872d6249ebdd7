"""Carries suspects between daemons that exchange no heartbeats."""

from plantainsail.daemon import Daemon
from plantainsail.identity import Incarnation
from plantainsail.peers.suspect_section import SuspectSection
from plantainsail.peers.wire.fleet_pb2 import HeartbeatMessage

PEER = Incarnation("127.0.0.1:1", 1)


async def carry_suspects(sender: Daemon, receiver: Daemon) -> None:
    """Carry the heartbeat sections of suspects to another daemon."""
    message = HeartbeatMessage()
    now_s = sender.node.now_s()
    for section in sender.node.sections:
        if isinstance(section, SuspectSection):
            section.fill(message, PEER, now_s)
    for section in receiver.node.sections:
        if isinstance(section, SuspectSection):
            section.absorb(message, PEER, receiver.node.now_s())
