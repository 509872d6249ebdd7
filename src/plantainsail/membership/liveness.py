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

STALE_AFTER_S = 2.0
DEAD_AFTER_S = 6.0
FORGET_AFTER_S = 60.0
# Heartbeats with daemons of other cells, and the silence allowed them,
# take this many times longer than within a cell.
OUTSIDE_CELL_INTERVAL_FACTOR = 3
REPLACED_RETENTION_S = 3_600.0
MAX_REPLACED = 1_024

STATES = ["alive", "stale", "dead", "replaced"]


class Transition(NamedTuple):
    """A state change of an incarnation; no target means no change."""

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
    """The liveness state and last message of one incarnation."""

    state: str
    # The state machine of `PeerTable` adds these methods.
    hear: Callable[[], bool]
    suspect: Callable[[], bool]
    lose: Callable[[], bool]
    replace: Callable[[], bool]

    def __init__(self, sender: SenderInfo, now_s: float) -> None:
        self.sender = sender
        self.last_heard_s = now_s
        self.last_reply_number = 0


class PeerTable:
    """All incarnations known to one daemon, by address.

    The table implements `PeerView` for that daemon.
    """

    def __init__(self) -> None:
        self.machine = Machine(model=None, states=STATES, initial="alive")
        for trigger, sources, target in TRANSITIONS:
            self.machine.add_transition(trigger, sources, target)
        self.records: dict[str, PeerRecord] = {}
        self.replaced: dict[Incarnation, SenderInfo] = {}
        self.replaced_at_s: dict[Incarnation, float] = {}
        self.entries: dict[str, HostEntry] = {}
        self.cell: frozenset[str] | None = None
        self.exchange_count = 0

    def set_entries(self, entries: Iterable[HostEntry]) -> None:
        """Replace the daemons that the host list names."""
        self.entries = {entry.address: entry for entry in entries}

    def set_cell(self, addresses: Iterable[str]) -> None:
        """Replace the addresses of this daemon's own cell.

        Until the cell is known, every peer is judged as a member of it.
        """
        self.cell = frozenset(addresses)

    def begin_exchange(self) -> int:
        """Return the number of a new exchange."""
        self.exchange_count += 1
        return self.exchange_count

    def record_reply(
        self, number: int, sender: SenderInfo, now_s: float
    ) -> None:
        """Record the reply to an exchange that this daemon began.

        The incarnation that answers at an address is the present one,
        unless a later exchange was answered already.
        """
        if sender.incarnation in self.replaced:
            return
        record = self.records.get(sender.incarnation.address)
        if record is None:
            record = self._add(sender, now_s)
        elif record.sender.incarnation != sender.incarnation:
            if number < record.last_reply_number:
                return
            self._replace(record, now_s)
            record = self._add(sender, now_s)
        record.last_reply_number = max(number, record.last_reply_number)
        self._record_message(record, sender, now_s)

    def record_request(self, sender: SenderInfo, now_s: float) -> bool:
        """Record a request from another daemon.

        A request may have waited in a buffer since before its sender
        died, so it never replaces an incarnation.  Return whether the
        caller must ask the address which incarnation is present.
        """
        if sender.incarnation in self.replaced:
            return False
        record = self.records.get(sender.incarnation.address)
        if record is None:
            record = self._add(sender, now_s)
        elif record.sender.incarnation != sender.incarnation:
            return True
        self._record_message(record, sender, now_s)
        return False

    def record_connection_refused(self, address: str) -> None:
        """Mark a live peer stale after a refused connection."""
        record = self.records.get(address)
        if record is not None:
            record.suspect()

    def incarnation_at(self, address: str) -> Incarnation | None:
        """Return the present incarnation at an address."""
        record = self.records.get(address)
        return None if record is None else record.sender.incarnation

    def incarnations(self) -> set[Incarnation]:
        """Return the present incarnations."""
        return {r.sender.incarnation for r in self.records.values()}

    def silence_duration_s(self, address: str, now_s: float) -> float:
        """Return the time since the last message from an address."""
        record = self.records.get(address)
        return float("inf") if record is None else now_s - record.last_heard_s

    def state_of(
        self, incarnation: Incarnation, now_s: float
    ) -> PeerState | None:
        """Return an incarnation's state, or None if it is unknown."""
        self.update_states(now_s)
        if incarnation in self.replaced:
            return PeerState.DEAD
        record = self.records.get(incarnation.address)
        if record is None or record.sender.incarnation != incarnation:
            return None
        return PeerState(record.state)

    def peers(self, now_s: float) -> Sequence[Peer]:
        """Return all known incarnations, in a fixed order."""
        self.update_states(now_s)
        peers = [
            self._peer(record.sender, PeerState(record.state))
            for record in self.records.values()
        ]
        for sender in self.replaced.values():
            peers.append(self._peer(sender, PeerState.DEAD))
        return sorted(peers)

    def update_states(self, now_s: float) -> None:
        """Update all states by the time since each peer's last message.

        Also forget unlisted peers that have long been silent, and old
        replaced incarnations.
        """
        for address, record in list(self.records.items()):
            silent_s = now_s - record.last_heard_s
            interval_factor = self._interval_factor(address)
            if silent_s >= DEAD_AFTER_S * interval_factor:
                record.lose()
            elif silent_s >= STALE_AFTER_S * interval_factor:
                record.suspect()
            if silent_s >= FORGET_AFTER_S and address not in self.entries:
                self.machine.remove_model(record)
                del self.records[address]
        for incarnation, replaced_at_s in list(self.replaced_at_s.items()):
            is_old = now_s - replaced_at_s >= REPLACED_RETENTION_S
            if is_old or len(self.replaced) > MAX_REPLACED:
                del self.replaced[incarnation]
                del self.replaced_at_s[incarnation]

    def _interval_factor(self, address: str) -> int:
        if self.cell is None or address in self.cell:
            return 1
        return OUTSIDE_CELL_INTERVAL_FACTOR

    def _add(self, sender: SenderInfo, now_s: float) -> PeerRecord:
        record = PeerRecord(sender, now_s)
        self.machine.add_model(record)
        self.records[sender.incarnation.address] = record
        return record

    def _record_message(
        self, record: PeerRecord, sender: SenderInfo, now_s: float
    ) -> None:
        previous = record.sender
        record.sender = sender._replace(
            host=sender.host or previous.host,
            availability_zone=(
                sender.availability_zone or previous.availability_zone
            ),
        )
        record.last_heard_s = max(now_s, record.last_heard_s)
        record.hear()

    def _replace(self, record: PeerRecord, now_s: float) -> None:
        record.replace()
        self.machine.remove_model(record)
        self.replaced[record.sender.incarnation] = record.sender
        self.replaced_at_s[record.sender.incarnation] = now_s

    def _peer(self, sender: SenderInfo, state: PeerState) -> Peer:
        entry = self.entries.get(sender.incarnation.address)
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
