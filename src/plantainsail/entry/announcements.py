"""Encodes what all daemons must know to act alike, and applies it.

These are the suspect parts of requests, the rate limits and ramps of
upstreams, the cold upstreams, and the orders to drain availability
zones.  News goes to all live daemons at once.  What any daemon must
know is repeated for as long as it holds, since messages are lost and
daemons start without memory.  The messages are apart from heartbeats,
since builds that don't know them must still read heartbeats.
"""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import msgspec

from plantainsail.decoding import decode
from plantainsail.entry import limits, ramping, suspects, zone_orders
from plantainsail.entry.node import EntryNode
from plantainsail.routing.messages import (
    ColdUpstreamReport,
    RampReport,
    RateLimitReport,
    SuspectParts,
    ZoneOrders,
)

ENCODER = msgspec.msgpack.Encoder()
SUSPECTS_DECODER = msgspec.msgpack.Decoder(SuspectParts)
LIMITS_DECODER = msgspec.msgpack.Decoder(RateLimitReport)
COLD_DECODER = msgspec.msgpack.Decoder(ColdUpstreamReport)
RAMPS_DECODER = msgspec.msgpack.Decoder(RampReport)
ZONE_ORDERS_DECODER = msgspec.msgpack.Decoder(ZoneOrders)
# A heartbeat is an array, which starts with none of these bytes, so
# they tell other messages from it.
SUSPECTS_PREFIX = b"\xc3"
LIMITS_PREFIX = b"\xc4"
COLD_PREFIX = b"\xc7"
RAMPS_PREFIX = b"\xc8"
ZONE_ORDERS_PREFIX = b"\xca"


class MessageKind(NamedTuple):
    """How a kind of message is decoded and applied."""

    decoder: "msgspec.msgpack.Decoder[Any]"
    apply: Callable[[EntryNode, Any], None]


KINDS = {
    SUSPECTS_PREFIX: MessageKind(SUSPECTS_DECODER, suspects.apply_message),
    LIMITS_PREFIX: MessageKind(LIMITS_DECODER, limits.apply_report),
    COLD_PREFIX: MessageKind(COLD_DECODER, limits.apply_cold_report),
    RAMPS_PREFIX: MessageKind(RAMPS_DECODER, ramping.apply_report),
    ZONE_ORDERS_PREFIX: MessageKind(
        ZONE_ORDERS_DECODER, zone_orders.apply_message
    ),
}


class Announcements:
    """Makes and applies messages on suspects, limits and orders."""

    def __init__(self, node: EntryNode) -> None:
        self.node = node

    def apply(self, data: bytes) -> bool:
        """Apply a message; return False if it is of another kind.

        Raises `UndecodableError` if it is malformed.
        """
        kind = KINDS.get(data[:1])
        if kind is None:
            return False
        kind.apply(self.node, decode(kind.decoder, data[1:]))
        return True

    def take_news(self) -> list[bytes]:
        """Return messages on what changed here since the last call."""
        node = self.node
        records = node.quarantine.pop_unsent(node.now_s())
        limited = node.rate_limits.pop_unsent()
        cold = node.cold.limits.pop_unsent()
        return [
            *_encode(SUSPECTS_PREFIX, suspects.make_messages(node, records)),
            *_encode(
                LIMITS_PREFIX, limits.make_reports(node, limited, is_news=True)
            ),
            *_encode(
                COLD_PREFIX, limits.make_cold_reports(node, cold, is_news=True)
            ),
            *_encode(RAMPS_PREFIX, ramping.news(node)),
        ]

    def repeat(self) -> list[bytes]:
        """Return messages on what any daemon must know now."""
        node = self.node
        records = node.quarantine.records_to_repeat(
            node.now_s(), suspects.MAX_PARTS_PER_MESSAGE
        )
        limited = node.rate_limits.in_force(node.now_s())
        cold = limits.cold_to_repeat(node)
        return [
            *_encode(SUSPECTS_PREFIX, suspects.make_messages(node, records)),
            *_encode(
                LIMITS_PREFIX,
                limits.make_reports(node, limited, is_news=False),
            ),
            *_encode(
                COLD_PREFIX,
                limits.make_cold_reports(node, cold, is_news=False),
            ),
            *self.zone_orders(),
            *_encode(RAMPS_PREFIX, ramping.repeated(node)),
        ]

    def zone_orders(self) -> list[bytes]:
        """Return messages on the orders to drain availability zones."""
        return _encode(
            ZONE_ORDERS_PREFIX, zone_orders.make_messages(self.node)
        )


def _encode(prefix: bytes, messages: Sequence[Any]) -> list[bytes]:
    return [prefix + ENCODER.encode(message) for message in messages]
