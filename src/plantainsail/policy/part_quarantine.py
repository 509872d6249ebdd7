"""Detects parts of requests that crash engines.

A request is described by its parts: those of its prompt that other
requests may share, and one that stands for the request as a whole.
When an engine dies, all parts of all requests that had just begun there
are suspects, although most did no harm.  A part is cleared by a request
with it whose answer an engine began to write after that death and kept
writing.  What remains under several deaths is the cause.

Example: engine 1 dies while it runs a request with the parts
`system, topic, bad`, and engine 2 under `system, other, bad`.  Other
requests with `system` are answered, which clears it.  Two deaths remain
for `bad` and one each for `topic` and `other`, so requests with `bad`
are refused from then on, and all others are served.
"""

from collections import OrderedDict
from collections.abc import Collection
from typing import NamedTuple

MAX_RECORDS = 4_096
MAX_DEATHS = 8  # of one part
# A part under which this many engines died one after the other is
# quarantined.  One that was in several sound answers lately needs more,
# since many requests may have it.
QUARANTINE_DEATHS = 2
PROVEN_QUARANTINE_DEATHS = 4
PROVEN_SOUND_RUNS = 3
MAX_SOUND_PARTS = 4_096
# Daemons note the same death of an engine at slightly different times;
# an engine takes longer than this to be back.
SAME_DEATH_S = 1.0
# A part is forgotten this long after its last death, and a quarantined
# one after the longer time.
RECORD_LIFETIME_S = 600.0
QUARANTINE_LIFETIME_S = 1_800.0
NEVER_S = float("-inf")
# Records that changed within this time are repeated to peers, so that a
# lost message does no harm.
MAX_REPEATED_AGE_S = 10.0
# A request that crashes an engine does so as it begins to write.  One
# that an engine answered for this long is sound.
SOUND_RUN_S = 1.5


class EngineDeath(NamedTuple):
    """The death of an engine while it ran a request with a part.

    `upstream` is `identifier/incarnation`.  `started_s` is when the
    request was sent there, on this daemon's clock like `died_s`.
    """

    upstream: str
    started_s: float
    died_s: float

    def is_same(self, other: "EngineDeath") -> bool:
        """Return whether two daemons noted the same death."""
        if self.upstream != other.upstream:
            return False
        return abs(self.died_s - other.died_s) < SAME_DEATH_S


class PartRecord(NamedTuple):
    """What is known against and for one part.

    `deaths` are in order of time, and only those after `sound_s`: the
    last time at which an engine began a sound answer to a request with
    the part.
    """

    part: str
    deaths: tuple[EngineDeath, ...] = ()
    sound_s: float = NEVER_S

    @property
    def last_change_s(self) -> float:
        """Return the time of the last death or sound answer."""
        if not self.deaths:
            return self.sound_s
        return max(self.sound_s, self.deaths[-1].died_s)

    def has(self, death: EngineDeath) -> bool:
        """Return whether a death is among those of this part."""
        return any(known.is_same(death) for known in self.deaths)

    def deaths_in_sequence(self) -> int:
        """Return how many deaths followed one another.

        Deaths of engines that ran their requests at the same time count
        once: an availability zone that fails takes many at a time.
        """
        count = 0
        last_death_s = NEVER_S
        for death in self.deaths:
            if death.started_s <= last_death_s:
                continue
            count += 1
            last_death_s = death.died_s
        return count


def merge_records(known: PartRecord, received: PartRecord) -> PartRecord:
    """Return all that two daemons know of a part."""
    sound_s = max(known.sound_s, received.sound_s)
    deaths: list[EngineDeath] = []
    for death in known.deaths:
        if death.died_s > sound_s:
            deaths.append(death)
    for death in received.deaths:
        if death.died_s > sound_s and not known.has(death):
            deaths.append(death)
    deaths.sort(key=lambda death: death.died_s)
    return PartRecord(known.part, tuple(deaths[-MAX_DEATHS:]), sound_s)


class PartQuarantine:
    """The parts that one daemon suspects, in bounded memory.

    `records` is by part, the last changed at the end.  `sound_runs`
    counts, by part, the sound answers that this daemon saw.  `unsent`
    names the parts whose records changed since peers were told.
    """

    def __init__(self) -> None:
        self.records: OrderedDict[str, PartRecord] = OrderedDict()
        self.sound_runs: OrderedDict[str, int] = OrderedDict()
        self.unsent: set[str] = set()

    def note_death(
        self, parts: Collection[str], death: EngineDeath, now_s: float
    ) -> list[str]:
        """Note an engine's death under a request with these parts.

        Return the parts that are quarantined since.
        """
        quarantined: list[str] = []
        for part in parts:
            if self._add(PartRecord(part, (death,)), now_s):
                quarantined.append(part)
        return quarantined

    def note_sound_run(
        self, parts: Collection[str], began_s: float, now_s: float
    ) -> list[str]:
        """Note a sound answer that an engine began at `began_s`.

        Return the parts whose deaths it clears.
        """
        cleared: list[str] = []
        for part in parts:
            self._count_sound_run(part)
            record = self.find(part, now_s)
            if record is None or not record.deaths:
                continue
            if record.deaths[0].died_s >= began_s:
                continue
            self._add(PartRecord(part, (), began_s), now_s)
            cleared.append(part)
        return cleared

    def has_records(self, parts: Collection[str]) -> bool:
        """Return whether anything is known of one of the parts."""
        return not self.records.keys().isdisjoint(parts)

    def merge(self, received: PartRecord, now_s: float) -> bool:
        """Merge a peer's record; return if it quarantines the part."""
        return self._add(received, now_s, is_local=False)

    def find(self, part: str, now_s: float) -> PartRecord | None:
        """Return the record of a part, unless it expired."""
        record = self.records.get(part)
        if record is None:
            return None
        lifetime_s = RECORD_LIFETIME_S
        if self._is_quarantined(record):
            lifetime_s = QUARANTINE_LIFETIME_S
        if now_s - record.last_change_s > lifetime_s:
            return None
        return record

    def find_cause(
        self, parts: Collection[str], now_s: float
    ) -> PartRecord | None:
        """Return why a request with these parts must be refused, if so.

        It must be if it has a quarantined part, of which a death can't
        be explained by any other such part that the request lacks.
        Otherwise it may be sound, and its run will show whether it is.
        """
        for part in parts:
            record = self.find(part, now_s)
            if record is None or not self._is_quarantined(record):
                continue
            if not self._is_explained(record, parts, now_s):
                return record
        return None

    def quarantined(self, now_s: float) -> list[PartRecord]:
        """Return the quarantined parts, the last changed first."""
        records: list[PartRecord] = []
        for record in reversed(self.records.values()):
            if not self._is_quarantined(record):
                continue
            if self.find(record.part, now_s) is not None:
                records.append(record)
        return records

    def records_to_repeat(self, now_s: float, most: int) -> list[PartRecord]:
        """Return the records that any peer must know, at most so many.

        These are the quarantined ones of any age, since a daemon that
        has just started knows none, and those that changed lately.
        """
        records = self.quarantined(now_s)
        for record in reversed(self.records.values()):
            is_old = now_s - record.last_change_s > MAX_REPEATED_AGE_S
            if is_old or len(records) >= most:
                break
            if record not in records:
                records.append(record)
        return records[:most]

    def pop_unsent(self, now_s: float) -> list[PartRecord]:
        """Return the records that changed here since the last call."""
        records: list[PartRecord] = []
        for part in self.unsent:
            record = self.find(part, now_s)
            if record is not None:
                records.append(record)
        self.unsent.clear()
        return records

    def _is_quarantined(self, record: PartRecord) -> bool:
        if len(record.deaths) < QUARANTINE_DEATHS:
            return False
        needed = QUARANTINE_DEATHS
        if self.sound_runs.get(record.part, 0) >= PROVEN_SOUND_RUNS:
            needed = PROVEN_QUARANTINE_DEATHS
        return record.deaths_in_sequence() >= needed

    def _is_explained(
        self, record: PartRecord, parts: Collection[str], now_s: float
    ) -> bool:
        """Return whether other parts explain all deaths of a record."""
        unexplained = list(record.deaths)
        for other in self.quarantined(now_s):
            if other.part in parts:
                continue
            unexplained = [
                death for death in unexplained if not other.has(death)
            ]
        return not unexplained

    def _add(
        self, news: PartRecord, now_s: float, *, is_local: bool = True
    ) -> bool:
        """Merge news of a part; return if it is quarantined since."""
        known = self.find(news.part, now_s) or PartRecord(news.part)
        merged = merge_records(known, news)
        if merged == known:
            return False
        was_quarantined = self._is_quarantined(known)
        self.records[news.part] = merged
        self.records.move_to_end(news.part)
        if is_local:
            self.unsent.add(news.part)
        if len(self.records) > MAX_RECORDS:
            self._evict()
        return self._is_quarantined(merged) and not was_quarantined

    def _count_sound_run(self, part: str) -> None:
        self.sound_runs[part] = self.sound_runs.get(part, 0) + 1
        self.sound_runs.move_to_end(part)
        if len(self.sound_runs) > MAX_SOUND_PARTS:
            self.sound_runs.popitem(last=False)

    def _evict(self) -> None:
        """Drop the record that changed longest ago.

        Quarantined parts are dropped only if there are no others.
        """
        dropped = next(iter(self.records))
        for part, record in self.records.items():
            if not self._is_quarantined(record):
                dropped = part
                break
        del self.records[dropped]
        self.unsent.discard(dropped)
