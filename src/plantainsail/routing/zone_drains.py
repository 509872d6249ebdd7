"""Decides which availability zones are drained, by operators' orders.

An order is a key of the configuration service: while the key exists,
nothing is sent to the upstreams of its availability zone.  Daemons that
read the service pass orders on to their peers, and messages between
daemons arrive late, repeatedly or never.  Two rules decide what holds:

- Of two orders of one availability zone the one with the higher
  revision holds.  That a key was deleted is an order, too.
- A daemon also knows up to which revision it has seen all orders, as it
  read them all or got all from a peer.  An order of before that it does
  not know was lifted meanwhile, so a message about it is outdated,
  however late it comes.
"""

from collections.abc import Iterable
from typing import NamedTuple

from plantainsail.routing.revisions import epoch_of

# An order that a restored service lacks stays in force for this long,
# in which operators write again what was lost.
RESTORATION_GRACE_S = 3.0
# Deleted orders are kept for this long, so that peers learn of them.
LIFTED_KEPT_S = 60.0
# More orders than a deployment has availability zones are mistakes.
MAX_ORDERS = 256
UNKNOWN_REVISION = -1


class ZoneOrder(NamedTuple):
    """The newest order of an availability zone.

    If `is_drained` is false, the order was deleted at `revision`.
    """

    availability_zone: str
    revision: int
    is_drained: bool = True


class PublishedOrders(NamedTuple):
    """All orders, complete up to a revision.

    A peer that can't tell whether they are complete names -1.
    """

    orders: tuple[ZoneOrder, ...]
    revision: int = UNKNOWN_REVISION


class ZoneDrains:
    """The newest order of each availability zone.

    `orders` are by availability zone, and all orders up to `revision`
    are known.  `drained` holds the availability zones that are drained
    now.  `is_unsent` is set once peers should learn something at once.
    """

    def __init__(self) -> None:
        self.orders: dict[str, ZoneOrder] = {}
        self.revision = UNKNOWN_REVISION
        self.drained: frozenset[str] = frozenset()
        self.is_unsent = False
        self.lifted_s: dict[str, float] = {}
        self.epoch_began_s = 0.0

    def merge(
        self, published: PublishedOrders, now_s: float
    ) -> list[ZoneOrder]:
        """Apply orders of the service or of a peer.

        Return the new orders and the liftings.
        """
        seen_revision = max(self.revision, published.revision)
        changes: list[ZoneOrder] = []
        for order in published.orders:
            if self._put(order, seen_revision, now_s):
                changes.append(order)
        changes += self._lift_unlisted(published, now_s)
        self._reach(published.revision, now_s)
        self._update()
        return changes

    def advance(
        self, orders: tuple[ZoneOrder, ...], revision: int, now_s: float
    ) -> list[ZoneOrder]:
        """Apply all changes up to a revision; return the new ones.

        The changes must follow a complete read without a gap.
        """
        changes: list[ZoneOrder] = []
        for order in orders:
            if self._put(order, self.revision, now_s):
                changes.append(order)
        self._reach(revision, now_s)
        self._update()
        return changes

    def expire(self, now_s: float) -> list[ZoneOrder]:
        """Lift the orders that a restored service lacks for too long.

        Return these liftings.  Also forget old deleted orders.
        """
        lapsed: list[ZoneOrder] = []
        for order in self._in_force():
            if self._has_lapsed(order, now_s):
                lapsed.append(self._lift(order, self.revision, now_s))
        for zone, lifted_s in list(self.lifted_s.items()):
            if self.orders[zone].revision > self.revision:
                # Without it, a late message could restore the order.
                continue
            if now_s - lifted_s >= LIFTED_KEPT_S:
                del self.lifted_s[zone]
                del self.orders[zone]
        self._update()
        return lapsed

    def pop_unsent(self) -> bool:
        """Return whether peers should learn something at once."""
        was_unsent, self.is_unsent = self.is_unsent, False
        return was_unsent

    def known(self) -> PublishedOrders:
        """Return all that is known, deleted orders included."""
        return PublishedOrders(tuple(self.orders.values()), self.revision)

    def _put(self, order: ZoneOrder, seen_revision: int, now_s: float) -> bool:
        """Apply one order; return whether it drains or lifts anew.

        The daemon or the sender knows all orders up to
        `seen_revision`, so what was lifted before needs no mention.
        """
        zone = order.availability_zone
        known = self.orders.get(zone)
        if known is None:
            if not order.is_drained and order.revision <= seen_revision:
                return False
            if len(self.orders) >= MAX_ORDERS:
                return False
        elif not _is_newer(order, known):
            return False
        was_drained = known is not None and known.is_drained
        if not order.is_drained:
            self._lift(order, order.revision, now_s)
            return was_drained
        if not was_drained and self._is_outdated(order, now_s):
            # The sender must learn that the order was lifted.
            self._lift(order, self.revision, now_s)
            return False
        self.orders[zone] = order
        self.lifted_s.pop(zone, None)
        self.is_unsent = True
        return True

    def _is_outdated(self, order: ZoneOrder, now_s: float) -> bool:
        """Return whether an order that is not in force was lifted."""
        if order.revision > self.revision:
            return False
        if not self._is_of_earlier_epoch(order):
            return True
        return self._has_lapsed(order, now_s)

    def _lift_unlisted(
        self, published: PublishedOrders, now_s: float
    ) -> list[ZoneOrder]:
        """Lift the orders that a newer complete set lacks.

        Those of an earlier epoch stay in force until they lapse.
        """
        listed = drained_zones(published.orders)
        lifted: list[ZoneOrder] = []
        for order in self._in_force():
            if order.availability_zone in listed:
                continue
            if order.revision > published.revision:
                continue
            if epoch_of(order.revision) == epoch_of(published.revision):
                lifted.append(self._lift(order, published.revision, now_s))
        return lifted

    def _reach(self, revision: int, now_s: float) -> None:
        """Record that all orders up to a revision are known.

        They are not if there are too many to be kept.
        """
        if revision <= self.revision or len(self.orders) >= MAX_ORDERS:
            return
        if epoch_of(revision) > epoch_of(self.revision):
            self.epoch_began_s = now_s
        self.revision = revision

    def _in_force(self) -> list[ZoneOrder]:
        return [order for order in self.orders.values() if order.is_drained]

    def _is_of_earlier_epoch(self, order: ZoneOrder) -> bool:
        return epoch_of(order.revision) < epoch_of(self.revision)

    def _has_lapsed(self, order: ZoneOrder, now_s: float) -> bool:
        """Return whether a restored service lacks an order for long."""
        if not self._is_of_earlier_epoch(order):
            return False
        return now_s - self.epoch_began_s >= RESTORATION_GRACE_S

    def _lift(
        self, order: ZoneOrder, revision: int, now_s: float
    ) -> ZoneOrder:
        lifted = ZoneOrder(order.availability_zone, revision, False)
        self.orders[order.availability_zone] = lifted
        self.lifted_s[order.availability_zone] = now_s
        self.is_unsent = True
        return lifted

    def _update(self) -> None:
        self.drained = drained_zones(self.orders.values())


def drained_zones(orders: Iterable[ZoneOrder]) -> frozenset[str]:
    """Return the availability zones that orders drain."""
    return frozenset(
        order.availability_zone for order in orders if order.is_drained
    )


def _is_newer(order: ZoneOrder, known: ZoneOrder) -> bool:
    """Return whether an order holds rather than a known one.

    Of two at one revision the one that drains holds, at all daemons.
    """
    if order.revision != known.revision:
        return order.revision > known.revision
    return order.is_drained and not known.is_drained
