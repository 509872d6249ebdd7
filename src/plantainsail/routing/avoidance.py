"""Avoids engines that cut streams early, and upstreams that ended.

Some engines fail a part of their requests while their entries and
health checks look good.  A request whose stream was cut may have run,
so it must not be sent to another engine, and the only remedy is to
send such an engine fewer requests.  The cuts that all daemons see
within some seconds count together, and older ones are forgotten.
Upstreams without a process are avoided until their entries end.
"""

from collections import deque

# Older cuts of an engine's streams are forgotten.
CUT_WINDOW_S = 10.0
# The time for which an engine is avoided after its first cut doubles
# with each further one, up to the longest time.
FIRST_AVOIDANCE_S = 0.7
MAX_AVOIDANCE_S = 5.0
# The entry of a process that has ended stays listed about this long.
ENDED_AVOIDANCE_S = 3.0
# A peer repeats its reports with the time that is left; two reports of
# one cut may differ by this much, as messages are delayed.
PEER_REPEAT_MARGIN_S = 0.15


class Avoidance:
    """Tracks until when each engine is avoided.

    Cuts seen by this daemon and reports of its peers both count.
    `cuts` holds the times of the recent cuts of each engine, and
    `seen_locally` the engines that cut a stream of this daemon or that
    it found to have no process.
    """

    def __init__(self) -> None:
        self.cuts: dict[str, deque[float]] = {}
        self.avoided_until_s: dict[str, float] = {}
        self.seen_locally: set[str] = set()

    def note_cut(self, identifier: str, now_s: float) -> None:
        """Record that an engine cut a stream of this daemon."""
        self.seen_locally.add(identifier)
        until_s = now_s + self._count_cut(identifier, now_s)
        self._extend(identifier, until_s)

    def note_ended(self, identifier: str, now_s: float) -> None:
        """Record that no process listens at an upstream's address."""
        self.seen_locally.add(identifier)
        self.cuts.setdefault(identifier, deque())
        self._extend(identifier, now_s + ENDED_AVOIDANCE_S)

    def record_peer_avoidance(
        self, identifier: str, for_s: float, now_s: float
    ) -> None:
        """Record a peer's report that it avoids an engine.

        A report that only repeats an earlier one is ignored.
        """
        until_s = now_s + min(MAX_AVOIDANCE_S, for_s)
        current_until_s = self.avoided_until_s.get(identifier, 0.0)
        if until_s <= current_until_s + PEER_REPEAT_MARGIN_S:
            return
        self._count_cut(identifier, now_s)
        self._extend(identifier, until_s)

    def is_avoided(self, identifier: str, now_s: float) -> bool:
        """Return whether an engine should get no requests now."""
        return self.avoided_until_s.get(identifier, 0.0) > now_s

    def local_remaining_s(self, now_s: float) -> dict[str, float]:
        """Return how long engines are still avoided, for peers.

        Only the engines of `seen_locally` are included.
        """
        remaining: dict[str, float] = {}
        for identifier in list(self.seen_locally):
            left_s = self.avoided_until_s[identifier] - now_s
            if left_s <= 0:
                self.seen_locally.discard(identifier)
                continue
            remaining[identifier] = left_s
        return remaining

    def forget_except(self, identifiers: set[str]) -> None:
        """Remove all engines but the given ones."""
        for identifier in list(self.avoided_until_s):
            if identifier not in identifiers:
                del self.avoided_until_s[identifier]
                del self.cuts[identifier]
                self.seen_locally.discard(identifier)

    def _count_cut(self, identifier: str, now_s: float) -> float:
        """Count one more cut; return how long to avoid the engine."""
        cuts = self.cuts.setdefault(identifier, deque())
        while cuts and cuts[0] < now_s - CUT_WINDOW_S:
            cuts.popleft()
        cuts.append(now_s)
        avoidance_s: float = FIRST_AVOIDANCE_S * 2.0 ** (len(cuts) - 1)
        return min(MAX_AVOIDANCE_S, avoidance_s)

    def _extend(self, identifier: str, until_s: float) -> None:
        current_until_s = self.avoided_until_s.get(identifier, 0.0)
        self.avoided_until_s[identifier] = max(current_until_s, until_s)
