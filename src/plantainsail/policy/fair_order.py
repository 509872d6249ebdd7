"""Whose work comes first, by shares over the fleet and by limits."""

import math
from collections.abc import Iterator, Mapping, Sequence

from plantainsail.lists.model import Grant
from plantainsail.policy.decisions import Rank
from plantainsail.policy.queue import QueueEntry, WaitingQueue
from plantainsail.policy.shares import ShareLedger

MAX_HEADS = 2
# Short work goes first until its plan had this many times the tokens
# per share of the plan that is due.
SHORT_ADVANTAGE = 1.2


class FairOrder:
    """Where plans and organisations stand against their grants."""

    def __init__(self, plans: ShareLedger, organisations: ShareLedger) -> None:
        self.plans = plans
        self.organisations = organisations
        self.grants: Mapping[str, Grant] = {}

    def rank(self, plan: str, organisation: str, now_s: float) -> Rank:
        """Return where a plan's and organisation's work stands."""
        return Rank(
            self.plans.weighted_usage(plan, now_s),
            self.organisations.weighted_usage(organisation, now_s),
        )

    def is_over_limit(self, plan: str, now_s: float) -> bool:
        """Return whether a plan has used the tokens a second it may."""
        grant = self.grants.get(plan)
        if grant is None or grant.tokens_per_s is None:
            return False
        return self.plans.rate(plan, now_s) >= grant.tokens_per_s

    def order_queues(
        self, queues: Sequence[WaitingQueue], now_s: float
    ) -> list[WaitingQueue]:
        """Return the queues with work, the one to serve first first.

        The first given is that of short work, which goes first unless
        its plan is well ahead of its share.
        """
        busy = [queue for queue in queues if queue.entries]
        if len(busy) < 2:
            return busy
        positions = [
            min(self.plans.weighted_usage(plan, now_s) for plan in queue.plans)
            for queue in busy
        ]
        if positions[0] > SHORT_ADVANTAGE * positions[1]:
            busy.reverse()
        return busy

    def heads(self, queue: WaitingQueue, now_s: float) -> Iterator[QueueEntry]:
        """Return the requests of a queue that are next."""
        return queue.heads(
            lambda plan: self._plan_position(plan, now_s),
            lambda name: self.organisations.weighted_usage(name, now_s),
            MAX_HEADS,
        )

    def _plan_position(self, plan: str, now_s: float) -> float:
        """Return a plan's place, which is last if over its limit."""
        if self.is_over_limit(plan, now_s):
            return math.inf
        return self.plans.weighted_usage(plan, now_s)
