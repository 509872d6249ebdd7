"""What all daemons together have running on each upstream.

A daemon tells its peers the sum of its own work on each upstream, not
each request.  A sum that was lost is replaced by the next, and a
daemon that falls silent takes its sums along.
"""

from collections.abc import Iterator
from typing import NamedTuple

PEER_SILENCE_S = 2.0


class UpstreamLoad(NamedTuple):
    """The work of one daemon, or of several, on one upstream.

    `memory_tokens` is what the running requests will hold at their
    ends, `unread_tokens` is the part of their prompts that no event
    has shown to be read, and `first_copies` is the number of requests
    whose first copy off this upstream is on its way.
    """

    running: int = 0
    long_running: int = 0
    memory_tokens: int = 0
    unread_tokens: int = 0
    first_copies: int = 0

    def plus(self, other: "UpstreamLoad") -> "UpstreamLoad":
        """Return the sum of two loads."""
        return UpstreamLoad(*(a + b for a, b in zip(self, other, strict=True)))

    def minus(self, other: "UpstreamLoad") -> "UpstreamLoad":
        """Return what is left without a part of the load."""
        return UpstreamLoad(*(a - b for a, b in zip(self, other, strict=True)))


NO_LOAD = UpstreamLoad()


class PeerLoads:
    """What one peer said last of its work."""

    def __init__(self) -> None:
        self.heard_s = 0.0
        self.loads: dict[str, UpstreamLoad] = {}


class FleetLoads:
    """Own work and that of all peers that still speak."""

    def __init__(self) -> None:
        self.own: dict[str, UpstreamLoad] = {}
        self.peers: dict[str, PeerLoads] = {}
        self.changed: set[str] = set()
        self.silence_limit_s = PEER_SILENCE_S

    def add(self, identifier: str, load: UpstreamLoad) -> None:
        """Add own work on an upstream, to be told at once."""
        self.add_short_lived(identifier, load)
        self.changed.add(identifier)

    def subtract(self, identifier: str, load: UpstreamLoad) -> None:
        """Take own work off again, to be told at once."""
        self.subtract_short_lived(identifier, load)
        self.changed.add(identifier)

    def add_short_lived(self, identifier: str, load: UpstreamLoad) -> None:
        """Add work that ends before it is worth telling at once."""
        self.own[identifier] = self.own.get(identifier, NO_LOAD).plus(load)

    def subtract_short_lived(
        self, identifier: str, load: UpstreamLoad
    ) -> None:
        """Take brief work off again."""
        left = self.own.get(identifier, NO_LOAD).minus(load)
        if left == NO_LOAD:
            self.own.pop(identifier, None)
        else:
            self.own[identifier] = left

    def pop_changed(self) -> dict[str, UpstreamLoad]:
        """Return own loads that peers haven't been told yet."""
        changed = {
            identifier: self.own.get(identifier, NO_LOAD)
            for identifier in self.changed
        }
        self.changed.clear()
        return changed

    def record_peer_loads(
        self,
        peer: str,
        loads: dict[str, UpstreamLoad],
        now_s: float,
        *,
        is_whole: bool,
    ) -> None:
        """Take what a peer says of all or some of its work."""
        known = self.peers.setdefault(peer, PeerLoads())
        known.heard_s = now_s
        if is_whole:
            known.loads = loads
            return
        known.loads.update(loads)

    def forget(self, peer: str) -> None:
        """Drop the work of a peer that ended or began anew."""
        self.peers.pop(peer, None)

    def load_of(self, identifier: str, now_s: float) -> UpstreamLoad:
        """Return the load of the whole fleet on an upstream."""
        total = self.own.get(identifier, NO_LOAD)
        for loads in self._live(now_s):
            part = loads.get(identifier)
            if part is not None:
                total = total.plus(part)
        return total

    def _live(self, now_s: float) -> Iterator[dict[str, UpstreamLoad]]:
        for peer in self.peers.values():
            if now_s - peer.heard_s <= self.silence_limit_s:
                yield peer.loads
