"""Which upstreams may be used, from what they announce.

An entry may vanish because its upstream left, or because it could not
be renewed while the configuration service was away.  Entries that
vanish around an outage stay usable for a short time, since upstreams
that live come back by themselves.
"""

from typing import NamedTuple

from plantainsail.routing.model import RoutedUpstream

# Entries that lapsed while the service was away are gone at once when
# it is back; one that is removed later was removed by its upstream.
LAPSE_WINDOW_S = 0.8
# Upstreams announce themselves again within about two seconds, which
# is also how long one that leaves may still get requests.
RETURN_GRACE_S = 1.8
FIRST_SUSPECT_S = 0.7
# Upstreams reach the service again this long after it is back.
UPSTREAM_CATCH_UP_S = 3.0
# An upstream often stays a little longer than it says.
NOTICE_KEPT_S = 10.0
MAX_SUSPECT_S = 5.0


class Departure(NamedTuple):
    """An upstream that announced its leaving, or vanished."""

    upstream: RoutedUpstream
    at_s: float


class DepartureNotice(NamedTuple):
    """What an upstream said itself: it leaves, and is gone by then.

    It holds for one run of the upstream, told apart by its birth.
    """

    born_ms: int
    gone_s: float


class UpstreamRegistry:
    """All upstreams that are announced now, by identifier."""

    def __init__(self) -> None:
        self.revision = -1
        self.entries: dict[str, RoutedUpstream] = {}
        self.departures: dict[str, Departure] = {}
        self.vanished: dict[str, Departure] = {}
        self.departure_notices: dict[str, DepartureNotice] = {}
        self.failures: dict[str, int] = {}
        self.suspect_until_s: dict[str, float] = {}
        self.service_regained_s: float | None = None
        self.is_service_lost = False

    def mark_service_lost(self) -> None:
        """Note that the configuration service does not answer."""
        self.is_service_lost = True

    def mark_service_regained(self, now_s: float) -> None:
        """Note that the configuration service answers again."""
        if self.is_service_lost:
            self.is_service_lost = False
            self.service_regained_s = now_s

    def replace(
        self,
        upstreams: tuple[RoutedUpstream, ...],
        revision: int,
        now_s: float,
    ) -> list[Departure]:
        """Take a whole list; return what is known to leave by it."""
        if revision < self.revision:
            return []
        found = {upstream.identifier for upstream in upstreams}
        departures: list[Departure] = []
        for identifier in list(self.entries):
            if identifier not in found:
                departures += self.remove(identifier, revision, now_s)
        for upstream in upstreams:
            departures += self.put(upstream, revision, now_s)
        self.revision = revision
        return departures

    def put(
        self, upstream: RoutedUpstream, revision: int, now_s: float
    ) -> list[Departure]:
        """Take one entry; return it if it announces its leaving."""
        if revision < self.revision:
            return []
        self.revision = revision
        before = self.entries.get(upstream.identifier)
        if before is not None and before.born_ms != upstream.born_ms:
            self._forget(upstream.identifier)
        if self._has_departure_notice(upstream):
            # Its entry may lag behind its own word.
            upstream = upstream._replace(is_draining=True)
        self.entries[upstream.identifier] = upstream
        self.vanished.pop(upstream.identifier, None)
        if not upstream.is_draining:
            self.departures.pop(upstream.identifier, None)
            return []
        return self._depart(upstream, now_s)

    def remove(
        self, identifier: str, revision: int, now_s: float
    ) -> list[Departure]:
        """Drop one entry; return it if it is taken as leaving."""
        if revision < self.revision:
            return []
        self.revision = revision
        upstream = self.entries.pop(identifier, None)
        if upstream is None:
            return []
        if not upstream.is_draining and self._is_near_outage(now_s):
            self.vanished[identifier] = Departure(upstream, now_s)
            return []
        return self._depart(upstream, now_s)

    def record_departure_notice(
        self, identifier: str, word: DepartureNotice, now_s: float
    ) -> list[Departure]:
        """Note that an upstream says itself that it leaves."""
        upstream = self.entries.get(identifier)
        if upstream is None:
            lapsed = self.vanished.get(identifier)
            upstream = None if lapsed is None else lapsed.upstream
        if upstream is None or upstream.born_ms != word.born_ms:
            return []
        self.departure_notices[identifier] = word
        if identifier in self.vanished:
            del self.vanished[identifier]
            return self._depart(upstream, now_s)
        return self.put(upstream, self.revision, now_s)

    def notices_to_send(self, now_s: float) -> dict[str, DepartureNotice]:
        """Return what peers should hear; drop what is long past."""
        for identifier, word in list(self.departure_notices.items()):
            if now_s > word.gone_s + NOTICE_KEPT_S:
                del self.departure_notices[identifier]
        return self.departure_notices

    def may_miss_departures(self, now_s: float) -> bool:
        """Return whether upstreams may leave without an entry's word.

        So it is while the service is away, and shortly after, until
        all upstreams have reached it again.
        """
        if self.is_service_lost:
            return True
        if self.service_regained_s is None:
            return False
        return now_s - self.service_regained_s < UPSTREAM_CATCH_UP_S

    def sweep(self, now_s: float) -> list[Departure]:
        """Return entries that vanished and did not come back."""
        departures: list[Departure] = []
        for identifier, departure in list(self.vanished.items()):
            if now_s - departure.at_s < RETURN_GRACE_S:
                continue
            del self.vanished[identifier]
            departures += self._depart(departure.upstream, now_s)
        return departures

    def usable(self, service: str) -> list[RoutedUpstream]:
        """Return the upstreams of a service that take new requests."""
        found: list[RoutedUpstream] = []
        for upstream in self.entries.values():
            if upstream.service == service and not upstream.is_draining:
                found.append(upstream)
        for departure in self.vanished.values():
            if departure.upstream.service == service:
                found.append(departure.upstream)
        return found

    def is_usable(self, identifier: str) -> bool:
        """Return whether one upstream still takes new requests."""
        if identifier in self.vanished:
            return True
        upstream = self.entries.get(identifier)
        return upstream is not None and not upstream.is_draining

    def note_failure(self, identifier: str, now_s: float) -> None:
        """Avoid an upstream for a while, longer each time."""
        count = self.failures.get(identifier, 0) + 1
        self.failures[identifier] = count
        pause_s = min(MAX_SUSPECT_S, FIRST_SUSPECT_S * 2.0 ** (count - 1))
        self.suspect_until_s[identifier] = now_s + pause_s

    def note_success(self, identifier: str) -> None:
        """Forget what an upstream failed."""
        self.failures.pop(identifier, None)
        self.suspect_until_s.pop(identifier, None)

    def is_suspect(self, identifier: str, now_s: float) -> bool:
        """Return whether an upstream failed a short time ago."""
        return self.suspect_until_s.get(identifier, 0.0) > now_s

    def _has_departure_notice(self, upstream: RoutedUpstream) -> bool:
        word = self.departure_notices.get(upstream.identifier)
        return word is not None and word.born_ms == upstream.born_ms

    def _is_near_outage(self, now_s: float) -> bool:
        if self.is_service_lost:
            return True
        if self.service_regained_s is None:
            return False
        return now_s - self.service_regained_s < LAPSE_WINDOW_S

    def _depart(
        self, upstream: RoutedUpstream, now_s: float
    ) -> list[Departure]:
        self._forget(upstream.identifier)
        if upstream.identifier in self.departures:
            return []
        departure = Departure(upstream, now_s)
        self.departures[upstream.identifier] = departure
        return [departure]

    def _forget(self, identifier: str) -> None:
        self.failures.pop(identifier, None)
        self.suspect_until_s.pop(identifier, None)
