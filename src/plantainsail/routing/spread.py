"""Chooses who receives a message that is meant for all daemons.

In a large fleet most peers are in other availability zones, and links
between these are dearer than those within one.  A message therefore
crosses to another zone once, to one daemon there that forwards it to
the other daemons of its zone.  Each sender has forwarders of its own,
so that this work is spread over all daemons, and it takes turns among
them, so that one that has just died loses only some of its messages.
"""

import zlib
from typing import NamedTuple

from plantainsail.routing.members import Member

# A message goes directly to all daemons of a zone with fewer than this.
MIN_FORWARDED_ZONE = 4
# How many daemons of a zone take turns to forward a sender's messages.
FORWARDERS = 2


class Receivers(NamedTuple):
    """The daemons that a message is sent to.

    `direct` daemons only apply it, and `forwarders` also forward it to
    all daemons of their own availability zone.
    """

    direct: list[Member]
    forwarders: list[Member]


def choose_receivers(
    own_address: str, own_zone: str, members: list[Member], turn: int
) -> Receivers:
    """Return who receives a message, by the sender's address and zone.

    `members` are the live daemons, and `turn` counts the sender's
    messages.  Daemons whose zone isn't known get it directly.
    """
    direct: list[Member] = []
    by_zone: dict[str, list[Member]] = {}
    for member in members:
        zone = member.availability_zone
        if zone is None or zone == own_zone:
            direct.append(member)
            continue
        by_zone.setdefault(zone, []).append(member)
    forwarders: list[Member] = []
    for zone_members in by_zone.values():
        if len(zone_members) < MIN_FORWARDED_ZONE:
            direct += zone_members
            continue
        zone_members.sort(key=lambda member: _rank(own_address, member))
        forwarders.append(zone_members[turn % FORWARDERS])
    return Receivers(direct, forwarders)


def _rank(own_address: str, member: Member) -> tuple[int, str]:
    text = f"{own_address} {member.address}"
    return zlib.crc32(text.encode()), member.address
