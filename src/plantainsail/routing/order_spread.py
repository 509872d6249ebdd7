"""Chooses the peers that are sent the orders to drain zones at once.

The daemons that read the configuration service send an order to all.
Messages are lost, and these daemons may not reach all others, so each
daemon that learns something new also sends it to some random peers.
Both are repeated a few times within half a second; the repetitions of
`entry.gossip` follow.
"""

import random
from typing import NamedTuple

from plantainsail.routing.members import Member, Members
from plantainsail.routing.spread import Receivers, choose_receivers

ROUNDS = 5
ROUND_INTERVAL_S = 0.1
RANDOM_PEERS = 3


class Sender(NamedTuple):
    """The daemon that sends, and how many messages it sent before."""

    address: str
    availability_zone: str
    turn: int


def choose_order_receivers(
    sender: Sender, members: Members, source: random.Random, now_s: float
) -> Receivers:
    """Return who is sent the orders in one round."""
    live = members.live(now_s)
    if members.is_watcher(now_s):
        return choose_receivers(
            sender.address, sender.availability_zone, live, sender.turn
        )
    count = min(RANDOM_PEERS, len(live))
    direct: list[Member] = source.sample(live, count)
    return Receivers(direct, [])
