"""Which orders a daemon gives to the engines that it owns, and when.

An order is decided from a view of the lists and of demand.  It is
checked again right before it is written, since the process may have
been paused in between.  See `docs/design/orders.md`.
"""

from collections.abc import Collection, Mapping
from enum import StrEnum
from typing import NamedTuple

from plantainsail.lists.model import Artifact, HostEntry, HostList, HostState
from plantainsail.policy.order_circuits import CircuitBreakers
from plantainsail.policy.order_owners import (
    LIST_AGE_LIMIT_S,
    ORDER_TIMEOUT_S,
    ORDER_VALID_S,
    FencingNumbers,
    Owners,
    Ownership,
    is_managed,
    revision_of,
)
from plantainsail.policy.replica_plan import EngineSlots, Move, plan_moves

# While the host list is the same, moves are planned again this often.
REPLAN_INTERVAL_S = 5.0
# How long an accepted order counts if the host list does not show it.
UNLISTED_LIMIT_S = 900.0
# Each role that an engine may take is kept on this many engines.
ROLE_MIN_REPLICAS = 1


class OrderKind(StrEnum):
    """What an engine is told to do."""

    LOAD = "load"
    UNLOAD = "unload"
    CHANGE_ROLE = "change_role"


class Order(NamedTuple):
    """One order to one incarnation of an engine.

    `subject` is the artifact or the role; `replaces` names what the
    engine unloads to make room, or is empty.  `number` is the fencing
    number.
    """

    host: str
    incarnation: str
    kind: OrderKind
    subject: str
    replaces: str
    number: int
    decided_s: float

    def describe(self) -> str:
        """Return the order in a few words."""
        words = f"{self.kind} {self.subject}"
        return f"{words} for {self.replaces}" if self.replaces else words


class Withheld(StrEnum):
    """Why a decided order is not sent.

    `UNSURE` to `UNCONFIRMED` hold for all orders: the daemon may not
    act on its state, a newer host list is known, or the list was not
    confirmed recently.  `SETTLING` means that an earlier owner of the
    engine may still act, and `REVISION_CHANGED` that the order was
    decided by an earlier host list.  `EXPIRED` orders were decided too
    long ago.  `LEAVING` engines have a leaving mark.
    """

    UNSURE = "unsure"
    BEHIND = "behind"
    UNCONFIRMED = "unconfirmed"
    SETTLING = "settling"
    REVISION_CHANGED = "revision_changed"
    EXPIRED = "expired"
    LEAVING = "leaving"


class AnswerKind(StrEnum):
    """The result of an order that was sent or withheld.

    `FENCED` means that the engine has seen a higher fencing number,
    `UNREACHABLE` that the order was surely not sent, and `UNKNOWN` that
    it was sent and may have had an effect.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    REFUSED = "refused"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"
    WITHHELD = "withheld"


class OrderAnswer(NamedTuple):
    """An engine's answer to an order.

    If `kind` is `FENCED`, `seen_number` is the higher fencing number
    that the engine had seen before.
    """

    kind: AnswerKind
    seen_number: int = 0


class OrderLimits(NamedTuple):
    """Bounds that all daemons of a fleet must share.

    The store of model weights can serve `loads` loads in any
    `window_s`.  An engine gets no order for `dwell_s` after it accepted
    one, and a move must be wanted for `stable_s` before it is ordered.
    """

    loads: int = 6
    window_s: float = 60.0
    dwell_s: float = 300.0
    stable_s: float = 30.0


class OrderView(NamedTuple):
    """The lists and the demand by which a daemon decides orders.

    `models` and `roles` are the demand at this daemon, in requests in
    progress.  The fleet's demand is estimated as that, multiplied by
    the number of daemons.  `leaving` names hosts with a leaving mark.
    `list_age_s` is the time since the host list was confirmed as the
    newest.  `is_sure` tells that this daemon may act on it, and
    `is_behind` that a newer revision is known.
    """

    hosts: HostList
    artifacts: Mapping[str, Artifact]
    models: Mapping[str, float]
    roles: Mapping[str, float]
    list_age_s: float
    is_sure: bool = True
    is_behind: bool = False
    leaving: Collection[str] = ()


class PendingMove(NamedTuple):
    """A move that the demand calls for, and since when it does."""

    move: Move
    kind: OrderKind
    since_s: float


class AcceptedOrder(NamedTuple):
    """The last order that an engine accepted, and when it did."""

    order: Order
    at_s: float


class OrderPlanner:
    """Decides one daemon's orders to the engines that it owns.

    `pending` and `accepted` are by host.  `in_flight` names the hosts
    whose order was issued and has no answer yet.  `load_times_s` is
    when the recent load orders were issued.  `fenced_at_revision` maps
    each host whose orders stop, because its fencing number can't be
    exceeded, to the host list's revision for which they do.
    """

    def __init__(self, own_host: str, limits: OrderLimits) -> None:
        self.own_host = own_host
        self.limits = limits
        self.owners = Owners(limits.loads)
        self.ownership = Ownership(limits.window_s)
        self.numbers = FencingNumbers()
        self.planned_s = float("-inf")
        self.planned_revision = 0
        self.pending: dict[str, PendingMove] = {}
        self.in_flight: set[str] = set()
        self.accepted: dict[str, AcceptedOrder] = {}
        self.circuit_breakers = CircuitBreakers()
        self.load_times_s: list[float] = []
        self.fenced_at_revision: dict[str, int] = {}

    def evaluate(self, view: OrderView, now_s: float) -> None:
        """Update the owned engines and the pending moves from a view.

        It must be called for each new revision of the host list, and
        once a second.
        """
        self.owners.update(view.hosts)
        self.ownership.update(
            view.hosts.revision,
            self.owners.engines_of(self.own_host),
            self.owners.loads_of(self.own_host),
            now_s,
        )
        self._drop_gone_engines(view)
        if self.reason_to_withhold_all(view) is not None:
            self.pending.clear()
            return
        is_new = view.hosts.revision != self.planned_revision
        if is_new or now_s - self.planned_s >= REPLAN_INTERVAL_S:
            self.planned_s = now_s
            self.planned_revision = view.hosts.revision
            self._plan(view, now_s)

    def reason_to_withhold_all(self, view: OrderView) -> Withheld | None:
        """Return why a view allows no orders at all, if so."""
        if not view.is_sure:
            return Withheld.UNSURE
        if view.is_behind:
            return Withheld.BEHIND
        if view.list_age_s > LIST_AGE_LIMIT_S:
            return Withheld.UNCONFIRMED
        return None

    def issue(self, view: OrderView, now_s: float) -> list[Order]:
        """Return the orders that are due, with fencing numbers.

        Their loads count from now on, even if they are not sent.
        """
        orders: list[Order] = []
        if self.reason_to_withhold_all(view) is not None:
            return orders
        if view.hosts.revision != self.planned_revision:
            return orders
        for host, pending in sorted(self.pending.items()):
            if not self._is_due(host, pending, now_s):
                continue
            if pending.kind is OrderKind.LOAD:
                if not self._may_load(now_s):
                    continue
                self.load_times_s.append(now_s)
            entry = view.hosts.hosts[host]
            orders.append(self._make_order(entry, pending, view, now_s))
            self.in_flight.add(host)
        return orders

    def reason_to_withhold(
        self, order: Order, view: OrderView, now_s: float
    ) -> Withheld | None:
        """Return why an order must not be written now, if so.

        It must be called with a fresh view, right before the order's
        first byte is written.
        """
        reason = self.reason_to_withhold_all(view)
        if reason is not None:
            return reason
        if now_s - order.decided_s > ORDER_VALID_S:
            return Withheld.EXPIRED
        if view.hosts.revision != revision_of(order.number):
            return Withheld.REVISION_CHANGED
        if not self.ownership.is_settled(order.host, now_s):
            return Withheld.SETTLING
        if order.host in view.leaving:
            return Withheld.LEAVING
        return None

    def note_answer(
        self, order: Order, answer: OrderAnswer, now_s: float
    ) -> None:
        """Process the answer to an order."""
        self.in_flight.discard(order.host)
        if answer.kind is AnswerKind.ACCEPTED:
            self.accepted[order.host] = AcceptedOrder(order, now_s)
            self.circuit_breakers.close(order.host)
            self.pending.pop(order.host, None)
            return
        if answer.kind is AnswerKind.WITHHELD:
            return
        if answer.kind is AnswerKind.FENCED:
            revision = revision_of(order.number)
            if not self.numbers.try_exceed(answer.seen_number, revision):
                # A number from one engine must not stop the orders to
                # the others.
                self.fenced_at_revision[order.host] = revision
        self.circuit_breakers.open(order.host, now_s)

    def _is_due(self, host: str, pending: PendingMove, now_s: float) -> bool:
        if host in self.in_flight or self.circuit_breakers.is_open(
            host, now_s
        ):
            return False
        if self.fenced_at_revision.get(host, -1) == self.planned_revision:
            return False
        if now_s - pending.since_s < self.limits.stable_s:
            return False
        accepted = self.accepted.get(host)
        dwell_s = self.limits.dwell_s
        if accepted is not None and now_s - accepted.at_s < dwell_s:
            return False
        return self.ownership.is_settled(host, now_s)

    def _may_load(self, now_s: float) -> bool:
        """Return whether the weight store can serve another load.

        An earlier order may have reached its engine late, by at most
        the time that an order stays valid and in flight.
        """
        span_s = self.limits.window_s + ORDER_TIMEOUT_S + ORDER_VALID_S
        self.load_times_s = [
            t for t in self.load_times_s if now_s - t <= span_s
        ]
        return len(self.load_times_s) < self.ownership.loads(now_s)

    def _make_order(
        self,
        entry: HostEntry,
        pending: PendingMove,
        view: OrderView,
        now_s: float,
    ) -> Order:
        move = pending.move
        is_unload = pending.kind is OrderKind.UNLOAD
        return Order(
            host=entry.host,
            incarnation=entry.incarnation,
            kind=pending.kind,
            subject=move.unload if is_unload else move.load,
            replaces="" if is_unload else move.unload,
            number=self.numbers.draw(view.hosts.revision, now_s),
            decided_s=now_s,
        )

    def _drop_gone_engines(self, view: OrderView) -> None:
        """Drop records of engines that are no longer owned.

        An accepted order is also dropped if the engine has restarted.
        """
        for records in (
            self.accepted,
            self.circuit_breakers.by_host,
            self.fenced_at_revision,
            self.pending,
        ):
            for host in set(records) - set(self.ownership.engines):
                del records[host]
        for host, accepted in list(self.accepted.items()):
            entry = view.hosts.hosts[host]
            if entry.incarnation != accepted.order.incarnation:
                del self.accepted[host]

    def _plan(self, view: OrderView, now_s: float) -> None:
        """Compute the pending moves, and since when each is wanted."""
        if not self.ownership.engines:
            return
        engines = [
            entry
            for entry in view.hosts.hosts.values()
            if is_managed(entry)
            and entry.state is HostState.LIVE
            and entry.host not in view.leaving
        ]
        wanted: dict[str, PendingMove] = {}
        for move in self._role_moves(engines, view, now_s):
            wanted[move.host] = PendingMove(move, OrderKind.CHANGE_ROLE, now_s)
        for move in self._artifact_moves(engines, view, now_s):
            kind = OrderKind.LOAD if move.load else OrderKind.UNLOAD
            wanted.setdefault(move.host, PendingMove(move, kind, now_s))
        previous, self.pending = self.pending, {}
        for host in self.ownership.engines:
            if host not in wanted:
                continue
            pending = previous.get(host, wanted[host])
            is_same = pending[:2] == wanted[host][:2]
            self.pending[host] = pending if is_same else wanted[host]

    def _artifact_moves(
        self, engines: Collection[HostEntry], view: OrderView, now_s: float
    ) -> tuple[Move, ...]:
        if not view.artifacts:
            return ()
        engine_slots = [
            _artifact_slots(entry, self._unlisted_order(entry, now_s))
            for entry in engines
            if entry.may_hold
        ]
        minimum = {a.artifact: a.min_replicas for a in view.artifacts.values()}
        return plan_moves(
            engine_slots, minimum, self._fleet_demand(view.models)
        )

    def _role_moves(
        self, engines: Collection[HostEntry], view: OrderView, now_s: float
    ) -> tuple[Move, ...]:
        engine_slots = [
            _role_slots(entry, self._unlisted_order(entry, now_s))
            for entry in engines
            if entry.may_take_roles
        ]
        names = {role for slots in engine_slots for role in slots.may_hold}
        minimum = dict.fromkeys(names, ROLE_MIN_REPLICAS)
        return plan_moves(
            engine_slots, minimum, self._fleet_demand(view.roles)
        )

    def _fleet_demand(self, demand: Mapping[str, float]) -> dict[str, float]:
        count = self.owners.daemon_count
        return {name: count * number for name, number in demand.items()}

    def _unlisted_order(self, entry: HostEntry, now_s: float) -> Order | None:
        """Return an accepted order that the host list may not show."""
        accepted = self.accepted.get(entry.host)
        if accepted is None or now_s - accepted.at_s > UNLISTED_LIMIT_S:
            return None
        return accepted.order


def _artifact_slots(entry: HostEntry, order: Order | None) -> EngineSlots:
    holds = set(entry.models)
    if order is not None and order.kind is not OrderKind.CHANGE_ROLE:
        is_load = order.kind is OrderKind.LOAD
        holds -= {order.replaces if is_load else order.subject}
        holds |= {order.subject} if is_load else set()
    # A held name that may not be ordered keeps its slot.
    movable = holds & set(entry.may_hold)
    slots = max(0, entry.slots - len(holds - movable))
    return EngineSlots(
        entry.host, slots, entry.may_hold, tuple(sorted(movable))
    )


def _role_slots(entry: HostEntry, order: Order | None) -> EngineSlots:
    role = entry.engine_role
    if order is not None and order.kind is OrderKind.CHANGE_ROLE:
        role = order.subject
    holds = (role,) if role in entry.may_take_roles else ()
    return EngineSlots(entry.host, 1, entry.may_take_roles, holds)
