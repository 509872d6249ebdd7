"""Which engines hold which prompt prefixes, as far as events tell.

Events about an engine's prefix cache come late and with gaps, so what
they say is a hint that fades.  A gap in the numbers hides as many
removals at most, and engines remove what was unused longest, so as
many of the oldest hints are dropped.
"""

from collections import OrderedDict
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

import xxhash

# The shortest prefix; each further one is twice as long.
FIRST_PREFIX_BYTES = 256
MAX_PREFIXES = 8
HINT_TTL_S = 60.0
MAX_PREFIXES_PER_ENGINE = 4_096


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Return the names of a prompt's prefixes, the shortest first.

    A name is the XXH64 hash of the first 256, 512, 1,024 … bytes,
    without its lowest bit, so that it fits a signed integer.
    """
    hasher = xxhash.xxh64()
    found: list[int] = []
    end = FIRST_PREFIX_BYTES
    start = 0
    while end <= len(prompt) and len(found) < MAX_PREFIXES:
        hasher.update(prompt[start:end])
        found.append(hasher.intdigest() >> 1)
        start, end = end, 2 * end
    return tuple(found)


class CacheChange(StrEnum):
    """What happened to a prefix in an engine's cache."""

    STORED = "stored"
    REMOVED = "removed"


class CacheEvent(NamedTuple):
    """One event of one engine; `number` counts them without gaps."""

    host: str
    incarnation: str
    number: int
    change: CacheChange
    prefix: int


class _EngineCache:
    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.number: int | None = None
        self.stored_s: OrderedDict[int, float] = OrderedDict()


class PrefixHints:
    """Remembers cached prefixes of engines."""

    def __init__(self) -> None:
        self.caches: dict[str, _EngineCache] = {}

    def record_event(self, event: CacheEvent, now_s: float) -> None:
        """Take in one event; repeats change nothing."""
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
        """Trust nothing that is known of an engine's cache."""
        self.caches.pop(host, None)

    def record_sent(
        self,
        host: str,
        incarnation: str,
        prefixes: Sequence[int],
        now_s: float,
    ) -> None:
        """Note that an engine is about to hold a request's prefixes."""
        cache = self.caches.get(host)
        if cache is None or cache.incarnation != incarnation:
            cache = self.caches[host] = _EngineCache(incarnation)
        for prefix in prefixes:
            self._store(cache, prefix, now_s)

    def cached_fraction(
        self, host: str, prefixes: Sequence[int], now_s: float
    ) -> float:
        """Return how much of a request's prefixes an engine may hold.

        `prefixes` are hashes of ever longer parts of the prompt.  The
        longest known one counts, less the older the hint is.
        """
        cache = self.caches.get(host)
        if cache is None or not prefixes:
            return 0.0
        for count in range(len(prefixes), 0, -1):
            stored_s = cache.stored_s.get(prefixes[count - 1])
            if stored_s is None:
                continue
            left = max(0.0, 1.0 - (now_s - stored_s) / HINT_TTL_S)
            return left * count / len(prefixes)
        return 0.0

    @staticmethod
    def _store(cache: _EngineCache, prefix: int, now_s: float) -> None:
        cache.stored_s[prefix] = now_s
        cache.stored_s.move_to_end(prefix)
        if len(cache.stored_s) > MAX_PREFIXES_PER_ENGINE:
            cache.stored_s.popitem(last=False)


def _drop_oldest(cache: _EngineCache, missed: int) -> None:
    """Drop as many of the oldest hints as events were missed."""
    for _ in range(min(missed, len(cache.stored_s))):
        cache.stored_s.popitem(last=False)
