"""Liveness and leaving marks when messages are late or out of order.

A message that waited in a buffer may arrive after its sender restarted
or after a later exchange.  It must not bring an old incarnation back,
nor make a daemon believe that its peer knows marks that it lacks.
"""

import pytest

from plantainsail.identity import Incarnation
from plantainsail.lists.model import HostEntry, HostList, Role
from plantainsail.membership.liveness import (
    DEAD_AFTER_S,
    FORGET_AFTER_S,
    STALE_AFTER_S,
    PeerTable,
    SenderInfo,
)
from plantainsail.membership.marks import (
    RETENTION_S,
    LeavingMarks,
    leaving_mark_for,
)
from plantainsail.membership.versions import is_compatible
from plantainsail.membership.view import PeerState
from plantainsail.peers.marks_section import MarksSection
from plantainsail.peers.messages import make_heartbeat
from plantainsail.peers.wire.fleet_pb2 import HeartbeatMessage

ADDRESS = "10.0.0.1:1"
OLD = Incarnation(ADDRESS, 1)
NEW = Incarnation(ADDRESS, 2)
OWN = Incarnation("10.0.0.2:1", 7)
ENGINE = HostEntry("engine-1", Role.ENGINE, "10.1.0.1:1", "a")


def present_incarnation(table: PeerTable) -> Incarnation | None:
    return table.incarnation_at(ADDRESS)


@pytest.mark.parametrize(
    ("silent_s", "state"),
    [
        (0.0, PeerState.ALIVE),
        (STALE_AFTER_S, PeerState.STALE),
        (DEAD_AFTER_S, PeerState.DEAD),
    ],
)
def test_silence_makes_stale_then_dead(
    silent_s: float, state: PeerState
) -> None:
    table = PeerTable()
    table.record_reply(table.begin_exchange(), SenderInfo(OLD), 10.0)
    assert table.state_of(OLD, 10.0 + silent_s) is state
    table.record_request(SenderInfo(OLD), 30.0)
    assert table.state_of(OLD, 30.0) is PeerState.ALIVE


def test_refused_connection_makes_stale_not_dead() -> None:
    table = PeerTable()
    table.record_request(SenderInfo(OLD), 0.0)
    table.record_connection_refused(ADDRESS)
    assert table.state_of(OLD, 0.1) is PeerState.STALE


def test_late_reply_does_not_bring_the_old_incarnation_back() -> None:
    table = PeerTable()
    first, second = table.begin_exchange(), table.begin_exchange()
    table.record_reply(second, SenderInfo(NEW), 0.0)
    table.record_reply(first, SenderInfo(OLD), 0.1)
    assert present_incarnation(table) == NEW


def test_late_request_asks_for_a_check_but_replaces_nothing() -> None:
    table = PeerTable()
    table.record_reply(table.begin_exchange(), SenderInfo(NEW), 0.0)
    assert table.record_request(SenderInfo(OLD), 0.1)
    assert present_incarnation(table) == NEW
    table.record_reply(table.begin_exchange(), SenderInfo(NEW), 0.2)
    assert table.state_of(NEW, 0.2) is PeerState.ALIVE


def test_replaced_incarnation_stays_dead_whatever_arrives() -> None:
    table = PeerTable()
    table.record_request(SenderInfo(OLD), 0.0)
    table.record_reply(table.begin_exchange(), SenderInfo(NEW), 0.1)
    table.record_reply(table.begin_exchange(), SenderInfo(OLD), 0.2)
    assert not table.record_request(SenderInfo(OLD), 0.3)
    assert table.state_of(OLD, 0.3) is PeerState.DEAD
    assert present_incarnation(table) == NEW


@pytest.fixture
def forgetful_table() -> PeerTable:
    """Return a table that has just forgotten the newer incarnation."""
    table = PeerTable()
    table.record_reply(table.begin_exchange(), SenderInfo(NEW), 0.0)
    table.update_states(FORGET_AFTER_S + 1.0)
    assert table.peers(FORGET_AFTER_S + 1.0) == []
    return table


def test_request_of_an_older_incarnation_than_a_forgotten_one_is_checked(
    forgetful_table: PeerTable,
) -> None:
    """A buffered request must not bring an older incarnation back."""
    now_s = FORGET_AFTER_S + 1.0
    assert forgetful_table.record_request(SenderInfo(OLD), now_s)
    assert present_incarnation(forgetful_table) == NEW
    assert forgetful_table.state_of(OLD, now_s) is None
    number = forgetful_table.begin_exchange()
    forgetful_table.record_reply(number, SenderInfo(NEW), now_s)
    assert forgetful_table.state_of(NEW, now_s) is PeerState.ALIVE


def test_reply_to_an_older_exchange_than_a_forgotten_one_is_ignored() -> None:
    table = PeerTable()
    first, second = table.begin_exchange(), table.begin_exchange()
    table.record_reply(second, SenderInfo(NEW), 0.0)
    now_s = FORGET_AFTER_S + 1.0
    table.update_states(now_s)
    table.record_reply(first, SenderInfo(OLD), now_s)
    assert table.state_of(OLD, now_s) is None


def test_forgotten_incarnation_that_answers_is_alive_again(
    forgetful_table: PeerTable,
) -> None:
    """A daemon that was cut off for long returns as what it was."""
    now_s = FORGET_AFTER_S + 1.0
    assert not forgetful_table.record_request(SenderInfo(NEW), now_s)
    assert forgetful_table.state_of(NEW, now_s) is PeerState.ALIVE


def message_for(
    section: MarksSection, sender: Incarnation, peer: Incarnation | None
) -> HeartbeatMessage:
    message = make_heartbeat(sender, is_draining=False, is_unsure=False)
    section.fill(message, peer, 0.0)
    return message


def test_message_for_an_older_incarnation_counts_no_marks_as_sent() -> None:
    """A restarted daemon must get the marks its old incarnation had."""
    sender = MarksSection(LeavingMarks(), OWN)
    sender.marks.mark_draining(ENGINE, 0.0)
    old = MarksSection(LeavingMarks(), OLD)
    old.absorb(message_for(sender, OWN, OLD), OWN, 0.0)
    sender.absorb(message_for(old, OLD, OWN), OLD, 0.0)
    late_message = message_for(sender, OWN, OLD)
    assert not late_message.marks
    new = MarksSection(LeavingMarks(), NEW)
    new.absorb(late_message, OWN, 0.1)
    sender.absorb(message_for(new, NEW, OWN), NEW, 0.1)
    assert sender.has_marks_for(NEW)
    new.absorb(message_for(sender, OWN, NEW), OWN, 0.2)
    assert new.marks.is_leaving(ENGINE)


def test_acknowledgement_for_an_older_incarnation_is_ignored() -> None:
    """A peer that answers the old incarnation lacks the new marks."""
    old = MarksSection(LeavingMarks(), OLD)
    old.marks.mark_draining(ENGINE, 0.0)
    peer = MarksSection(LeavingMarks(), OWN)
    peer.absorb(message_for(old, OLD, OWN), OLD, 0.0)
    late_message = message_for(peer, OWN, OLD)
    new = MarksSection(LeavingMarks(), NEW)
    new.marks.mark_draining(ENGINE._replace(incarnation="9"), 0.1)
    late_message.ClearField("marks")
    new.absorb(late_message, OWN, 0.1)
    assert new.has_marks_for(OWN)


def test_marks_expire_only_after_retention_from_last_listing() -> None:
    marks = LeavingMarks()
    marks.mark_draining(ENGINE, 0.0)
    listed = {ENGINE.host: ENGINE}
    marks.apply_host_list(HostList(1, listed), 10 * RETENTION_S)
    assert marks.is_leaving(ENGINE)
    marks.apply_host_list(HostList(2, {}), 10.9 * RETENTION_S)
    assert leaving_mark_for(ENGINE) in marks.records
    marks.apply_host_list(HostList(3, {}), 11.1 * RETENTION_S)
    assert leaving_mark_for(ENGINE) not in marks.records
    assert not marks.is_leaving(ENGINE._replace(incarnation="2"))


@pytest.mark.parametrize(
    ("version", "own", "compatible"),
    [(0, 1, False), (1, 1, True), (1, 2, True), (3, 2, True), (1, 3, False)],
)
def test_only_successive_versions_are_compatible(
    version: int, own: int, compatible: bool
) -> None:
    assert is_compatible(version, own) is compatible
