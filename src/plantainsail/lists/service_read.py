"""Assembly of a revision from the configuration service's values.

Each read returns one value, so a reader may get an index and a part of
different revisions.  `ServiceRead` names the keys to read and accepts a
value only at the revision that its index names; any other is a torn
read, after which the caller starts again from the root index.
"""

from enum import StrEnum
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from plantainsail import decoding
from plantainsail.lists.parse import Index, parse_index
from plantainsail.lists.snapshot import (
    EMPTY_SNAPSHOT,
    Family,
    PartValue,
    Snapshot,
)

# The last component of the keys of a family's or a group's index.
INDEX_NAME = "index"


class RefusalReason(StrEnum):
    """Why a revision was not put in force.

    `TORN` means that a part or group index had another revision than
    its index names, and `INCONSISTENT` that the parts break a rule
    together.  `OLDER` means that the configuration service has an older
    revision than is in force, and `UNREADABLE` that a key could not be
    read.
    """

    MALFORMED_INDEX = "malformed_index"
    MALFORMED_PART = "malformed_part"
    INCONSISTENT = "inconsistent"
    TORN = "torn"
    OLDER = "older"
    UNREADABLE = "unreadable"


class Refusal(NamedTuple):
    """A revision that was not put in force, and why.

    `detail` names the key or part at fault.
    """

    family: Family
    revision: int
    reason: RefusalReason
    detail: str

    def __str__(self) -> str:
        """Return the refusal as one line for logs and operators."""
        return (
            f"{self.family.value} revision {self.revision}: "
            f"{self.reason.value}: {self.detail}"
        )


def decode_json(body: bytes) -> Any | None:
    """Return the decoded JSON value, or None if it is malformed."""
    try:
        return decoding.decode_json(body)
    except decoding.UndecodableError:
        return None


def read_index(
    family: Family, body: bytes, key: str
) -> Result[Index, Refusal]:
    """Return the checked index, or the refusal of a malformed one."""
    value = decode_json(body)
    index = parse_index(value)
    if index.is_error():
        revision = _claimed_revision(value)
        return Error(
            Refusal(
                family,
                revision,
                RefusalReason.MALFORMED_INDEX,
                f"{key}: {index.error}",
            )
        )
    return Ok(index.ok)


def _claimed_revision(value: object) -> int:
    """Return the revision that an unchecked value names, else 0."""
    if isinstance(value, dict):
        revision = value.get("revision")
        if isinstance(revision, int) and not isinstance(revision, bool):
            return revision
    return 0


class ServiceRead:
    """Gathers the snapshot that one root index names.

    Read the keys of `next_keys`, pass each value to `add_value`, and
    repeat until no key is left; then `snapshot` returns the result.
    Parts that are unchanged since the snapshot `base`, and group
    indexes unchanged since `base_indexes`, are not read again.
    `indexes` and `parts` hold the group indexes and parts read so far.
    """

    def __init__(
        self,
        family: Family,
        root: Index,
        base: Snapshot = EMPTY_SNAPSHOT,
        base_indexes: dict[str, Index] | None = None,
    ) -> None:
        self.family = family
        self.root = root
        self.base = base
        self.indexes: dict[str, Index] = {}
        self.parts: dict[str, PartValue] = {}
        for name, revision in root.indexes.items():
            previous = (base_indexes or {}).get(name)
            if previous is not None and previous.revision == revision:
                self.indexes[name] = previous

    def next_keys(self) -> tuple[str, ...]:
        """Return the keys to read next; group indexes precede parts."""
        prefix = self.family.value
        indexes = tuple(
            f"{prefix}/{name}/{INDEX_NAME}"
            for name in self.root.indexes
            if name not in self.indexes
        )
        if indexes:
            return indexes
        return tuple(
            f"{prefix}/{name}"
            for name, revision in self.revisions().items()
            if self._find_part(name, revision) is None
        )

    def revisions(self) -> dict[str, int]:
        """Return the revisions of all parts, grouped ones included."""
        revisions = dict(self.root.parts)
        for index in self.indexes.values():
            revisions.update(index.parts)
        return revisions

    def add_value(self, key: str, body: bytes) -> Refusal | None:
        """Add the value read at a key; return the refusal, if any."""
        name = key.removeprefix(f"{self.family.value}/")
        group = name.removesuffix(f"/{INDEX_NAME}")
        if group != name and group in self.root.indexes:
            return self._add_index(group, body, key)
        return self._add_part(name, body)

    def snapshot(self) -> Snapshot:
        """Return the snapshot; call this once no key is left."""
        parts: dict[str, PartValue] = {}
        for name, revision in self.revisions().items():
            part = self._find_part(name, revision)
            if part is not None:
                parts[name] = part
        return Snapshot(self.root.revision, parts)

    def _find_part(self, name: str, revision: int) -> PartValue | None:
        """Return a part at a revision if it need not be read again."""
        for part in (self.parts.get(name), self.base.parts.get(name)):
            if part is not None and part.revision == revision:
                return part
        return None

    def _add_index(self, group: str, body: bytes, key: str) -> Refusal | None:
        index = read_index(self.family, body, key)
        if index.is_error():
            return index.error._replace(revision=self.root.revision)
        expected = self.root.indexes[group]
        if index.ok.revision != expected:
            return self._torn_refusal(key, expected, index.ok.revision)
        self.indexes[group] = index.ok
        return None

    def _add_part(self, name: str, body: bytes) -> Refusal | None:
        value = decode_json(body)
        expected = self.revisions().get(name, 0)
        claimed = _claimed_revision(value)
        if value is None:
            return Refusal(
                self.family,
                self.root.revision,
                RefusalReason.MALFORMED_PART,
                f"{name}: not JSON",
            )
        if claimed != expected:
            return self._torn_refusal(name, expected, claimed)
        self.parts[name] = PartValue(claimed, body)
        return None

    def _torn_refusal(self, name: str, expected: int, found: int) -> Refusal:
        return Refusal(
            self.family,
            self.root.revision,
            RefusalReason.TORN,
            f"{name}: the index names revision {expected}, found {found}",
        )
