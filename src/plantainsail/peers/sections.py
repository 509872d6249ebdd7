"""The protocol for sections of the heartbeats between peers."""

from typing import Protocol

from plantainsail.identity import Incarnation
from plantainsail.peers.wire.fleet_pb2 import HeartbeatMessage


class HeartbeatSection(Protocol):
    """Data that one component of the daemon exchanges by heartbeats.

    `fill` writes it into a message to a peer, whose incarnation is None
    until its first answer; `absorb` reads it from a received message.
    Neither may block.
    """

    def fill(
        self,
        message: HeartbeatMessage,
        peer: Incarnation | None,
        now_s: float,
    ) -> None:
        """Write the section into a message to the peer."""

    def absorb(
        self, message: HeartbeatMessage, peer: Incarnation, now_s: float
    ) -> None:
        """Process the section of a message from the peer."""
