"""Snapshots: the published parts of one revision of a list family.

A family is one of the two sequences of revisions that a daemon follows:
the operators' lists, and the platform's list of hosts.  A snapshot
holds every part of one revision as it was published, so that a daemon
can forward parts to its peers without encoding them again.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

import xxhash


class Family(StrEnum):
    """A list family; the enum value is the prefix of its keys."""

    LISTS = "lists"
    HOSTS = "hosts"


class PartValue(NamedTuple):
    """A part as published, and the revision that last changed it."""

    revision: int
    body: bytes


class Snapshot(NamedTuple):
    """All parts of one revision, by name."""

    revision: int
    parts: Mapping[str, PartValue]


# The snapshot before any revision was read.
EMPTY_SNAPSHOT = Snapshot(0, {})


def part_revisions(snapshot: Snapshot) -> dict[str, int]:
    """Return the revision of each part, by name."""
    return {name: part.revision for name, part in snapshot.parts.items()}


def index_digest(revisions: Mapping[str, int]) -> int:
    """Return a 64-bit hash of part names and their revisions.

    Two daemons with equal digests hold the same parts, so a reply that
    names only changed parts can be checked without the whole index.
    """
    digest = xxhash.xxh3_64()
    for name in sorted(revisions):
        digest.update(f"{name}\0{revisions[name]}\n".encode())
    return int(digest.intdigest())
