"""Liveness of the other daemons, judged by their messages.

Each incarnation is alive, stale or dead.  The host list lags, so
messages take precedence over it: a daemon that answers is alive whether
it is listed or not, and an incarnation whose address answers with
another nonce stays dead.

    table = PeerTable()
    number = table.begin_exchange()
    table.record_reply(number, SenderInfo(incarnation), now_s)
    table.peers(now_s)[0].state     # PeerState.ALIVE
"""

from collections.abc import Callable, Iterable, Sequence
from enum import Enum
from typing import NamedTuple

from transitions import Machine, State

from plantainsail.identity import Incarnation
from plantainsail.lists.model import HostEntry, HostState
from plantainsail.membership.view import Peer, PeerState

# Time since a peer's last message after which the peer is stale, dead,
# and, if the host list does not name it, forgotten.
STALE_AFTER_S = 2.0
DEAD_AFTER_S = 6.0
FORGET_AFTER_S = 60.0
# Heartbeats with daemons of other cells, and the silence allowed them,
# take this many times longer than within a cell.
OUTSIDE_CELL_INTERVAL_FACTOR = 3
# How long, and how many, incarnations are remembered after another
# incarnation has answered at their address, or after they were
# forgotten.
INCARNATION_RETENTION_S = 3_600.0
MAX_RETAINED_INCARNATIONS = 1_024

# States of a `PeerRecord`; a replaced incarnation is reported as dead.
STATES = ["alive", "stale", "dead", "replaced"]


class Transition(NamedTuple):
    """What a trigger does to a `PeerRecord` in one of some states.

    The record goes to the state `target`, or stays as it is if
    `target` is None.
    """

    trigger: str
    source: list[str | Enum | State]
    target: str | None


TRANSITIONS = (
    Transition("hear", ["alive", "stale", "dead"], "alive"),
    Transition("hear", ["replaced"], None),
    Transition("suspect", ["alive"], "stale"),
    Transition("suspect", ["stale", "dead", "replaced"], None),
    Transition("lose", ["alive", "stale"], "dead"),
    Transition("lose", ["dead", "replaced"], None),
    Transition("replace", ["alive", "stale", "dead"], "replaced"),
    Transition("replace", ["replaced"], None),
)


class SenderInfo(NamedTuple):
    """The sender of a message, as described in that message."""

    incarnation: Incarnation
    host: str = ""
    availability_zone: str = ""
    is_draining: bool = False


class PeerRecord:
    """The liveness state and last message of one daemon incarnation.

    `sender` is how the peer described itself, and `last_heard_s` when
    its last message arrived, by this daemon's clock.
    `last_reply_number` is the highest number of an exchange, begun by
    this daemon, that the incarnation has answered.
    """

    state: str
    # The state machine of `PeerTable` adds `state` and these triggers.
    hear: Callable[[], bool]
    suspect: Callable[[], bool]
    lose: Callable[[], bool]
    replace: Callable[[], bool]

    def __init__(self, sender: SenderInfo, now_s: float) -> None:
        self.sender = sender
        self.last_heard_s = now_s
        self.last_reply_number = 0


class PeerTable:
    """The peer incarnations known to one daemon; a `PeerView`.

    `records` holds the present incarnation at each address, and
    `replaced` the earlier incarnations, which stay dead.  `forgotten`
    holds the last incarnation at each address that is no longer a peer,
    so that a delayed message of an earlier one is recognised.
    `listed_daemons` are the daemons that the host list names, by
    address.  `cell_addresses` holds the addresses of this daemon's
    cell, or None until they are known.  `exchange_count` is the number
    of heartbeat exchanges that this daemon began.
    """

    def __init__(self) -> None:
        self.machine = Machine(model=None, states=STATES, initial="alive")
        for trigger, sources, target in TRANSITIONS:
            self.machine.add_transition(trigger, sources, target)
        self.records: dict[str, PeerRecord] = {}
        # Incarnations whose address another incarnation has taken over,
        # and when each was replaced, by this daemon's clock.
        self.replaced: dict[Incarnation, SenderInfo] = {}
        self.replaced_at_s: dict[Incarnation, float] = {}
        self.forgotten: dict[str, PeerRecord] = {}
        self.listed_daemons: dict[str, HostEntry] = {}
        self.cell_addresses: frozenset[str] | None = None
        self.exchange_count = 0

    def set_entries(self, entries: Iterable[HostEntry]) -> None:
        """Replace the daemons that the host list names."""
        self.listed_daemons = {entry.address: entry for entry in entries}

    def set_cell(self, addresses: Iterable[str]) -> None:
        """Replace the addresses of this daemon's own cell.

        Until the cell is known, every peer is judged as a member of it.
        """
        self.cell_addresses = frozenset(addresses)

    def begin_exchange(self) -> int:
        """Count a new heartbeat exchange and return its number."""
        self.exchange_count += 1
        return self.exchange_count

    def record_reply(
        self, number: int, sender: SenderInfo, now_s: float
    ) -> None:
        """Record the reply to heartbeat exchange `number`.

        The incarnation that answers at an address replaces the one
        recorded there, unless that one answered a later exchange.
        """
        if sender.incarnation in self.replaced:
            return
        peer_record = self._known_record(sender.incarnation.address)
        if peer_record is None:
            peer_record = self._add(sender, now_s)
        elif peer_record.sender.incarnation != sender.incarnation:
            if number < peer_record.last_reply_number:
                return
            self._replace(peer_record, now_s)
            peer_record = self._add(sender, now_s)
        peer_record.last_reply_number = max(
            number, peer_record.last_reply_number
        )
        self._record_message(peer_record, sender, now_s)

    def record_request(self, sender: SenderInfo, now_s: float) -> bool:
        """Record a heartbeat request from another daemon.

        A request may have waited in a buffer since before its sender
        died, so it never replaces an incarnation.  Return whether the
        caller must ask the address which incarnation is present.
        """
        if sender.incarnation in self.replaced:
            return False
        peer_record = self._known_record(sender.incarnation.address)
        if peer_record is None:
            peer_record = self._add(sender, now_s)
        elif peer_record.sender.incarnation != sender.incarnation:
            return True
        self._record_message(peer_record, sender, now_s)
        return False

    def record_connection_refused(self, address: str) -> None:
        """Mark a live peer stale after a refused connection."""
        peer_record = self.records.get(address)
        if peer_record is not None:
            peer_record.suspect()

    def incarnation_at(self, address: str) -> Incarnation | None:
        """Return the present incarnation at an address."""
        peer_record = self.records.get(address)
        return None if peer_record is None else peer_record.sender.incarnation

    def incarnations(self) -> set[Incarnation]:
        """Return the present incarnation of every known address."""
        return {r.sender.incarnation for r in self.records.values()}

    def silence_duration_s(self, address: str, now_s: float) -> float:
        """Return the time since the last message from an address."""
        peer_record = self.records.get(address)
        return (
            float("inf")
            if peer_record is None
            else now_s - peer_record.last_heard_s
        )

    def state_of(
        self, incarnation: Incarnation, now_s: float
    ) -> PeerState | None:
        """Return an incarnation's state, or None if it is unknown."""
        self.update_states(now_s)
        if incarnation in self.replaced:
            return PeerState.DEAD
        peer_record = self.records.get(incarnation.address)
        if (
            peer_record is None
            or peer_record.sender.incarnation != incarnation
        ):
            return None
        return PeerState(peer_record.state)

    def peers(self, now_s: float) -> Sequence[Peer]:
        """Return all known incarnations, in a fixed order."""
        self.update_states(now_s)
        peers = [
            self._peer(peer_record.sender, PeerState(peer_record.state))
            for peer_record in self.records.values()
        ]
        for sender in self.replaced.values():
            peers.append(self._peer(sender, PeerState.DEAD))
        return sorted(peers)

    def update_states(self, now_s: float) -> None:
        """Update all states by the time since each peer's last message.

        Also forget unlisted peers that have long been silent, and old
        replaced incarnations.
        """
        for address, peer_record in list(self.records.items()):
            silent_s = now_s - peer_record.last_heard_s
            interval_factor = self._interval_factor(address)
            if silent_s >= DEAD_AFTER_S * interval_factor:
                peer_record.lose()
            elif silent_s >= STALE_AFTER_S * interval_factor:
                peer_record.suspect()
            if (
                silent_s >= FORGET_AFTER_S
                and address not in self.listed_daemons
            ):
                self.machine.remove_model(peer_record)
                self.forgotten[address] = self.records.pop(address)
        self._drop_old_incarnations(now_s)

    def _drop_old_incarnations(self, now_s: float) -> None:
        for incarnation, replaced_at_s in list(self.replaced_at_s.items()):
            is_old = now_s - replaced_at_s >= INCARNATION_RETENTION_S
            if is_old or len(self.replaced) > MAX_RETAINED_INCARNATIONS:
                del self.replaced[incarnation]
                del self.replaced_at_s[incarnation]
        for address, peer_record in list(self.forgotten.items()):
            is_old = (
                now_s - peer_record.last_heard_s >= INCARNATION_RETENTION_S
            )
            if is_old or len(self.forgotten) > MAX_RETAINED_INCARNATIONS:
                del self.forgotten[address]

    def _known_record(self, address: str) -> PeerRecord | None:
        """Return the record of an address, also a forgotten one.

        A forgotten one becomes a dead peer again, until a message shows
        which incarnation is present.
        """
        peer_record = self.forgotten.pop(address, None)
        if peer_record is not None:
            self.machine.add_model(peer_record, initial="dead")
            self.records[address] = peer_record
        return self.records.get(address)

    def _interval_factor(self, address: str) -> int:
        """Return by how much a peer's silence limits are lengthened."""
        if self.cell_addresses is None or address in self.cell_addresses:
            return 1
        return OUTSIDE_CELL_INTERVAL_FACTOR

    def _add(self, sender: SenderInfo, now_s: float) -> PeerRecord:
        peer_record = PeerRecord(sender, now_s)
        self.machine.add_model(peer_record)
        self.records[sender.incarnation.address] = peer_record
        return peer_record

    def _record_message(
        self, peer_record: PeerRecord, sender: SenderInfo, now_s: float
    ) -> None:
        previous = peer_record.sender
        peer_record.sender = sender._replace(
            host=sender.host or previous.host,
            availability_zone=(
                sender.availability_zone or previous.availability_zone
            ),
        )
        peer_record.last_heard_s = max(now_s, peer_record.last_heard_s)
        peer_record.hear()

    def _replace(self, peer_record: PeerRecord, now_s: float) -> None:
        peer_record.replace()
        self.machine.remove_model(peer_record)
        self.replaced[peer_record.sender.incarnation] = peer_record.sender
        self.replaced_at_s[peer_record.sender.incarnation] = now_s

    def _peer(self, sender: SenderInfo, state: PeerState) -> Peer:
        """Return a peer, described by the host list if it names it."""
        entry = self.listed_daemons.get(sender.incarnation.address)
        if entry is None:
            return Peer(
                sender.incarnation,
                sender.host,
                sender.availability_zone,
                state,
                sender.is_draining,
            )
        return Peer(
            sender.incarnation,
            entry.host,
            entry.availability_zone,
            state,
            sender.is_draining or entry.state is HostState.LEAVING,
        )
