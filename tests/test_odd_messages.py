"""Datagrams and snapshots of peers that hold what can't be used.

A malformed message must be refused where it is read.  An address that
nothing can be sent to, or a speed of 0, would end a task of the daemon
much later, and again each time.
"""

import asyncio
import zlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from plantainsail.decoding import UndecodableError, decode
from plantainsail.entry.announcements import LIMITS_DECODER, SUSPECTS_DECODER
from plantainsail.entry.daemon import EntryDaemon
from plantainsail.entry.datagrams import (
    HEARTBEAT_DECODER,
    INTRODUCTION_DECODER,
    LIST_CHANGE_DECODER,
    LIST_CHANGE_PREFIX,
)
from plantainsail.entry.heartbeats import make_whole_heartbeat
from plantainsail.entry.snapshot import (
    MAX_MESSAGE_BYTES,
    decode_snapshot,
)
from plantainsail.routing.fleet_loads import UpstreamLoad
from plantainsail.routing.messages import ListChange, LoadEntry
from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.pace import Pace
from tests.standins.routed import (
    StandInSource,
    configuration,
    start_entry,
)
from tests.standins.waiting import until as until_true

# A test that waits in vain fails after this time.
LIMIT_S = 10.0
DEEP_MSGPACK = b"\x91" * 2_000


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, for a limited time."""
    async with asyncio.timeout(LIMIT_S):
        await until_true(condition)


@pytest.fixture
async def daemon() -> AsyncIterator[EntryDaemon]:
    daemon = await start_entry(StandInSource(configuration(), ()))
    await until(daemon.node.is_ready)
    yield daemon
    await daemon.stop()


@given(st.binary(max_size=80).map(zlib.compress) | st.binary(max_size=80))
@example(zlib.compress(bytes(MAX_MESSAGE_BYTES + 1)))
@example(zlib.compress(DEEP_MSGPACK))
def test_any_snapshot_decodes_or_raises_one_error(data: bytes) -> None:
    try:
        decode_snapshot(data)
    except UndecodableError:
        return


@pytest.mark.parametrize(
    "members", [("nowhere",), ("127.0.0.1:99999",), ("127.0.0.1:0", "x:y")]
)
async def test_gossip_goes_on_after_a_malformed_address_of_a_member(
    daemon: EntryDaemon, members: tuple[str, ...]
) -> None:
    """The task that sends heartbeats ended at it again and again."""
    heartbeat = make_whole_heartbeat(daemon.node)._replace(
        address="127.0.0.1:9", sequence=1, members=(*members, "127.0.0.1:8")
    )
    daemon.gossip.datagram_received(
        msgspec.msgpack.encode(heartbeat), ("127.0.0.1", 9)
    )
    assert set(daemon.node.members.members) == {"127.0.0.1:9", "127.0.0.1:8"}
    rounds = daemon.gossip.rounds
    await until(lambda: daemon.gossip.rounds > rounds + 2)


@pytest.mark.parametrize(
    "entry",
    [
        LoadEntry("i-1", UpstreamLoad(), None, 0.0),
        LoadEntry("i-1", UpstreamLoad(), None, float("nan")),
        LoadEntry("i-1", UpstreamLoad(), Pace(float("inf"), 0.0)),
        LoadEntry("i-1", UpstreamLoad(), Pace(-1.0, 0.0)),
    ],
)
async def test_speed_that_is_no_number_is_not_believed(
    daemon: EntryDaemon, entry: LoadEntry
) -> None:
    """A rate of 0 made each placement fail."""
    heartbeat = make_whole_heartbeat(daemon.node)._replace(
        address="127.0.0.1:9", sequence=1, loads=(entry,)
    )
    daemon.gossip.datagram_received(
        msgspec.msgpack.encode(heartbeat), ("127.0.0.1", 9)
    )
    assert not daemon.node.read_rates.peer_rates
    assert not daemon.node.paces.peer_paces


async def test_change_with_an_entry_that_cannot_be_used_is_refused(
    daemon: EntryDaemon,
) -> None:
    odd = RoutedUpstream("i-1", "office", "127.0.0.1:0", "a", 4)
    change = ListChange("127.0.0.1:9", 0, 2, (odd,), ())
    before = daemon.node.registry.revision
    daemon.gossip.datagram_received(
        LIST_CHANGE_PREFIX + msgspec.msgpack.encode(change), ("127.0.0.1", 9)
    )
    assert daemon.node.registry.revision == before
    assert not daemon.node.registry.entries


@pytest.mark.parametrize(
    "decoder",
    [
        HEARTBEAT_DECODER,
        LIST_CHANGE_DECODER,
        INTRODUCTION_DECODER,
        SUSPECTS_DECODER,
        LIMITS_DECODER,
    ],
)
@given(data=st.binary(max_size=80))
@example(DEEP_MSGPACK)
def test_any_datagram_decodes_or_raises_one_error(
    decoder: Any, data: bytes
) -> None:
    try:
        decode(decoder, data)
    except UndecodableError:
        return
