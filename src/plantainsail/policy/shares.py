"""Tokens served to each name over the whole fleet, against its share.

A name is a plan in one ledger and an organisation in another.

Every daemon counts what it serves and tells its peers; counters of an
incarnation only grow, so a lost message costs nothing.  What was served
fades with time, so that a name which was idle has no old claim.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from plantainsail.identity import Incarnation

DECAY_S = 10.0
COUNTER_TTL_S = 5.0
# Own tokens from which on own starts tell more of the peers' starts
# than the time that went by.
START_RATE_PRIOR_TOKENS = 500.0
MAX_COUNTERS = 16


class ShareCounter(NamedTuple):
    """What one daemon says of one contending name.

    `tokens` were served since the daemon started.  `outstanding` are
    expected of what runs now.  `usage` is the fleet's faded sum as the
    daemon sees it, from which a restarted daemon learns the past.
    """

    name: str
    tokens: int
    outstanding: int
    waiting: int
    usage: float


class _DecayingSum:
    """A sum of tokens that fades exponentially."""

    def __init__(self) -> None:
        self.value = 0.0
        self.at_s = 0.0

    def add(self, tokens: float, now_s: float) -> None:
        self.value = self.read(now_s) + tokens
        self.at_s = max(self.at_s, now_s)

    def read(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.at_s)
        return self.value * math.exp(-age_s / DECAY_S)


class _ReceivedCounter:
    """What a peer last said of a name, with the own starts before."""

    def __init__(self, counter: ShareCounter, at_s: float) -> None:
        self.counter = counter
        self.at_s = at_s
        self.started = 0
        self.usage = _DecayingSum()


class ShareLedger:
    """Orders names by tokens served and under way, over the fleet."""

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.weights: Mapping[str, int] = {}
        self.served: dict[str, int] = {}
        self.outstanding: dict[str, int] = {}
        self.started: dict[str, int] = {}
        self.own_usage: dict[str, _DecayingSum] = {}
        self.usage: dict[str, _DecayingSum] = {}
        self.heard: dict[Incarnation, dict[str, _ReceivedCounter]] = {}
        self.read_s = float("-inf")
        self.read: dict[str, float] = {}

    def charge(self, name: str, tokens: int, now_s: float) -> None:
        """Note tokens that appeared here."""
        self.served[name] = self.served.get(name, 0) + tokens
        self._usage_of(name).add(tokens, now_s)
        self.own_usage.setdefault(name, _DecayingSum()).add(tokens, now_s)
        self.read.pop(name, None)

    def start(self, name: str, tokens: int) -> None:
        """Note work that starts here."""
        self.started[name] = self.started.get(name, 0) + tokens
        self.adjust_outstanding(name, tokens)

    def adjust_outstanding(self, name: str, tokens: int) -> None:
        """Change what is under way here by a number of tokens."""
        left = self.outstanding.get(name, 0) + tokens
        self.outstanding[name] = max(0, left)
        self.read.pop(name, None)

    def weighted_usage(self, name: str, now_s: float) -> float:
        """Return the tokens per share; the lowest is served first."""
        weight = max(1, self.weights.get(name, 1))
        if now_s != self.read_s:
            self.read_s = now_s
            self.read.clear()
        tokens = self.read.get(name)
        if tokens is None:
            tokens = self.read[name] = self._tokens_of(name, now_s)
        return tokens / weight

    def _tokens_of(self, name: str, now_s: float) -> float:
        """Return the tokens served and under way over the fleet."""
        tokens = self._usage_of(name).read(now_s)
        tokens += self.outstanding.get(name, 0)
        for counters in self.heard.values():
            heard = counters.get(name)
            if heard is None or now_s - heard.at_s > COUNTER_TTL_S:
                continue
            tokens += heard.counter.outstanding
            tokens += self._guess(name, heard, now_s)
        return tokens

    def _guess(
        self, name: str, heard: _ReceivedCounter, now_s: float
    ) -> float:
        """Return what a peer has likely started since it was heard.

        All daemons see about the same positions, so it is taken to
        have reacted as this one did.
        """
        if heard.counter.waiting == 0:
            return 0.0
        own = self.own_usage.get(name)
        served = START_RATE_PRIOR_TOKENS
        if own is not None:
            served += own.read(now_s)
        since = float(self.started.get(name, 0) - heard.started)
        since += START_RATE_PRIOR_TOKENS * (now_s - heard.at_s) / DECAY_S
        return heard.usage.read(heard.at_s) * since / served

    def rate(self, name: str, now_s: float) -> float:
        """Return tokens a second, averaged over about `DECAY_S`."""
        return self._usage_of(name).read(now_s) / DECAY_S

    def has_waiting_work_at_peers(self, name: str, now_s: float) -> bool:
        """Return whether the name's work waits at any peer."""
        for counters in self.heard.values():
            heard = counters.get(name)
            if heard is None or now_s - heard.at_s > COUNTER_TTL_S:
                continue
            if heard.counter.waiting > 0:
                return True
        return False

    def counters(
        self, waiting: Mapping[str, int], now_s: float
    ) -> tuple[ShareCounter, ...]:
        """Return what to tell a peer: only names in use, bounded."""
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
        """Take in what a peer tells."""
        self._forget_earlier(peer)
        self.read.clear()
        known = self.heard.setdefault(peer, {})
        is_new = now_s - self.started_s < DECAY_S
        for counter in counters:
            before = known.get(counter.name)
            usage = self._usage_of(counter.name)
            if before is not None:
                gained = counter.tokens - before.counter.tokens
                if gained < 0:
                    continue
                # They appeared evenly since the last message.
                age_s = (now_s - before.at_s) / 2.0
                faded = gained * math.exp(-age_s / DECAY_S)
                usage.add(faded, now_s)
            elif is_new:
                missing = counter.usage - usage.read(now_s)
                usage.add(max(0.0, missing), now_s)
            elif self.started_s < now_s:
                usage.add(min(counter.tokens, counter.usage), now_s)
            heard = _ReceivedCounter(counter, now_s)
            heard.started = self.started.get(counter.name, 0)
            if before is not None:
                heard.usage = before.usage
                heard.usage.add(faded, now_s)
            known[counter.name] = heard

    def _forget_earlier(self, peer: Incarnation) -> None:
        for other in list(self.heard):
            if other.address == peer.address and other != peer:
                del self.heard[other]

    def _usage_of(self, name: str) -> _DecayingSum:
        return self.usage.setdefault(name, _DecayingSum())
