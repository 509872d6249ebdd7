"""Adds up the load that all daemons have on each upstream.

A daemon sends its peers the sum of its own load on each upstream, not
each request.  A lost sum is replaced by the next one, and the sums of
a daemon that falls silent no longer count.
"""

from collections.abc import Iterator
from typing import NamedTuple

# The loads of a peer that was silent for longer are not counted.
PEER_SILENCE_S = 2.0


class UpstreamLoad(NamedTuple):
    """The load of one daemon, or of several, on one upstream.

    `running` counts the running requests, and `long_running` those that
    are long streams.  `memory_tokens` is the memory that the running
    requests will hold when they end.  `unread_tokens` counts the prompt
    tokens of requests without a first event, which the engine may still
    be reading.
    `first_copies` is the number of requests whose first memory copy off
    this upstream is in progress.
    """

    running: int = 0
    long_running: int = 0
    memory_tokens: int = 0
    unread_tokens: int = 0
    first_copies: int = 0

    def plus(self, other: "UpstreamLoad") -> "UpstreamLoad":
        """Return the sum of two loads."""
        return UpstreamLoad(
            self.running + other.running,
            self.long_running + other.long_running,
            self.memory_tokens + other.memory_tokens,
            self.unread_tokens + other.unread_tokens,
            self.first_copies + other.first_copies,
        )

    def minus(self, other: "UpstreamLoad") -> "UpstreamLoad":
        """Return the difference of two loads."""
        return UpstreamLoad(
            self.running - other.running,
            self.long_running - other.long_running,
            self.memory_tokens - other.memory_tokens,
            self.unread_tokens - other.unread_tokens,
            self.first_copies - other.first_copies,
        )


NO_LOAD = UpstreamLoad()


class PeerLoads:
    """The latest loads that one peer reported, by upstream."""

    def __init__(self) -> None:
        self.received_s = 0.0
        self.loads: dict[str, UpstreamLoad] = {}


class FleetLoads:
    """This daemon's own loads on upstreams and those of all live peers.

    `own` is by the upstream's identifier, and `peers` by the peer's
    address.  `changed` names the upstreams whose own load has changed
    since it was last sent to peers.
    """

    def __init__(self) -> None:
        self.own: dict[str, UpstreamLoad] = {}
        self.peers: dict[str, PeerLoads] = {}
        self.changed: set[str] = set()
        self.silence_limit_s = PEER_SILENCE_S

    def add(self, identifier: str, load: UpstreamLoad) -> None:
        """Add own load on an upstream, to be sent to peers at once."""
        self.add_short_lived(identifier, load)
        self.changed.add(identifier)

    def subtract(self, identifier: str, load: UpstreamLoad) -> None:
        """Subtract own load on an upstream, to be sent at once."""
        self.subtract_short_lived(identifier, load)
        self.changed.add(identifier)

    def add_short_lived(self, identifier: str, load: UpstreamLoad) -> None:
        """Add own load that ends too soon to be sent at once.

        Peers learn of it only from the regular heartbeats.
        """
        self.own[identifier] = self.own.get(identifier, NO_LOAD).plus(load)

    def subtract_short_lived(
        self, identifier: str, load: UpstreamLoad
    ) -> None:
        """Subtract load that was added by `add_short_lived`."""
        remaining = self.own.get(identifier, NO_LOAD).minus(load)
        if remaining == NO_LOAD:
            self.own.pop(identifier, None)
        else:
            self.own[identifier] = remaining

    def pop_changed(self) -> dict[str, UpstreamLoad]:
        """Return and clear the own loads not yet sent to peers."""
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
        """Store the loads of a peer: all, or only changed ones."""
        peer_loads = self.peers.setdefault(peer, PeerLoads())
        peer_loads.received_s = now_s
        if is_whole:
            peer_loads.loads = loads
            return
        peer_loads.loads.update(loads)

    def forget(self, peer: str) -> None:
        """Remove the loads of a peer that ended or restarted."""
        self.peers.pop(peer, None)

    def load_of(self, identifier: str, now_s: float) -> UpstreamLoad:
        """Return the load of all live daemons on an upstream."""
        fleet_load = self.own.get(identifier, NO_LOAD)
        for loads in self._live_peer_loads(now_s):
            peer_load = loads.get(identifier)
            if peer_load is not None:
                fleet_load = fleet_load.plus(peer_load)
        return fleet_load

    def totals(self, now_s: float) -> dict[str, UpstreamLoad]:
        """Return the load of all live daemons on each upstream.

        Upstreams without load are left out.  Most daemons have loads on
        few upstreams, so one pass over all of them is cheaper than one
        for each upstream.
        """
        parts: dict[str, list[UpstreamLoad]] = {
            identifier: [load] for identifier, load in self.own.items()
        }
        for loads in self._live_peer_loads(now_s):
            for identifier, load in loads.items():
                parts.setdefault(identifier, []).append(load)
        return {
            identifier: UpstreamLoad(*map(sum, zip(*one, strict=True)))
            for identifier, one in parts.items()
        }

    def busy_daemons(self, now_s: float) -> int:
        """Return how many live daemons have load, with this one."""
        return 1 + sum(1 for loads in self._live_peer_loads(now_s) if loads)

    def _live_peer_loads(
        self, now_s: float
    ) -> Iterator[dict[str, UpstreamLoad]]:
        for peer in self.peers.values():
            if now_s - peer.received_s <= self.silence_limit_s:
                yield peer.loads
