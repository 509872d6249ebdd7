"""Tests streams that continue on another engine or connection."""

from hypothesis import given
from hypothesis import strategies as st

from plantainsail.routing.evacuation import (
    CUT_OVER,
    CUT_OVER_RESERVE_S,
    FINAL_COPY,
    WAIT,
    can_copy_finish,
    copy_time_s,
    next_step,
    will_end_before_engine,
)
from plantainsail.routing.event_frames import EventFrames
from plantainsail.routing.positions import EventContinuity, EventPositions

GONE_S = 10.0


def event(number: int, line_end: str = "\n") -> bytes:
    lines = (f"id: {number}", "data: four tokens", "", "")
    return line_end.join(lines).encode()


@given(
    st.lists(st.integers(1, 40), max_size=30),
    st.sampled_from(["\n", "\r\n"]),
)
def test_events_are_complete_however_the_data_is_split(
    sizes: list[int], line_end: str
) -> None:
    stream = b"".join(event(number, line_end) for number in range(8))
    frames = EventFrames()
    events: list[bytes] = []
    remaining = stream
    for size in sizes:
        events += [frame.data for frame in frames.feed(remaining[:size])]
        remaining = remaining[size:]
    events += [frame.data for frame in frames.feed(remaining)]
    assert events == [event(number, line_end) for number in range(8)]
    assert frames.rest == b""


def test_an_incomplete_event_is_not_passed_on() -> None:
    frames = EventFrames()
    assert frames.feed(event(1)[:-1]) == []
    assert frames.rest == event(1)[:-1]


def test_an_event_without_identifier_is_passed_on() -> None:
    frames = EventFrames()
    assert frames.feed(b"data: x\n\n")[0].event_id == b""
    positions = EventPositions()
    assert positions.classify(b"") is EventContinuity.NEXT
    assert positions.classify(b"") is EventContinuity.NEXT


@given(
    st.integers(0, 20),
    st.integers(1, 5),
    st.integers(2, 10),
    st.integers(0, 9),
)
def test_a_second_connection_repeats_and_misses_no_event(
    first: int, step: int, before: int, overlap: int
) -> None:
    positions = EventPositions()
    numbers = [first + step * n for n in range(before + 5)]
    delivered: list[int] = []
    again = numbers[max(0, before - overlap) :]
    for number in numbers[:before] + again:
        if positions.classify(str(number).encode()) is EventContinuity.NEXT:
            delivered.append(number)
    assert delivered == numbers


def test_a_gap_between_events_is_detected() -> None:
    positions = EventPositions()
    for number in (1, 2, 3):
        assert positions.classify(str(number).encode()) is EventContinuity.NEXT
    assert positions.classify(b"5") is EventContinuity.GAP


def test_a_final_copy_waits_for_first_copies_until_the_cut_over() -> None:
    assert next_step(0, GONE_S, 8.0) is FINAL_COPY
    assert next_step(3, GONE_S, 8.0) is WAIT
    cut_over_s = GONE_S - CUT_OVER_RESERVE_S
    assert next_step(3, GONE_S, cut_over_s) is CUT_OVER
    assert next_step(0, GONE_S, cut_over_s) is CUT_OVER


def test_a_copy_to_another_zone_takes_twice_as_long() -> None:
    near_s = copy_time_s(4_000, 327_680, 5.875e9, is_same_zone=True)
    far_s = copy_time_s(4_000, 327_680, 5.875e9, is_same_zone=False)
    assert 0.2 < near_s < 0.25
    assert far_s == 2 * near_s
    assert copy_time_s(4_000, 327_680, 0.0, is_same_zone=True) == 0.0


def test_a_copy_that_cannot_finish_in_time_is_not_started() -> None:
    assert can_copy_finish(0.4, GONE_S, GONE_S - 0.5)
    assert not can_copy_finish(0.4, GONE_S, GONE_S - 0.3)


def test_a_stream_ends_in_time_only_if_its_token_limit_says_so() -> None:
    """Guards against leaving a stream on an engine that goes first.

    Streams lasted longer than their length hints (scenario trouble-3),
    so only the token limit counts.
    """
    assert will_end_before_engine(40, 0.009, GONE_S, GONE_S - 1.5)
    assert not will_end_before_engine(400, 0.009, GONE_S, GONE_S - 1.5)
