"""Engines that cut streams before their first event, and for how long.

The load that this answers is an engine that fails a part of what it is
sent while its entry and its health look good.  What it cut may have
run, so it can't be sent elsewhere; all that helps is to send it less.
Every cut that any daemon sees counts, those of some seconds together,
and whatever an engine did is forgiven in time.
"""

from collections import deque

CUT_WINDOW_S = 10.0
FIRST_AVOIDANCE_S = 0.7
MAX_AVOIDANCE_S = 5.0
# A peer's word that is repeated may have been late by this much.
PEER_REPEAT_MARGIN_S = 0.15


class Avoidance:
    """Until when each engine is avoided, by own sight and by peers'."""

    def __init__(self) -> None:
        self.cuts: dict[str, deque[float]] = {}
        self.avoided_until_s: dict[str, float] = {}
        self.seen_locally: set[str] = set()

    def note_cut(self, identifier: str, now_s: float) -> None:
        """Note that an engine cut a stream of this daemon."""
        self.seen_locally.add(identifier)
        until_s = now_s + self._count_cut(identifier, now_s)
        self._extend(identifier, until_s)

    def record_peer_avoidance(
        self, identifier: str, for_s: float, now_s: float
    ) -> None:
        """Take a peer's word that an engine is to be avoided."""
        until_s = now_s + min(MAX_AVOIDANCE_S, for_s)
        known_s = self.avoided_until_s.get(identifier, 0.0)
        if until_s <= known_s + PEER_REPEAT_MARGIN_S:
            return
        self._count_cut(identifier, now_s)
        self._extend(identifier, until_s)

    def is_avoided(self, identifier: str, now_s: float) -> bool:
        """Return whether an engine should get nothing now."""
        return self.avoided_until_s.get(identifier, 0.0) > now_s

    def local_remaining_s(self, now_s: float) -> dict[str, float]:
        """Return for how long the engines seen here are avoided."""
        found: dict[str, float] = {}
        for identifier in list(self.seen_locally):
            left_s = self.avoided_until_s[identifier] - now_s
            if left_s <= 0:
                self.seen_locally.discard(identifier)
                continue
            found[identifier] = left_s
        return found

    def forget_except(self, identifiers: set[str]) -> None:
        """Drop engines that are gone."""
        for identifier in list(self.avoided_until_s):
            if identifier not in identifiers:
                del self.avoided_until_s[identifier]
                del self.cuts[identifier]
                self.seen_locally.discard(identifier)

    def _count_cut(self, identifier: str, now_s: float) -> float:
        """Count one more cut; return the pause that it is worth."""
        cuts = self.cuts.setdefault(identifier, deque())
        while cuts and cuts[0] < now_s - CUT_WINDOW_S:
            cuts.popleft()
        cuts.append(now_s)
        pause_s: float = FIRST_AVOIDANCE_S * 2.0 ** (len(cuts) - 1)
        return min(MAX_AVOIDANCE_S, pause_s)

    def _extend(self, identifier: str, until_s: float) -> None:
        known_s = self.avoided_until_s.get(identifier, 0.0)
        self.avoided_until_s[identifier] = max(known_s, until_s)
