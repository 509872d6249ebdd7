"""Transfers the configuration and upstreams between daemons over gRPC.

A daemon that can't reach the configuration service fetches them from a
peer whose lists are newer.
"""

import zlib
from collections.abc import Callable
from typing import Any, NamedTuple

import grpc
import msgspec

from plantainsail.decoding import UndecodableError, decode
from plantainsail.entry import zone_orders
from plantainsail.entry.node import EntryNode
from plantainsail.routing.compact import compact
from plantainsail.routing.model import RoutedUpstream, RoutingConfiguration
from plantainsail.routing.validity import (
    configuration_problem,
    upstream_problem,
)
from plantainsail.routing.zone_drains import PublishedOrders

SERVICE = "plantainsail.EntrySnapshots"
METHOD = "Get"
FETCH_TIMEOUT_S = 1.0
MAX_MESSAGE_BYTES = 8_388_608
OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
)


NO_ORDERS = PublishedOrders(())


class Snapshot(NamedTuple):
    """What a daemon has received from the configuration service.

    `configuration` is None if the requesting daemon has this version,
    and `revision` is -1 if it has these upstreams.
    `age_ms` is the age of the proof that it is fresh, or -1 without
    a proof.  `zone_orders` are at their default where no order to
    drain an availability zone was seen lately.
    """

    configuration: RoutingConfiguration | None
    age_ms: int
    upstreams: tuple[RoutedUpstream, ...]
    revision: int
    zone_orders: PublishedOrders = NO_ORDERS


class SnapshotRequest(NamedTuple):
    """Request for a snapshot; names what the requester has.

    A configuration or a list of upstreams that the requester already
    has is not sent again.
    """

    version: int
    revision: int = -1


COMPRESSION_LEVEL = 1
# In a large fleet many daemons fetch the same lists within moments, and
# encoding thousands of entries for each would take most of a core.
ENCODED_LISTS_LIFETIME_S = 0.05
REQUEST_DECODER = msgspec.msgpack.Decoder(SnapshotRequest)
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Snapshot)
PutInForce = Callable[[RoutingConfiguration, float | None, str], None]


def decode_snapshot(data: bytes) -> Snapshot:
    """Return a peer's snapshot.

    Raises `UndecodableError` if it is malformed, too large, or holds
    what can't be used.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise UndecodableError(str(error)) from error
    if not decompressor.eof:
        raise UndecodableError("cut short, or longer than the limit")
    snapshot = decode(DECODER, plain)
    problem = _problem_of(snapshot)
    if problem is not None:
        raise UndecodableError(problem)
    return snapshot


def _problem_of(snapshot: Snapshot) -> str | None:
    if snapshot.configuration is not None:
        problem = configuration_problem(snapshot.configuration)
        if problem is not None:
            return problem
    for upstream in snapshot.upstreams:
        problem = upstream_problem(upstream)
        if problem is not None:
            return problem
    return zone_orders.problem_of(snapshot.zone_orders)


class EncodedPart(NamedTuple):
    """An encoded part of a snapshot, its revision and its time."""

    revision: int
    encoded_s: float
    data: msgspec.Raw


class SnapshotParts:
    """Encodes the parts of snapshots, each once for many requests."""

    def __init__(self, node: EntryNode) -> None:
        self.node = node
        self.configuration: EncodedPart | None = None
        self.upstreams: EncodedPart | None = None

    def encoded_configuration(self) -> msgspec.Raw | None:
        """Return the configuration in force, None if there is none."""
        table = self.node.in_force.table
        if table is None:
            return None
        version = self.node.in_force.version
        part = self.configuration
        if part is None or part.revision != version:
            part = self._encode(version, table.configuration)
            self.configuration = part
        return part.data

    def encoded_upstreams(self) -> msgspec.Raw:
        """Return all entries of upstreams."""
        registry = self.node.registry
        part = self.upstreams
        if part is None or not self._is_current(part, registry.revision):
            part = self._encode(registry.revision, registry.listed_upstreams())
            self.upstreams = part
        return part.data

    def _is_current(self, part: EncodedPart, revision: int) -> bool:
        age_s = self.node.now_s() - part.encoded_s
        return part.revision == revision and age_s <= ENCODED_LISTS_LIFETIME_S

    def _encode(self, revision: int, value: Any) -> EncodedPart:
        data = msgspec.Raw(ENCODER.encode(compact(value)))
        return EncodedPart(revision, self.node.now_s(), data)


class SnapshotExchange:
    """Serves snapshots to peers and fetches theirs."""

    def __init__(self, node: EntryNode, put_in_force: PutInForce) -> None:
        self.node = node
        self.parts = SnapshotParts(node)
        self.put_in_force = put_in_force
        self.server = grpc.aio.server(options=OPTIONS)

    async def start(self) -> None:
        """Listen on the peer address."""
        handler = grpc.unary_unary_rpc_method_handler(self._get)
        self.server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {METHOD: handler}),)
        )
        self.server.add_insecure_port(self.node.settings.peer_address)
        await self.server.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self.server.stop(0)

    async def fetch(self, address: str) -> None:
        """Fetch a peer's snapshot and apply what is newer."""
        version = self.node.in_force.version
        request = SnapshotRequest(version, self.node.registry.revision)
        asked_s = self.node.now_s()
        async with grpc.aio.insecure_channel(address, OPTIONS) as channel:
            call = channel.unary_unary(f"/{SERVICE}/{METHOD}")
            try:
                answer = await _call(call, request)
            except grpc.aio.AioRpcError as error:
                if error.code() is not grpc.StatusCode.UNKNOWN:
                    raise
                # An earlier build fails at the second number.
                asked_s = self.node.now_s()
                answer = await _call(call, SnapshotRequest(version))
        snapshot = decode_snapshot(answer)
        # Before the upstreams, as none of these may be used against an
        # order.
        zone_orders.apply_published(self.node, snapshot.zone_orders, address)
        if snapshot.configuration is not None:
            as_of_s = None
            if snapshot.age_ms >= 0:
                as_of_s = asked_s - snapshot.age_ms / 1000
            self.put_in_force(snapshot.configuration, as_of_s, address)
        self.node.replace_upstreams(
            snapshot.upstreams, snapshot.revision, address
        )

    async def _get(self, request: bytes, _: Any) -> bytes:
        node = self.node
        wanted = decode(REQUEST_DECODER, request)
        age_ms = node.in_force.age_ms(node.now_s())
        configuration: msgspec.Raw | None = None
        if node.in_force.version > wanted.version:
            configuration = self.parts.encoded_configuration()
        upstreams: msgspec.Raw | tuple[()] = ()
        revision = -1
        if node.registry.revision > wanted.revision:
            upstreams = self.parts.encoded_upstreams()
            revision = node.registry.revision
        # These are the fields of a `Snapshot`.
        fields: tuple[Any, ...] = (
            configuration,
            -1 if age_ms is None else age_ms,
            upstreams,
            revision,
        )
        orders = node.zone_drains.known()
        if orders.orders:
            # Earlier builds refuse the field.
            fields = (*fields, compact(orders))
        return zlib.compress(ENCODER.encode(fields), COMPRESSION_LEVEL)


async def _call(call: Any, request: SnapshotRequest) -> bytes:
    message = ENCODER.encode(compact(request))
    answer: bytes = await call(message, timeout=FETCH_TIMEOUT_S)
    return answer
