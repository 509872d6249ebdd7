"""Read-only view of a daemon's peers for the other packages."""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from plantainsail.identity import Incarnation


class PeerState(StrEnum):
    """Whether a daemon has heard from a peer recently.

    A stale peer gets new work only if no live one can take it; a dead
    peer is sent no requests at all.
    """

    ALIVE = "alive"
    STALE = "stale"
    DEAD = "dead"


class Peer(NamedTuple):
    """Another daemon of the fleet, as this daemon knows it.

    `is_draining` is set if the peer reports that it is draining, or if
    the host list names it as leaving.
    """

    incarnation: Incarnation
    host: str
    availability_zone: str
    state: PeerState
    is_draining: bool = False


class PeerView(Protocol):
    """Source of the peers that a daemon works with."""

    def peers(self, now_s: float) -> Sequence[Peer]:
        """Return all known peers, in a fixed order."""


class NoPeers:
    """The view of a daemon that is alone in its fleet."""

    def peers(self, now_s: float) -> Sequence[Peer]:
        """Return no peers."""
        return ()
