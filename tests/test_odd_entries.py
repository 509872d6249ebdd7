"""Entries of other writers in the configuration service.

Such an entry may hold anything.  It names no upstream to use, and the
others hold.  A daemon whose watch ends at it hears of no change any
more, and one that starts has no list at all.
"""

import asyncio
import ipaddress
import zlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import h11
import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from plantainsail.decoding import UndecodableError, decode, decode_json
from plantainsail.entry.daemon import EntryDaemon
from plantainsail.entry.datagrams import LIST_CHANGE_DECODER
from plantainsail.entry.snapshot import (
    Snapshot,
    decode_snapshot,
)
from plantainsail.platform.decode import (
    UnreadableError,
    decode_configuration,
    decode_upstream,
)
from plantainsail.platform.store import PlatformStore
from plantainsail.routing.messages import ListChange
from plantainsail.settings import split_address
from soak.fleet import free_address
from tests.standins.restorable_store import (
    CONFIGURATION_KEY,
    RestorableStore,
)
from tests.standins.routed import start_entry
from tests.standins.waiting import until as until_true

# A test that waits in vain fails after this time.
LIMIT_S = 10.0
DEEP = b"[" * 2_000
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


def entry_with(**fields: Any) -> bytes:
    return msgspec.json.encode(ENTRY | fields)


def configuration_with(**fields: Any) -> bytes:
    return msgspec.json.encode(CONFIGURATION | {"Version": 2} | fields)


def route_with(**fields: Any) -> bytes:
    return configuration_with(Routes=[CONFIGURATION["Routes"][0] | fields])


ODD_ENTRIES = [
    DEEP,
    b'{"Service": ' + DEEP,
    b'{"Slots": ' + b"1" * 6_000,
    entry_with(Slots=10**30),
    entry_with(Slots=2**64),
    entry_with(Slots=2**63),
    entry_with(born=10**400),
    entry_with(born=2**64),
    entry_with(Address="127.0.0.1:99999"),
    entry_with(Address="127.0.0.1:65536"),
    entry_with(Address="127.0.0.1:0"),
    entry_with(Address="127.0.0.1:-1"),
    entry_with(Address="127.0.0.1:\u00b2"),
    entry_with(Address="127.0.0.1:" + "9" * 5_000),
    entry_with(Zone="a\r\nx: y"),
    entry_with(Service="x" * 100_000),
]
ODD_CONFIGURATIONS = [
    DEEP,
    b'{"Service": ' + DEEP,
    configuration_with(Version=10**30),
    configuration_with(Version=2**64),
    configuration_with(Version=-1),
    configuration_with(Routes={"a": 1}),
    configuration_with(Tenants=[{"Name": 5, "ApiKeys": ["k"]}]),
    configuration_with(Tenants=[{"Name": "a\r\nx: y", "ApiKeys": ["k"]}]),
    configuration_with(Tenants=[{"Name": "a", "ApiKeys": "abc"}]),
    configuration_with(Tenants=[{"Name": "a", "ApiKeys": [7]}]),
    configuration_with(Limits={"MaxBodyBytes": -5}),
    configuration_with(Services=[{"Name": None}]),
    route_with(TimeoutMs=10**400),
    route_with(TimeoutMs=-1),
    route_with(Host=7),
    route_with(Priority=2**70),
    route_with(MaxAttempts=10**30),
    route_with(TrafficSplit=[{"Service": "office", "Weight": -1}]),
]
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


@pytest.mark.parametrize("key", ["servers/a\r\nx: y", "servers/", "servers/ "])
async def test_entry_whose_name_no_header_can_carry_is_not_used(
    env: Store, key: str
) -> None:
    """Each request to it failed when its head was written."""
    env.store.write(key, ENTRY)
    daemon = await env.start_daemon()
    assert env.upstreams(daemon) == ["i-1"]


@pytest.mark.parametrize("odd", ODD_CONFIGURATIONS)
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


async def test_daemon_without_a_store_fetches_a_list_beside_an_odd_entry(
    env: Store,
) -> None:
    """A number too large for messages kept lists from peers."""
    env.store.write("servers/i-0", entry_with(born=2**64))
    first = await env.start_daemon()
    seed = first.node.settings.peer_address
    second = await start_entry(
        PlatformStore("127.0.0.1:1"),
        peer_address=free_address(),
        seeds=(seed,),
    )
    env.daemons.append(second)
    await until(lambda: env.upstreams(second) == ["i-1"])


ODD_FIELDS = st.dictionaries(
    st.sampled_from([*ENTRY, "Other"]),
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.integers(-(2**70), 2**70),
        st.floats(allow_nan=False, allow_infinity=False),
        st.text(max_size=12),
        st.sampled_from(
            ["10.0.0.1:80", "10.0.0.1:0", "10.0.0.1:70000", "[::1]:80"]
        ),
        st.lists(st.integers(), max_size=2),
    ),
    max_size=4,
)


@given(identifier=st.text(max_size=12), fields=ODD_FIELDS)
def test_accepted_entry_can_be_used_and_passed_on(
    identifier: str, fields: dict[str, Any]
) -> None:
    try:
        upstream = decode_upstream(identifier, entry_with(**fields))
    except UnreadableError:
        return
    change = ListChange("127.0.0.1:1", 0, 1, (upstream,), ())
    data = msgspec.msgpack.encode(change)
    assert decode(LIST_CHANGE_DECODER, data) == change
    ip, port = split_address(upstream.address)
    assert ipaddress.ip_address(ip) and 0 < port < 65_536
    header = (b"x-upstream", upstream.identifier.encode())
    h11.Request(method="GET", target="/", headers=[(b"host", b"a"), header])


@given(value=JSON_TEXTS, key=st.sampled_from([*CONFIGURATION, "Tenants"]))
def test_accepted_configuration_can_be_passed_on(value: Any, key: str) -> None:
    try:
        configuration = decode_configuration(
            configuration_with(**{key: value})
        )
    except UnreadableError:
        return
    snapshot = Snapshot(configuration, 0, (), 1)
    data = zlib.compress(msgspec.msgpack.encode(snapshot))
    assert decode_snapshot(data) == snapshot


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
