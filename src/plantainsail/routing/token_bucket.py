"""The token bucket of an upstream, of which every daemon has a copy.

Each daemon tells the others how many requests it has sent, and each
takes all of them from its copy.  The counts are totals, so a lost
message is made up for by the next one of its sender.  In a large fleet
that may take long, so a report also tells what the sender's copy holds,
and the lower of two copies counts.
"""

from typing import NamedTuple


class SentCount(NamedTuple):
    """How many requests one run of a daemon sent to an upstream.

    `nonce` names the run.  `is_news` says that the newest of them was
    sent just now.
    """

    nonce: int
    requests: int
    is_news: bool = True

    def since(self, known: "SentCount | None") -> int:
        """Return how many requests were sent since an earlier count.

        Without one, all but a request sent just now may be long past.
        """
        if known is not None and known.nonce == self.nonce:
            return max(0, self.requests - known.requests)
        return int(self.is_news and self.requests > 0)


class PeerCopy(NamedTuple):
    """What a peer sent to an upstream, and what its bucket holds.

    `peer` is its address.  `tokens` dates from when it sent the report.
    """

    peer: str
    sent: SentCount
    tokens: float


class TokenBucket:
    """The requests that an upstream may get from all daemons now.

    It is empty at first.
    """

    def __init__(self, now_s: float) -> None:
        self.tokens = 0.0
        self.refilled_s = now_s

    def refill(self, per_s: float, most: float, now_s: float) -> None:
        """Add what came since the last refill, up to `most` tokens."""
        self.tokens += per_s * max(0.0, now_s - self.refilled_s)
        self.tokens = min(most, self.tokens)
        self.refilled_s = max(self.refilled_s, now_s)

    def take(self, requests: int, most_owed: float) -> None:
        """Take sent requests; the bucket owes at most `most_owed`."""
        self.tokens = max(-most_owed, self.tokens - requests)

    def lower_to(self, tokens: float) -> None:
        """Lower this copy to what another one holds."""
        self.tokens = min(self.tokens, tokens)


class SentRequests:
    """The requests that all daemons sent to one upstream.

    `own` counts those of this daemon, and `peers`, by address, those of
    the others.
    """

    def __init__(self) -> None:
        self.own = 0
        self.peers: dict[str, SentCount] = {}

    def note_peer(self, peer: str, sent: SentCount) -> int:
        """Record a peer's count; return how many are new.

        A count that was overtaken by a later one is ignored.
        """
        known = self.peers.get(peer)
        is_same_run = known is not None and known.nonce == sent.nonce
        new = sent.since(known)
        if is_same_run and not new:
            return 0
        self.peers[peer] = sent
        return new
