"""The parts of engines' memory that one daemon may fill.

An engine's memory is divided among a few holders, which follows from
the list of hosts alone.  A holder lends what it does not use to peers
under leases.  A lease starts at the borrower's own time of asking,
which the lender echoes, so it ends for the borrower before it ends for
the lender, however long a message took and whoever was paused.

A holder that cannot prove that most daemons hear it falls back to a
fixed part of its slice.  The other part is taken over by the remaining
holders once most daemons report its silence for two leases; both need a
majority, and two majorities share a daemon that tells the truth.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

LEASE_S = 3.0
SILENCE_S = 2.0 * LEASE_S
# The part of a slice that a holder keeps in any case and never lends.
KEPT_FRACTION = 0.5
HOLDERS_PER_ENGINE = 4
# What no slice holds: for the steps between two looks at an engine, and
# for short work where running work has outgrown its room.
HEADROOM_FRACTION = 0.05
MIN_VOTERS = 3
MAX_NEEDS = 16
MAX_ROOMS = 16
MS_PER_S = 1_000
# For how long a limit that was worked out stands, unless something
# that could lower it happens before.
LIMIT_TTL_S = 0.1


class Need(NamedTuple):
    """Memory of one engine that the sender wants from the receiver.

    It is the whole amount, with what is lent already.  `plan` and
    `organisation` are those whose work waits for it, empty where
    running work holds it.
    `outgrown` is what the sender's running work needs beyond all that
    it may fill; every holder keeps this free until it is covered.
    """

    host: str
    tokens: int
    held: int = 0
    plan: str = ""
    outgrown: int = 0
    organisation: str = ""


class Lease(NamedTuple):
    """Memory of one engine lent by the sender to the receiver.

    `asked_ms` is the receiver's own time of asking.
    """

    host: str
    tokens: int
    asked_ms: int


class Room(NamedTuple):
    """Memory of one engine that the sender could lend now."""

    host: str
    tokens: int


class SliceMessage(NamedTuple):
    """What one daemon tells a peer about slices.

    `stamp_ms` is the sender's clock and `echo_ms` the latest stamp that
    it has from the receiver, or 0.  `silent` names the daemons that the
    sender has not heard for `SILENCE_S`.
    """

    stamp_ms: int
    echo_ms: int = 0
    silent: tuple[str, ...] = ()
    needs: tuple[Need, ...] = ()
    leases: tuple[Lease, ...] = ()
    rooms: tuple[Room, ...] = ()


class ExpiringTokens(NamedTuple):
    """Tokens until a time of the own clock."""

    tokens: int
    until_s: float


class _PeerState:
    """What is known of one peer."""

    def __init__(self) -> None:
        self.heard_s = float("-inf")
        self.stamp_ms = 0
        self.confirmed_s = float("-inf")
        self.silent: tuple[str, ...] = ()
        self.needs: dict[str, Need] = {}
        self.needs_asked_ms = 0
        self.rooms: dict[str, int] = {}


class SliceBook:
    """One daemon's account of what it may fill."""

    def __init__(self, address: str, started_s: float) -> None:
        self.address = address
        self.started_s = started_s
        self.daemons: tuple[str, ...] = (address,)
        self.memory: Mapping[str, int] = {}
        self.slices_by_host: dict[str, dict[str, int]] = {}
        self.slices_changed_s: dict[str, float] = {}
        self.peers: dict[str, _PeerState] = {}
        self.majority_since_s: float | None = None
        self.majorities_at_s: float | None = None
        self.lost_peers: frozenset[str] = frozenset()
        self.limits: dict[str, ExpiringTokens] = {}
        self.lent: dict[str, dict[str, list[ExpiringTokens]]] = {}
        self.borrowed: dict[str, dict[str, ExpiringTokens]] = {}

    def configure(
        self,
        daemons: Sequence[str],
        memory: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Divide the engines' memory among the listed daemons."""
        self.majorities_at_s = None
        names = tuple(sorted({*daemons, self.address}))
        if names == self.daemons and memory == self.memory:
            return
        slices_by_host = divide(names, memory)
        for host in memory:
            before = self.slices_by_host.get(host)
            if before is not None and before != slices_by_host[host]:
                # Others may act on the earlier list for a while.
                self.slices_changed_s[host] = now_s
        self.daemons = names
        self.memory = dict(memory)
        self.slices_by_host = slices_by_host
        for address in names:
            if address != self.address and address not in self.peers:
                self.peers[address] = _PeerState()
                self.peers[address].heard_s = now_s
        for address in set(self.peers) - set(names):
            del self.peers[address]
        for host in set(self.slices_changed_s) - set(memory):
            del self.slices_changed_s[host]

    def limit(self, host: str, now_s: float) -> int:
        """Return how many tokens own work may hold on an engine."""
        self.update_majorities(now_s)
        cached = self.limits.get(host)
        if cached is None or cached.until_s <= now_s:
            cached = self.limits[host] = self._compute_limit(host, now_s)
        return cached.tokens

    def _compute_limit(self, host: str, now_s: float) -> ExpiringTokens:
        """Work out a limit, and until when it surely stands."""
        total = 0
        until_s = now_s + LIMIT_TTL_S
        if self.is_holder(host):
            total = self.usable_slice(host, now_s) - self.lent_tokens(
                host, now_s
            )
            total += self._taken_over_tokens(host, now_s)
        for borrowed in self.borrowed.get(host, {}).values():
            if borrowed.until_s > now_s:
                total += borrowed.tokens
                until_s = min(until_s, borrowed.until_s)
        return ExpiringTokens(max(0, total), until_s)

    def is_holder(self, host: str) -> bool:
        """Return whether a slice of an engine is the own one."""
        return self.address in self.slices_by_host.get(host, ())

    def own_tokens(self, host: str, now_s: float) -> int:
        """Return the own part, with what of it is lent to peers."""
        return self.usable_slice(host, now_s) + self._taken_over_tokens(
            host, now_s
        )

    def usable_slice(self, host: str, now_s: float) -> int:
        """Return the part of the own slice that may be used now."""
        slice_tokens = self.slices_by_host.get(host, {}).get(self.address, 0)
        if self._may_use_whole_slice(host, now_s):
            return slice_tokens
        return int(slice_tokens * KEPT_FRACTION)

    def headroom(self, host: str) -> int:
        """Return the tokens beyond the slice, for short work."""
        host_slices = self.slices_by_host.get(host, {})
        if self.address not in host_slices:
            return 0
        return int(self.memory[host] * HEADROOM_FRACTION) // len(host_slices)

    def lent_tokens(self, host: str, now_s: float) -> int:
        """Return what peers may still hold of the own slice."""
        peers = self.lent.get(host)
        if not peers:
            return 0
        return sum(self.lent_to(host, peer, now_s) for peer in peers)

    def lendable(self, host: str, used: int, now_s: float) -> int:
        """Return what could be lent anew, given the own use."""
        if not self._may_use_whole_slice(host, now_s):
            return 0
        slice_tokens = self.slices_by_host.get(host, {}).get(self.address, 0)
        lent = self.lent_tokens(host, now_s)
        kept = int(slice_tokens * KEPT_FRACTION)
        return max(0, slice_tokens - lent - max(used, kept))

    def grant(
        self, peer: str, host: str, wanted: int, used: int, now_s: float
    ) -> Lease | None:
        """Lend a peer what it wants of an engine, as far as possible.

        What is lent already counts towards it.  The peer's time of
        asking is that of its latest message.
        """
        state = self.peers.get(peer)
        if state is None or not self._may_use_whole_slice(host, now_s):
            return None
        before = self.lent_to(host, peer, now_s)
        tokens = min(wanted, before + self.lendable(host, used, now_s))
        if tokens <= 0:
            return None
        grants = self.lent.setdefault(host, {}).setdefault(peer, [])
        grants.append(ExpiringTokens(tokens, now_s + LEASE_S))
        self.limits.pop(host, None)
        self._drop_superseded(grants, now_s)
        return Lease(host, tokens, state.needs_asked_ms)

    def receive(self, peer: str, message: SliceMessage, now_s: float) -> None:
        """Take in a peer's message; older ones than the last go."""
        state = self.peers.get(peer)
        if state is None or message.stamp_ms < state.stamp_ms:
            return
        # After a pause the proof of before must not count any more.
        self.update_majorities(now_s)
        self.majorities_at_s = None
        state.heard_s = now_s
        state.stamp_ms = message.stamp_ms
        state.needs_asked_ms = message.stamp_ms
        state.confirmed_s = max(state.confirmed_s, message.echo_ms / MS_PER_S)
        state.silent = message.silent
        state.needs = {need.host: need for need in message.needs}
        state.rooms = {room.host: room.tokens for room in message.rooms}
        for lease in message.leases:
            borrowed = ExpiringTokens(
                lease.tokens, lease.asked_ms / MS_PER_S + LEASE_S
            )
            self.borrowed.setdefault(lease.host, {})[peer] = borrowed
        self.update_majorities(now_s)

    def restart_peer(self, peer: str) -> None:
        """Forget what an earlier incarnation of a peer told."""
        state = self.peers.get(peer)
        if state is not None:
            self.majorities_at_s = None
            heard_s = state.heard_s
            self.peers[peer] = _PeerState()
            self.peers[peer].heard_s = heard_s

    def update_majorities(self, now_s: float) -> None:
        """Note which majorities are known at a time.

        One that was seen to hear this daemon vouches for it; ones that
        report the silence of others give them up.
        """
        if now_s == self.majorities_at_s:
            return
        is_outdated = (
            self.majorities_at_s is None or now_s < self.majorities_at_s
        )
        self.majorities_at_s = now_s
        before = (self.majority_since_s, self.lost_peers)
        votes = 1 + sum(
            now_s - state.confirmed_s < LEASE_S
            for state in self.peers.values()
        )
        if 2 * votes <= len(self.daemons):
            self.majority_since_s = None
        elif self.majority_since_s is None:
            self.majority_since_s = now_s
        self.lost_peers = frozenset(
            address
            for address, state in self.peers.items()
            if now_s - state.heard_s > SILENCE_S
            and self._is_lost(address, now_s)
        )
        if is_outdated or before != (self.majority_since_s, self.lost_peers):
            self.limits.clear()

    def silent_peers(self, now_s: float) -> tuple[str, ...]:
        """Return the daemons not heard for `SILENCE_S`."""
        return tuple(
            address
            for address, state in self.peers.items()
            if now_s - state.heard_s > SILENCE_S
        )

    def _may_use_whole_slice(self, host: str, now_s: float) -> bool:
        if now_s - self.slices_changed_s.get(host, float("-inf")) < SILENCE_S:
            return False
        if len(self.daemons) == 1:
            return True
        if now_s - self.started_s < LEASE_S:
            return False
        if len(self.daemons) < MIN_VOTERS:
            return True
        self.update_majorities(now_s)
        since_s = self.majority_since_s
        return since_s is not None and now_s - since_s >= LEASE_S

    def _taken_over_tokens(self, host: str, now_s: float) -> int:
        self.update_majorities(now_s)
        host_slices = self.slices_by_host.get(host, {})
        if not self.lost_peers or self.address not in host_slices:
            return 0
        tokens = 0
        for holder, slice_tokens in host_slices.items():
            if holder not in self.lost_peers:
                continue
            spare = slice_tokens - int(slice_tokens * KEPT_FRACTION)
            tokens += spare // (len(host_slices) - 1)
        return tokens

    def _is_lost(self, address: str, now_s: float) -> bool:
        """Return whether a majority reports a daemon's silence."""
        if len(self.daemons) < MIN_VOTERS:
            return False
        votes = 1
        for state in self.peers.values():
            if now_s - state.confirmed_s >= LEASE_S:
                continue
            votes += address in state.silent
        return 2 * votes > len(self.daemons)

    def lent_to(self, host: str, peer: str, now_s: float) -> int:
        """Return what one peer may still hold of the own slice."""
        grants = self.lent.get(host, {}).get(peer, ())
        return max((g.tokens for g in grants if g.until_s > now_s), default=0)

    @staticmethod
    def _drop_superseded(grants: list[ExpiringTokens], now_s: float) -> None:
        """Drop what has ended or what a later promise covers."""
        latest = grants[-1]
        grants[:-1] = [
            grant
            for grant in grants[:-1]
            if grant.until_s > now_s and grant.tokens > latest.tokens
        ]


def divide(
    daemons: Sequence[str], memory: Mapping[str, int]
) -> dict[str, dict[str, int]]:
    """Return each holder's slice of each engine.

    Holders are consecutive daemons on a ring, so that each daemon holds
    slices of about as many engines as the others.  Slices of one engine
    never add up to more than its memory.
    """
    count = len(daemons)
    holders = min(count, HOLDERS_PER_ENGINE)
    slices_by_host: dict[str, dict[str, int]] = {}
    for index, host in enumerate(sorted(memory)):
        first = index * count // max(1, len(memory))
        names = [daemons[(first + step) % count] for step in range(holders)]
        tokens = int(memory[host] * (1.0 - HEADROOM_FRACTION))
        slices_by_host[host] = dict.fromkeys(names, tokens // holders)
    return slices_by_host
