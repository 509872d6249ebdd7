"""Fair shares: tokens served over the whole fleet, for each name.

A name is a plan in one ledger and an organisation in another.

Each daemon counts the tokens that it serves and sends its counters to
its peers.  The counters of an incarnation only grow, so the next
message makes up for a lost one.  Served tokens decay exponentially, so
that a name which was idle has no claim from long ago.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from plantainsail.identity import Incarnation

# The time constant of the decay of served tokens.
DECAY_S = 10.0
# An older counter of a peer is ignored.
COUNTER_TTL_S = 5.0
# A daemon estimates its peers' unreported starts from its own starts
# and from the time since their message.  Above this many own tokens its
# own starts weigh more.
START_RATE_PRIOR_TOKENS = 500.0
# One message to a peer contains at most this many counters.
MAX_COUNTERS = 16


class ShareCounter(NamedTuple):
    """One daemon's counters for one name that has work there.

    `tokens` were served since the daemon started.  `outstanding` tokens
    are still expected from running work, and `waiting` requests are
    queued.  `usage` is the fleet's decayed sum as this daemon sees it;
    a restarted daemon starts from it.
    """

    name: str
    tokens: int
    outstanding: int
    waiting: int
    usage: float


class _DecayingSum:
    """A sum of tokens that decays exponentially."""

    def __init__(self) -> None:
        self.value = 0.0
        self.at_s = 0.0

    def add(self, tokens: float, now_s: float) -> None:
        self.value = self.read(now_s) + tokens
        self.at_s = max(self.at_s, now_s)

    def read(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.at_s)
        return self.value * math.exp(-age_s / DECAY_S)


class _PeerUsage:
    """A peer's latest counter for a name, and when it was received.

    `started` is this daemon's own total of started tokens at that time.
    `usage` is the decayed sum of what the peer reported as served.
    """

    def __init__(self, counter: ShareCounter, at_s: float) -> None:
        self.counter = counter
        self.at_s = at_s
        self.started = 0
        self.usage = _DecayingSum()


class ShareLedger:
    """Tracks each name's served and outstanding tokens in the fleet.

    The name with the lowest weighted usage is served first.

    `served`, `started` and `outstanding` are this daemon's tokens by
    name: those served, those expected of work when it started, and
    those still expected of running work.  `own_usage` is the decayed
    sum of tokens that this daemon served, and `usage` that of the
    fleet.  `received` holds the counters of each peer by name.
    `cached_usage` caches the fleet's tokens as of `cached_s`.
    """

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.weights: Mapping[str, int] = {}
        self.served: dict[str, int] = {}
        self.outstanding: dict[str, int] = {}
        self.started: dict[str, int] = {}
        self.own_usage: dict[str, _DecayingSum] = {}
        self.usage: dict[str, _DecayingSum] = {}
        self.received: dict[Incarnation, dict[str, _PeerUsage]] = {}
        self.cached_s = float("-inf")
        self.cached_usage: dict[str, float] = {}

    def charge(self, name: str, tokens: int, now_s: float) -> None:
        """Count tokens that this daemon served."""
        self.served[name] = self.served.get(name, 0) + tokens
        self._usage_of(name).add(tokens, now_s)
        self.own_usage.setdefault(name, _DecayingSum()).add(tokens, now_s)
        self.cached_usage.pop(name, None)

    def start(self, name: str, tokens: int) -> None:
        """Count the expected tokens of work that starts here."""
        self.started[name] = self.started.get(name, 0) + tokens
        self.adjust_outstanding(name, tokens)

    def adjust_outstanding(self, name: str, tokens: int) -> None:
        """Add tokens, or subtract them, from running work here."""
        left = self.outstanding.get(name, 0) + tokens
        self.outstanding[name] = max(0, left)
        self.cached_usage.pop(name, None)

    def weighted_usage(self, name: str, now_s: float) -> float:
        """Return the fleet's tokens for a name, by its weight."""
        weight = max(1, self.weights.get(name, 1))
        if now_s != self.cached_s:
            self.cached_s = now_s
            self.cached_usage.clear()
        tokens = self.cached_usage.get(name)
        if tokens is None:
            tokens = self.cached_usage[name] = self._fleet_tokens(name, now_s)
        return tokens / weight

    def _fleet_tokens(self, name: str, now_s: float) -> float:
        """Return the served and outstanding tokens in the fleet."""
        tokens = self._usage_of(name).read(now_s)
        tokens += self.outstanding.get(name, 0)
        for counters in self.received.values():
            received = counters.get(name)
            if received is None or now_s - received.at_s > COUNTER_TTL_S:
                continue
            tokens += received.counter.outstanding
            tokens += self._estimate_unreported(name, received, now_s)
        return tokens

    def _estimate_unreported(
        self, name: str, received: _PeerUsage, now_s: float
    ) -> float:
        """Return the tokens a peer likely started since its message.

        All daemons see about the same weighted usage, so the peer is
        assumed to have started work at the same pace as this daemon.
        """
        if received.counter.waiting == 0:
            return 0.0
        own = self.own_usage.get(name)
        served = START_RATE_PRIOR_TOKENS
        if own is not None:
            served += own.read(now_s)
        since = float(self.started.get(name, 0) - received.started)
        since += START_RATE_PRIOR_TOKENS * (now_s - received.at_s) / DECAY_S
        return received.usage.read(received.at_s) * since / served

    def rate(self, name: str, now_s: float) -> float:
        """Return tokens per second, averaged over about `DECAY_S`."""
        return self._usage_of(name).read(now_s) / DECAY_S

    def has_waiting_work_at_peers(self, name: str, now_s: float) -> bool:
        """Return whether any peer has queued work of a name."""
        for counters in self.received.values():
            received = counters.get(name)
            if received is None or now_s - received.at_s > COUNTER_TTL_S:
                continue
            if received.counter.waiting > 0:
                return True
        return False

    def counters(
        self, waiting: Mapping[str, int], now_s: float
    ) -> tuple[ShareCounter, ...]:
        """Return the counters to send to a peer.

        Only names with waiting or running work are included, the
        busiest first, and at most `MAX_COUNTERS` of them.
        """
        names = set(waiting) | {p for p, n in self.outstanding.items() if n}
        busiest = sorted(
            names,
            key=lambda p: (-waiting.get(p, 0), -self.outstanding.get(p, 0), p),
        )
        return tuple(
            ShareCounter(
                name=name,
                tokens=self.served.get(name, 0),
                outstanding=self.outstanding.get(name, 0),
                waiting=waiting.get(name, 0),
                usage=self._usage_of(name).read(now_s),
            )
            for name in busiest[:MAX_COUNTERS]
        )

    def receive(
        self,
        peer: Incarnation,
        counters: Iterable[ShareCounter],
        now_s: float,
    ) -> None:
        """Apply the counters that a peer sent."""
        self._drop_earlier_incarnations(peer)
        self.cached_usage.clear()
        peer_usages = self.received.setdefault(peer, {})
        is_recently_started = now_s - self.started_s < DECAY_S
        for counter in counters:
            before = peer_usages.get(counter.name)
            usage = self._usage_of(counter.name)
            if before is not None:
                gained = counter.tokens - before.counter.tokens
                if gained < 0:
                    continue
                # The tokens are taken as served evenly since the last
                # message, so they have decayed for half of that time.
                age_s = (now_s - before.at_s) / 2.0
                decayed = gained * math.exp(-age_s / DECAY_S)
                usage.add(decayed, now_s)
            elif is_recently_started:
                unrecorded = counter.usage - usage.read(now_s)
                usage.add(max(0.0, unrecorded), now_s)
            elif self.started_s < now_s:
                usage.add(min(counter.tokens, counter.usage), now_s)
            received = _PeerUsage(counter, now_s)
            received.started = self.started.get(counter.name, 0)
            if before is not None:
                received.usage = before.usage
                received.usage.add(decayed, now_s)
            peer_usages[counter.name] = received

    def _drop_earlier_incarnations(self, peer: Incarnation) -> None:
        for other in list(self.received):
            if other.address == peer.address and other != peer:
                del self.received[other]

    def _usage_of(self, name: str) -> _DecayingSum:
        return self.usage.setdefault(name, _DecayingSum())
