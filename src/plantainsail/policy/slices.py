"""The slices of the engines' memory that one daemon may fill.

Each engine's memory is divided among a few daemons, its holders; the
division is a function of the host list alone.  A holder lends its
unused tokens to peers under leases.  A lease starts at the time at
which the borrower sent its request, by the borrower's clock; the lender
echoes that time.  So the lease ends for the borrower before it ends for
the lender, however late a message came and whichever process paused.

A holder that cannot prove that a majority of the daemons receives its
messages falls back to a fixed part of its slice.  The remaining holders
take over the other part once a majority of the daemons has reported the
holder as silent for two leases.  Both decisions need a majority, and
two majorities have a daemon in common that reports truthfully.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

# How long a lease of an engine's memory to a peer lasts.
LEASE_S = 3.0
# A daemon from which nothing was received for longer counts as silent.
SILENCE_S = 2.0 * LEASE_S
# A holder always keeps this part of its slice and never lends it.
KEPT_FRACTION = 0.5
# An engine's memory is divided among at most this many daemons.
HOLDERS_PER_ENGINE = 4
# No slice contains this part of an engine's memory.  It covers growth
# between two samples of an engine, and short work where running work
# has outgrown its limit.
HEADROOM_FRACTION = 0.05
# With fewer daemons than this, a daemon needs no majority to use its
# whole slice, and no slice of another daemon is taken over.
MIN_VOTERS = 3
# One message contains at most this many needs and rooms.
MAX_NEEDS = 16
MAX_ROOMS = 16
MS_PER_S = 1_000
# How long a computed limit is cached, unless an event that could lower
# it clears the cache before.
LIMIT_TTL_S = 0.1


class Need(NamedTuple):
    """Memory of one engine that the sender wants from the receiver.

    `tokens` is the whole amount, including `held`, which running work
    fills already under a lease.  `plan` and `organisation` name the
    owner of the waiting work, or are empty if only running work needs
    the memory.
    `outgrown` is what the sender's running work needs beyond the
    sender's limit; every holder keeps that much free until it is
    covered.
    """

    host: str
    tokens: int
    held: int = 0
    plan: str = ""
    outgrown: int = 0
    organisation: str = ""


class Lease(NamedTuple):
    """Memory of one engine lent by the sender to the receiver.

    `asked_ms` is when the receiver asked for it, by its own clock.
    """

    host: str
    tokens: int
    asked_ms: int


class Room(NamedTuple):
    """Memory of one engine that the sender could lend now."""

    host: str
    tokens: int


class SliceMessage(NamedTuple):
    """The part of a message to a peer that is about slices.

    `stamp_ms` is the sender's clock, and `echo_ms` the latest stamp
    that the sender has received from the receiver, or 0.  `silent`
    names the daemons from which the sender has received nothing for
    `SILENCE_S`.
    """

    stamp_ms: int
    echo_ms: int = 0
    silent: tuple[str, ...] = ()
    needs: tuple[Need, ...] = ()
    leases: tuple[Lease, ...] = ()
    rooms: tuple[Room, ...] = ()


class ExpiringTokens(NamedTuple):
    """Tokens of one engine's memory that are usable until a time.

    `until_s` is on this daemon's clock.
    """

    tokens: int
    until_s: float


class _PeerState:
    """The latest slice message of one peer, and when it arrived.

    `confirmed_s` is the time of this daemon's latest message that the
    peer has echoed.  `heard_s` is when the peer's latest message
    arrived, and `stamp_ms` its time on the peer's clock.  `needs` and
    `rooms`, the latter in tokens, are by host.
    """

    def __init__(self) -> None:
        self.heard_s = float("-inf")
        self.stamp_ms = 0
        self.confirmed_s = float("-inf")
        self.silent: tuple[str, ...] = ()
        self.needs: dict[str, Need] = {}
        self.needs_asked_ms = 0
        self.rooms: dict[str, int] = {}


class SliceBook:
    """Tracks how many tokens one daemon may fill on each engine.

    `memory` holds the tokens of each engine by host, `slices_by_host`
    those of each holder of a slice, and `limits` the cached limits.
    `lent` and `borrowed` are by host, then by peer.  This daemon's
    messages reach a majority since `majority_since_s`; the majorities
    were last updated at `majorities_at_s`.  A majority reports the
    `lost_peers` as silent.
    """

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
                # Peers may still divide memory by the earlier list.
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
        """Return how many tokens this daemon may fill on an engine."""
        self.update_majorities(now_s)
        cached = self.limits.get(host)
        if cached is None or cached.until_s <= now_s:
            cached = self.limits[host] = self._compute_limit(host, now_s)
        return cached.tokens

    def _compute_limit(self, host: str, now_s: float) -> ExpiringTokens:
        """Compute a limit, and until when it may be cached."""
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
        """Return whether this daemon holds a slice of an engine."""
        return self.address in self.slices_by_host.get(host, ())

    def own_tokens(self, host: str, now_s: float) -> int:
        """Return this daemon's own tokens of an engine's memory.

        These are the usable slice, including what is lent to peers, and
        what was taken over from lost peers.
        """
        return self.usable_slice(host, now_s) + self._taken_over_tokens(
            host, now_s
        )

    def usable_slice(self, host: str, now_s: float) -> int:
        """Return the part of this daemon's slice that is usable now."""
        slice_tokens = self.slices_by_host.get(host, {}).get(self.address, 0)
        if self._may_use_whole_slice(host, now_s):
            return slice_tokens
        return int(slice_tokens * KEPT_FRACTION)

    def headroom(self, host: str) -> int:
        """Return the tokens that short work may use above the slice."""
        host_slices = self.slices_by_host.get(host, {})
        if self.address not in host_slices:
            return 0
        return int(self.memory[host] * HEADROOM_FRACTION) // len(host_slices)

    def lent_tokens(self, host: str, now_s: float) -> int:
        """Return how many tokens of the slice are lent to peers."""
        peers = self.lent.get(host)
        if not peers:
            return 0
        return sum(self.lent_to(host, peer, now_s) for peer in peers)

    def lendable(self, host: str, used: int, now_s: float) -> int:
        """Return how many more tokens could be lent to peers.

        `used` is what this daemon's own work fills.
        """
        if not self._may_use_whole_slice(host, now_s):
            return 0
        slice_tokens = self.slices_by_host.get(host, {}).get(self.address, 0)
        lent = self.lent_tokens(host, now_s)
        kept = int(slice_tokens * KEPT_FRACTION)
        return max(0, slice_tokens - lent - max(used, kept))

    def grant(
        self, peer: str, host: str, wanted: int, used: int, now_s: float
    ) -> Lease | None:
        """Lend a peer the tokens it wants, as far as possible.

        Tokens that the peer has on loan already count towards those it
        wants.  The lease starts at the stamp of the peer's latest
        message.
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
        """Apply a peer's message, unless a newer one was received."""
        state = self.peers.get(peer)
        if state is None or message.stamp_ms < state.stamp_ms:
            return
        # If this process was paused, the majority that receives its
        # messages may be outdated.  That majority must end before this
        # message can renew it.
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
        """Drop the messages of a peer's earlier incarnation."""
        state = self.peers.get(peer)
        if state is not None:
            self.majorities_at_s = None
            heard_s = state.heard_s
            self.peers[peer] = _PeerState()
            self.peers[peer].heard_s = heard_s

    def update_majorities(self, now_s: float) -> None:
        """Update which majorities of the daemons exist at a time.

        A majority that receives this daemon's messages allows it to use
        its whole slice.  A majority that reports a peer as silent makes
        that peer a lost one.
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
        """Return the peers that sent nothing for `SILENCE_S`."""
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
        """Return whether a majority reports a daemon as silent."""
        if len(self.daemons) < MIN_VOTERS:
            return False
        votes = 1
        for state in self.peers.values():
            if now_s - state.confirmed_s >= LEASE_S:
                continue
            votes += address in state.silent
        return 2 * votes > len(self.daemons)

    def lent_to(self, host: str, peer: str, now_s: float) -> int:
        """Return how many tokens of the slice one peer has on loan."""
        grants = self.lent.get(host, {}).get(peer, ())
        return max((g.tokens for g in grants if g.until_s > now_s), default=0)

    @staticmethod
    def _drop_superseded(grants: list[ExpiringTokens], now_s: float) -> None:
        """Drop grants that ended or that the latest one covers."""
        latest = grants[-1]
        grants[:-1] = [
            grant
            for grant in grants[:-1]
            if grant.until_s > now_s and grant.tokens > latest.tokens
        ]


def divide(
    daemons: Sequence[str], memory: Mapping[str, int]
) -> dict[str, dict[str, int]]:
    """Return the tokens of each holder's slice, by engine and holder.

    Holders are consecutive daemons on a ring, so that all daemons hold
    slices of about the same number of engines.  The slices of one
    engine never add up to more than its memory.
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
