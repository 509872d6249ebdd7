"""Answers of upstreams with numbers and names that can't be used.

Python converts no number with very many digits, and a decimal one may
be infinite.  Such a number, a status or a name of a copy must be
refused where it is read, and neither fail a request nor end a task.
"""

import asyncio
import math
from unittest.mock import Mock

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from plantainsail.entry.dialect import parse_decimal, parse_token_counts
from plantainsail.platform.mover import PlatformMover
from plantainsail.routing.positions import EventPositions
from plantainsail.upstreams.single_use import (
    CutShortError,
    OutgoingRequest,
    SingleUseConnection,
)
from tests.standins.routed import (
    StandInUpstream,
    answer,
    respond_with,
)

DEEP = b"[" * 2_000


@given(st.binary(max_size=24) | st.integers(0).map(lambda n: b"%d" % n))
@example(b"1" * 5_000)
def test_any_header_value_is_parsed(value: bytes) -> None:
    """A number with many digits failed requests, or was infinite."""
    number = parse_decimal(value)
    assert number is None or math.isfinite(number)
    parse_token_counts(value + b"," + value)
    positions = EventPositions()
    positions.classify(value)
    positions.classify(value + b"1")


@given(st.lists(st.binary(max_size=40), max_size=6))
@example([b"HTTP/1.1 999 Odd\r\n\r\n"])
@example([b"HTTP/1.1 200 OK\r\ncontent-length: " + b"1" * 5_000 + b"\r\n\r\n"])
@example([b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"f" * 99])
def test_any_bytes_are_an_answer_or_cut_short(pieces: list[bytes]) -> None:
    asyncio.run(read_any_answer(b"HTTP/1.1 200 OK\r\n", pieces))
    asyncio.run(read_any_answer(b"", pieces))


async def read_any_answer(start: bytes, pieces: list[bytes]) -> None:
    """Read an answer that a connection gets in pieces."""
    reader = asyncio.StreamReader()
    writer = Mock(spec=asyncio.StreamWriter)
    connection = SingleUseConnection(reader, writer)
    connection.send(OutgoingRequest(b"GET", b"/", [(b"host", b"a")]))
    reader.feed_data(start + b"".join(pieces))
    reader.feed_eof()
    try:
        head = await connection.read_head()
        await connection.read_body(1_000)
    except CutShortError:
        return
    assert 200 <= head.status < 600


@pytest.mark.parametrize(
    "report",
    [{"leaves_ms": 10**400}, {"leaves_ms": -1}, {"leaves_ms": True}, DEEP],
)
async def test_odd_report_of_an_engine_names_no_notice(report: object) -> None:
    """A number too large ended the task that watches engines."""
    body = report if isinstance(report, bytes) else msgspec.json.encode(report)
    engine = StandInUpstream("e", respond_with(answer(body=body)))
    await engine.start()
    status = await PlatformMover().departure_status(engine.address)
    assert status is None or (status.leaves_in_s or 0.0) < 1.0
    engine.stop()


async def test_copy_that_no_header_can_name_is_not_used() -> None:
    handle = msgspec.json.encode({"KvHandle": "a\r\nx: y"})
    engine = StandInUpstream("e", respond_with(answer(body=handle)))
    await engine.start()
    copied = await PlatformMover().copy_run(
        engine.address, "r1", "127.0.0.1:9", is_final=False
    )
    assert copied.status == 0
    engine.stop()
