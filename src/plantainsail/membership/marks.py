"""Marks of the upstream incarnations that take no new work any more.

A mark comes from the host list, from an upstream that refused work or
from a peer.  It is never revoked: an upstream that takes work again
starts as another incarnation.  A mark expires `RETENTION_S` after the
host list last named its incarnation, or earlier if it is not listed and
there are more than `MAX_MARKS`.
"""

from collections.abc import Collection, Sequence
from typing import NamedTuple

from plantainsail.lists.model import HostEntry, HostList, HostState, Role

# Time from a mark's addition or last listing to its expiry.
RETENTION_S = 3_600.0
# Above this number, marks that the host list does not name are removed.
MAX_MARKS = 8_192
# The most marks that one message to a peer carries.
MARKS_PER_MESSAGE = 100


class LeavingMark(NamedTuple):
    """An upstream incarnation that takes no new work any more.

    `incarnation` is the published identifier of the upstream's start.
    """

    host: str
    incarnation: str


class NumberedMark(NamedTuple):
    """A mark and the sequence number that this daemon gave it."""

    number: int
    mark: LeavingMark


class MarkRecord(NamedTuple):
    """When a mark was added, and when it was last listed.

    `number` is the sequence number that this daemon gave the mark, and
    `last_listed_s` the time when the host list last named its upstream,
    or when the mark was added if the list never did.
    """

    number: int
    last_listed_s: float


class LeavingMarks:
    """The marks that one daemon knows, in the order of their numbers.

    `latest` is the highest number assigned; it never decreases.
    `hosts_revision` is the revision of the host list applied last.
    """

    def __init__(self) -> None:
        self.records: dict[LeavingMark, MarkRecord] = {}
        self.latest = 0
        self.hosts_revision = -1

    def mark_draining(self, entry: HostEntry, now_s: float) -> bool:
        """Mark an upstream that refused work; return if newly so."""
        return self.add_mark(leaving_mark_for(entry), now_s)

    def add_mark(self, mark: LeavingMark, now_s: float) -> bool:
        """Add a mark under the next number, unless it exists.

        Return whether the mark was added.
        """
        if mark in self.records:
            return False
        self.latest += 1
        self.records[mark] = MarkRecord(self.latest, now_s)
        return True

    def apply_host_list(self, hosts: HostList, now_s: float) -> None:
        """Add the marks of a new host list and remove expired ones."""
        if hosts.revision == self.hosts_revision:
            return
        self.hosts_revision = hosts.revision
        listed: set[LeavingMark] = set()
        for entry in hosts.hosts.values():
            if entry.role is Role.ENTRY:
                continue
            mark = leaving_mark_for(entry)
            listed.add(mark)
            if entry.state is HostState.LEAVING:
                self.add_mark(mark, now_s)
        self._remove_expired(listed, now_s)

    def is_leaving(self, entry: HostEntry) -> bool:
        """Return whether an upstream takes no new work."""
        if entry.state is HostState.LEAVING:
            return True
        return leaving_mark_for(entry) in self.records

    def next_batch(self, number: int) -> list[NumberedMark]:
        """Return the marks after `number` that fit one message."""
        batch: list[NumberedMark] = []
        for mark, record in reversed(self.records.items()):
            if record.number <= number:
                break
            batch.append(NumberedMark(record.number, mark))
        batch.reverse()
        return batch[:MARKS_PER_MESSAGE]

    def last_covered_number(self, batch: Sequence[NumberedMark]) -> int:
        """Return the number up to which a batch holds every mark."""
        if len(batch) == MARKS_PER_MESSAGE:
            return batch[-1].number
        return self.latest

    def _remove_expired(
        self, listed: Collection[LeavingMark], now_s: float
    ) -> None:
        excess = len(self.records) - MAX_MARKS
        for mark, record in list(self.records.items()):
            if mark in listed:
                self.records[mark] = record._replace(last_listed_s=now_s)
                continue
            if now_s - record.last_listed_s >= RETENTION_S or excess > 0:
                del self.records[mark]
                excess -= 1


def leaving_mark_for(entry: HostEntry) -> LeavingMark:
    """Return the mark that an upstream has if it is leaving."""
    return LeavingMark(entry.host, entry.incarnation)


class MarkProgress(NamedTuple):
    """How far marks have been exchanged with one peer incarnation.

    `acknowledged` is the number up to which the peer knows this
    daemon's marks, `absorbed` the number up to which this daemon knows
    the peer's, and `latest` the peer's highest number.
    """

    acknowledged: int = 0
    absorbed: int = 0
    latest: int = 0
