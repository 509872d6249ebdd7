"""Sends model orders to the engines that this daemon owns."""

import asyncio

from plantainsail.lists.model import HostEntry
from plantainsail.lists.snapshot import Family
from plantainsail.logs import get_logger
from plantainsail.policy.orders import (
    AnswerKind,
    Order,
    OrderAnswer,
    OrderLimits,
    OrderPlanner,
    OrderView,
    Withheld,
)
from plantainsail.runtime.node import Node

EVALUATION_INTERVAL_S = 1.0
ORDERING_STATE = "serving"


class OrderRuntime:
    """Plans orders periodically and sends those that are due."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.logger = get_logger("orders")
        settings = node.settings.orders
        self.is_enabled = settings.is_enabled
        self.orders = OrderPlanner(
            node.settings.host,
            OrderLimits(
                settings.loads,
                settings.window_s,
                settings.dwell_s,
                settings.stable_s,
            ),
        )
        node.orders = self.orders

    async def run(self) -> None:
        """Evaluate every second until cancelled."""
        while self.is_enabled:
            for order in self.evaluate():
                self.node.hold_task_reference(
                    asyncio.create_task(self.send(order))
                )
            await asyncio.sleep(EVALUATION_INTERVAL_S)

    def apply_host_list(self) -> None:
        """Evaluate a new revision of the host list at once.

        A daemon that skips a revision can't know who owned the
        engines and must wait again before it orders.
        """
        if self.is_enabled:
            self.orders.evaluate(self.view(), self.node.now_s())

    def evaluate(self) -> list[Order]:
        """Evaluate the current state and return the due orders."""
        now_s = self.node.now_s()
        self.node.dispatcher.demand.sample(now_s)
        view = self.view()
        self.orders.evaluate(view, now_s)
        self.node.metrics.owned_engines.set(len(self.orders.ownership.engines))
        return self.orders.issue(view, now_s)

    async def send(self, order: Order) -> None:
        """Send one order unless it is withheld; record the answer."""
        withheld: list[Withheld] = []

        def may_write() -> bool:
            reason = self._reason_to_withhold(order)
            if reason is not None:
                withheld.append(reason)
            return reason is None

        engine = self.node.store.hosts.hosts.get(order.host)
        answer = OrderAnswer(AnswerKind.WITHHELD)
        if engine is not None and may_write():
            answer = await self.node.engines.order(engine, order, may_write)
        if withheld:
            answer = OrderAnswer(AnswerKind.WITHHELD)
            self.node.metrics.orders_withheld.labels(withheld[0].value).inc()
        self._record_answer(order, answer, engine)

    def view(self) -> OrderView:
        """Return the state on which the planner decides."""
        node = self.node
        hosts = node.store.hosts
        now_s = node.now_s()
        demand = node.dispatcher.demand
        is_serving = node.is_sure() and node.life_cycle.state == ORDERING_STATE
        return OrderView(
            hosts=hosts,
            artifacts=node.store.lists.artifacts,
            models=demand.models,
            roles=demand.roles,
            list_age_s=node.store.age_s(now_s, Family.HOSTS),
            is_sure=is_serving,
            is_behind=node.store.highest_seen[Family.HOSTS] > hosts.revision,
            leaving=self._leaving(),
        )

    def _leaving(self) -> set[str]:
        hosts = self.node.store.hosts.hosts
        return {
            mark.host
            for mark in self.node.marks.records
            if mark.host in hosts
            and hosts[mark.host].incarnation == mark.incarnation
        }

    def _reason_to_withhold(self, order: Order) -> Withheld | None:
        return self.orders.reason_to_withhold(
            order, self.view(), self.node.now_s()
        )

    def _record_answer(
        self, order: Order, answer: OrderAnswer, engine: HostEntry | None
    ) -> None:
        now_s = self.node.now_s()
        was_failing = self.orders.circuit_breakers.is_failing(order.host)
        self.orders.note_answer(order, answer, now_s)
        self.node.metrics.orders.labels(
            order.kind.value, answer.kind.value
        ).inc()
        if answer.kind is AnswerKind.LEAVING and engine is not None:
            self.node.marks.mark_draining(engine, now_s)
        if answer.kind is AnswerKind.ACCEPTED:
            self.logger.info(
                "order accepted",
                host=order.host,
                order=order.describe(),
                number=order.number,
            )
        elif not was_failing and answer.kind is not AnswerKind.WITHHELD:
            self.logger.warning(
                "orders to engine failing",
                host=order.host,
                order=order.describe(),
                result=answer.kind.value,
            )
