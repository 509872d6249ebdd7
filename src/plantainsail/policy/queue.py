"""The queue of requests of one model that wait for an engine.

The queue serves the plan with the fewest tokens per share first, then
the plan's organisation with the fewest tokens.  Requests of one
organisation are sorted by their arrival time plus a delay for each
expected output token: short requests overtake long ones, but a long
request's wait is bounded.
"""

import heapq
from collections.abc import Callable, Iterator
from typing import NamedTuple

from plantainsail.policy.work import Work

# Sorting delay for each expected output token of a request.
DELAY_S_PER_TOKEN = 0.02
# For each model, at most this many requests may wait, with prompts of
# at most this many bytes together.
MAX_WAITING = 1_000
MAX_WAITING_BYTES = 67_108_864
# The part of `MAX_WAITING` that one organisation may use by default.
MAX_ORGANISATION_FRACTION = 0.25
# Size classes are powers of two of the expected output tokens.
SIZE_CLASSES = 20
# How many organisations of each plan offer their first request.
LOOKAHEAD = 4

# Returns the tokens per share of a plan or an organisation; the lowest
# goes first.
PositionFunction = Callable[[str], float]


class QueueEntry(NamedTuple):
    """One request in the queue.

    Entries sort by `order_s`, then by `number`, which counts the
    entries of a queue.  `expected_tokens` is the likely output length,
    and `excluded` are hosts that must not serve the request.
    """

    order_s: float
    number: int
    work: Work
    expected_tokens: int
    excluded: tuple[str, ...] = ()


class _OrganisationQueue:
    """The waiting requests of one organisation.

    `count` is the number that wait; `heap` may still hold removed ones.
    """

    def __init__(self, plan: str) -> None:
        self.plan = plan
        self.heap: list[QueueEntry] = []
        self.count = 0


class _RankedOrganisation(NamedTuple):
    """An organisation and its position when it was last read."""

    position: float
    name: str


class _PlanQueue:
    """The organisations of one plan that have waiting requests.

    Positions in the heap may be stale.  Each call of `first` reads the
    positions that it returns again, and also the position that was
    read longest ago.  `ranked` holds the latest position of each
    organisation, and `size_classes` the expected output tokens queued
    in each size class.
    """

    def __init__(self) -> None:
        self.heap: list[_RankedOrganisation] = []
        self.ranked: dict[str, _RankedOrganisation] = {}
        self.size_classes = [0] * SIZE_CLASSES

    def rank(self, name: str, position: float) -> None:
        """Set the position of an organisation."""
        ranked = _RankedOrganisation(position, name)
        # Reinserting keeps the dict sorted by the time of ranking.
        self.ranked.pop(name, None)
        self.ranked[name] = ranked
        heapq.heappush(self.heap, ranked)

    def first(self, position_of: PositionFunction, count: int) -> list[str]:
        """Return the organisations with the lowest positions."""
        oldest = next(iter(self.ranked), None)
        if oldest is not None:
            self.rank(oldest, position_of(oldest))
        taken: list[_RankedOrganisation] = []
        while self.heap and len(taken) < count:
            ranked = heapq.heappop(self.heap)
            if self.ranked.get(ranked.name) is not ranked:
                continue
            position = position_of(ranked.name)
            if position > ranked.position:
                self.rank(ranked.name, position)
                continue
            taken.append(ranked)
        for ranked in taken:
            heapq.heappush(self.heap, ranked)
        return [ranked.name for ranked in taken]


class WaitingQueue:
    """Requests of one model, ordered by fair share and expected size.

    `bytes` is the total size of the waiting prompts.  `entries` is by
    request, `deadlines` is a heap of deadlines and their requests, and
    `number` counts the requests that were ever added.
    """

    def __init__(self) -> None:
        self.entries: dict[str, QueueEntry] = {}
        self.organisations: dict[str, _OrganisationQueue] = {}
        self.plans: dict[str, _PlanQueue] = {}
        self.deadlines: list[tuple[float, str]] = []
        self.bytes = 0
        self.number = 0

    def push(
        self, work: Work, expected_tokens: int, excluded: tuple[str, ...] = ()
    ) -> QueueEntry:
        """Add a request."""
        self.number += 1
        entry = QueueEntry(
            work.arrived_s + expected_tokens * DELAY_S_PER_TOKEN,
            self.number,
            work,
            expected_tokens,
            excluded,
        )
        organisation_queue = self.organisations.get(work.organisation)
        if organisation_queue is None:
            organisation_queue = self.organisations[work.organisation] = (
                _OrganisationQueue(work.plan)
            )
            plan_queue = self.plans.setdefault(
                organisation_queue.plan, _PlanQueue()
            )
            plan_queue.rank(work.organisation, float("-inf"))
        heapq.heappush(organisation_queue.heap, entry)
        heapq.heappush(self.deadlines, (work.deadline_s, work.request))
        organisation_queue.count += 1
        self.entries[work.request] = entry
        self.bytes += work.prompt_bytes
        size_classes = self.plans[organisation_queue.plan].size_classes
        size_classes[_size_class(expected_tokens)] += expected_tokens
        return entry

    def remove(self, request: str) -> QueueEntry | None:
        """Remove a request, and return its entry if it was queued."""
        entry = self.entries.pop(request, None)
        if entry is None:
            return None
        name = entry.work.organisation
        organisation_queue = self.organisations[name]
        organisation_queue.count -= 1
        self.bytes -= entry.work.prompt_bytes
        plan_queue = self.plans[organisation_queue.plan]
        plan_queue.size_classes[_size_class(entry.expected_tokens)] -= (
            entry.expected_tokens
        )
        if organisation_queue.count:
            self._drop_removed_heads(organisation_queue)
            return entry
        del self.organisations[name]
        plan_queue.ranked.pop(name, None)
        if not plan_queue.ranked:
            del self.plans[organisation_queue.plan]
        return entry

    def update_position(self, organisation: str, position: float) -> None:
        """Set the position of an organisation after it has fallen.

        The heap notices by itself only that a position has risen.
        """
        organisation_queue = self.organisations.get(organisation)
        if organisation_queue is not None:
            self.plans[organisation_queue.plan].rank(organisation, position)

    def waiting_count(self, organisation: str) -> int:
        """Return the number of waiting requests of an organisation."""
        organisation_queue = self.organisations.get(organisation)
        return 0 if organisation_queue is None else organisation_queue.count

    def waiting_by_plan(self) -> dict[str, int]:
        """Return the number of waiting requests of each plan."""
        counts: dict[str, int] = {}
        for organisation_queue in self.organisations.values():
            counts[organisation_queue.plan] = (
                counts.get(organisation_queue.plan, 0)
                + organisation_queue.count
            )
        return counts

    def heads(
        self,
        plan_position: PositionFunction,
        organisation_position: PositionFunction,
        lookahead: int = LOOKAHEAD,
    ) -> Iterator[QueueEntry]:
        """Yield the first request of each of the first organisations.

        At most `lookahead` organisations of each plan are considered.
        """
        ordered = sorted(self.plans, key=lambda p: (plan_position(p), p))
        for plan in ordered:
            plan_queue = self.plans[plan]
            for name in plan_queue.first(organisation_position, lookahead):
                yield self.organisations[name].heap[0]

    def next_entries(
        self,
        plan_position: PositionFunction,
        organisation_position: PositionFunction,
        count: int,
    ) -> list[QueueEntry]:
        """Return approximately the next `count` requests to start."""
        entries: list[QueueEntry] = []
        for head in self.heads(plan_position, organisation_position):
            organisation_queue = self.organisations[head.work.organisation]
            for entry in heapq.nsmallest(
                count, organisation_queue.heap[: 4 * count]
            ):
                if self.entries.get(entry.work.request) is entry:
                    entries.append(entry)
            if len(entries) >= count:
                break
        return entries[:count]

    def newly_expired(self, now_s: float) -> list[QueueEntry]:
        """Return requests whose deadline has passed, each only once.

        They stay queued until the caller removes them.
        """
        expired: list[QueueEntry] = []
        while self.deadlines and self.deadlines[0][0] <= now_s:
            _, request = heapq.heappop(self.deadlines)
            entry = self.entries.get(request)
            if entry is not None and entry.work.deadline_s <= now_s:
                expired.append(entry)
        return expired

    def tokens_ahead(self, plan: str, expected_tokens: int) -> int:
        """Return a plan's queued tokens that go before a request.

        Entries of the size class of `expected_tokens` and of smaller
        classes count: they usually start before such a request.
        """
        plan_queue = self.plans.get(plan)
        if plan_queue is None:
            return 0
        return sum(plan_queue.size_classes[: _size_class(expected_tokens) + 1])

    def _drop_removed_heads(
        self, organisation_queue: _OrganisationQueue
    ) -> None:
        while (
            self.entries.get(organisation_queue.heap[0].work.request)
            is not organisation_queue.heap[0]
        ):
            heapq.heappop(organisation_queue.heap)


def _size_class(expected_tokens: int) -> int:
    return min(expected_tokens.bit_length(), SIZE_CLASSES - 1)
