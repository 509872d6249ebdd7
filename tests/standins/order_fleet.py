"""A model of several daemons that send orders to engines.

The model uses no connections.  Orders are lost, repeated, delayed and
reordered.  Daemons pause before they write, restart with empty memory,
and lose contact with the service that publishes the host list.
"""

import random
from collections import defaultdict
from typing import NamedTuple

from plantainsail.lists.model import Artifact, HostEntry, HostList, Role
from plantainsail.policy.order_owners import ORDER_TIMEOUT_S
from plantainsail.policy.orders import (
    AnswerKind,
    Order,
    OrderAnswer,
    OrderKind,
    OrderLimits,
    OrderPlanner,
    OrderView,
)
from tests.standins.orders import OrderBook

STEP_S = 0.5
DEMAND_CHANGE_SHARE = 0.1
DECISION_STEPS = 20
LATE_LIMIT_S = 120.0
PAUSE_LIMIT_S = 1.0
NAMES = ("a", "b", "c")
ARTIFACTS = {name: Artifact(name, min_replicas=0) for name in NAMES}
LIMITS = OrderLimits(loads=2, window_s=30.0, dwell_s=1.0, stable_s=0.5)


class Sent(NamedTuple):
    """A sent order that arrives at its engine at `due_s`."""

    due_s: float
    written_s: float
    daemon: int
    order: Order


class Load(NamedTuple):
    """The time and fencing number of a load from the weight store."""

    at_s: float
    number: int


class ModelDaemon:
    """The order planner of one daemon incarnation and its inputs."""

    def __init__(self, host: str, now_s: float) -> None:
        self.orders = OrderPlanner(host, LIMITS)
        self.hosts = HostList(0, {})
        self.confirmed_s = float("-inf")
        self.ticked_s = now_s
        self.is_connected = True
        self.is_asleep = False
        self.unsent: list[Order] = []
        self.demand: dict[str, float] = {}

    def view(self, now_s: float) -> OrderView:
        """Return the planner's inputs, as `OrderRuntime` does."""
        return OrderView(
            self.hosts,
            ARTIFACTS,
            self.demand,
            self.demand,
            now_s - self.confirmed_s,
            is_sure=now_s - self.ticked_s <= PAUSE_LIMIT_S,
        )


class OrderFleet:
    """Daemons, engines and the orders sent between them."""

    def __init__(
        self, seed: int, daemons: int, engines: int, *, are_checking: bool
    ) -> None:
        self.random = random.Random(seed)
        self.are_checking = are_checking
        self.now_s = 1_000.0
        self.engines = [f"engine-{n}" for n in range(engines)]
        self.books = {
            host: OrderBook(checks_fencing=are_checking)
            for host in self.engines
        }
        self.sent: list[Sent] = []
        self.loads: list[Load] = []
        self.effects: dict[str, list[int]] = defaultdict(list)
        self.hosts = HostList(0, {})
        self.daemons = [self._new(n) for n in range(daemons)]
        self.publish(set(range(daemons)))

    def _new(self, index: int) -> ModelDaemon:
        return ModelDaemon(f"entry-{index}", self.now_s)

    def publish(self, live: set[int]) -> None:
        """Publish a host list with the daemons in `live`."""
        entries = [
            HostEntry(f"entry-{n}", Role.ENTRY, f"10.0.0.{n}:1", "z")
            for n in sorted(live)
        ]
        entries += [
            HostEntry(
                host,
                Role.ENGINE,
                "10.1.0.1:1",
                "z",
                may_hold=NAMES if number % 2 else (),
                may_take_roles=() if number % 2 else NAMES,
            )
            for number, host in enumerate(self.engines)
        ]
        self.hosts = HostList(
            self.hosts.revision + 1, {e.host: e for e in entries}
        )

    def restart(self, index: int) -> None:
        """Replace a daemon by one with empty memory."""
        self.daemons[index] = self._new(index)

    def pass_time(self, seconds: float) -> None:
        """Advance the clock; run daemons and deliver orders."""
        for _ in range(int(seconds / STEP_S)):
            self.now_s += STEP_S
            for daemon in self.daemons:
                if self.random.random() < DEMAND_CHANGE_SHARE:
                    daemon.demand = {self.random.choice(NAMES): 50.0}
                if not daemon.is_asleep:
                    self.run(daemon)
            for sent in sorted(self.sent):
                if sent.due_s <= self.now_s:
                    self.sent.remove(sent)
                    self.deliver(sent)

    def pass_time_until_decided(self, daemon: ModelDaemon) -> None:
        """Advance the clock until a daemon has orders to write."""
        for _ in range(DECISION_STEPS):
            if daemon.unsent or daemon.is_asleep:
                return
            self.pass_time(STEP_S)

    def run(self, daemon: ModelDaemon) -> None:
        """Write a daemon's earlier orders, then decide new ones."""
        self.write(daemon)
        daemon.ticked_s = self.now_s
        # A connected daemon reads the current list in half the steps.
        if daemon.is_connected and self.random.random() < 0.5:
            daemon.hosts = self.hosts
            daemon.confirmed_s = self.now_s
        view = daemon.view(self.now_s)
        daemon.orders.evaluate(view, self.now_s)
        daemon.unsent += daemon.orders.issue(view, self.now_s)

    def write(self, daemon: ModelDaemon) -> None:
        """Send the orders decided before, unless now withheld."""
        unsent, daemon.unsent = daemon.unsent, []
        for order in unsent:
            view = daemon.view(self.now_s)
            if daemon.orders.reason_to_withhold(order, view, self.now_s):
                answer = OrderAnswer(AnswerKind.WITHHELD)
                daemon.orders.note_answer(order, answer, self.now_s)
                continue
            index = self.daemons.index(daemon)
            for _ in range(self.random.choice((0, 1, 1, 1, 2))):
                self.sent.append(Sent(self._due_s(), self.now_s, index, order))
            if not any(sent.order == order for sent in self.sent):
                self.answer(daemon, order, AnswerKind.UNKNOWN)

    def _due_s(self) -> float:
        """Return the time at which an order arrives.

        Engines that ignore fencing numbers are only safe if orders
        arrive while their connection is open, so theirs are never late.
        """
        if self.are_checking and self.random.random() < 0.3:
            return self.now_s + self.random.uniform(0.0, LATE_LIMIT_S)
        return self.now_s + self.random.uniform(0.0, ORDER_TIMEOUT_S)

    def deliver(self, sent: Sent) -> None:
        """Deliver an order to its engine and answer the daemon."""
        order = sent.order
        book = self.books[order.host]
        seen = book.highest
        has_effect = book.take(order.kind, order.subject, order.number)
        is_late = self.now_s - sent.written_s > ORDER_TIMEOUT_S + STEP_S
        if has_effect:
            self.effects[order.host].append(order.number)
            is_load = order.kind is OrderKind.LOAD
            is_repeated = any(order.number == x.number for x in self.loads)
            if is_load and not is_late and not is_repeated:
                self.loads.append(Load(self.now_s, order.number))
        daemon = self.daemons[sent.daemon]
        kind = AnswerKind.ACCEPTED if has_effect else AnswerKind.FENCED
        if is_late or self.random.random() < 0.2:
            kind = AnswerKind.UNKNOWN
        self.answer(daemon, order, kind, seen)

    def answer(
        self,
        daemon: ModelDaemon,
        order: Order,
        kind: AnswerKind,
        seen: int = 0,
    ) -> None:
        """Record an answer if the daemon has an order in flight."""
        if order.host in daemon.orders.in_flight:
            answer = OrderAnswer(kind, seen)
            daemon.orders.note_answer(order, answer, self.now_s)

    def check(self) -> None:
        """Fail on an older order or too many loads in a window."""
        for host, numbers in self.effects.items():
            assert numbers == sorted(numbers), f"{host} took an older order"
        times = [load.at_s for load in self.loads]
        for first in times:
            count = sum(first <= t < first + LIMITS.window_s for t in times)
            assert count <= LIMITS.loads, "too many loads in a window"
