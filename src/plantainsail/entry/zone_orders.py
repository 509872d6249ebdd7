"""Applies operators' orders to drain availability zones.

`routing.zone_drains` decides which orders hold.
"""

from plantainsail.decoding import UndecodableError
from plantainsail.entry.node import EntryNode
from plantainsail.results import Code, Failure
from plantainsail.routing.messages import ZoneOrders
from plantainsail.routing.revisions import count_of, epoch_of
from plantainsail.routing.validity import is_name
from plantainsail.routing.zone_drains import (
    MAX_ORDERS,
    UNKNOWN_REVISION,
    PublishedOrders,
    ZoneOrder,
)

MAX_ORDERS_PER_MESSAGE = 24
# The largest revision of the largest epoch that a store may name.
MAX_REVISION = 2**60
# An availability zone stays drained for minutes, so callers come back
# after this time, up to twice as late.
DRAINED_RETRY_AFTER_S = 2.0


def apply_published(
    node: EntryNode, published: PublishedOrders, origin: str
) -> None:
    """Apply all orders that the service or a peer lists."""
    changes = node.zone_drains.merge(published, node.now_s())
    _record(node, changes, origin)


def apply_changes(
    node: EntryNode, orders: tuple[ZoneOrder, ...], revision: int
) -> None:
    """Apply what a watch reported, up to a revision."""
    changes = node.zone_drains.advance(orders, revision, node.now_s())
    _record(node, changes, "watch")


def apply_message(node: EntryNode, message: ZoneOrders) -> None:
    """Merge the orders that a peer knows.

    Raises `UndecodableError` if one can't be used.
    """
    published = PublishedOrders(message.orders, message.revision)
    problem = problem_of(published)
    if problem is not None:
        raise UndecodableError(problem)
    apply_published(node, published, message.address)


def expire(node: EntryNode) -> None:
    """Lift the orders that a restored service lacks for too long."""
    lapsed = node.zone_drains.expire(node.now_s())
    _record(node, lapsed, "lapsed")


def make_messages(node: EntryNode) -> list[ZoneOrders]:
    """Return messages with all orders, of limited size.

    There are none where no order was seen lately.
    """
    address = node.settings.peer_address
    orders, revision = node.zone_drains.known()
    if len(orders) > MAX_ORDERS_PER_MESSAGE:
        revision = UNKNOWN_REVISION
    messages: list[ZoneOrders] = []
    for start in range(0, len(orders), MAX_ORDERS_PER_MESSAGE):
        part = orders[start : start + MAX_ORDERS_PER_MESSAGE]
        messages.append(ZoneOrders(address, revision, part))
    return messages


def problem_of(published: PublishedOrders) -> str | None:
    """Return why a peer's orders can't be used, if so."""
    if len(published.orders) > MAX_ORDERS:
        return "too many orders to drain availability zones"
    if not UNKNOWN_REVISION <= published.revision <= MAX_REVISION:
        return "the revision of the orders is out of range"
    for order in published.orders:
        if not is_name(order.availability_zone):
            return "an order names no availability zone"
        if not 0 <= order.revision <= MAX_REVISION:
            return "the revision of an order is out of range"
    return None


def refusal(node: EntryNode, service: str) -> Failure | None:
    """Return why to refuse a request, if its service is drained.

    The request must not have run anywhere.
    """
    if not node.registry.is_service_drained(service):
        return None
    return Failure(
        Code.NO_UPSTREAM,
        "all upstreams are in drained availability zones",
        DRAINED_RETRY_AFTER_S * (1.0 + node.random.random()),
    )


def _record(node: EntryNode, changes: list[ZoneOrder], origin: str) -> None:
    """Use the orders that hold now, and log what changed."""
    drains = node.zone_drains
    node.registry.drained_zones = drains.drained
    node.metrics.drained_zones.set(len(drains.drained))
    for order in changes:
        kind = "drain" if order.is_drained else "lift"
        node.metrics.zone_orders.labels(kind).inc()
        _log(node, order, origin)
    if drains.pop_unsent():
        node.zone_orders_pending.set()


def _log(node: EntryNode, order: ZoneOrder, origin: str) -> None:
    if order.is_drained:
        node.log.warning(
            "availability zone drained",
            availability_zone=order.availability_zone,
            epoch=epoch_of(order.revision),
            revision=count_of(order.revision),
            origin=origin,
        )
        return
    node.log.warning(
        "availability zone drain lifted",
        availability_zone=order.availability_zone,
        epoch=epoch_of(order.revision),
        revision=count_of(order.revision),
        origin=origin,
    )
