"""Holds back entries of upstreams that had left before a restoration.

A copy of the configuration service may list an upstream whose departure
was lost with the last changes.  One that has really left does not renew
its entry, so that the entry lapses; one that still runs keeps it.
"""

from typing import NamedTuple

from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.revisions import is_restored

# An entry that is not renewed lapses within this time.
ENTRY_LIFETIME_S = 6.0


class HeldEntry(NamedTuple):
    """An entry that is not used yet, since `held_s`.

    `revision` is that of the list which it was first held in.
    """

    upstream: RoutedUpstream
    revision: int
    held_s: float


class HeldEntries:
    """The entries that are held back, by the upstream's identifier."""

    def __init__(self) -> None:
        self.entries: dict[str, HeldEntry] = {}

    def hold(
        self, upstream: RoutedUpstream, revision: int, now_s: float
    ) -> None:
        """Hold an entry back, from the first list of its epoch."""
        known = self.entries.get(upstream.identifier)
        if (
            known is not None
            and known.upstream == upstream
            and not is_restored(known.revision, revision)
        ):
            return
        held = HeldEntry(upstream, revision, now_s)
        self.entries[upstream.identifier] = held

    def drop(self, identifier: str) -> None:
        """Forget an entry that was removed or written anew."""
        self.entries.pop(identifier, None)

    def pop_renewed(self, now_s: float) -> list[RoutedUpstream]:
        """Remove and return the entries that did not lapse in time."""
        renewed: list[RoutedUpstream] = []
        for identifier, held in list(self.entries.items()):
            if now_s - held.held_s < ENTRY_LIFETIME_S:
                continue
            del self.entries[identifier]
            renewed.append(held.upstream)
        return renewed
