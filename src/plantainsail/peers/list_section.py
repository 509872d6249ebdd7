"""The heartbeat section for list revisions and their freshness."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from plantainsail.identity import Incarnation
from plantainsail.lists.freshness import (
    Echo,
    pack_ages,
    unpack_ages,
    zones_digest,
)
from plantainsail.lists.snapshot import Family
from plantainsail.peers.list_parts import UNKNOWN_AGE_MS, age_to_ms
from plantainsail.peers.wire.fleet_pb2 import (
    Freshness,
    HeartbeatMessage,
    Timing,
    ZoneAges,
)
from plantainsail.runtime.list_freshness import NodeFreshness

AddressCallback = Callable[[str], None]


class RevisionAge(NamedTuple):
    """A peer's revision of one family and its age as received."""

    family: Family
    revision: int
    age_ms: int


class ListSection:
    """Exchanges which list revisions are in force and how old they are.

    `on_newer_revision` is called with the address of a peer that has a
    newer revision in force.
    """

    def __init__(
        self, freshness: NodeFreshness, on_newer_revision: AddressCallback
    ) -> None:
        self.freshness = freshness
        self.store = freshness.store
        self.on_newer_revision = on_newer_revision

    def fill(
        self,
        message: HeartbeatMessage,
        peer: Incarnation | None,
        now_s: float,
    ) -> None:
        """Write this daemon's revisions, their ages and timestamps."""
        store = self.store
        message.freshness.CopyFrom(
            Freshness(
                lists_revision=store.revision(Family.LISTS),
                hosts_revision=store.revision(Family.HOSTS),
                lists_age_ms=age_to_ms(store.age_s(now_s, Family.LISTS)),
                hosts_age_ms=age_to_ms(store.age_s(now_s, Family.HOSTS)),
            )
        )
        zones = self.freshness.zones()
        message.zone_ages.CopyFrom(
            ZoneAges(
                zones_digest=zones_digest(zones),
                ages=pack_ages(zones, self.freshness.zone_ages_s(now_s)),
            )
        )
        message.timing.CopyFrom(self._timing(peer, now_s))

    def _timing(self, peer: Incarnation | None, now_s: float) -> Timing:
        timing = Timing(sent_ms=int(now_s * 1_000))
        if peer is None:
            return timing
        echo = self.freshness.timing.echo_for(peer, now_s)
        if echo is not None:
            timing.echo_nonce = echo.nonce
            timing.echo_sent_ms = echo.sent_ms
            timing.echo_held_ms = echo.held_ms
        return timing

    def absorb(
        self, message: HeartbeatMessage, peer: Incarnation, now_s: float
    ) -> None:
        """Process the peer's revisions and ages.

        Ages are used only if the message's transit time is bounded.
        """
        transit_s = self._max_transit_s(message, peer, now_s)
        for revision_age in _revision_ages(message.freshness):
            self._absorb_family(revision_age, peer, transit_s, now_s)
        if transit_s is not None:
            self._absorb_zones(message.zone_ages, transit_s, now_s)

    def _absorb_zones(
        self, message: ZoneAges, transit_s: float, now_s: float
    ) -> None:
        """Process the zones' ages if the peer knows the same zones."""
        zones = self.freshness.zones()
        if message.zones_digest != zones_digest(zones):
            return
        for zone, age_s in unpack_ages(zones, message.ages).items():
            self.freshness.zone_contacts.record_contact(
                zone, now_s - age_s - transit_s
            )

    def _max_transit_s(
        self, message: HeartbeatMessage, peer: Incarnation, now_s: float
    ) -> float | None:
        """Return a bound on the message's transit time, if known."""
        if not message.HasField("timing"):
            return None
        timing = message.timing
        self.freshness.timing.receive(peer, timing.sent_ms, now_s)
        echo = Echo(
            timing.echo_nonce, timing.echo_sent_ms, timing.echo_held_ms
        )
        return self.freshness.timing.max_transit_s(echo, now_s)

    def _absorb_family(
        self,
        revision_age: RevisionAge,
        peer: Incarnation,
        transit_s: float | None,
        now_s: float,
    ) -> None:
        self.store.record_seen_revision(
            revision_age.family, revision_age.revision, now_s
        )
        if revision_age.revision > self.store.revision(revision_age.family):
            self.on_newer_revision(peer.address)
            return
        if transit_s is None or revision_age.age_ms == UNKNOWN_AGE_MS:
            return
        age_s = revision_age.age_ms / 1_000 + transit_s
        self.store.confirm(
            now_s - age_s, revision_age.family, revision_age.revision
        )


def _revision_ages(freshness: Freshness) -> Sequence[RevisionAge]:
    return (
        RevisionAge(
            Family.LISTS, freshness.lists_revision, freshness.lists_age_ms
        ),
        RevisionAge(
            Family.HOSTS, freshness.hosts_revision, freshness.hosts_age_ms
        ),
    )
