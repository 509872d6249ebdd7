"""The lists in force on one daemon.

A revision only grows: what carries a lower or equal one is passed
over, wherever it comes from.  A revision that breaks a rule is refused
as a whole and the last good one stays in force.
"""

from typing import NamedTuple

from expression import Ok, Result

from plantainsail.lists.assembly import Assembler, BuildResult
from plantainsail.lists.model import (
    EMPTY_HOSTS,
    EMPTY_LISTS,
    HostList,
    PublishedLists,
)
from plantainsail.lists.parse import assemble_hosts, assemble_lists
from plantainsail.lists.service_read import Refusal
from plantainsail.lists.snapshot import EMPTY_SNAPSHOT, Family, Snapshot

NEVER_CONFIRMED_S = float("-inf")


class PreparedRevision(NamedTuple):
    """A newer revision that was checked and may come in force."""

    family: Family
    snapshot: Snapshot
    lists: BuildResult[PublishedLists] | None = None
    hosts: BuildResult[HostList] | None = None


class ListStore:
    """Holds the lists and hosts in force, and how fresh they are.

    `confirmed_at_s` is when anyone last confirmed the revision of the
    lists; it is minus infinity before the first confirmation.
    `highest_seen` holds the highest revision that any daemon was seen
    to have in force, and `behind_since_s` when it was first seen to be
    higher than this daemon's own.
    """

    def __init__(self) -> None:
        self.lists: PublishedLists = EMPTY_LISTS
        self.hosts: HostList = EMPTY_HOSTS
        self.snapshots = dict.fromkeys(Family, EMPTY_SNAPSHOT)
        self.confirmed_times_s = dict.fromkeys(Family, NEVER_CONFIRMED_S)
        self.highest_seen = dict.fromkeys(Family, 0)
        self.behind_since_s: dict[Family, float] = {}
        self.refusals: dict[Family, Refusal] = {}
        self.lists_assembler = Assembler(Family.LISTS, assemble_lists)
        self.hosts_assembler = Assembler(Family.HOSTS, assemble_hosts)

    @property
    def confirmed_at_s(self) -> float:
        """Return when anyone last confirmed the operators' lists."""
        return self.confirmed_times_s[Family.LISTS]

    def revision(self, family: Family) -> int:
        """Return the revision in force of a family."""
        if family is Family.LISTS:
            return self.lists.revision
        return self.hosts.revision

    def offer(
        self, family: Family, snapshot: Snapshot
    ) -> Result[bool, Refusal]:
        """Put a snapshot in force if it is newer and correct.

        Returns whether it came in force now, or why it is refused.
        """
        if snapshot.revision <= self.revision(family):
            return Ok(False)
        return self.prepare(family, snapshot).map(self.commit)

    def prepare(
        self, family: Family, snapshot: Snapshot
    ) -> Result[PreparedRevision, Refusal]:
        """Check a snapshot as a whole without putting it in force."""
        if family is Family.LISTS:
            lists = self.lists_assembler.build(snapshot)
            return lists.map(
                lambda b: PreparedRevision(family, snapshot, lists=b)
            )
        hosts = self.hosts_assembler.build(snapshot)
        return hosts.map(lambda b: PreparedRevision(family, snapshot, hosts=b))

    def commit(self, prepared: PreparedRevision) -> bool:
        """Put what was checked in force, unless overtaken."""
        if prepared.lists is not None:
            if not self.offer_lists(prepared.lists.value):
                return False
            self.lists_assembler.parsed = prepared.lists.parsed
        if prepared.hosts is not None:
            if not self.offer_hosts(prepared.hosts.value):
                return False
            self.hosts_assembler.parsed = prepared.hosts.parsed
        self.snapshots[prepared.family] = prepared.snapshot
        return True

    def offer_lists(self, lists: PublishedLists) -> bool:
        """Put lists in force if they are newer; return whether."""
        if lists.revision <= self.lists.revision:
            return False
        self.lists = lists
        self._note_change(Family.LISTS)
        return True

    def offer_hosts(self, hosts: HostList) -> bool:
        """Put a host list in force if it is newer; return whether."""
        if hosts.revision <= self.hosts.revision:
            return False
        self.hosts = hosts
        self._note_change(Family.HOSTS)
        return True

    def _note_change(self, family: Family) -> None:
        """Keep the time of confirmation, which holds for newer ones.

        What was the newest at a time was published before all that is
        newer, so the newer one was read after that time.
        """
        if self.highest_seen[family] <= self.revision(family):
            self.behind_since_s.pop(family, None)
        refused = self.refusals.get(family)
        if refused is not None and refused.revision <= self.revision(family):
            del self.refusals[family]

    def record_refusal(self, refusal: Refusal) -> bool:
        """Keep a refusal to show; return whether it is a new one.

        It is kept until a later revision comes in force, or the
        service is seen to have the revision in force.
        """
        known = self.refusals.get(refusal.family)
        self.refusals[refusal.family] = refusal
        if known is None:
            return True
        return known[:3] != refusal[:3]

    def clear_refusal(self, family: Family) -> None:
        """Note that the service has the revision in force."""
        self.refusals.pop(family, None)

    def record_seen_revision(
        self, family: Family, revision: int, now_s: float
    ) -> None:
        """Note that some daemon has a revision in force."""
        self.highest_seen[family] = max(self.highest_seen[family], revision)
        if self.highest_seen[family] > self.revision(family):
            self.behind_since_s.setdefault(family, now_s)

    def covers_revision(self, revision: int, now_s: float) -> bool:
        """Return whether the lists are as new as a revision met.

        Ask this of every ticket, stream name and peer message, which
        carry the revision that they were made under.  False means that
        this very work is refused with `LISTS_BEHIND`.
        """
        self.record_seen_revision(Family.LISTS, revision, now_s)
        return revision <= self.lists.revision

    def behind_s(self, now_s: float, family: Family = Family.LISTS) -> float:
        """Return for how long a newer revision is known to exist."""
        return now_s - self.behind_since_s.get(family, now_s)

    def confirm(
        self,
        now_s: float,
        family: Family = Family.LISTS,
        revision: int | None = None,
    ) -> None:
        """Note that a revision was confirmed as the newest at a time.

        A confirmation of another revision than the one in force is
        passed over.
        """
        if revision is not None and revision != self.revision(family):
            return
        self.confirmed_times_s[family] = max(
            self.confirmed_times_s[family], now_s
        )

    def age_s(self, now_s: float, family: Family = Family.LISTS) -> float:
        """Return seconds since the last confirmation of a family."""
        return now_s - self.confirmed_times_s[family]
