"""How one daemon gets a newer revision from another.

A reply names only the parts changed since the asker's revision, with a
digest of the whole index.  The asker applies the changes to the index
that it holds; where the digest differs (a part was removed, or the
asker's index has another history) it asks for the whole index.  Parts
are taken only at the very revision that the index names, so that what
is put together is never torn.
"""

from collections.abc import Mapping
from typing import NamedTuple

from plantainsail.lists.snapshot import (
    Family,
    PartValue,
    Snapshot,
    index_digest,
    part_revisions,
)

REPLY_BYTES = 1_000_000
MAX_ROUNDS = 64
MAX_RESTARTS = 8


class PartsRequest(NamedTuple):
    """Asks for parts of a family.

    With `names`, for these parts; with `wants_index`, for the whole
    index; otherwise for what changed since `known_revision`.
    """

    family: Family
    known_revision: int
    names: tuple[str, ...] = ()
    wants_index: bool = False


class NamedPart(NamedTuple):
    """A part of a reply; no body where the reply had no room for it."""

    name: str
    revision: int
    body: bytes | None


class PartsReply(NamedTuple):
    """Parts of the revision in force on the daemon that answers.

    `is_sure` tells whether that daemon is past its start and has not
    just woken up.
    """

    revision: int
    digest: int
    is_sure: bool
    revisions: Mapping[str, int] | None = None
    parts: tuple[NamedPart, ...] = ()


def answer_request(
    snapshot: Snapshot,
    request: PartsRequest,
    *,
    is_sure: bool,
    limit_bytes: int = REPLY_BYTES,
) -> PartsReply:
    """Return the reply of a daemon with this snapshot in force."""
    revisions = part_revisions(snapshot)
    reply = PartsReply(snapshot.revision, index_digest(revisions), is_sure)
    if request.wants_index:
        return reply._replace(revisions=revisions)
    if request.names:
        return reply._replace(
            parts=_bounded(snapshot, request.names, limit_bytes)
        )
    if request.known_revision >= snapshot.revision:
        return reply
    changed = tuple(
        name
        for name, revision in revisions.items()
        if revision > request.known_revision
    )
    return reply._replace(parts=_bounded(snapshot, changed, limit_bytes))


def _bounded(
    snapshot: Snapshot, names: tuple[str, ...], limit_bytes: int
) -> tuple[NamedPart, ...]:
    """Return parts whose bodies together stay within a limit.

    The first body is always given, so that an asker makes progress.
    """
    parts: list[NamedPart] = []
    used_bytes = 0
    for name in names:
        part = snapshot.parts.get(name)
        if part is None:
            continue
        used_bytes += len(part.body)
        fits = used_bytes <= limit_bytes or not parts
        parts.append(
            NamedPart(name, part.revision, part.body if fits else None)
        )
    return tuple(parts)


class Transfer:
    """Gathers one newer snapshot from one peer.

    Ask `next_request` and give each reply to `add_reply`, until there is
    no next request.  `snapshot` is then the newer revision, or None
    where the peer has none or kept changing.
    """

    def __init__(self, family: Family, base: Snapshot) -> None:
        self.family = family
        self.base = base
        self.held: dict[str, PartValue] = dict(base.parts)
        self.wanted: dict[str, int] | None = None
        self.target_revision = base.revision
        self.target_digest = 0
        self.needs_index = False
        self.rounds = 0
        self.restarts = 0
        self.is_done = False
        self.snapshot: Snapshot | None = None

    def next_request(self) -> PartsRequest | None:
        """Return what to ask next, or None at the end."""
        if self.is_done or self.rounds >= MAX_ROUNDS:
            return None
        request = PartsRequest(self.family, self.base.revision)
        if self.needs_index:
            return request._replace(wants_index=True)
        if self.wanted is not None:
            return request._replace(names=self._missing())
        return request

    def add_reply(self, reply: PartsReply) -> None:
        """Take in the reply to the last request."""
        self.rounds += 1
        if reply.revision <= self.base.revision:
            self.is_done = True
            return
        if reply.revision != self.target_revision:
            self._start_target(reply)
        if reply.revisions is not None:
            self.wanted = dict(reply.revisions)
            self.needs_index = False
        elif self.wanted is None and not self.needs_index:
            self._apply_changes(reply)
        self._keep_parts(reply)
        self._finish()

    def _start_target(self, reply: PartsReply) -> None:
        """Begin anew when the peer has moved on meanwhile."""
        is_first = self.target_revision == self.base.revision
        self.target_revision = reply.revision
        self.target_digest = reply.digest
        self.wanted = None
        self.needs_index = not is_first
        self.restarts += 1
        if self.restarts > MAX_RESTARTS:
            self.is_done = True

    def _apply_changes(self, reply: PartsReply) -> None:
        wanted = part_revisions(self.base)
        wanted.update((part.name, part.revision) for part in reply.parts)
        if index_digest(wanted) == self.target_digest:
            self.wanted = wanted
            return
        self.needs_index = True

    def _keep_parts(self, reply: PartsReply) -> None:
        for part in reply.parts:
            if part.body is None:
                continue
            self.held[part.name] = PartValue(part.revision, part.body)

    def _missing(self) -> tuple[str, ...]:
        names: list[str] = []
        for name, revision in (self.wanted or {}).items():
            part = self.held.get(name)
            if part is None or part.revision != revision:
                names.append(name)
        return tuple(names)

    def _finish(self) -> None:
        if self.wanted is None or self.is_done or self._missing():
            return
        if index_digest(self.wanted) != self.target_digest:
            self.wanted = None
            self.needs_index = True
            return
        self.is_done = True
        self.snapshot = Snapshot(
            self.target_revision,
            {name: self.held[name] for name in self.wanted},
        )
