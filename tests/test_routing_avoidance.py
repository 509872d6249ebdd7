"""Tests how long engines that cut streams are avoided."""

from plantainsail.routing.avoidance import (
    CUT_WINDOW_S,
    FIRST_AVOIDANCE_S,
    MAX_AVOIDANCE_S,
    PEER_REPEAT_MARGIN_S,
    Avoidance,
)


def test_each_further_cut_doubles_the_avoidance_up_to_its_limit() -> None:
    avoidance = Avoidance()
    avoidance.note_cut("one", 0.0)
    assert avoidance.is_avoided("one", FIRST_AVOIDANCE_S - 0.01)
    assert not avoidance.is_avoided("one", FIRST_AVOIDANCE_S + 0.01)
    assert not avoidance.is_avoided("two", 0.0)
    avoidance.note_cut("one", 1.0)
    assert avoidance.is_avoided("one", 1.0 + 2 * FIRST_AVOIDANCE_S - 0.01)
    for _ in range(9):
        avoidance.note_cut("one", 1.0)
    assert not avoidance.is_avoided("one", 1.01 + MAX_AVOIDANCE_S)


def test_cuts_outside_the_window_do_not_count() -> None:
    avoidance = Avoidance()
    for _ in range(5):
        avoidance.note_cut("one", 0.0)
    later_s = CUT_WINDOW_S + 1.0
    avoidance.note_cut("one", later_s)
    assert not avoidance.is_avoided("one", later_s + FIRST_AVOIDANCE_S + 0.01)


def test_cuts_of_different_daemons_count_together() -> None:
    sender, receiver = Avoidance(), Avoidance()
    sender.note_cut("one", 0.0)
    for identifier, left_s in sender.local_remaining_s(0.1).items():
        receiver.record_peer_avoidance(identifier, left_s, 0.1)
    assert receiver.is_avoided("one", FIRST_AVOIDANCE_S - 0.01)
    receiver.note_cut("one", 0.5)
    assert receiver.is_avoided("one", 0.5 + 2 * FIRST_AVOIDANCE_S - 0.01)


def test_a_repeated_peer_report_counts_once() -> None:
    avoidance = Avoidance()
    avoidance.record_peer_avoidance("one", 0.6, 0.0)
    avoidance.record_peer_avoidance("one", 0.6, PEER_REPEAT_MARGIN_S / 2)
    assert len(avoidance.cuts["one"]) == 1
    # A daemon doesn't pass on what it learned from peers.
    assert avoidance.local_remaining_s(0.0) == {}


def test_an_expired_avoidance_is_no_longer_sent_to_peers() -> None:
    avoidance = Avoidance()
    avoidance.note_cut("one", 0.0)
    assert set(avoidance.local_remaining_s(0.1)) == {"one"}
    assert avoidance.local_remaining_s(FIRST_AVOIDANCE_S + 0.1) == {}
    avoidance.forget_except(set())
    assert avoidance.avoided_until_s == {}
