"""Orders waiting work by fleet-wide fair shares and rate limits."""

import math
from collections.abc import Iterator, Mapping, Sequence

from plantainsail.lists.model import Grant
from plantainsail.policy.decisions import Rank
from plantainsail.policy.queue import QueueEntry, WaitingQueue
from plantainsail.policy.shares import ShareLedger

# The waiting requests of one queue that are tried before those of the
# next queue.
MAX_QUEUE_HEADS = 2
# Short work goes first unless its plan had more than this many times
# the tokens per share of the first plan with other work.
SHORT_QUEUE_ADVANTAGE = 1.2


class FairOrder:
    """Orders plans and organisations by their shares and grants.

    `plans` and `organisations` hold the tokens served to each in the
    fleet, and `grants` is by plan.
    """

    def __init__(self, plans: ShareLedger, organisations: ShareLedger) -> None:
        self.plans = plans
        self.organisations = organisations
        self.grants: Mapping[str, Grant] = {}

    def rank(self, plan: str, organisation: str, now_s: float) -> Rank:
        """Return the rank of an organisation's work within a plan."""
        return Rank(
            self.plans.weighted_usage(plan, now_s),
            self.organisations.weighted_usage(organisation, now_s),
        )

    def is_over_limit(self, plan: str, now_s: float) -> bool:
        """Return whether a plan has reached its token rate limit."""
        grant = self.grants.get(plan)
        if grant is None or grant.tokens_per_s is None:
            return False
        return self.plans.rate(plan, now_s) >= grant.tokens_per_s

    def order_queues(
        self, queues: Sequence[WaitingQueue], now_s: float
    ) -> list[WaitingQueue]:
        """Return the queues that have work, in the order to serve them.

        The first of `queues` holds short work.  It is served first
        unless its plan has received far more than its share.
        """
        nonempty = [queue for queue in queues if queue.entries]
        if len(nonempty) < 2:
            return nonempty
        positions = [
            min(self.plans.weighted_usage(plan, now_s) for plan in queue.plans)
            for queue in nonempty
        ]
        if positions[0] > SHORT_QUEUE_ADVANTAGE * positions[1]:
            nonempty.reverse()
        return nonempty

    def heads(self, queue: WaitingQueue, now_s: float) -> Iterator[QueueEntry]:
        """Return the requests of a queue that may start next."""
        return queue.heads(
            lambda plan: self._plan_position(plan, now_s),
            lambda name: self.organisations.weighted_usage(name, now_s),
            MAX_QUEUE_HEADS,
        )

    def _plan_position(self, plan: str, now_s: float) -> float:
        """Return a plan's position; plans over their limit go last."""
        if self.is_over_limit(plan, now_s):
            return math.inf
        return self.plans.weighted_usage(plan, now_s)
