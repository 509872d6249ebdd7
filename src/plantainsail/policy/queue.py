"""The requests of one model that wait for an engine.

The plan that had the fewest tokens per share goes first, within it the
organisation that had the fewest tokens, and within that the request of
the earliest arrival plus a delay for each token that it is expected to
produce.  So short work overtakes long work, which yet has its turn.
"""

import heapq
from collections.abc import Callable, Iterator
from typing import NamedTuple

from plantainsail.policy.work import Work

DELAY_S_PER_TOKEN = 0.02
MAX_WAITING = 1_000
MAX_WAITING_BYTES = 67_108_864
MAX_ORGANISATION_FRACTION = 0.25
SIZE_CLASSES = 20
LOOKAHEAD = 4

PositionFunction = Callable[[str], float]


class QueueEntry(NamedTuple):
    """One request in the queue.

    `expected` is its likely output in tokens.
    """

    order_s: float
    number: int
    work: Work
    expected: int
    excluded: tuple[str, ...] = ()


class _OrganisationQueue:
    """The waiting requests of one organisation."""

    def __init__(self, plan: str) -> None:
        self.plan = plan
        self.heap: list[QueueEntry] = []
        self.count = 0


class _RankedOrganisation(NamedTuple):
    """An organisation at the position that it was last seen in."""

    position: float
    name: str


class _PlanQueue:
    """The organisations of one plan that wait.

    Positions in the heap may be old.  The first ones are read again
    before they are used, and so is one of the others in turn.
    """

    def __init__(self) -> None:
        self.heap: list[_RankedOrganisation] = []
        self.ranked: dict[str, _RankedOrganisation] = {}
        self.size_classes = [0] * SIZE_CLASSES

    def rank(self, name: str, position: float) -> None:
        """Put an organisation at a position."""
        ranked = _RankedOrganisation(position, name)
        # The latest ranked is last, so that the oldest comes in turn.
        self.ranked.pop(name, None)
        self.ranked[name] = ranked
        heapq.heappush(self.heap, ranked)

    def first(self, position_of: PositionFunction, count: int) -> list[str]:
        """Return the first organisations and keep them ranked."""
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
    """Requests of one model, ordered by share and expected size."""

    def __init__(self) -> None:
        self.entries: dict[str, QueueEntry] = {}
        self.organisations: dict[str, _OrganisationQueue] = {}
        self.plans: dict[str, _PlanQueue] = {}
        self.deadlines: list[tuple[float, str]] = []
        self.bytes = 0
        self.number = 0

    def push(
        self, work: Work, expected: int, excluded: tuple[str, ...] = ()
    ) -> QueueEntry:
        """Add a request."""
        self.number += 1
        entry = QueueEntry(
            work.arrived_s + expected * DELAY_S_PER_TOKEN,
            self.number,
            work,
            expected,
            excluded,
        )
        line = self.organisations.get(work.organisation)
        if line is None:
            line = self.organisations[work.organisation] = _OrganisationQueue(
                work.plan
            )
            lines = self.plans.setdefault(line.plan, _PlanQueue())
            lines.rank(work.organisation, float("-inf"))
        heapq.heappush(line.heap, entry)
        heapq.heappush(self.deadlines, (work.deadline_s, work.request))
        line.count += 1
        self.entries[work.request] = entry
        self.bytes += work.prompt_bytes
        classes = self.plans[line.plan].size_classes
        classes[_size_class(expected)] += expected
        return entry

    def remove(self, request: str) -> QueueEntry | None:
        """Take a request out, wherever it stands."""
        entry = self.entries.pop(request, None)
        if entry is None:
            return None
        name = entry.work.organisation
        line = self.organisations[name]
        line.count -= 1
        self.bytes -= entry.work.prompt_bytes
        lines = self.plans[line.plan]
        lines.size_classes[_size_class(entry.expected)] -= entry.expected
        if line.count:
            self._drop_removed_heads(line)
            return entry
        del self.organisations[name]
        lines.ranked.pop(name, None)
        if not lines.ranked:
            del self.plans[line.plan]
        return entry

    def update_position(self, organisation: str, position: float) -> None:
        """Note that an organisation's position has fallen."""
        line = self.organisations.get(organisation)
        if line is not None:
            self.plans[line.plan].rank(organisation, position)

    def waiting_count(self, organisation: str) -> int:
        """Return how many requests of an organisation wait."""
        line = self.organisations.get(organisation)
        return 0 if line is None else line.count

    def waiting_by_plan(self) -> dict[str, int]:
        """Return how many requests of each plan wait."""
        counts: dict[str, int] = {}
        for line in self.organisations.values():
            counts[line.plan] = counts.get(line.plan, 0) + line.count
        return counts

    def heads(
        self,
        plan_position: PositionFunction,
        organisation_position: PositionFunction,
        lookahead: int = LOOKAHEAD,
    ) -> Iterator[QueueEntry]:
        """Yield the first requests of the first organisations.

        From each plan come at most `lookahead`.
        """
        ordered = sorted(self.plans, key=lambda p: (plan_position(p), p))
        for plan in ordered:
            lines = self.plans[plan]
            for name in lines.first(organisation_position, lookahead):
                yield self.organisations[name].heap[0]

    def next_entries(
        self,
        plan_position: PositionFunction,
        organisation_position: PositionFunction,
        count: int,
    ) -> list[QueueEntry]:
        """Return about the next requests to start, at most `count`."""
        found: list[QueueEntry] = []
        for head in self.heads(plan_position, organisation_position):
            line = self.organisations[head.work.organisation]
            for entry in heapq.nsmallest(count, line.heap[: 4 * count]):
                if self.entries.get(entry.work.request) is entry:
                    found.append(entry)
            if len(found) >= count:
                break
        return found[:count]

    def pop_expired(self, now_s: float) -> list[QueueEntry]:
        """Return the requests whose deadline has passed."""
        found: list[QueueEntry] = []
        while self.deadlines and self.deadlines[0][0] <= now_s:
            _, request = heapq.heappop(self.deadlines)
            entry = self.entries.get(request)
            if entry is not None and entry.work.deadline_s <= now_s:
                found.append(entry)
        return found

    def tokens_ahead(self, plan: str, expected: int) -> int:
        """Return the waiting tokens of a plan that go before a size."""
        lines = self.plans.get(plan)
        if lines is None:
            return 0
        return sum(lines.size_classes[: _size_class(expected) + 1])

    def _drop_removed_heads(self, line: _OrganisationQueue) -> None:
        while self.entries.get(line.heap[0].work.request) is not line.heap[0]:
            heapq.heappop(line.heap)


def _size_class(expected: int) -> int:
    return min(expected.bit_length(), SIZE_CLASSES - 1)
