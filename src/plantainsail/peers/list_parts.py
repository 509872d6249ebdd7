"""Both ends of `FetchParts`, which transfers list parts."""

from collections.abc import Callable
from typing import Any, NamedTuple

import grpc
import msgspec

from plantainsail.decoding import UndecodableError, decode
from plantainsail.lists.snapshot import Family
from plantainsail.lists.start_gate import PeerAnswer
from plantainsail.lists.store import NEVER_CONFIRMED_S, ListStore
from plantainsail.lists.transfer import (
    NamedPart,
    PartsReply,
    PartsRequest,
    Transfer,
    answer_request,
)
from plantainsail.peers.wire.fleet_pb2 import (
    FetchPartsReply,
    FetchPartsRequest,
    PartValue,
)
from plantainsail.peers.wire.fleet_pb2_grpc import FleetStub

PROTOCOL_VERSION = 1
CALL_TIMEOUT_S = 1.0
UNKNOWN_AGE_MS = 2**32 - 1
CONNECTION_REFUSED_DETAIL = "refused"

INDEX_DECODER = msgspec.json.Decoder(dict[str, int])


def age_to_ms(age_s: float) -> int:
    """Return an age in ms, rounded up, or `UNKNOWN_AGE_MS` if huge."""
    if age_s * 1_000 >= UNKNOWN_AGE_MS:
        return UNKNOWN_AGE_MS
    return int(max(0.0, age_s) * 1_000) + 1


class ListParts:
    """Serves parts of the lists in force to other daemons."""

    def __init__(
        self,
        store: ListStore,
        now_s: Callable[[], float],
        is_sure: Callable[[], bool],
    ) -> None:
        self.store = store
        self.now_s = now_s
        self.is_sure = is_sure

    async def fetch_parts(self, request: FetchPartsRequest) -> FetchPartsReply:
        """Return the requested parts; none of an unknown family."""
        if request.family not in tuple(Family):
            return FetchPartsReply()
        family = Family(request.family)
        store = self.store
        now_s = self.now_s()
        store.record_seen_revision(family, request.announced_revision, now_s)
        known_revision = request.known_revision
        if request.revision_only:
            known_revision = store.snapshots[family].revision
        reply = answer_request(
            store.snapshots[family],
            PartsRequest(
                family,
                known_revision,
                tuple(request.names),
                request.wants_index,
            ),
            is_sure=self.is_sure(),
        )
        message = FetchPartsReply(
            revision=reply.revision,
            index_digest=reply.digest,
            is_sure=reply.is_sure,
            seen_revision=max(reply.revision, store.highest_seen[family]),
            age_ms=age_to_ms(store.age_s(now_s, family)),
            parts=[
                PartValue(
                    name=part.name,
                    revision=part.revision,
                    value=part.body or b"",
                )
                for part in reply.parts
            ],
        )
        if reply.revisions is not None:
            message.index = msgspec.json.encode(reply.revisions)
        return message


class FetchOutcome(NamedTuple):
    """The result of asking one peer for one family.

    `transfer` holds the newer snapshot, if the peer has one.
    `confirmed_at_s` is when the peer's revision was last confirmed by
    any daemon, or an earlier time; minus infinity if unknown.
    """

    answer: PeerAnswer
    revision: int
    transfer: Transfer
    confirmed_at_s: float


def _decode_reply(message: FetchPartsReply) -> PartsReply:
    index: dict[str, int] | None = None
    if message.index:
        index = decode(INDEX_DECODER, message.index)
    return PartsReply(
        message.revision,
        message.index_digest,
        message.is_sure,
        index,
        tuple(
            NamedPart(part.name, part.revision, part.value or None)
            for part in message.parts
        ),
    )


def _classify_error(error: grpc.RpcError) -> PeerAnswer:
    """Distinguish a host without a daemon from an unreachable one."""
    is_unavailable = error.code() is grpc.StatusCode.UNAVAILABLE
    details = (error.details() or "").lower()
    if is_unavailable and CONNECTION_REFUSED_DETAIL in details:
        return PeerAnswer.REFUSED
    return PeerAnswer.SILENT


class ProbeOutcome(NamedTuple):
    """The revision of one family that a peer has in force.

    `seen_revision` is the highest revision that the peer knows to be in
    force on any daemon.
    """

    answer: PeerAnswer
    revision: int = 0
    seen_revision: int = 0
    confirmed_at_s: float = NEVER_CONFIRMED_S


async def probe_revision(
    channel: Any,
    family: Family,
    now_s: Callable[[], float],
    announced_revision: int = 0,
) -> ProbeOutcome:
    """Ask a peer only for its revision, without parts.

    `announced_revision` tells the peer of a revision that this daemon
    is about to put in force.
    """
    sent_at_s = now_s()
    try:
        message: FetchPartsReply = await _make_stub(channel).FetchParts(
            FetchPartsRequest(
                version=PROTOCOL_VERSION,
                family=family.value,
                revision_only=True,
                announced_revision=announced_revision,
            ),
            timeout=CALL_TIMEOUT_S,
        )
    except grpc.RpcError as error:
        return ProbeOutcome(_classify_error(error))
    return ProbeOutcome(
        PeerAnswer.SURE if message.is_sure else PeerAnswer.STARTING,
        message.revision,
        message.seen_revision,
        _confirmed_at_s(message, sent_at_s),
    )


def _make_stub(channel: Any) -> Any:
    # The generated stub has no type annotations.
    return FleetStub(channel)  # type: ignore[no-untyped-call]


def _confirmed_at_s(message: FetchPartsReply, sent_at_s: float) -> float:
    """Return when a revision was last confirmed, or an earlier time.

    The age counts back from the reply, which was made after
    `sent_at_s`, so the true time is never earlier than this one.
    """
    if message.age_ms == UNKNOWN_AGE_MS:
        return NEVER_CONFIRMED_S
    return sent_at_s - message.age_ms / 1_000


async def fetch_family(
    channel: Any,
    family: Family,
    store: ListStore,
    now_s: Callable[[], float],
) -> FetchOutcome:
    """Fetch a peer's snapshot if it is newer than the one in force."""
    stub = _make_stub(channel)
    transfer = Transfer(family, store.snapshots[family])
    answer = PeerAnswer.SILENT
    revision = 0
    confirmed_at_s = NEVER_CONFIRMED_S
    while True:
        request = transfer.next_request()
        if request is None:
            return FetchOutcome(answer, revision, transfer, confirmed_at_s)
        sent_at_s = now_s()
        try:
            message: FetchPartsReply = await stub.FetchParts(
                FetchPartsRequest(
                    version=PROTOCOL_VERSION,
                    family=family.value,
                    known_revision=request.known_revision,
                    names=request.names,
                    wants_index=request.wants_index,
                ),
                timeout=CALL_TIMEOUT_S,
            )
            reply = _decode_reply(message)
        except grpc.RpcError as error:
            if answer is PeerAnswer.SILENT:
                answer = _classify_error(error)
            return FetchOutcome(answer, revision, transfer, confirmed_at_s)
        except UndecodableError:
            return FetchOutcome(answer, revision, transfer, confirmed_at_s)
        transfer.add_reply(reply)
        answer = PeerAnswer.SURE if reply.is_sure else PeerAnswer.STARTING
        revision = reply.revision
        confirmed_at_s = _confirmed_at_s(message, sent_at_s)
