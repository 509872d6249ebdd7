"""Which upstream incarnations take no new work any more.

A mark comes from the host list, from an upstream's own refusal or from
a peer.  It is never taken back: an upstream that is to take work again
starts as another incarnation.  A mark is forgotten only a good while
after the host list stopped naming the incarnation.
"""

from collections.abc import Collection, Sequence
from typing import NamedTuple

from plantainsail.lists.model import HostEntry, HostList, HostState, Role

RETENTION_S = 3_600.0
MAX_MARKS = 8_192
MARKS_PER_MESSAGE = 100


class LeavingMark(NamedTuple):
    """An upstream incarnation that takes no new work any more."""

    host: str
    incarnation: str


class NumberedMark(NamedTuple):
    """A mark under the number that one daemon gave it."""

    number: int
    mark: LeavingMark


class MarkRecord(NamedTuple):
    """A mark's number, and when it was last known to matter."""

    number: int
    last_listed_s: float


class LeavingMarks:
    """The marks that one daemon knows, in the order of their numbers.

    `latest` is the highest number given out; it only grows.
    """

    def __init__(self) -> None:
        self.records: dict[LeavingMark, MarkRecord] = {}
        self.latest = 0
        self.hosts_revision = -1

    def mark_draining(self, entry: HostEntry, now_s: float) -> bool:
        """Mark an upstream that refused new work; return if new."""
        return self.add_mark(leaving_mark_for(entry), now_s)

    def add_mark(self, mark: LeavingMark, now_s: float) -> bool:
        """Take one mark; return whether it is new."""
        if mark in self.records:
            return False
        self.latest += 1
        self.records[mark] = MarkRecord(self.latest, now_s)
        return True

    def apply_host_list(self, hosts: HostList, now_s: float) -> None:
        """Take the marks of a host list, and forget old ones."""
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
        self._forget(listed, now_s)

    def is_leaving(self, entry: HostEntry) -> bool:
        """Return whether an upstream takes no new work."""
        if entry.state is HostState.LEAVING:
            return True
        return leaving_mark_for(entry) in self.records

    def next_batch(self, number: int) -> list[NumberedMark]:
        """Return the next marks after a number, for one message."""
        found: list[NumberedMark] = []
        for mark, record in reversed(self.records.items()):
            if record.number <= number:
                break
            found.append(NumberedMark(record.number, mark))
        found.reverse()
        return found[:MARKS_PER_MESSAGE]

    def last_covered_number(self, batch: Sequence[NumberedMark]) -> int:
        """Return the number up to which a batch tells all marks."""
        if len(batch) == MARKS_PER_MESSAGE:
            return batch[-1].number
        return self.latest

    def _forget(self, listed: Collection[LeavingMark], now_s: float) -> None:
        excess = len(self.records) - MAX_MARKS
        for mark, record in list(self.records.items()):
            if mark in listed:
                self.records[mark] = record._replace(last_listed_s=now_s)
                continue
            if now_s - record.last_listed_s >= RETENTION_S or excess > 0:
                del self.records[mark]
                excess -= 1


def leaving_mark_for(entry: HostEntry) -> LeavingMark:
    """Return the mark that would stand for an upstream."""
    return LeavingMark(entry.host, entry.incarnation)


class MarkProgress(NamedTuple):
    """How far the exchange of marks with one incarnation has come.

    `acknowledged` counts own marks that it knows, `absorbed` its marks
    that are known here, `latest` all of its marks.
    """

    acknowledged: int = 0
    absorbed: int = 0
    latest: int = 0
