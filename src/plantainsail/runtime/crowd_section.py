"""The heartbeat section with shares and slices of crowded engines."""

from collections.abc import Callable, Iterable, Sequence

from plantainsail.identity import Incarnation
from plantainsail.peers.wire.crowd_pb2 import (
    CrowdSection,
    SliceLease,
    SliceNeed,
    SliceRoom,
)
from plantainsail.peers.wire.crowd_pb2 import (
    ShareCounter as WireCounter,
)
from plantainsail.peers.wire.fleet_pb2 import HeartbeatMessage
from plantainsail.policy.exchange import CrowdMessage, Exchange
from plantainsail.policy.shares import ShareCounter
from plantainsail.policy.slices import Lease, Need, Room, SliceMessage


class CrowdHeartbeats:
    """Exchanges shares and slices with peers in heartbeats.

    `on_change` is called after a message was absorbed, since it may
    have freed tokens for waiting requests.
    """

    def __init__(
        self, exchange: Exchange, on_change: Callable[[float], None]
    ) -> None:
        self.exchange = exchange
        self.on_change = on_change

    def fill(
        self,
        message: HeartbeatMessage,
        peer: Incarnation | None,
        now_s: float,
    ) -> None:
        """Add the section for a peer whose incarnation is known."""
        if peer is None:
            return
        filled = self.exchange.fill(peer.address, peer, now_s)
        message.crowd.CopyFrom(encode_message(filled))

    def absorb(
        self, message: HeartbeatMessage, peer: Incarnation, now_s: float
    ) -> None:
        """Apply the section of a peer's heartbeat, if it has one."""
        if not message.HasField("crowd"):
            return
        self.exchange.absorb(peer, decode_message(message.crowd), now_s)
        self.on_change(now_s)


def encode_message(message: CrowdMessage) -> CrowdSection:
    """Encode a message as a protobuf section."""
    slices = message.slices
    return CrowdSection(
        receiver_nonce=message.receiver_nonce,
        stamp_ms=slices.stamp_ms,
        echo_ms=slices.echo_ms,
        silent=slices.silent,
        plans=_encode_counters(message.plans),
        organisations=_encode_counters(message.organisations),
        needs=[SliceNeed(**need._asdict()) for need in slices.needs],
        leases=[SliceLease(**lease._asdict()) for lease in slices.leases],
        rooms=[SliceRoom(**room._asdict()) for room in slices.rooms],
    )


def decode_message(section: CrowdSection) -> CrowdMessage:
    """Decode a message from a protobuf section."""
    return CrowdMessage(
        receiver_nonce=section.receiver_nonce,
        slices=SliceMessage(
            stamp_ms=section.stamp_ms,
            echo_ms=section.echo_ms,
            silent=tuple(section.silent),
            needs=tuple(
                Need(
                    n.host,
                    n.tokens,
                    n.held,
                    n.plan,
                    n.outgrown,
                    n.organisation,
                )
                for n in section.needs
            ),
            leases=tuple(
                Lease(e.host, e.tokens, e.asked_ms) for e in section.leases
            ),
            rooms=tuple(Room(r.host, r.tokens) for r in section.rooms),
        ),
        plans=_decode_counters(section.plans),
        organisations=_decode_counters(section.organisations),
    )


def _encode_counters(counters: Sequence[ShareCounter]) -> list[WireCounter]:
    return [WireCounter(**counter._asdict()) for counter in counters]


def _decode_counters(
    counters: Iterable[WireCounter],
) -> tuple[ShareCounter, ...]:
    return tuple(
        ShareCounter(c.name, c.tokens, c.outstanding, c.waiting, c.usage)
        for c in counters
    )
