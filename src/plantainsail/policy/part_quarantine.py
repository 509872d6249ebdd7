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
from collections.abc import Collection, Sequence
from typing import NamedTuple

MAX_RECORDS = 4_096
MAX_DEATHS = 8  # of one part
# A part under which this many engines died one after the other, as they
# had begun to answer, is quarantined.  If they had not all begun, it
# takes more: requests that wait at an engine die with it.  A part that
# was in a sound answer before needs most.
QUARANTINE_DEATHS = 2
UNBEGUN_QUARANTINE_DEATHS = 3
PROVEN_QUARANTINE_DEATHS = 4
# Copies of one whole request are at this many engines at the same time
# only if its callers repeat it, so these deaths need no sequence.
COPIES_QUARANTINE_DEATHS = 3
WHOLE_REQUEST_PREFIX = "request:"
MAX_SOUND_PARTS = 4_096
# Daemons note the same death of an engine at slightly different times;
# an engine takes longer than this to be back.
SAME_DEATH_S = 1.0
# A part is forgotten this long after its last death, and one that was
# quarantined after the longer time.
RECORD_LIFETIME_S = 600.0
QUARANTINE_LIFETIME_S = 1_800.0
# Requests with a quarantined part are refused for so long after two,
# three, four, and five or more deaths under it.  After that they are
# sent, so that an answer can clear a part that was suspected by chance.
REFUSAL_S = (30.0, 120.0, 480.0, QUARANTINE_LIFETIME_S)
MAX_REFUSAL_DEATHS = QUARANTINE_DEATHS + len(REFUSAL_S) - 1
NEVER_S = float("-inf")
# Records that changed within this time are repeated to peers, so that a
# lost message does no harm.
MAX_REPEATED_AGE_S = 10.0
# A request that crashes an engine does so as it begins to write.  One
# that an engine answered for this long is sound.
SOUND_RUN_S = 1.0


def whole_request_part(fingerprint: int) -> str:
    """Return the part that stands for a request as a whole."""
    return f"{WHOLE_REQUEST_PREFIX}{fingerprint:x}"


class EngineDeath(NamedTuple):
    """The death of an engine while it ran a request with a part.

    `upstream` is `identifier/incarnation`.  `started_s` is when the
    request was sent there, on this daemon's clock like `died_s`.
    `had_begun` says whether the engine had begun to answer it.
    """

    upstream: str
    started_s: float
    died_s: float
    had_begun: bool = True

    def is_same(self, other: "EngineDeath") -> bool:
        """Return whether two daemons noted the same death."""
        if self.upstream != other.upstream:
            return False
        if self.started_s > other.died_s or other.started_s > self.died_s:
            return False
        return abs(self.died_s - other.died_s) < SAME_DEATH_S


class PartRecord(NamedTuple):
    """What is known against and for one part.

    `deaths` are in order of time, and only those after `sound_s`: the
    last time known at which an engine began a sound answer to a request
    with the part.
    """

    part: str
    deaths: tuple[EngineDeath, ...] = ()
    sound_s: float = NEVER_S

    @property
    def is_whole_request(self) -> bool:
        """Return whether the part stands for a request as a whole."""
        return self.part.startswith(WHOLE_REQUEST_PREFIX)

    @property
    def last_change_s(self) -> float:
        """Return the time of the last death or sound answer."""
        if not self.deaths:
            return self.sound_s
        return max(self.sound_s, self.deaths[-1].died_s)

    def has(self, death: EngineDeath) -> bool:
        """Return whether a death is among those of this part."""
        return any(known.is_same(death) for known in self.deaths)

    @property
    def refused_until_s(self) -> float:
        """Return until when requests with the part are refused."""
        if not self.is_quarantined:
            return NEVER_S
        step = min(len(self.deaths), MAX_REFUSAL_DEATHS) - QUARANTINE_DEATHS
        return self.deaths[-1].died_s + REFUSAL_S[step]

    @property
    def is_quarantined(self) -> bool:
        """Return whether enough engines died under the part."""
        if len(self.deaths) < QUARANTINE_DEATHS:
            return False
        count = deaths_in_sequence(self.deaths)
        if self.sound_s != NEVER_S:
            return count >= PROVEN_QUARANTINE_DEATHS
        if count >= UNBEGUN_QUARANTINE_DEATHS:
            return True
        begun = [death for death in self.deaths if death.had_begun]
        if self.is_whole_request and len(begun) >= COPIES_QUARANTINE_DEATHS:
            return True
        return deaths_in_sequence(begun) >= QUARANTINE_DEATHS


def deaths_in_sequence(deaths: Sequence[EngineDeath]) -> int:
    """Return how many deaths followed one another.

    Deaths of engines that ran their requests at the same time count
    once: an availability zone that fails takes many at a time.
    """
    count = 0
    last_death_s = NEVER_S
    for death in deaths:
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
            deaths.append(_with_begun(death, received.deaths))
    for death in received.deaths:
        if death.died_s > sound_s and not known.has(death):
            deaths.append(death)
    deaths.sort(key=lambda death: death.died_s)
    return PartRecord(known.part, tuple(deaths[-MAX_DEATHS:]), sound_s)


def _with_begun(
    death: EngineDeath, others: tuple[EngineDeath, ...]
) -> EngineDeath:
    """Return a death as begun if another request there had begun."""
    for other in others:
        if other.had_begun and other.is_same(death):
            return death._replace(had_begun=True)
    return death


class PartQuarantine:
    """The parts that one daemon suspects, in bounded memory.

    `records` is by part, the last changed at the end.  `sound_s` is, by
    part, when the last sound answer that this daemon saw began, also of
    parts without a record.  `unsent` names the parts whose records
    changed since peers were told.
    """

    def __init__(self) -> None:
        self.records: OrderedDict[str, PartRecord] = OrderedDict()
        self.sound_s: OrderedDict[str, float] = OrderedDict()
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
            self._remember_sound_run(part, began_s)
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
        if record.is_quarantined:
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
            if record is None or now_s >= record.refused_until_s:
                continue
            if not self._is_explained(record, parts, now_s):
                return record
        return None

    def quarantined(self, now_s: float) -> list[PartRecord]:
        """Return the quarantined parts, the last changed first."""
        records: list[PartRecord] = []
        for record in reversed(self.records.values()):
            if not record.is_quarantined:
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
        if is_local:
            self.unsent.add(news.part)
        sound_s = self.sound_s.get(news.part, NEVER_S)
        if merged.sound_s == NEVER_S and sound_s != NEVER_S:
            # Peers may not have seen the part in a sound answer.
            merged = merge_records(merged, PartRecord(news.part, (), sound_s))
            self.unsent.add(news.part)
        self.records[news.part] = merged
        self.records.move_to_end(news.part)
        if len(self.records) > MAX_RECORDS:
            self._evict()
        return merged.is_quarantined and not known.is_quarantined

    def _remember_sound_run(self, part: str, began_s: float) -> None:
        self.sound_s[part] = max(began_s, self.sound_s.get(part, NEVER_S))
        self.sound_s.move_to_end(part)
        if len(self.sound_s) > MAX_SOUND_PARTS:
            self.sound_s.popitem(last=False)

    def _evict(self) -> None:
        """Drop the record that changed longest ago.

        Quarantined parts are dropped only if there are no others.
        """
        dropped = next(iter(self.records))
        for part, record in self.records.items():
            if not record.is_quarantined:
                dropped = part
                break
        del self.records[dropped]
        self.unsent.discard(dropped)
