"""How long engines that cut streams are avoided."""

from plantainsail.routing.avoidance import (
    CUT_WINDOW_S,
    FIRST_AVOIDANCE_S,
    MAX_AVOIDANCE_S,
    PEER_REPEAT_MARGIN_S,
    Avoidance,
)


def test_an_engine_is_avoided_longer_with_each_cut() -> None:
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


def test_what_is_long_past_is_forgiven() -> None:
    avoidance = Avoidance()
    for _ in range(5):
        avoidance.note_cut("one", 0.0)
    later_s = CUT_WINDOW_S + 1.0
    avoidance.note_cut("one", later_s)
    assert not avoidance.is_avoided("one", later_s + FIRST_AVOIDANCE_S + 0.01)


def test_cuts_count_over_all_daemons() -> None:
    seen, told = Avoidance(), Avoidance()
    seen.note_cut("one", 0.0)
    for identifier, left_s in seen.local_remaining_s(0.1).items():
        told.record_peer_avoidance(identifier, left_s, 0.1)
    assert told.is_avoided("one", FIRST_AVOIDANCE_S - 0.01)
    told.note_cut("one", 0.5)
    assert told.is_avoided("one", 0.5 + 2 * FIRST_AVOIDANCE_S - 0.01)


def test_a_word_that_is_repeated_counts_once() -> None:
    avoidance = Avoidance()
    avoidance.record_peer_avoidance("one", 0.6, 0.0)
    avoidance.record_peer_avoidance("one", 0.6, PEER_REPEAT_MARGIN_S / 2)
    assert len(avoidance.cuts["one"]) == 1
    # What others saw is theirs to tell.
    assert avoidance.local_remaining_s(0.0) == {}


def test_a_word_is_no_longer_told_once_it_is_over() -> None:
    avoidance = Avoidance()
    avoidance.note_cut("one", 0.0)
    assert set(avoidance.local_remaining_s(0.1)) == {"one"}
    assert avoidance.local_remaining_s(FIRST_AVOIDANCE_S + 0.1) == {}
    avoidance.forget_except(set())
    assert avoidance.avoided_until_s == {}
