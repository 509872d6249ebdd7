"""Builds heartbeat messages and decodes their senders."""

from plantainsail.identity import Incarnation
from plantainsail.membership.liveness import SenderInfo
from plantainsail.membership.versions import PROTOCOL_VERSION
from plantainsail.peers.wire.fleet_pb2 import HeartbeatMessage


def make_heartbeat(
    sender: Incarnation, is_draining: bool, is_unsure: bool
) -> HeartbeatMessage:
    """Return a heartbeat that holds no section yet."""
    message = HeartbeatMessage(
        version=PROTOCOL_VERSION,
        is_draining=is_draining,
        is_unsure=is_unsure,
    )
    message.sender.address = sender.address
    message.sender.nonce = sender.nonce
    return message


def add_introduction(
    message: HeartbeatMessage, host: str, availability_zone: str
) -> None:
    """Add the sender's host and zone, for a peer that may lack them."""
    message.introduction.host = host
    message.introduction.availability_zone = availability_zone


def read_sender(message: HeartbeatMessage) -> SenderInfo:
    """Return what a heartbeat says about its sender."""
    return SenderInfo(
        Incarnation(message.sender.address, message.sender.nonce),
        message.introduction.host,
        message.introduction.availability_zone,
        message.is_draining,
    )
