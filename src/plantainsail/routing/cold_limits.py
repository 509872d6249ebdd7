"""Limits the requests that cold upstreams get from all daemons.

An upstream is cold for a while after its start, or from when an answer
says so.  It then bears a number of requests a second, and crashes well
above that.  All daemons together keep to a token bucket, of which each
has a copy (`routing.token_bucket`), and to turns (`routing.turns`), as
otherwise all of them would send as soon as their copies hold a token.

Daemons that don't hear each other can't count each other's requests.
Each group of them therefore uses only its share of the budget.
"""

import random
from collections.abc import Set
from typing import NamedTuple

from plantainsail.routing.cold_budget import (
    ColdBudget,
    FleetShare,
    GroupBudget,
    group_budget,
)
from plantainsail.routing.members import Members
from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.token_bucket import (
    PeerCopy,
    SentRequests,
    TokenBucket,
)
from plantainsail.routing.turns import Turns, first_turn

# A copy follows a peer's lower one to within what comes in this time,
# since a report is late by the delay of its message.
COPY_SLACK_S = 0.1
# A statement that changes the end of the cold time by less is no news.
MIN_CHANGE_S = 0.5
MAX_COLD_UPSTREAMS = 4096
# When an answer says that its upstream is cold, other daemons go on
# sending until they hear of it.  The bucket starts with a debt of what
# comes in this time.
NEWS_DEBT_S = 0.4


class ColdTime(NamedTuple):
    """Until when an incarnation is cold, and how that is known.

    `answered_s` is when an answer of the upstream said so, or None if
    that follows from its entry.  What follows from the first list that
    a daemon gets is `is_provisional`, as the upstream may have started
    long before.
    """

    until_s: float
    answered_s: float | None = None
    is_provisional: bool = False

    def replaces(self, known: "ColdTime", now_s: float) -> bool:
        """Return whether this one is to be believed more.

        The newest answer is.  Among daemons that saw an entry at
        different times the first one is right.
        """
        if self.answered_s is not None:
            if known.answered_s is None:
                return True
            return self.answered_s > known.answered_s
        if known.until_s <= now_s or known.is_provisional:
            return True
        return known.answered_s is None and self.until_s < known.until_s


class ColdReport(NamedTuple):
    """What a peer knows of a cold upstream and sent to it."""

    time: ColdTime
    copy: PeerCopy


class ColdUpstream:
    """What this daemon knows of one incarnation of a cold upstream.

    It was noted as cold at `noted_s`.
    """

    def __init__(
        self,
        upstream: RoutedUpstream,
        time: ColdTime,
        now_s: float,
        turns: Turns,
    ) -> None:
        self.service = upstream.service
        self.born_ms = upstream.born_ms
        self.time = time
        self.noted_s = now_s
        self.bucket = TokenBucket(now_s)
        self.requests = SentRequests()
        self.turns = turns
        if time.answered_s is not None:
            self.bucket.refilled_s += NEWS_DEBT_S

    def refill(
        self, budget: ColdBudget, share: FleetShare, now_s: float
    ) -> GroupBudget:
        """Bring the bucket up to date; return what it gets."""
        group = group_budget(budget, share)
        self.bucket.refill(group.per_s, group.most_tokens, now_s)
        return group

    def wait_s(
        self, budget: ColdBudget, share: FleetShare, now_s: float
    ) -> float:
        """Return the time until this daemon may send a request."""
        group = self.refill(budget, share, now_s)
        if share.is_alone:
            self.turns.reset_factor(now_s)
        turn_wait_s = self.turns.wait_s(group.turns_per_s, share.known, now_s)
        tokens = self.bucket.tokens
        if tokens >= 1.0:
            self.turns.note_free(share.notice_s, now_s)
            return turn_wait_s
        self.turns.note_held(now_s, is_in_turn=turn_wait_s <= 0)
        return max(turn_wait_s, (1.0 - tokens) / group.per_s)


class ColdLimits:
    """The cold upstreams, by identifier.

    `unsent` names those of which peers must be told.  The daemons of
    `members` share the budgets.
    """

    def __init__(self, members: Members, source: random.Random) -> None:
        self.members = members
        self.source = source
        self.upstreams: dict[str, ColdUpstream] = {}
        self.unsent: set[str] = set()

    def is_cold(self, identifier: str, now_s: float) -> bool:
        """Return whether an upstream is cold."""
        cold = self.upstreams.get(identifier)
        return cold is not None and cold.time.until_s > now_s

    def wait_s(
        self,
        identifier: str,
        budget: ColdBudget,
        share: FleetShare,
        now_s: float,
    ) -> float:
        """Return the time until an upstream may get a request."""
        if not self.is_cold(identifier, now_s):
            return 0.0
        cold = self.upstreams[identifier]
        wait_s = cold.wait_s(budget, share, now_s)
        return min(wait_s, cold.time.until_s - now_s)

    def note_sent(
        self,
        identifier: str,
        budget: ColdBudget,
        share: FleetShare,
        now_s: float,
    ) -> None:
        """Count a request of this daemon to a cold upstream."""
        if not self.is_cold(identifier, now_s):
            return
        cold = self.upstreams[identifier]
        cold.requests.own += 1
        cold.refill(budget, share, now_s)
        cold.bucket.take(1, budget.most_owed)
        cold.turns.note_sent(now_s)
        self.unsent.add(identifier)

    def note_time(
        self, upstream: RoutedUpstream, time: ColdTime, now_s: float
    ) -> bool:
        """Note until when an upstream is cold; return if it is news.

        Peers learn of it from the entries themselves, unless an answer
        says so.
        """
        is_news = self._put(upstream, time, now_s)
        if is_news and time.answered_s is not None:
            self.unsent.add(upstream.identifier)
        return is_news

    def merge(
        self,
        upstream: RoutedUpstream,
        report: ColdReport,
        budget: ColdBudget,
        share: FleetShare,
        now_s: float,
    ) -> bool:
        """Merge what a peer knows and sent; return if it is news."""
        is_news = False
        if not report.time.is_provisional:
            is_news = self._put(upstream, report.time, now_s)
        cold = self.upstreams.get(upstream.identifier)
        if cold is None or cold.born_ms != upstream.born_ms:
            return False
        group = cold.refill(budget, share, now_s)
        copy = report.copy
        taken = cold.requests.note_peer(copy.peer, copy.sent)
        cold.bucket.take(taken, budget.most_owed)
        if copy.sent.is_news:
            # Only a daemon that may send has a copy that is up to date.
            slack = group.per_s * COPY_SLACK_S
            lowest = max(-budget.most_owed, copy.tokens + slack)
            cold.bucket.lower_to(lowest)
        return is_news

    def lift_provisional(
        self, reported: Set[str], followed_s: float
    ) -> list[str]:
        """Drop what only the first list said; return the upstreams.

        A peer that has followed the lists for `followed_s` knows
        `reported` as all cold upstreams.
        """
        lifted: list[str] = []
        for identifier, cold in list(self.upstreams.items()):
            if not cold.time.is_provisional or identifier in reported:
                continue
            if followed_s < cold.time.until_s - cold.noted_s:
                continue
            del self.upstreams[identifier]
            lifted.append(identifier)
        return lifted

    def pop_unsent(self) -> list[str]:
        """Return the cold upstreams of which peers must be told."""
        identifiers = [
            identifier
            for identifier in self.unsent
            if identifier in self.upstreams
        ]
        self.unsent.clear()
        return identifiers

    def cold(self, now_s: float) -> list[str]:
        """Return the upstreams that are cold."""
        return [
            identifier
            for identifier in self.upstreams
            if self.is_cold(identifier, now_s)
        ]

    def pop_ended(self, now_s: float) -> list[str]:
        """Drop the upstreams that are cold no more; return them."""
        ended = [
            identifier
            for identifier in self.upstreams
            if not self.is_cold(identifier, now_s)
            and identifier not in self.unsent
        ]
        for identifier in ended:
            del self.upstreams[identifier]
        return ended

    def _put(
        self, upstream: RoutedUpstream, time: ColdTime, now_s: float
    ) -> bool:
        """Take over what is to be believed; return if it is news."""
        identifier = upstream.identifier
        known = self.upstreams.get(identifier)
        if (
            known is None
            or known.born_ms != upstream.born_ms
            or known.time.until_s <= now_s
        ):
            has_room = known is not None or (
                len(self.upstreams) < MAX_COLD_UPSTREAMS
            )
            if time.until_s <= now_s or not has_room:
                return False
            periods = first_turn(
                identifier, self.members.address, self.members.members
            )
            turns = Turns(now_s, periods, self.source)
            self.upstreams[identifier] = ColdUpstream(
                upstream, time, now_s, turns
            )
            return True
        if not time.replaces(known.time, now_s):
            return False
        change_s = abs(time.until_s - known.time.until_s)
        known.time = time
        return change_s >= MIN_CHANGE_S
