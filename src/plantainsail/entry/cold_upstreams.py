"""Holds the cold upstreams of one daemon, and whose budget they share.

It learns them from the entries of upstreams, from answers and from
peers.  `routing.cold_limits` decides when one may get a request.
"""

import random
from typing import Any, NamedTuple

from plantainsail.entry.settings import EntryBounds
from plantainsail.routing.cold_budget import ColdBudget, FleetShare
from plantainsail.routing.cold_limits import ColdLimits, ColdReport, ColdTime
from plantainsail.routing.in_force import ConfigurationInForce
from plantainsail.routing.members import Members
from plantainsail.routing.model import RoutedUpstream, Service
from plantainsail.routing.registry import UpstreamRegistry, WrittenEntry

# The size that is assumed of a fleet of which no daemon was heard yet.
UNKNOWN_FLEET = 300
# A peer that names more daemons is not believed.
MAX_FLEET = 10_000
# The count of live daemons is used for so long, as a decision looks at
# many upstreams.
SHARE_KEPT_S = 0.05
# A peer's report that came before the first list is used for so long.
WHOLE_KEPT_S = 1.0
MS_PER_S = 1000


class FleetState(NamedTuple):
    """What the cold upstreams need to know of the daemon's state."""

    registry: UpstreamRegistry
    in_force: ConfigurationInForce
    members: Members


class Origin(NamedTuple):
    """How this daemon learned that an upstream is cold, for the log."""

    cause: str
    source: str = "own"


class WholeReport(NamedTuple):
    """All upstreams that a peer knows as `cold`.

    It has followed the lists for `followed_s` and had them at
    `revision`.
    """

    cold: frozenset[str]
    followed_s: float
    revision: int
    received_s: float

    def shows_warm(
        self, identifier: str, cold_s: float, revision: int, now_s: float
    ) -> bool:
        """Return whether a listed upstream is surely not cold.

        It would have been for `cold_s` since its start.
        """
        if now_s - self.received_s > WHOLE_KEPT_S or self.revision < revision:
            return False
        return self.followed_s >= cold_s and identifier not in self.cold


class ColdUpstreams:
    """The cold upstreams that have a budget.

    `bounds` are those of the settings in force.  The lists of upstreams
    are followed since `followed_since_s`.  `whole` is the last report
    of a peer on all cold upstreams.
    """

    def __init__(
        self,
        state: FleetState,
        bounds: EntryBounds,
        log: Any,
        source: random.Random,
    ) -> None:
        self.state = state
        self.bounds = bounds
        self.log = log
        self.limits = ColdLimits(state.members, source)
        self.followed_since_s: float | None = None
        # The budgets by service, for one configuration and its bounds.
        self.budgets: dict[str, ColdBudget | None] = {}
        self.budgets_of = (-1, bounds)
        self.fleet_told = 0
        self.whole: WholeReport | None = None
        self.share = FleetShare(1, 1)
        self.share_as_of_s = float("-inf")

    def wait_s(self, upstream: RoutedUpstream, now_s: float) -> float:
        """Return how long an upstream may get no request."""
        self.apply_written(now_s)
        if upstream.identifier not in self.limits.upstreams:
            return 0.0
        budget = self.budget_of(upstream.service)
        if budget is None:
            return 0.0
        share = self.fleet_share(now_s)
        return self.limits.wait_s(upstream.identifier, budget, share, now_s)

    def note_sent(self, identifier: str, now_s: float) -> None:
        """Count a request that is sent to an upstream."""
        cold = self.limits.upstreams.get(identifier)
        budget = None if cold is None else self.budget_of(cold.service)
        if budget is None:
            return
        share = self.fleet_share(now_s)
        self.limits.note_sent(identifier, budget, share, now_s)

    def tokens(self, identifier: str, now_s: float) -> float:
        """Return what this daemon's copy of a bucket holds."""
        cold = self.limits.upstreams[identifier]
        budget = self.budget_of(cold.service)
        if budget is not None:
            cold.refill(budget, self.fleet_share(now_s), now_s)
        return cold.bucket.tokens

    def note_answer(
        self, upstream: RoutedUpstream, cold_ms: float, now_s: float
    ) -> bool:
        """Note for how long an answer says that its upstream is cold.

        Return whether peers must be told.
        """
        if self.budget_of(upstream.service) is None:
            return False
        time = ColdTime(now_s + cold_ms / MS_PER_S, now_s)
        if not self.limits.note_time(upstream, time, now_s):
            return False
        self._log_cold(upstream, time, Origin("answer"), now_s)
        return True

    def apply_report(
        self, identifier: str, born_ms: int, report: ColdReport, now_s: float
    ) -> None:
        """Merge what a peer knows of an upstream, if it is listed."""
        self.apply_written(now_s)
        upstream = self.state.registry.find(identifier)
        if upstream is None or upstream.born_ms != born_ms:
            return
        budget = self.budget_of(upstream.service)
        if budget is None:
            return
        share = self.fleet_share(now_s)
        if self.limits.merge(upstream, report, budget, share, now_s):
            origin = Origin("peer", report.copy.peer)
            self._log_cold(upstream, report.time, origin, now_s)

    def lift_provisional(self, whole: WholeReport) -> None:
        """Lift what only the first list says, by a peer's report."""
        self.whole = whole
        # A peer that lags may not know a cold upstream yet.
        if whole.revision < self.state.registry.revision:
            return
        for identifier in self.limits.lift_provisional(
            whole.cold, whole.followed_s
        ):
            self.log.info(
                "upstream cold no more", upstream=identifier, cause="peer"
            )

    def forget_ended(self, now_s: float) -> None:
        """Drop the upstreams that are not cold any more."""
        if self.followed_since_s is None and self.state.registry.revision >= 0:
            self.followed_since_s = now_s
        self.apply_written(now_s)
        for identifier in self.limits.pop_ended(now_s):
            self.log.info(
                "upstream cold no more", upstream=identifier, cause="time"
            )

    def apply_written(self, now_s: float) -> None:
        """Start the cold times of new incarnations in the lists.

        Before a configuration is in force no service is known, and
        nothing is sent.
        """
        registry = self.state.registry
        if not registry.written or self.state.in_force.table is None:
            return
        for entry in registry.pop_written():
            self._apply_entry(entry, now_s)

    def budget_of(self, service_name: str) -> ColdBudget | None:
        """Return the budget of a service's cold upstreams, if any."""
        source = (self.state.in_force.version, self.bounds)
        if source != self.budgets_of:
            self.budgets.clear()
            self.budgets_of = source
        if service_name not in self.budgets:
            self.budgets[service_name] = self._make_budget(service_name)
        return self.budgets[service_name]

    def _make_budget(self, service_name: str) -> ColdBudget | None:
        service = self._service(service_name)
        if service is None or service.cold_per_s <= 0:
            return None
        overrun = service.cold_per_s * self.bounds.cold_overrun
        most = overrun + self.bounds.cold_tolerance
        return ColdBudget(service.cold_per_s, most)

    def has_budgets(self) -> bool:
        """Return whether any service has a budget."""
        table = self.state.in_force.table
        if table is None:
            return False
        return any(
            service.cold_per_s > 0 for service in table.services.values()
        )

    def fleet_share(self, now_s: float) -> FleetShare:
        """Return how many daemons hear each other, of all known."""
        if now_s - self.share_as_of_s > SHARE_KEPT_S:
            members = self.state.members
            heard = members.sharing(now_s)
            known = max(heard, self.known_daemons())
            self.share = FleetShare(heard, known, members.sharing_limit_s())
            self.share_as_of_s = now_s
        return self.share

    def known_daemons(self) -> int:
        """Return the size of the largest fleet that is known of.

        A daemon that has peers but heard none assumes a large fleet.
        """
        members = self.state.members
        known = max(members.largest, self.fleet_told)
        if known == 1 and members.members:
            return UNKNOWN_FLEET
        return known

    def note_fleet(self, daemons: int) -> None:
        """Note how many daemons a peer knows of."""
        if daemons <= MAX_FLEET:
            self.fleet_told = max(self.fleet_told, daemons)

    def followed_s(self, now_s: float) -> float:
        """Return for how long the lists are followed."""
        if self.followed_since_s is None:
            return 0.0
        return now_s - self.followed_since_s

    def _apply_entry(self, entry: WrittenEntry, now_s: float) -> None:
        upstream = entry.upstream
        service = self._service(upstream.service)
        if service is None or service.cold_per_s <= 0:
            return
        previous = entry.previous
        is_new = previous is None or previous.born_ms != upstream.born_ms
        was_stated = previous is not None and (
            previous.cold_ms == upstream.cold_ms
        )
        if not is_new and (not upstream.cold_ms or was_stated):
            return
        cold_s = service.cold_s
        if upstream.cold_ms:
            cold_s = upstream.cold_ms / MS_PER_S
        if entry.is_first and self._is_known_warm(upstream, cold_s, now_s):
            return
        time = ColdTime(
            entry.written_s + cold_s, is_provisional=entry.is_first
        )
        if self.limits.note_time(upstream, time, now_s):
            cause = "entry" if upstream.cold_ms else "new incarnation"
            self._log_cold(upstream, time, Origin(cause), now_s)

    def _is_known_warm(
        self, upstream: RoutedUpstream, cold_s: float, now_s: float
    ) -> bool:
        if self.whole is None:
            return False
        revision = self.state.registry.revision
        return self.whole.shows_warm(
            upstream.identifier, cold_s, revision, now_s
        )

    def _service(self, name: str) -> Service | None:
        table = self.state.in_force.table
        return None if table is None else table.services.get(name)

    def _log_cold(
        self,
        upstream: RoutedUpstream,
        time: ColdTime,
        origin: Origin,
        now_s: float,
    ) -> None:
        if time.until_s <= now_s:
            return
        self.log.info(
            "upstream cold",
            upstream=upstream.identifier,
            for_ms=max(0, int((time.until_s - now_s) * MS_PER_S)),
            cause=origin.cause,
            origin=origin.source,
            is_provisional=time.is_provisional,
        )
