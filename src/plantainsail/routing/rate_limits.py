"""Keeps the rate limits that upstreams in need name in their answers.

A limit is for all daemons together.  Each daemon tells the others how
many requests it has sent to a limited upstream, and each takes all of
them from one token bucket, of which every daemon keeps a copy
(`routing.token_bucket`).  What daemons send at the same moment makes
the bucket negative, so that the upstream gets the less afterwards, and
the rate holds on average.
"""

from typing import NamedTuple

from plantainsail.routing.token_bucket import SentCount as SentCount
from plantainsail.routing.token_bucket import SentRequests, TokenBucket

# A bucket holds at most what the limit allows in this time, but one
# request at least.
BURST_S = 1.0
# A bucket owes at most what the limit allows in this time.
MAX_DEBT_S = 4.0
# A limit below this rate still lets a request through now and then,
# since only an answer can show that the upstream has recovered.
MIN_RATE_PER_S = 0.1
# A limit that nobody heard of again for so long has lapsed.
LIMIT_LIFETIME_S = 60.0
MAX_LIMITED_UPSTREAMS = 256


class NamedLimit(NamedTuple):
    """A limit in requests a second, and when it was last named.

    `per_s` is None from when an answer named none any more.
    """

    per_s: float | None
    named_s: float


class PeerReport(NamedTuple):
    """What a peer knows of an upstream's limit, and how much it sent.

    `peer` is its address, and `tokens` what its copy of the bucket held
    when it sent the report.
    """

    identifier: str
    limit: NamedLimit
    peer: str
    sent: SentCount
    tokens: float


class LimitedUpstream:
    """What this daemon knows of one upstream that named a limit."""

    def __init__(self, limit: NamedLimit, now_s: float) -> None:
        self.limit = limit
        self.bucket = TokenBucket(now_s)
        self.requests = SentRequests()

    @property
    def sent(self) -> int:
        """Return how many requests this daemon sent."""
        return self.requests.own

    def is_in_force(self, now_s: float) -> bool:
        """Return whether the upstream still names its limit."""
        if self.limit.per_s is None:
            return False
        return now_s - self.limit.named_s <= LIMIT_LIFETIME_S

    def refill(self, now_s: float) -> None:
        """Bring the bucket up to date."""
        if self.limit.per_s is None:
            return
        rate = max(MIN_RATE_PER_S, self.limit.per_s)
        self.bucket.refill(rate, max(1.0, rate * BURST_S), now_s)

    def take(self, requests: int, now_s: float) -> None:
        """Take sent requests from the bucket, which may owe some."""
        self.refill(now_s)
        most_owed = max(1.0, (self.limit.per_s or 0.0) * MAX_DEBT_S)
        self.bucket.take(requests, most_owed)


class RateLimits:
    """The limits of all upstreams, by identifier.

    `unsent` names the upstreams of which peers must be told.
    """

    def __init__(self) -> None:
        self.upstreams: dict[str, LimitedUpstream] = {}
        self.unsent: set[str] = set()

    def is_limited(self, identifier: str, now_s: float) -> bool:
        """Return whether an upstream names a limit."""
        limited = self.upstreams.get(identifier)
        return limited is not None and limited.is_in_force(now_s)

    def may_send(self, identifier: str, now_s: float) -> bool:
        """Return whether an upstream may get one more request now."""
        limited = self.upstreams.get(identifier)
        if limited is None or not limited.is_in_force(now_s):
            return True
        limited.refill(now_s)
        return limited.bucket.tokens >= 1.0

    def wait_s(self, identifier: str, now_s: float) -> float:
        """Return the time until an upstream may get a request."""
        if self.may_send(identifier, now_s):
            return 0.0
        limited = self.upstreams[identifier]
        assert limited.limit.per_s is not None
        rate = max(MIN_RATE_PER_S, limited.limit.per_s)
        return (1.0 - limited.bucket.tokens) / rate

    def note_sent(self, identifier: str, now_s: float) -> None:
        """Count a request of this daemon to an upstream."""
        limited = self.upstreams.get(identifier)
        if limited is None or not limited.is_in_force(now_s):
            return
        limited.requests.own += 1
        limited.take(1, now_s)
        self.unsent.add(identifier)

    def note_answer(
        self, identifier: str, per_s: float | None, now_s: float
    ) -> bool:
        """Note the limit that an answer names, or that it names none.

        Return whether this is news.
        """
        is_news = self._put(identifier, NamedLimit(per_s, now_s), now_s)
        if is_news:
            self.unsent.add(identifier)
        return is_news

    def merge(self, report: PeerReport, now_s: float) -> bool:
        """Merge what a peer knows and sent; return if it is news."""
        is_news = self._put(report.identifier, report.limit, now_s)
        limited = self.upstreams.get(report.identifier)
        if limited is None:
            return False
        taken = limited.requests.note_peer(report.peer, report.sent)
        limited.take(taken, now_s)
        limited.bucket.lower_to(report.tokens)
        return is_news

    def pop_unsent(self) -> list[str]:
        """Return the upstreams of which peers must be told."""
        identifiers = [
            identifier
            for identifier in self.unsent
            if identifier in self.upstreams
        ]
        self.unsent.clear()
        return identifiers

    def in_force(self, now_s: float) -> list[str]:
        """Return the upstreams that name a limit."""
        return [
            identifier
            for identifier, limited in self.upstreams.items()
            if limited.is_in_force(now_s)
        ]

    def forget_except(self, identifiers: set[str]) -> None:
        """Remove all upstreams but the given ones."""
        for identifier in self.upstreams.keys() - identifiers:
            del self.upstreams[identifier]

    def _put(self, identifier: str, limit: NamedLimit, now_s: float) -> bool:
        """Take over a newer limit; return if it differs."""
        limited = self.upstreams.get(identifier)
        if limited is None:
            if limit.per_s is None or not self._has_room():
                return False
            self.upstreams[identifier] = LimitedUpstream(limit, now_s)
            return True
        if limit.named_s <= limited.limit.named_s:
            return False
        limited.refill(now_s)
        if not limited.is_in_force(now_s):
            limited.bucket = TokenBucket(now_s)
        is_news = limit.per_s != limited.limit.per_s
        limited.limit = limit
        return is_news

    def tokens(self, identifier: str, now_s: float) -> float:
        """Return what this daemon's copy of the bucket holds."""
        limited = self.upstreams[identifier]
        limited.refill(now_s)
        return limited.bucket.tokens

    def _has_room(self) -> bool:
        return len(self.upstreams) < MAX_LIMITED_UPSTREAMS
