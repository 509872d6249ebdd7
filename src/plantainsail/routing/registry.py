"""Decides which upstreams are usable, from their announced entries.

An entry may vanish because its upstream left, or because the upstream
could not renew it while the configuration service was unreachable.  An
upstream whose entry vanishes around an outage stays usable for a short
time, since upstreams that still run announce themselves again.
"""

from typing import NamedTuple

from plantainsail.routing.held_entries import HeldEntries
from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.revisions import is_restored

# Entries of upstreams that expired while the configuration service was
# unreachable are missing as soon as it is back.  An entry removed more
# than this long after its return was removed by its upstream.
LAPSE_WINDOW_S = 0.8
# An upstream whose entry vanished stays usable for this long.  One that
# still runs announces itself again within about two seconds, and one
# that has left must get no more requests after that time either.
RETURN_GRACE_S = 1.8
# An upstream is suspect for this long after its first failure.
FIRST_SUSPECT_S = 0.7
# After an outage all upstreams have reached the configuration service
# again within this time.
UPSTREAM_CATCH_UP_S = 3.0
# A notice that an upstream leaves is kept for this long after the time
# it announced, since upstreams often stay a little longer.
NOTICE_KEPT_S = 10.0
# Upstreams without an entry are remembered as departed for this long.
DEPARTURE_KEPT_S = 60.0
# The newest entries are kept until they are looked at, which takes long
# only if no configuration is in force.
MAX_WRITTEN = 8_192
# The longest time that an upstream is suspect after a failure.
MAX_SUSPECT_S = 5.0
MAX_SUSPECT_DOUBLINGS = 32


class Departure(NamedTuple):
    """An upstream that is leaving or has vanished, and since when.

    `revision` is that of the entries at that time.
    """

    upstream: RoutedUpstream
    at_s: float
    revision: int = -1

    def is_of(self, upstream: RoutedUpstream) -> bool:
        """Return whether this incarnation of an upstream departed."""
        return self.upstream.born_ms == upstream.born_ms


class DepartureNotice(NamedTuple):
    """A statement by an upstream itself that it is leaving.

    The upstream will be gone at `gone_s`.  The notice applies only to
    the incarnation that has the same `born_ms`.
    """

    born_ms: int
    gone_s: float


class WrittenEntry(NamedTuple):
    """An entry that was put, and the one that it replaces, if any.

    `is_first` says that it is from the first list of this daemon.
    """

    upstream: RoutedUpstream
    previous: RoutedUpstream | None
    written_s: float
    is_first: bool = False


class UpstreamRegistry:
    """Tracks the announced upstreams, their departures and failures.

    `entries` are announced now.  `vanished` holds entries that
    disappeared around an outage and whose upstreams are still usable.
    `held` are listed again, though they had left before the service was
    restored from a copy, and are not usable yet.
    `departures` are the upstreams that left or are leaving.
    `revision` is that of the latest change of the entries.  `failures`
    counts each upstream's failures since its last success.  The
    configuration service last answered again at `service_regained_s`.
    `written` are the entries that were put since `pop_written`.
    All dicts are by the upstream's identifier.  Upstreams in
    `drained_zones` are not usable, but they do not leave.
    """

    def __init__(self) -> None:
        self.drained_zones: frozenset[str] = frozenset()
        self.revision = -1
        self.entries: dict[str, RoutedUpstream] = {}
        self.departures: dict[str, Departure] = {}
        self.vanished: dict[str, Departure] = {}
        self.held = HeldEntries()
        self.departure_notices: dict[str, DepartureNotice] = {}
        self.failures: dict[str, int] = {}
        self.suspect_until_s: dict[str, float] = {}
        self.service_regained_s: float | None = None
        self.is_service_lost = False
        self.written: list[WrittenEntry] = []

    def mark_service_lost(self) -> None:
        """Record that the configuration service does not answer."""
        self.is_service_lost = True

    def mark_service_regained(self, now_s: float) -> None:
        """Record that the configuration service answers again."""
        if self.is_service_lost:
            self.is_service_lost = False
            self.service_regained_s = now_s

    def replace(
        self,
        upstreams: tuple[RoutedUpstream, ...],
        revision: int,
        now_s: float,
    ) -> list[Departure]:
        """Apply a complete list of entries; return new departures."""
        if revision < self.revision:
            return []
        is_first_list = self.revision < 0
        if is_restored(self.revision, revision):
            # The copy lacks upstreams that announce themselves again.
            self.service_regained_s = now_s
        listed: dict[str, RoutedUpstream] = {}
        outdated: dict[str, RoutedUpstream] = {}
        for upstream in upstreams:
            has_left = self._left_before_restoration(upstream, revision)
            group = outdated if has_left else listed
            group[upstream.identifier] = upstream
        departures: list[Departure] = []
        for identifier in list(self.entries):
            if identifier not in listed:
                departures += self.remove(identifier, revision, now_s)
        for identifier in self.held.entries.keys() - outdated.keys():
            self.held.drop(identifier)
        for upstream in outdated.values():
            self.held.hold(upstream, revision, now_s)
        for upstream in listed.values():
            departures += self.put(upstream, revision, now_s)
        self.revision = revision
        if is_first_list:
            self.written = [
                entry._replace(is_first=True) for entry in self.written
            ]
        return departures

    def put(
        self, upstream: RoutedUpstream, revision: int, now_s: float
    ) -> list[Departure]:
        """Add or update one entry; return its departure if new."""
        if revision < self.revision:
            return []
        self.revision = revision
        self.held.drop(upstream.identifier)
        previous = self.entries.get(upstream.identifier)
        self._note_written(upstream, previous, now_s)
        if previous is not None and previous.born_ms != upstream.born_ms:
            self._forget_failures(upstream.identifier)
        if self._is_known_to_leave(upstream):
            # The entry may be older than the upstream's own notice, or
            # come from a copy of the service.
            upstream = upstream._replace(is_draining=True)
        self.entries[upstream.identifier] = upstream
        self.vanished.pop(upstream.identifier, None)
        if not upstream.is_draining:
            self.departures.pop(upstream.identifier, None)
            return []
        return self._depart(upstream, now_s)

    def pop_written(self) -> list[WrittenEntry]:
        """Return the entries that were put since the last call."""
        written, self.written = self.written, []
        return written

    def remove(
        self, identifier: str, revision: int, now_s: float
    ) -> list[Departure]:
        """Remove one entry; return its departure if new.

        Near an outage the entry may have expired, so its upstream is
        moved to `vanished` unless it was draining.
        """
        if revision < self.revision:
            return []
        self.revision = revision
        self.held.drop(identifier)
        upstream = self.entries.pop(identifier, None)
        if upstream is None:
            return []
        if not upstream.is_draining and self._is_near_outage(now_s):
            self.vanished[identifier] = Departure(upstream, now_s)
            return []
        return self._depart(upstream, now_s)

    def record_departure_notice(
        self, identifier: str, notice: DepartureNotice, now_s: float
    ) -> list[Departure]:
        """Record an upstream's notice; return its departure if new.

        A notice of another incarnation or of an unknown upstream is
        ignored.
        """
        upstream = self.entries.get(identifier)
        if upstream is None:
            vanished = self.vanished.get(identifier)
            upstream = None if vanished is None else vanished.upstream
        if upstream is None or upstream.born_ms != notice.born_ms:
            return []
        self.departure_notices[identifier] = notice
        if identifier in self.vanished:
            del self.vanished[identifier]
            return self._depart(upstream, now_s)
        return self.put(upstream, self.revision, now_s)

    def notices_to_send(self, now_s: float) -> dict[str, DepartureNotice]:
        """Return the notices for peers, and drop outdated ones."""
        for identifier, notice in list(self.departure_notices.items()):
            if now_s > notice.gone_s + NOTICE_KEPT_S:
                del self.departure_notices[identifier]
        return self.departure_notices

    def may_miss_departures(self, now_s: float) -> bool:
        """Return whether upstreams may leave without updating entries.

        This is the case while the configuration service is unreachable
        and until all upstreams have reached it again.
        """
        if self.is_service_lost:
            return True
        if self.service_regained_s is None:
            return False
        return now_s - self.service_regained_s < UPSTREAM_CATCH_UP_S

    def expire_vanished(self, now_s: float) -> list[Departure]:
        """Remove upstreams that vanished too long ago.

        Return their departures.
        """
        departures: list[Departure] = []
        for identifier, departure in list(self.vanished.items()):
            if now_s - departure.at_s < RETURN_GRACE_S:
                continue
            del self.vanished[identifier]
            departures += self._depart(departure.upstream, now_s)
        return departures

    def use_renewed(self, now_s: float) -> list[RoutedUpstream]:
        """Use the held entries that did not lapse; return them."""
        renewed = self.held.pop_renewed(now_s)
        for upstream in renewed:
            self.put(upstream, self.revision, now_s)
        return renewed

    def listed_upstreams(self) -> tuple[RoutedUpstream, ...]:
        """Return all entries of the configuration service."""
        listed = list(self.entries.values())
        for held in self.held.entries.values():
            listed.append(held.upstream)
        return tuple(listed)

    def forget_departed(self, now_s: float) -> None:
        """Drop departures that are long past."""
        for identifier, departure in list(self.departures.items()):
            if identifier in self.entries:
                continue
            if now_s - departure.at_s >= DEPARTURE_KEPT_S:
                del self.departures[identifier]

    def usable_upstreams(self, service: str) -> list[RoutedUpstream]:
        """Return the upstreams of a service that take new requests."""
        return [
            upstream
            for upstream in self.staying_upstreams(service)
            if upstream.availability_zone not in self.drained_zones
        ]

    def staying_upstreams(self, service: str) -> list[RoutedUpstream]:
        """Return the upstreams of a service that don't leave.

        Those in drained availability zones are among them.
        """
        upstreams: list[RoutedUpstream] = []
        for upstream in self.entries.values():
            if upstream.service == service and not upstream.is_draining:
                upstreams.append(upstream)
        for departure in self.vanished.values():
            if departure.upstream.service == service:
                upstreams.append(departure.upstream)
        return upstreams

    def is_usable(self, identifier: str) -> bool:
        """Return whether an upstream still takes new requests."""
        upstream = self._staying(identifier)
        return upstream is not None and not self.is_drained(upstream)

    def is_staying(self, identifier: str) -> bool:
        """Return whether an upstream is listed and doesn't leave."""
        return self._staying(identifier) is not None

    def is_drained(self, upstream: RoutedUpstream) -> bool:
        """Return whether nothing may be sent to an upstream's zone."""
        return upstream.availability_zone in self.drained_zones

    def is_service_drained(self, service: str) -> bool:
        """Return whether drained zones have all upstreams of a service.

        It is false if the service has no upstream.
        """
        if not self.drained_zones:
            return False
        staying = self.staying_upstreams(service)
        return bool(staying) and all(map(self.is_drained, staying))

    def find(self, identifier: str) -> RoutedUpstream | None:
        """Return the entry of an upstream that may still be there."""
        vanished = self.vanished.get(identifier)
        if vanished is not None:
            return vanished.upstream
        return self.entries.get(identifier)

    def note_failure(self, identifier: str, now_s: float) -> None:
        """Mark an upstream as suspect, twice as long for each failure.

        The time starts at `FIRST_SUSPECT_S` and is limited to
        `MAX_SUSPECT_S`.
        """
        count = self.failures.get(identifier, 0) + 1
        self.failures[identifier] = count
        # The exponent is limited, as a float overflows at 1,024.
        doublings = min(count - 1, MAX_SUSPECT_DOUBLINGS)
        suspect_s = min(MAX_SUSPECT_S, FIRST_SUSPECT_S * 2.0**doublings)
        self.suspect_until_s[identifier] = now_s + suspect_s

    def note_success(self, identifier: str) -> None:
        """Forget the failures of an upstream after a success."""
        self.failures.pop(identifier, None)
        self.suspect_until_s.pop(identifier, None)

    def is_suspect(self, identifier: str, now_s: float) -> bool:
        """Return whether an upstream is suspect after a failure."""
        return self.suspect_until_s.get(identifier, 0.0) > now_s

    def _staying(self, identifier: str) -> RoutedUpstream | None:
        vanished = self.vanished.get(identifier)
        if vanished is not None:
            return vanished.upstream
        upstream = self.entries.get(identifier)
        if upstream is None or upstream.is_draining:
            return None
        return upstream

    def _note_written(
        self,
        upstream: RoutedUpstream,
        previous: RoutedUpstream | None,
        now_s: float,
    ) -> None:
        vanished = self.vanished.get(upstream.identifier)
        departure = self.departures.get(upstream.identifier)
        if previous is None and vanished is not None:
            previous = vanished.upstream
        elif previous is None and departure is not None and upstream.born_ms:
            previous = departure.upstream
        if upstream == previous:
            return
        self.written.append(WrittenEntry(upstream, previous, now_s))
        del self.written[:-MAX_WRITTEN]

    def _is_known_to_leave(self, upstream: RoutedUpstream) -> bool:
        """Return whether this incarnation said that it leaves.

        It may have done so to this daemon, or in an entry.  If its
        start time is unknown, a later entry may be of another one.
        """
        notice = self.departure_notices.get(upstream.identifier)
        if notice is not None and notice.born_ms == upstream.born_ms:
            return True
        departure = self.departures.get(upstream.identifier)
        if departure is None or not upstream.born_ms:
            return False
        return departure.upstream.is_draining and departure.is_of(upstream)

    def _has_newer_incarnation(self, upstream: RoutedUpstream) -> bool:
        """Return whether a later start of an upstream is known."""
        known = self.entries.get(upstream.identifier)
        if known is not None:
            return known.born_ms > upstream.born_ms
        for departures in (self.vanished, self.departures):
            departure = departures.get(upstream.identifier)
            if departure is None:
                continue
            if departure.upstream.born_ms > upstream.born_ms:
                return True
        return False

    def _left_before_restoration(
        self, upstream: RoutedUpstream, revision: int
    ) -> bool:
        """Return whether an upstream had left in an older epoch."""
        is_held = upstream.identifier in self.held.entries
        is_first_list = is_restored(self.revision, revision)
        if (is_held or is_first_list) and self._has_newer_incarnation(
            upstream
        ):
            return True
        departure = self.departures.get(upstream.identifier)
        if departure is None or not departure.is_of(upstream):
            return False
        if self._is_known_to_leave(upstream):
            return False
        return is_restored(departure.revision, revision)

    def _is_near_outage(self, now_s: float) -> bool:
        if self.is_service_lost:
            return True
        if self.service_regained_s is None:
            return False
        return now_s - self.service_regained_s < LAPSE_WINDOW_S

    def _depart(
        self, upstream: RoutedUpstream, now_s: float
    ) -> list[Departure]:
        self._forget_failures(upstream.identifier)
        if upstream.identifier in self.departures:
            return []
        departure = Departure(upstream, now_s, self.revision)
        self.departures[upstream.identifier] = departure
        return [departure]

    def _forget_failures(self, identifier: str) -> None:
        self.failures.pop(identifier, None)
        self.suspect_until_s.pop(identifier, None)
