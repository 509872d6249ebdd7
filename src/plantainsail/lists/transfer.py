"""Transfer of a newer revision from one daemon to another.

A reply names only the parts changed since the requester's revision,
with a digest of the whole index.  The requester applies the changes to
its own index.  If the digest differs, since a part was removed or its
index has another history, it requests the whole index.  A part is used
only at the revision that the index names, so a snapshot never mixes
revisions.
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

# The most bytes of bodies in one reply, unless the first is larger.
REPLY_BYTES = 1_000_000
# The most requests that one transfer sends.
MAX_ROUNDS = 64
# The transfer is given up if it sets its target revision more often.
MAX_RESTARTS = 8


class PartsRequest(NamedTuple):
    """A request for the index or for parts of a family.

    It asks for the parts in `names`, or for the whole index if
    `wants_index` is set, else for the parts changed since
    `known_revision`.
    """

    family: Family
    known_revision: int
    names: tuple[str, ...] = ()
    wants_index: bool = False


class NamedPart(NamedTuple):
    """A part in a reply to a `PartsRequest`.

    `body` is None if it exceeded the reply's limit of bytes.
    """

    name: str
    revision: int
    body: bytes | None


class PartsReply(NamedTuple):
    """Parts of the revision in force on the daemon that answers.

    `revision` is that revision, and `digest` the digest of its whole
    index.  `revisions` is the index itself, if it was requested.
    `is_sure` is false while the answering daemon is starting, or
    recovering from a pause.
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
    """Return the reply of a daemon that has `snapshot` in force."""
    revisions = part_revisions(snapshot)
    reply = PartsReply(snapshot.revision, index_digest(revisions), is_sure)
    if request.wants_index:
        return reply._replace(revisions=revisions)
    if request.names:
        return reply._replace(
            parts=_limit_body_bytes(snapshot, request.names, limit_bytes)
        )
    if request.known_revision >= snapshot.revision:
        return reply
    changed = tuple(
        name
        for name, revision in revisions.items()
        if revision > request.known_revision
    )
    return reply._replace(
        parts=_limit_body_bytes(snapshot, changed, limit_bytes)
    )


def _limit_body_bytes(
    snapshot: Snapshot, names: tuple[str, ...], limit_bytes: int
) -> tuple[NamedPart, ...]:
    """Return the named parts, leaving out bodies beyond the limit.

    The first body is always included, so that each request makes
    progress.
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

    Send each `next_request` and pass the reply to `add_reply` until
    there is no next request.  `snapshot` is then the newer revision, or
    None if the peer has none or changed its revision too often.

    The target is the peer's revision, with its index, once known, and
    its digest.  `base_snapshot` is this daemon's own snapshot.
    `needs_index` is set while the whole index must be requested.
    `reply_count` counts the replies, and `target_changes` how often the
    target was set.
    """

    def __init__(self, family: Family, base: Snapshot) -> None:
        self.family = family
        self.base_snapshot = base
        self.available_parts: dict[str, PartValue] = dict(base.parts)
        self.target_index: dict[str, int] | None = None
        self.target_revision = base.revision
        self.target_digest = 0
        self.needs_index = False
        self.reply_count = 0
        self.target_changes = 0
        self.is_done = False
        self.snapshot: Snapshot | None = None

    def next_request(self) -> PartsRequest | None:
        """Return the next request, or None if the transfer is over."""
        if self.is_done or self.reply_count >= MAX_ROUNDS:
            return None
        request = PartsRequest(self.family, self.base_snapshot.revision)
        if self.needs_index:
            return request._replace(wants_index=True)
        if self.target_index is not None:
            return request._replace(names=self._missing_names())
        return request

    def add_reply(self, reply: PartsReply) -> None:
        """Process the reply to the last request."""
        self.reply_count += 1
        if reply.revision <= self.base_snapshot.revision:
            self.is_done = True
            return
        if reply.revision != self.target_revision:
            self._set_target(reply)
        if reply.revisions is not None:
            self.target_index = dict(reply.revisions)
            self.needs_index = False
        elif self.target_index is None and not self.needs_index:
            self._apply_changes(reply)
        self._store_parts(reply)
        self._finish_if_complete()

    def _set_target(self, reply: PartsReply) -> None:
        """Make the revision of a reply the one to be transferred.

        This happens at the first reply, and again whenever the peer has
        put another revision in force since.
        """
        is_first = self.target_revision == self.base_snapshot.revision
        self.target_revision = reply.revision
        self.target_digest = reply.digest
        self.target_index = None
        self.needs_index = not is_first
        self.target_changes += 1
        if self.target_changes > MAX_RESTARTS:
            self.is_done = True

    def _apply_changes(self, reply: PartsReply) -> None:
        """Derive the target's index from the changed parts of a reply.

        If its digest is wrong, the whole index must be requested.
        """
        target_index = part_revisions(self.base_snapshot)
        target_index.update((part.name, part.revision) for part in reply.parts)
        if index_digest(target_index) == self.target_digest:
            self.target_index = target_index
            return
        self.needs_index = True

    def _store_parts(self, reply: PartsReply) -> None:
        for part in reply.parts:
            if part.body is None:
                continue
            self.available_parts[part.name] = PartValue(
                part.revision, part.body
            )

    def _missing_names(self) -> tuple[str, ...]:
        """Return the parts of the target that are not yet available."""
        names: list[str] = []
        for name, revision in (self.target_index or {}).items():
            part = self.available_parts.get(name)
            if part is None or part.revision != revision:
                names.append(name)
        return tuple(names)

    def _finish_if_complete(self) -> None:
        """Set `snapshot` once all parts of the target are available."""
        if self.target_index is None or self.is_done or self._missing_names():
            return
        if index_digest(self.target_index) != self.target_digest:
            self.target_index = None
            self.needs_index = True
            return
        self.is_done = True
        self.snapshot = Snapshot(
            self.target_revision,
            {name: self.available_parts[name] for name in self.target_index},
        )
