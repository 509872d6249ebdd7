"""Entries of other writers in the configuration service.

Such an entry may hold anything.  It names no upstream to use, and the
others hold.  A daemon whose watch ends at it hears of no change any
more, and one that starts has no list at all.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from plantainsail.decoding import UndecodableError, decode, decode_json
from plantainsail.entry.announcements import LIMITS_DECODER, SUSPECTS_DECODER
from plantainsail.entry.daemon import EntryDaemon
from plantainsail.entry.gossip import (
    DECODER,
    INTRODUCTION_DECODER,
    LIST_CHANGE_DECODER,
)
from plantainsail.platform.store import PlatformStore
from tests.standins.restorable_store import (
    CONFIGURATION_KEY,
    RestorableStore,
)
from tests.standins.routed import start_entry
from tests.standins.waiting import until as until_true

# A test that waits in vain fails after this time.
LIMIT_S = 10.0
DEEP = b"[" * 2_000
DEEP_MSGPACK = b"\x91" * 2_000
ENTRY: dict[str, Any] = {
    "Service": "office",
    "Address": "127.0.0.1:9",
    "Zone": "a",
    "Slots": 4,
    "State": "ready",
    "born": 7,
}
CONFIGURATION: dict[str, Any] = {
    "Version": 1,
    "Routes": [
        {
            "Name": "one",
            "Host": "example.org",
            "PathPrefix": "/one/",
            "Kind": "idempotent",
            "TimeoutMs": 5000,
            "TargetLatencyMs": 1000,
            "Service": "office",
        }
    ],
    "Services": [{"Name": "office"}],
}
ODD_ENTRIES = [DEEP, b'{"Service": ' + DEEP]
JSON_TEXTS = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, for a limited time."""
    async with asyncio.timeout(LIMIT_S):
        await until_true(condition)


class Store:
    """A store, and the daemons that read it."""

    def __init__(self) -> None:
        self.store = RestorableStore()
        self.daemons: list[EntryDaemon] = []

    async def start_daemon(self) -> EntryDaemon:
        """Start one more daemon; return it once it is ready."""
        source = PlatformStore(self.store.listener.address)
        daemon = await start_entry(source)
        self.daemons.append(daemon)
        await until(daemon.node.is_ready)
        return daemon

    def upstreams(self, daemon: EntryDaemon) -> list[str]:
        """Return the upstreams that a daemon uses."""
        usable = daemon.node.registry.usable_upstreams("office")
        return sorted(upstream.identifier for upstream in usable)


@pytest.fixture
async def env() -> AsyncIterator[Store]:
    env = Store()
    await env.store.start()
    env.store.write(CONFIGURATION_KEY, CONFIGURATION)
    env.store.write("servers/i-1", ENTRY)
    yield env
    for daemon in env.daemons:
        await daemon.stop()
    env.store.stop()


@pytest.mark.parametrize("odd", ODD_ENTRIES)
async def test_daemon_starts_beside_an_unreadable_entry(
    env: Store, odd: bytes
) -> None:
    """Nesting beyond the recursion limit kept all daemons down."""
    env.store.write("servers/i-0", odd)
    daemon = await env.start_daemon()
    assert env.upstreams(daemon) == ["i-1"]


@pytest.mark.parametrize("odd", ODD_ENTRIES)
async def test_daemon_follows_changes_after_an_unreadable_entry(
    env: Store, odd: bytes
) -> None:
    """The watch ended at the entry again and again."""
    daemon = await env.start_daemon()
    env.store.write("servers/i-0", odd)
    env.store.write("servers/i-2", ENTRY)
    await until(lambda: env.upstreams(daemon) == ["i-1", "i-2"])
    env.store.write(CONFIGURATION_KEY, CONFIGURATION | {"Version": 2})
    await until(lambda: daemon.node.in_force.version == 2)


@pytest.mark.parametrize("odd", ODD_ENTRIES)
async def test_unreadable_configuration_keeps_the_one_before_in_force(
    env: Store, odd: bytes
) -> None:
    daemon = await env.start_daemon()
    env.store.write(CONFIGURATION_KEY, odd)
    env.store.write("servers/i-2", ENTRY)
    await until(lambda: env.upstreams(daemon) == ["i-1", "i-2"])
    assert daemon.node.in_force.version == 1
    env.store.write(CONFIGURATION_KEY, CONFIGURATION | {"Version": 3})
    await until(lambda: daemon.node.in_force.version == 3)


@given(st.binary(max_size=80) | st.text(max_size=40).map(str.encode))
@example(DEEP)
@example(b'{"a": ' * 2_000)
@example(b"1" * 5_000)
@example(b'"\\ud800"')
def test_any_bytes_decode_as_json_or_raise_one_error(data: bytes) -> None:
    try:
        decode_json(data)
    except UndecodableError:
        return


@pytest.mark.parametrize(
    "decoder",
    [
        DECODER,
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
