"""Leaving marks, liveness and list revisions of several daemons.

The test guards against work for a leaving engine, a silent or replaced
peer taken for alive, and older lists after newer ones.  They come about
when messages are lost, repeated, delayed or reordered, or when daemons
pause or restart with empty memory.  The daemons here are decision
objects that exchange real heartbeat messages without a connection.  A
second test removes one guard at a time and checks that the state
machine detects it.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from plantainsail.identity import Incarnation
from plantainsail.lists.model import (
    HostEntry,
    HostList,
    HostState,
    PublishedLists,
    Role,
)
from plantainsail.lists.start_gate import (
    OwnListState,
    PeerAnswer,
    PeerReport,
    may_trust,
)
from plantainsail.lists.store import ListStore
from plantainsail.membership.cells import choose_contacts
from plantainsail.membership.liveness import (
    STALE_AFTER_S,
    PeerTable,
    SenderInfo,
)
from plantainsail.membership.marks import LeavingMarks, leaving_mark_for
from plantainsail.membership.pauses import PauseDetector
from plantainsail.membership.view import PeerState
from plantainsail.peers.marks_section import MarksSection
from plantainsail.peers.messages import make_heartbeat, read_sender
from plantainsail.peers.wire.fleet_pb2 import HeartbeatMessage
from plantainsail.runtime.life_cycle import LifeCycle
from tests.standins.machine import run_machine

DAEMONS = 4
ENGINES = 3
# Small enough that some daemons are not contacts of each other.
CELL_SIZE = 2
ADDRESSES = [f"10.0.0.{n}:1" for n in range(DAEMONS)]
any_daemon = st.integers(0, DAEMONS - 1)
any_engine = st.integers(0, ENGINES - 1)
any_lag = st.integers(0, 3)
ENTRIES = [
    HostEntry(f"entry-{n}", Role.ENTRY, address, "a")
    for n, address in enumerate(ADDRESSES)
]


class Letter(NamedTuple):
    """A message on its way, of the exchange with a number."""

    target: int
    number: int
    message: HeartbeatMessage
    is_reply: bool = False


class ModelDaemon:
    """The decisions of one daemon incarnation.

    Subclasses remove single guards.
    """

    table_type = PeerTable
    marks_type = LeavingMarks
    section_type = MarksSection
    store_type = ListStore

    def __init__(self, index: int, nonce: int, now_s: float) -> None:
        self.own = Incarnation(ADDRESSES[index], nonce)
        self.index = index
        self.table = self.table_type()
        self.marks = self.marks_type()
        self.section = self.section_type(self.marks, self.own)
        self.store = self.store_type()
        self.trusts_lists = False
        self.life = LifeCycle()
        self.life.peers_asked = -1
        self.guard = PauseDetector(now_s)

    def is_sure(self, now_s: float) -> bool:
        """Return the same as `Node.is_sure` does."""
        if self.guard.has_paused(now_s):
            self.life.paused()
        return self.life.state == "serving"

    def compose(self, peer: Incarnation | None) -> HeartbeatMessage:
        """Return a heartbeat for a peer."""
        message = make_heartbeat(self.own, is_draining=False, is_unsure=False)
        self.section.fill(message, peer, 0.0)
        return message

    def absorb(self, message: HeartbeatMessage, now_s: float) -> None:
        """Process a received heartbeat."""
        peer = read_sender(message).incarnation
        self.section.absorb(message, peer, now_s)

    def contacts(self, count: int) -> set[int]:
        """Return the indexes of this daemon's contacts."""
        own = ENTRIES[self.index]
        chosen = choose_contacts(ENTRIES[:count], own, CELL_SIZE)
        return {ENTRIES.index(e) for e in (*chosen.cell, *chosen.outside_cell)}

    def may_trust(
        self, own: OwnListState, reports: Sequence[PeerReport]
    ) -> bool:
        """Return whether the lists may be acted on after a start."""
        return may_trust(own, reports)

    def takes(self, engine: HostEntry, now_s: float) -> bool:
        """Return whether new work would go to an engine."""
        return self.is_sure(now_s) and not self.marks.is_leaving(engine)


class FleetMachine(RuleBasedStateMachine):
    """Exchanges over a network that does as it likes."""

    daemon_type = ModelDaemon

    @initialize(seed=st.integers(0, 2**16), count=st.integers(2, DAEMONS))
    def start(self, seed: int, count: int) -> None:
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.nonce = 0
        self.asleep: set[int] = set()
        self.letters: list[Letter] = []
        self.engines = [
            HostEntry(f"engine-{n}", Role.ENGINE, f"10.1.0.{n}:1", "a")
            for n in range(ENGINES)
        ]
        self.revision = 1
        self.published = 1
        self.was_revision = [0 for _ in ADDRESSES]
        # When a daemon got the last message of an incarnation, and the
        # newest that answered it at an address.
        self.heard_s: dict[tuple[Incarnation, Incarnation], float] = {}
        self.newest: dict[tuple[Incarnation, str], int] = {}
        self.was_marked: list[set[HostEntry]] = [set() for _ in ADDRESSES]
        self.daemons = [self._new(n) for n in range(count)]
        self._settle()

    def _new(self, index: int) -> ModelDaemon:
        self.nonce += 1
        self.was_marked[index] = set()
        self.was_revision[index] = 0
        return self.daemon_type(index, self.nonce, self.now_s)

    def _begin(self, source: int, target: int) -> None:
        daemon = self.daemons[source]
        number = daemon.table.begin_exchange()
        peer = daemon.table.incarnation_at(ADDRESSES[target])
        self.letters.append(Letter(target, number, daemon.compose(peer)))

    def _deliver(self, letter: Letter) -> Letter | None:
        daemon = self.daemons[letter.target]
        heard = read_sender(letter.message)
        if not letter.is_reply:
            daemon.table.record_request(heard, self.now_s)
        else:
            daemon.table.record_reply(letter.number, heard, self.now_s)
        daemon.absorb(letter.message, self.now_s)
        self.heard_s[daemon.own, heard.incarnation] = self.now_s
        if letter.is_reply:
            return None
        source = ADDRESSES.index(heard.incarnation.address)
        if self.daemons[source].own != heard.incarnation:
            return None
        reply = daemon.compose(heard.incarnation)
        return Letter(source, letter.number, reply, is_reply=True)

    def _exchange(self, source: int, target: int) -> bool:
        """Exchange at once; return whether it got through."""
        if source == target or target in self.asleep:
            return False
        self._begin(source, target)
        reply = self._deliver(self.letters.pop())
        if reply is None:
            return False
        self._deliver(reply)
        return True

    def _is_awake(self, index: int) -> bool:
        return index not in self.asleep

    def _pick(self, index: int) -> int:
        """Return one of the daemons that there are."""
        return index % len(self.daemons)

    def _refresh(self, index: int) -> None:
        """Do what a daemon does before it is sure."""
        daemon = self.daemons[index]
        daemon.is_sure(self.now_s)
        daemon.guard.tick(self.now_s)
        for target in range(len(self.daemons)):
            self._exchange(index, target)
        daemon.life.record_peers_asked(daemon.life.pauses)
        daemon.life.refreshed()

    def _read(self, index: int, lag: int) -> None:
        """Read lists from a service that may be stale."""
        revision = max(1, self.published - lag)
        self.daemons[index].store.offer_lists(
            PublishedLists(revision, {}, {}, {}, {})
        )

    def _start_lists(self, index: int, lag: int) -> None:
        """Get lists from service and peers until they are trusted."""
        daemon = self.daemons[index]
        self._read(index, lag)
        others = [d for d in self.daemons if d is not daemon]
        for _ in range(2):
            reports = [self._report(other) for other in others]
            own = OwnListState(daemon.store.lists.revision, 1, True, 0.0)
            daemon.trusts_lists = daemon.may_trust(own, reports)
            if daemon.trusts_lists:
                break
            for other in others:
                if other.index not in self.asleep:
                    daemon.store.offer_lists(other.store.lists)
        for other in others:
            if daemon.trusts_lists and other.index not in self.asleep:
                known = other.store.lists.revision
                revision = daemon.store.lists.revision
                assert revision >= known, "serves older lists than a peer"

    def _report(self, daemon: ModelDaemon) -> PeerReport:
        if daemon.index in self.asleep:
            return PeerReport(PeerAnswer.SILENT)
        answer = PeerAnswer.STARTING
        if daemon.trusts_lists:
            answer = PeerAnswer.SURE
        return PeerReport(answer, daemon.store.lists.revision, 1)

    def _settle(self) -> None:
        for index in range(len(self.daemons)):
            if index not in self.asleep:
                self._refresh(index)

    @rule(source=any_daemon, other=any_daemon)
    def send(self, source: int, other: int) -> None:
        source, other = self._pick(source), self._pick(other)
        if source != other and self._is_awake(source):
            self._begin(source, other)

    @rule(source=any_daemon, other=any_daemon, lag=any_lag)
    def outlive_the_sender(self, source: int, other: int, lag: int) -> None:
        """Deliver a message after its sender has started again."""
        source, other = self._pick(source), self._pick(other)
        if source == other or {source, other} & self.asleep:
            return
        self._begin(source, other)
        letter = self.letters.pop()
        self.restart(source, lag)
        self._deliver(letter)

    @rule(copies=st.integers(0, 2))
    def deliver_some(self, copies: int) -> None:
        """Lose, deliver or repeat any message on its way."""
        if not self.letters:
            return
        position = self.random.randrange(len(self.letters))
        letter = self.letters.pop(position)
        if letter.target in self.asleep:
            self.letters.append(letter)
            return
        for _ in range(copies):
            reply = self._deliver(letter)
            if reply is not None:
                self.letters.append(reply)

    @rule(index=any_daemon, engine=any_engine)
    def refuse(self, index: int, engine: int) -> None:
        """Let an engine tell a daemon that it takes no new work."""
        index = self._pick(index)
        if self._is_awake(index):
            self.daemons[index].marks.mark_draining(
                self.engines[engine], self.now_s
            )

    @rule(index=any_daemon, engine=any_engine)
    def publish(self, index: int, engine: int) -> None:
        """One daemon reads a host list that names a leaving engine."""
        index = self._pick(index)
        if not self._is_awake(index):
            return
        self.revision += 1
        hosts = {e.host: e for e in self.engines}
        chosen = self.engines[engine]
        hosts[chosen.host] = chosen._replace(state=HostState.LEAVING)
        daemon = self.daemons[index]
        daemon.marks.apply_host_list(
            HostList(self.revision, hosts), self.now_s
        )

    @rule(index=any_daemon, engine=any_engine)
    def list_as_live(self, index: int, engine: int) -> None:
        """Let a daemon read a list that still names engines as live."""
        index = self._pick(index)
        if not self._is_awake(index):
            return
        self.revision += 1
        hosts = HostList(self.revision, {e.host: e for e in self.engines})
        self.daemons[index].marks.apply_host_list(hosts, self.now_s)

    @rule()
    def publish_lists(self) -> None:
        self.published += 1

    @rule(index=any_daemon, lag=any_lag)
    def read_lists(self, index: int, lag: int) -> None:
        index = self._pick(index)
        if self._is_awake(index):
            self._read(index, lag)

    @rule(engine=any_engine)
    def restart_engine(self, engine: int) -> None:
        self.nonce += 1
        self.engines[engine] = self.engines[engine]._replace(
            incarnation=str(self.nonce)
        )

    @rule(index=any_daemon, lag=any_lag)
    def restart(self, index: int, lag: int) -> None:
        index = self._pick(index)
        self.asleep.discard(index)
        self.daemons[index] = self._new(index)
        self.daemons[index].life.refreshed()
        assert not self.daemons[index].takes(self.engines[0], self.now_s)
        self._refresh(index)
        self._start_lists(index, lag)

    @rule(index=any_daemon)
    def fall_asleep(self, index: int) -> None:
        self.asleep.add(self._pick(index))

    @rule(seconds=st.floats(1.5, 20.0))
    def pass_time(self, seconds: float) -> None:
        self.now_s += seconds
        for index, daemon in enumerate(self.daemons):
            if index not in self.asleep:
                daemon.guard.tick(self.now_s)

    @rule(index=any_daemon, engine=any_engine)
    def wake_up(self, index: int, engine: int) -> None:
        """Wake a daemon, which acts only after it has asked."""
        if not self.asleep:
            return
        index = sorted(self.asleep)[index % len(self.asleep)]
        self.now_s += 1.5
        for other, daemon in enumerate(self.daemons):
            if other not in self.asleep:
                daemon.guard.tick(self.now_s)
        self.asleep.discard(index)
        assert not self.daemons[index].takes(self.engines[engine], self.now_s)
        # Lists alone, read again, do not make it sure.
        self.daemons[index].life.refreshed()
        assert not self.daemons[index].takes(self.engines[engine], self.now_s)
        self._refresh(index)
        for other in range(len(self.daemons)):
            if other not in self.asleep:
                known = set(self.daemons[other].marks.records)
                assert known <= set(self.daemons[index].marks.records)

    @rule()
    def heal(self) -> None:
        """With everything through for two rounds, all views agree."""
        self.asleep.clear()
        for daemon in self.daemons:
            daemon.guard.tick(self.now_s)
        self._settle()
        self._settle()
        self._check_views("after all met all")
        present = {d.own for d in self.daemons}
        for daemon in self.daemons:
            alive = {
                p.incarnation
                for p in daemon.table.peers(self.now_s)
                if p.state is PeerState.ALIVE
            }
            assert alive == present - {daemon.own}

    @rule()
    def heal_within_views(self) -> None:
        """Only contacts meet; news still crosses the fleet."""
        self.asleep.clear()
        for daemon in self.daemons:
            daemon.is_sure(self.now_s)
            daemon.guard.tick(self.now_s)
        count = len(self.daemons)
        for _ in range(count):
            for index, daemon in enumerate(self.daemons):
                for target in sorted(daemon.contacts(count)):
                    self._exchange(index, target)
        for daemon in self.daemons:
            daemon.life.record_peers_asked(daemon.life.pauses)
            daemon.life.refreshed()
        self._check_views("after contacts met")

    def _check_views(self, when: str) -> None:
        known = [set(d.marks.records) for d in self.daemons]
        assert all(marks == known[0] for marks in known), f"differ {when}"
        for engine in self.engines:
            if leaving_mark_for(engine) not in known[0]:
                continue
            takers = [d for d in self.daemons if d.takes(engine, self.now_s)]
            assert takers == [], "a leaving engine gets work"

    @invariant()
    def marks_are_sticky(self) -> None:
        for index, daemon in enumerate(self.daemons):
            leaving = {e for e in self.engines if daemon.marks.is_leaving(e)}
            gone = self.was_marked[index] - leaving
            assert not gone & set(self.engines), "a mark was forgotten"
            self.was_marked[index] |= leaving

    @invariant()
    def revisions_only_grow(self) -> None:
        for index, daemon in enumerate(self.daemons):
            revision = daemon.store.lists.revision
            assert revision >= self.was_revision[index], "a revision fell"
            self.was_revision[index] = revision

    @invariant()
    def the_silent_are_not_alive(self) -> None:
        for daemon in self.daemons:
            for peer in daemon.table.peers(self.now_s):
                if peer.state is not PeerState.ALIVE:
                    continue
                heard_s = self.heard_s[daemon.own, peer.incarnation]
                silent_s = self.now_s - heard_s
                assert silent_s < STALE_AFTER_S, "a silent peer is alive"

    @invariant()
    def the_dead_do_not_come_back(self) -> None:
        """Check that what was replaced once is never present again."""
        for daemon in self.daemons:
            for incarnation in daemon.table.incarnations():
                key = (daemon.own, incarnation.address)
                newest = self.newest.get(key, 0)
                assert incarnation.nonce >= newest, "the dead came back"
                self.newest[key] = incarnation.nonce

    @invariant()
    def replaced_incarnations_stay_dead(self) -> None:
        for daemon in self.daemons:
            for incarnation in daemon.table.replaced:
                state = daemon.table.state_of(incarnation, self.now_s)
                assert state is PeerState.DEAD


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(
    max_examples=100, stateful_step_count=50, deadline=None
)


class ForgettingMarks(LeavingMarks):
    """Forgets a mark when its engine is listed as live again."""

    def apply_host_list(self, hosts: HostList, now_s: float) -> None:
        super().apply_host_list(hosts, now_s)
        for entry in hosts.hosts.values():
            if entry.state is HostState.LIVE:
                self.records.pop(leaving_mark_for(entry), None)


class MarkDroppingSection(MarksSection):
    """Reads only the first mark of a message but acknowledges all."""

    def absorb(
        self, message: HeartbeatMessage, peer: Incarnation, now_s: float
    ) -> None:
        del message.marks[1:]
        super().absorb(message, peer, now_s)


class RevertingStore(ListStore):
    """Puts lists in force even if they are older."""

    def offer_lists(self, lists: PublishedLists) -> bool:
        self.lists = lists
        return True


class NeverStaleTable(PeerTable):
    """Never marks a silent peer as stale or dead."""

    def update_states(self, now_s: float) -> None:
        return None


class RevivingTable(PeerTable):
    """Treats the sender of any request as the present incarnation."""

    def record_request(self, heard: SenderInfo, now_s: float) -> bool:
        self.replaced.pop(heard.incarnation, None)
        self.record_reply(self.exchange_count + 1, heard, now_s)
        return False


class ForgettingDaemon(ModelDaemon):
    marks_type = ForgettingMarks


class MarkDroppingDaemon(ModelDaemon):
    section_type = MarkDroppingSection


class RevertingDaemon(ModelDaemon):
    store_type = RevertingStore


class ServiceTrustingDaemon(ModelDaemon):
    """Trusts the lists of the service alone when it starts."""

    def may_trust(
        self, own: OwnListState, reports: Sequence[PeerReport]
    ) -> bool:
        return own.lists_revision > 0


class NeverStaleDaemon(ModelDaemon):
    table_type = NeverStaleTable


class RevivingDaemon(ModelDaemon):
    table_type = RevivingTable


class CellOnlyDaemon(ModelDaemon):
    """Exchanges heartbeats only within its cell."""

    def contacts(self, count: int) -> set[int]:
        own = ENTRIES[self.index]
        chosen = choose_contacts(ENTRIES[:count], own, CELL_SIZE)
        return {ENTRIES.index(entry) for entry in chosen.cell}


class HostListOnlyDaemon(ModelDaemon):
    """Sends work by the host list alone and ignores marks."""

    def takes(self, engine: HostEntry, now_s: float) -> bool:
        return self.is_sure(now_s) and engine.state is HostState.LIVE


class PauseIgnoringDaemon(ModelDaemon):
    """Acts after a pause on what it knew before it."""

    def is_sure(self, now_s: float) -> bool:
        return self.life.state == "serving"


@pytest.mark.parametrize(
    ("daemon", "expected_failure"),
    [
        (ForgettingDaemon, "a mark was forgotten"),
        (MarkDroppingDaemon, "differ after"),
        (RevertingDaemon, "a revision fell"),
        (ServiceTrustingDaemon, "serves older lists than a peer"),
        (NeverStaleDaemon, "a silent peer is alive"),
        (RevivingDaemon, "the dead came back"),
        (CellOnlyDaemon, "differ after contacts met"),
        (HostListOnlyDaemon, "a leaving engine gets work"),
        (PauseIgnoringDaemon, "takes"),
    ],
)
def test_removing_a_guard_violates_an_invariant(
    daemon: type[ModelDaemon], expected_failure: str
) -> None:
    class FaultyMachine(FleetMachine):
        daemon_type = daemon

    with pytest.raises(AssertionError, match=expected_failure):
        run_machine(FaultyMachine, examples=300, steps=50)
