"""How a daemon puts a revision together from the service's values.

The service gives one value a read, so a reader may meet an index and a
part of different revisions.  `ServiceRead` says which keys to read and
takes a value only at the revision that the index above it names; any
other is a torn read, which is tried again from the index.
"""

from enum import StrEnum
from typing import Any, NamedTuple

import msgspec
from expression import Error, Ok, Result

from plantainsail.lists.parse import Index, parse_index
from plantainsail.lists.snapshot import (
    EMPTY_SNAPSHOT,
    Family,
    PartValue,
    Snapshot,
)

INDEX_NAME = "index"


class RefusalReason(StrEnum):
    """Why a revision was not put in force."""

    MALFORMED_INDEX = "malformed_index"
    MALFORMED_PART = "malformed_part"
    INCONSISTENT = "inconsistent"
    TORN = "torn"
    OLDER = "older"
    UNREADABLE = "unreadable"


class Refusal(NamedTuple):
    """A revision that was not put in force, and why."""

    family: Family
    revision: int
    reason: RefusalReason
    detail: str

    def __str__(self) -> str:
        """Return one line for people."""
        return (
            f"{self.family.value} revision {self.revision}: "
            f"{self.reason.value}: {self.detail}"
        )


def decode_json(body: bytes) -> Any | None:
    """Return a JSON value, or None for bytes that are none."""
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


def read_index(
    family: Family, body: bytes, key: str
) -> Result[Index, Refusal]:
    """Return a checked index or the refusal of an unusable one."""
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
    """Return the revision that even an unusable value names."""
    if isinstance(value, dict):
        revision = value.get("revision")
        if isinstance(revision, int) and not isinstance(revision, bool):
            return revision
    return 0


class ServiceRead:
    """Gathers the snapshot that one root index names.

    Read the keys of `next_keys`, give each value to `add_value`, and
    repeat until no key is left; then `snapshot` has the result.
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
            known = (base_indexes or {}).get(name)
            if known is not None and known.revision == revision:
                self.indexes[name] = known

    def next_keys(self) -> tuple[str, ...]:
        """Return keys to read now, the lower indexes first."""
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
            if self._held(name, revision) is None
        )

    def revisions(self) -> dict[str, int]:
        """Return the revisions of all parts, over both levels."""
        revisions = dict(self.root.parts)
        for index in self.indexes.values():
            revisions.update(index.parts)
        return revisions

    def add_value(self, key: str, body: bytes) -> Refusal | None:
        """Take in one value; return why it cannot be used, if so."""
        name = key.removeprefix(f"{self.family.value}/")
        group = name.removesuffix(f"/{INDEX_NAME}")
        if group != name and group in self.root.indexes:
            return self._absorb_index(group, body, key)
        return self._absorb_part(name, body)

    def snapshot(self) -> Snapshot:
        """Return the snapshot, once no key is left."""
        parts: dict[str, PartValue] = {}
        for name, revision in self.revisions().items():
            part = self._held(name, revision)
            if part is not None:
                parts[name] = part
        return Snapshot(self.root.revision, parts)

    def _held(self, name: str, revision: int) -> PartValue | None:
        for part in (self.parts.get(name), self.base.parts.get(name)):
            if part is not None and part.revision == revision:
                return part
        return None

    def _absorb_index(
        self, group: str, body: bytes, key: str
    ) -> Refusal | None:
        index = read_index(self.family, body, key)
        if index.is_error():
            return index.error._replace(revision=self.root.revision)
        expected = self.root.indexes[group]
        if index.ok.revision != expected:
            return self._torn(key, expected, index.ok.revision)
        self.indexes[group] = index.ok
        return None

    def _absorb_part(self, name: str, body: bytes) -> Refusal | None:
        value = decode_json(body)
        expected = self.revisions().get(name, 0)
        found = _claimed_revision(value)
        if value is None:
            return Refusal(
                self.family,
                self.root.revision,
                RefusalReason.MALFORMED_PART,
                f"{name}: not JSON",
            )
        if found != expected:
            return self._torn(name, expected, found)
        self.parts[name] = PartValue(found, body)
        return None

    def _torn(self, name: str, expected: int, found: int) -> Refusal:
        return Refusal(
            self.family,
            self.root.revision,
            RefusalReason.TORN,
            f"{name}: the index names revision {expected}, found {found}",
        )
