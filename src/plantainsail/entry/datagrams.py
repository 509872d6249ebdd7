"""Encodes and decodes the datagrams between entry daemons.

What a datagram holds is checked here, so that no part of it fails when
it is used later.  Messages on suspects and rate limits are in
`entry.announcements`.
"""

from collections.abc import Container

import msgspec

from plantainsail.decoding import UndecodableError, decode
from plantainsail.routing.messages import Heartbeat, Introduction, ListChange
from plantainsail.routing.validity import is_usable_address, upstream_problem

ENCODER = msgspec.msgpack.Encoder()
HEARTBEAT_DECODER = msgspec.msgpack.Decoder(Heartbeat)
LIST_CHANGE_DECODER = msgspec.msgpack.Decoder(ListChange)
INTRODUCTION_DECODER = msgspec.msgpack.Decoder(Introduction)
# A heartbeat is an array, which starts with none of these bytes, so
# they tell other messages from it.
LIST_CHANGE_PREFIX = b"\xc1"
INTRODUCTION_PREFIX = b"\xc0"
# The rest is a message to forward to the receiver's availability zone.
FORWARD_PREFIX = b"\xc2"


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return a heartbeat as a message.

    An earlier build refuses a field that it doesn't know, so the last
    one is left out where it says nothing.
    """
    if heartbeat.has_lost_service:
        return ENCODER.encode(heartbeat)
    return ENCODER.encode(heartbeat[:-1])


def decode_heartbeat(data: bytes, known: Container[str]) -> Heartbeat:
    """Return a heartbeat, without members that can't be sent to.

    `known` contains the addresses that were checked before.  Raises
    `UndecodableError` if the message is malformed or its sender can't
    be sent to.
    """
    heartbeat = decode(HEARTBEAT_DECODER, data)
    address = heartbeat.address
    if address not in known and not is_usable_address(address):
        raise UndecodableError("the sender's address is malformed")
    if not heartbeat.members:
        return heartbeat
    members: list[str] = []
    for member in heartbeat.members:
        if member in known or is_usable_address(member):
            members.append(member)
    return heartbeat._replace(members=tuple(members))


def decode_list_change(data: bytes) -> ListChange:
    """Return a change of the list of upstreams.

    Raises `UndecodableError` if it is malformed or holds an entry that
    can't be used.
    """
    change = decode(LIST_CHANGE_DECODER, data)
    for upstream in change.written:
        problem = upstream_problem(upstream)
        if problem is not None:
            raise UndecodableError(problem)
    return change


def decode_introduction(data: bytes) -> Introduction:
    """Return an introduction, or raise `UndecodableError`."""
    return decode(INTRODUCTION_DECODER, data)
