"""Stream buffers, signed stream names and the cancelling of streams.

The buffer is compared with a plain list of all its chunks.
"""

from hypothesis import given
from hypothesis import strategies as st

from plantainsail.identity import Incarnation
from plantainsail.results import Code
from plantainsail.signing import Signer
from plantainsail.streams.buffer import (
    CHUNK_OVERHEAD_BYTES,
    HISTORY_LIMIT_BYTES,
    PENDING_LIMIT_BYTES,
    StreamBuffer,
)
from plantainsail.streams.lifetime import (
    Lifetime,
    SweepAction,
    choose_sweep_action,
)
from plantainsail.streams.naming import (
    StreamName,
    remaining_s,
    sign_name,
    verify_name,
)
from plantainsail.upstreams.protocols import Chunk

GRACE_S = 15.0
LARGEST_TEXT = 3_000
NAME = StreamName(
    "desk", "letter-7b", "req-1", "gen-1", "engine-1", "7",
    Incarnation("10.0.0.1:8090", 5), 0, 100, 9, True, 4,
    1_000_000,
)  # fmt: skip
SIGNER = Signer([b"k" * 16])
BUFFER_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("append"), st.integers(1, LARGEST_TEXT)),
        st.tuples(st.just("take"), st.just(0)),
        st.tuples(st.just("rewind"), st.integers(0, 300)),
    ),
    max_size=120,
)


@given(BUFFER_STEPS)
def test_buffer_returns_the_same_chunks_as_a_list(
    steps: list[tuple[str, int]],
) -> None:
    buffer = StreamBuffer()
    all_chunks: list[Chunk] = []
    read_position = 0
    end = 0
    for action, size in steps:
        if action == "append" and not buffer.is_full:
            tokens = 1 + size % 3
            chunk = Chunk("req", "gen", 0, end, tokens, "x" * size)
            all_chunks.append(chunk)
            buffer.append([chunk])
            end += tokens
        if action == "take":
            taken = buffer.take()
            assert taken == [
                c for c in all_chunks if c.position >= read_position
            ]
            read_position = end
        if action == "rewind":
            starts = [c.position for c in all_chunks] + [end]
            position = starts[size % len(starts)]
            if buffer.rewind(position, end):
                read_position = position
            else:
                assert position < read_position
        largest = CHUNK_OVERHEAD_BYTES + LARGEST_TEXT
        assert buffer.history_bytes <= HISTORY_LIMIT_BYTES + largest
        held = buffer.pending_bytes + buffer.history_bytes
        limit = PENDING_LIMIT_BYTES + HISTORY_LIMIT_BYTES + 2 * largest
        assert held <= limit


def test_rewind_into_the_middle_of_a_chunk_is_refused() -> None:
    buffer = StreamBuffer()
    buffer.append([Chunk("req", "gen", 0, 0, 4, "a b c d")])
    buffer.take()
    assert not buffer.rewind(2, 4)
    assert not buffer.rewind(5, 4)
    assert buffer.rewind(4, 4)
    assert buffer.take() == []
    assert buffer.rewind(0, 4)
    assert len(buffer.take()) == 1


def test_name_is_bound_to_organisation_key_and_purpose() -> None:
    text = sign_name(NAME, SIGNER)
    assert verify_name(text, "desk", SIGNER).ok == NAME
    other_organisation = verify_name(text, "store", SIGNER)
    assert other_organisation.error.code == Code.STREAM_INVALID
    other_key = verify_name(text, "desk", Signer([b"o" * 16]))
    assert other_key.error.code == Code.STREAM_INVALID
    ticket = SIGNER.sign("ticket", b"payload")
    assert verify_name(ticket, "desk", SIGNER).is_error()


@given(st.floats(0.0, 3_000.0), st.floats(0.1, 600.0))
def test_name_never_grants_time_past_the_deadline(
    unix_s: float, limit_s: float
) -> None:
    left_s = remaining_s(NAME, unix_s, limit_s)
    assert 0.0 <= left_s <= limit_s
    assert left_s == 0.0 or unix_s + left_s <= 1_000.0 + 1e-6


@given(st.text(max_size=80))
def test_unsigned_text_is_refused_as_a_name(text: str) -> None:
    assert verify_name(text, "desk", SIGNER).is_error()


@given(
    lifetime=st.builds(
        Lifetime,
        st.sampled_from([None, 0.0, 90.0]),
        st.sampled_from([None, 0.0, 90.0]),
        st.booleans(),
        st.booleans(),
    ),
    is_sure=st.booleans(),
    is_fenced=st.booleans(),
)
def test_only_a_sure_daemon_cancels_an_unread_stream(
    lifetime: Lifetime, is_sure: bool, is_fenced: bool
) -> None:
    action = choose_sweep_action(lifetime, 100.0, GRACE_S, is_sure, is_fenced)
    if action in (SweepAction.CANCEL, SweepAction.ASK):
        assert is_sure
        assert not lifetime.is_taken_over
        assert lifetime.unread_since_s == 0.0
        assert lifetime.ended_at_s is None
    if lifetime.was_paused:
        assert action is not SweepAction.ASK
    if action is SweepAction.CANCEL:
        assert is_fenced
    if action is SweepAction.FORGET:
        assert lifetime.ended_at_s == 0.0
