"""Tracks which engines probably cache which prompt prefixes.

Events of an engine's prefix cache arrive late and some are lost, so
they only give hints, whose weight falls with their age.  Each lost
event may have been a removal, and engines remove the least recently
used prefix first.  So one of the oldest hints is dropped for each
number that is missing between two events.
"""

from collections import OrderedDict
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

import xxhash

# Length of the shortest prefix; each further one is twice as long.
FIRST_PREFIX_BYTES = 256
MAX_PREFIXES = 8
# The weight of a hint falls to 0 over this time.
HINT_TTL_S = 60.0
MAX_PREFIXES_PER_ENGINE = 4_096


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Return the hashes of a prompt's prefixes, the shortest first.

    Each is the XXH64 hash of the first 256, 512, 1,024 … bytes,
    without its lowest bit, so that it fits a signed integer.
    """
    hasher = xxhash.xxh64()
    hashes: list[int] = []
    end = FIRST_PREFIX_BYTES
    start = 0
    while end <= len(prompt) and len(hashes) < MAX_PREFIXES:
        hasher.update(prompt[start:end])
        hashes.append(hasher.intdigest() >> 1)
        start, end = end, 2 * end
    return tuple(hashes)


class CacheChange(StrEnum):
    """What happened to a prefix in an engine's cache."""

    STORED = "stored"
    REMOVED = "removed"


class CacheEvent(NamedTuple):
    """An event of an engine's prefix cache.

    `number` counts the engine's events, and `prefix` is a prefix hash.
    """

    host: str
    incarnation: str
    number: int
    change: CacheChange
    prefix: int


class _EngineCache:
    """The hints about one engine's prefix cache.

    `number` is that of the engine's latest event.  `stored_s` maps the
    hash of each prefix to when it was stored, the oldest first.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.number: int | None = None
        self.stored_s: OrderedDict[int, float] = OrderedDict()


class PrefixHints:
    """Hints about the prefixes that each engine caches, by host."""

    def __init__(self) -> None:
        self.caches: dict[str, _EngineCache] = {}

    def record_event(self, event: CacheEvent, now_s: float) -> None:
        """Apply one event; repeated events change nothing."""
        cache = self.caches.get(event.host)
        if cache is None or cache.incarnation != event.incarnation:
            cache = _EngineCache(event.incarnation)
            self.caches[event.host] = cache
        if cache.number is not None and event.number <= cache.number:
            return
        if cache.number is not None:
            _drop_oldest(cache, event.number - cache.number - 1)
        cache.number = event.number
        if event.change is CacheChange.REMOVED:
            cache.stored_s.pop(event.prefix, None)
            return
        self._store(cache, event.prefix, now_s)

    def latest_number(self, host: str, incarnation: str) -> int:
        """Return the number of the latest event of an engine, or 0."""
        cache = self.caches.get(host)
        if cache is None or cache.incarnation != incarnation:
            return 0
        return cache.number or 0

    def forget(self, host: str) -> None:
        """Drop all hints about an engine."""
        self.caches.pop(host, None)

    def record_sent(
        self,
        host: str,
        incarnation: str,
        prefixes: Sequence[int],
        now_s: float,
    ) -> None:
        """Record that an engine will cache a request's prefixes."""
        cache = self.caches.get(host)
        if cache is None or cache.incarnation != incarnation:
            cache = self.caches[host] = _EngineCache(incarnation)
        for prefix in prefixes:
            self._store(cache, prefix, now_s)

    def cached_fraction(
        self, host: str, prefixes: Sequence[int], now_s: float
    ) -> float:
        """Return the fraction of a request's prefixes in the cache.

        `prefixes` are hashes in the order of `prefix_hashes`.  The
        longest one with a hint counts, weighted by the hint's age.
        """
        cache = self.caches.get(host)
        if cache is None or not prefixes:
            return 0.0
        for count in range(len(prefixes), 0, -1):
            stored_s = cache.stored_s.get(prefixes[count - 1])
            if stored_s is None:
                continue
            weight = max(0.0, 1.0 - (now_s - stored_s) / HINT_TTL_S)
            return weight * count / len(prefixes)
        return 0.0

    @staticmethod
    def _store(cache: _EngineCache, prefix: int, now_s: float) -> None:
        cache.stored_s[prefix] = now_s
        cache.stored_s.move_to_end(prefix)
        if len(cache.stored_s) > MAX_PREFIXES_PER_ENGINE:
            cache.stored_s.popitem(last=False)


def _drop_oldest(cache: _EngineCache, missed_events: int) -> None:
    """Drop one of the oldest hints for each missed event."""
    for _ in range(min(missed_events, len(cache.stored_s))):
        cache.stored_s.popitem(last=False)
