"""What a daemon knows of each other daemon, from what it hears.

Each incarnation is alive, stale or dead.  The host list lags, so what
was heard goes before it: a daemon that answers is alive whether it is
listed or not, and one whose address answers with another nonce is dead
for good.

    table = PeerTable()
    number = table.begin_exchange()
    table.heard_reply(number, Heard(incarnation), now_s)
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
# Daemons of other cells exchange heartbeats that much more rarely.
OUTSIDE_CELL_INTERVAL_FACTOR = 3
REPLACED_RETENTION_S = 3_600.0
MAX_REPLACED = 1_024

STATES = ["alive", "stale", "dead", "replaced"]


class Transition(NamedTuple):
    """One change of what is known of an incarnation."""

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
    """What a message from another daemon says of its sender."""

    incarnation: Incarnation
    host: str = ""
    availability_zone: str = ""
    is_draining: bool = False


class PeerRecord:
    """What is known of one incarnation."""

    state: str
    # The machine adds these methods.
    hear: Callable[[], bool]
    suspect: Callable[[], bool]
    lose: Callable[[], bool]
    replace: Callable[[], bool]

    def __init__(self, heard: SenderInfo, now_s: float) -> None:
        self.heard = heard
        self.heard_s = now_s
        self.reply_number = 0


class PeerTable:
    """All incarnations known to one daemon, by address.

    It is the daemon's `PeerView`.
    """

    def __init__(self) -> None:
        self.machine = Machine(model=None, states=STATES, initial="alive")
        for trigger, sources, target in TRANSITIONS:
            self.machine.add_transition(trigger, sources, target)
        self.records: dict[str, PeerRecord] = {}
        self.replaced: dict[Incarnation, SenderInfo] = {}
        self.replaced_s: dict[Incarnation, float] = {}
        self.entries: dict[str, HostEntry] = {}
        self.cell: frozenset[str] | None = None
        self.exchanges = 0

    def set_entries(self, entries: Iterable[HostEntry]) -> None:
        """Take the daemons of the host list."""
        self.entries = {entry.address: entry for entry in entries}

    def set_cell(self, addresses: Iterable[str]) -> None:
        """Take the addresses of the own cell.

        Before it is known, every peer is judged as one of the cell.
        """
        self.cell = frozenset(addresses)

    def begin_exchange(self) -> int:
        """Return the number of a new exchange."""
        self.exchanges += 1
        return self.exchanges

    def record_reply(
        self, number: int, heard: SenderInfo, now_s: float
    ) -> None:
        """Take the reply to an exchange that this daemon began.

        What answers at an address is its present incarnation, unless a
        later exchange was answered already.
        """
        if heard.incarnation in self.replaced:
            return
        record = self.records.get(heard.incarnation.address)
        if record is None:
            record = self._add(heard, now_s)
        elif record.heard.incarnation != heard.incarnation:
            if number < record.reply_number:
                return
            self._replace(record, now_s)
            record = self._add(heard, now_s)
        record.reply_number = max(number, record.reply_number)
        self._hear(record, heard, now_s)

    def record_request(self, heard: SenderInfo, now_s: float) -> bool:
        """Take a request of another daemon.

        A request may have waited in a buffer since before its sender
        died, so it never replaces an incarnation.  Return whether it is
        in doubt which one is present, and the address is to be asked.
        """
        if heard.incarnation in self.replaced:
            return False
        record = self.records.get(heard.incarnation.address)
        if record is None:
            record = self._add(heard, now_s)
        elif record.heard.incarnation != heard.incarnation:
            return True
        self._hear(record, heard, now_s)
        return False

    def record_connection_refused(self, address: str) -> None:
        """Note that nothing listens at an address."""
        record = self.records.get(address)
        if record is not None:
            record.suspect()

    def incarnation_at(self, address: str) -> Incarnation | None:
        """Return the present incarnation at an address."""
        record = self.records.get(address)
        return None if record is None else record.heard.incarnation

    def incarnations(self) -> set[Incarnation]:
        """Return the present incarnations."""
        return {r.heard.incarnation for r in self.records.values()}

    def silence_duration_s(self, address: str, now_s: float) -> float:
        """Return the time since an address was heard."""
        record = self.records.get(address)
        return float("inf") if record is None else now_s - record.heard_s

    def state_of(
        self, incarnation: Incarnation, now_s: float
    ) -> PeerState | None:
        """Return the state of an incarnation, None if not known."""
        self.update_states(now_s)
        if incarnation in self.replaced:
            return PeerState.DEAD
        record = self.records.get(incarnation.address)
        if record is None or record.heard.incarnation != incarnation:
            return None
        return PeerState(record.state)

    def peers(self, now_s: float) -> Sequence[Peer]:
        """Return all known incarnations, in a fixed order."""
        self.update_states(now_s)
        found = [
            self._peer(record.heard, PeerState(record.state))
            for record in self.records.values()
        ]
        for heard in self.replaced.values():
            found.append(self._peer(heard, PeerState.DEAD))
        return sorted(found)

    def update_states(self, now_s: float) -> None:
        """Judge all incarnations by how long they were silent."""
        for address, record in list(self.records.items()):
            silent_s = now_s - record.heard_s
            patience = self._patience(address)
            if silent_s >= DEAD_AFTER_S * patience:
                record.lose()
            elif silent_s >= STALE_AFTER_S * patience:
                record.suspect()
            if silent_s >= FORGET_AFTER_S and address not in self.entries:
                self.machine.remove_model(record)
                del self.records[address]
        for incarnation, since_s in list(self.replaced_s.items()):
            is_old = now_s - since_s >= REPLACED_RETENTION_S
            if is_old or len(self.replaced) > MAX_REPLACED:
                del self.replaced[incarnation]
                del self.replaced_s[incarnation]

    def _patience(self, address: str) -> int:
        if self.cell is None or address in self.cell:
            return 1
        return OUTSIDE_CELL_INTERVAL_FACTOR

    def _add(self, heard: SenderInfo, now_s: float) -> PeerRecord:
        record = PeerRecord(heard, now_s)
        self.machine.add_model(record)
        self.records[heard.incarnation.address] = record
        return record

    def _hear(
        self, record: PeerRecord, heard: SenderInfo, now_s: float
    ) -> None:
        known = record.heard
        record.heard = heard._replace(
            host=heard.host or known.host,
            availability_zone=(
                heard.availability_zone or known.availability_zone
            ),
        )
        record.heard_s = max(now_s, record.heard_s)
        record.hear()

    def _replace(self, record: PeerRecord, now_s: float) -> None:
        record.replace()
        self.machine.remove_model(record)
        self.replaced[record.heard.incarnation] = record.heard
        self.replaced_s[record.heard.incarnation] = now_s

    def _peer(self, heard: SenderInfo, state: PeerState) -> Peer:
        entry = self.entries.get(heard.incarnation.address)
        if entry is None:
            return Peer(
                heard.incarnation,
                heard.host,
                heard.availability_zone,
                state,
                heard.is_draining,
            )
        return Peer(
            heard.incarnation,
            entry.host,
            entry.availability_zone,
            state,
            heard.is_draining or entry.state is HostState.LEAVING,
        )
