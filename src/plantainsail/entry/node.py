"""State that the components of one entry daemon share."""

import asyncio
import random

from plantainsail.buffers import BufferQuota
from plantainsail.clock import Clock
from plantainsail.entry.cold_upstreams import ColdUpstreams, FleetState
from plantainsail.entry.dialect import Dialect
from plantainsail.entry.metrics import EntryMetrics
from plantainsail.entry.settings import EntrySettings
from plantainsail.identity import NONCE_BITS
from plantainsail.logs import get_logger
from plantainsail.policy.caller_budget import apply_settings, make_budget
from plantainsail.policy.part_quarantine import PartQuarantine
from plantainsail.routing.avoidance import Avoidance
from plantainsail.routing.budget import RepeatBudget
from plantainsail.routing.evacuation import DEFAULT_NOTICE_S
from plantainsail.routing.fleet_loads import FleetLoads
from plantainsail.routing.hold_offs import HoldOffs
from plantainsail.routing.homes import Zones, allowed_upstreams
from plantainsail.routing.in_force import ConfigurationInForce
from plantainsail.routing.members import Members
from plantainsail.routing.model import CallerLimits, RoutedUpstream
from plantainsail.routing.pace import EnginePaces
from plantainsail.routing.ramp import Ramps
from plantainsail.routing.ramp_signs import AnswerTimes
from plantainsail.routing.rate_limits import RateLimits
from plantainsail.routing.reading import ReadRates
from plantainsail.routing.registry import (
    Departure,
    DepartureNotice,
    UpstreamRegistry,
)
from plantainsail.routing.revisions import count_of, epoch_of, is_restored
from plantainsail.routing.zone_drains import ZoneDrains
from plantainsail.runtime.running import RunningWork

NEVER_S = float("inf")


class EntryNode:
    """Holds the state of one entry daemon.

    The decisions that are based on it are made in `routing`.
    """

    def __init__(
        self, settings: EntrySettings, dialect: Dialect, clock: Clock
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.clock = clock
        self.random = random.Random()
        self.nonce = self.random.getrandbits(NONCE_BITS - 1)
        self.in_force = ConfigurationInForce()
        self.registry = UpstreamRegistry()
        self.fleet_loads = FleetLoads()
        self.paces = EnginePaces()
        self.avoidance = Avoidance()
        self.quarantine = PartQuarantine()
        self.read_rates = ReadRates()
        self.rate_limits = RateLimits()
        self.hold_offs = HoldOffs()
        self.zone_drains = ZoneDrains()
        self.ramps = Ramps(self.nonce, is_enabled=settings.finds_pace)
        self.answer_times = AnswerTimes()
        self.members = Members(settings.peer_address, settings.seed_addresses)
        self.log = get_logger("entry")
        self.cold = ColdUpstreams(
            FleetState(self.registry, self.in_force, self.members),
            settings.bounds,
            self.log,
            self.random,
        )
        self.budgets: dict[str, RepeatBudget] = {}
        self.metrics = EntryMetrics()
        self.running = RunningWork()
        self.caller_budget = apply_settings(
            make_budget(settings.memory_bytes, settings.file_descriptors),
            settings.callers,
        )
        self.buffers = BufferQuota(
            self.caller_budget.large_body_bytes,
            self.caller_budget.body_bytes,
        )
        self.is_leaving = False
        # While the daemon leaves: from when on only requests that end
        # in time are taken, and when all others are cut.
        self.last_call_s = NEVER_S
        self.leaves_at_s = NEVER_S
        self.departures_pending = asyncio.Event()
        self.departures: list[Departure] = []
        # Set when peers should receive this daemon's loads at once.
        self.load_changed = asyncio.Event()
        # For each engine that reported when it will end: the seconds
        # from its notice of departure to that end.
        self.notice_periods_s: dict[str, float] = {}
        # Set when peers should at once receive which engines leave or
        # are avoided.
        self.engine_state_changed = asyncio.Event()
        # Set when peers should at once receive which parts of requests
        # are suspects, or the limits of upstreams and the requests sent
        # to these.
        self.announcements_pending = asyncio.Event()
        # Set when peers should at once receive the orders to drain
        # availability zones.
        self.zone_orders_pending = asyncio.Event()

        # Set when an answer or a peer shows that the configuration
        # service was restored, until all lists are read again.
        self.service_restored = asyncio.Event()

    def now_s(self) -> float:
        """Return the time of a clock that also runs during suspend."""
        return self.clock.now_s()

    def is_too_late_for(self, deadline_s: float) -> bool:
        """Return whether a request may be cut as this daemon leaves.

        Early ones are taken anyway, as most end long before their
        deadline, and callers can't know yet that the daemon leaves.
        """
        return self.now_s() >= self.last_call_s and (
            deadline_s > self.leaves_at_s
        )

    def update_settings(self, settings: EntrySettings) -> None:
        """Apply the reloadable fields of reloaded settings.

        Settings that name no region, as a damaged file may, leave the
        regions in force.
        """
        self.settings = self.settings._replace(
            bounds=settings.bounds,
            seed_addresses=settings.seed_addresses,
            zone_regions=settings.zone_regions or self.settings.zone_regions,
        )
        self.cold.bounds = settings.bounds
        self.budgets.clear()
        for seed in settings.seed_addresses:
            self.members.add(seed)

    def repeat_budget(self, service: str) -> RepeatBudget:
        """Return the budget for repeated requests of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = RepeatBudget(
                bounds.budget_ratio,
                bounds.budget_extra,
                bounds.budget_window_s,
            )
            self.budgets[service] = budget
        return budget

    def replace_upstreams(
        self, upstreams: tuple[RoutedUpstream, ...], revision: int, origin: str
    ) -> bool:
        """Apply a list; return whether the service was restored.

        `origin` is `read`, or the address of the peer that sent it.
        """
        before = self.registry.revision
        departures = self.registry.replace(upstreams, revision, self.now_s())
        was_restored = is_restored(before, self.registry.revision)
        if was_restored:
            self._record_restoration(before, origin)
        self.record_departures(departures, origin)
        return was_restored

    def use_renewed_upstreams(self) -> None:
        """Use upstreams that left before a restoration and are back."""
        for upstream in self.registry.use_renewed(self.now_s()):
            self.log.info("upstream back", upstream=upstream.identifier)

    def _record_restoration(self, before: int, origin: str) -> None:
        revision = self.registry.revision
        self.metrics.restorations.inc()
        self.service_restored.set()
        self.log.warning(
            "configuration service restored",
            epoch=epoch_of(revision),
            revision=count_of(revision),
            held=sorted(self.registry.held.entries),
            epoch_before=epoch_of(before),
            revision_before=count_of(before),
            version=self.in_force.version,
            origin=origin,
        )

    def record_departures(
        self, departures: list[Departure], origin: str
    ) -> None:
        """Log leaving upstreams and queue the moves of their streams.

        `origin` names, in the log, the source of the information.
        """
        if not departures:
            return
        for departure in departures:
            self.log.info(
                "upstream leaving",
                upstream=departure.upstream.identifier,
                address=departure.upstream.address,
                service=departure.upstream.service,
                epoch=epoch_of(self.registry.revision),
                revision=count_of(self.registry.revision),
                origin=origin,
            )
        self.departures += departures
        self.departures_pending.set()

    def record_departure_notice(
        self, identifier: str, notice: DepartureNotice, origin: str
    ) -> None:
        """Record that an engine itself reported that it leaves."""
        now_s = self.now_s()
        departures = self.registry.record_departure_notice(
            identifier, notice, now_s
        )
        departure = self.registry.departures.get(identifier)
        if departure is not None:
            self.notice_periods_s[identifier] = notice.gone_s - departure.at_s
        self.record_departures(departures, origin)

    def note_leaving_answer(self, upstream: RoutedUpstream) -> None:
        """Record that an upstream says in an answer that it leaves.

        How long it stays is not known.
        """
        if not self.registry.is_staying(upstream.identifier):
            return
        gone_s = self.now_s() + DEFAULT_NOTICE_S
        notice = DepartureNotice(upstream.born_ms, gone_s)
        self.record_departure_notice(upstream.identifier, notice, "its answer")
        self.engine_state_changed.set()

    def note_cut(self, identifier: str) -> None:
        """Avoid an engine that cut a stream before its first event."""
        now_s = self.now_s()
        self.avoidance.note_cut(identifier, now_s)
        self.engine_state_changed.set()
        self.log.warning(
            "engine avoided",
            upstream=identifier,
            for_ms=int(
                (self.avoidance.avoided_until_s[identifier] - now_s) * 1000
            ),
            cuts=len(self.avoidance.cuts[identifier]),
        )

    def note_ended(self, identifier: str) -> None:
        """Avoid an upstream that has no process but is still listed."""
        self.avoidance.note_ended(identifier, self.now_s())
        self.engine_state_changed.set()

    def send_wait_s(self, upstream: RoutedUpstream) -> float:
        """Return how long to wait before sending to an upstream.

        Its rate limit, its budget while it is cold, or a pause that it
        asked for may demand so.
        """
        now_s = self.now_s()
        return max(
            self.rate_limits.wait_s(upstream.identifier, now_s),
            self.hold_offs.wait_s(upstream, now_s),
            self.cold.wait_s(upstream, now_s),
        )

    def upstreams_in(
        self, service: str, zones: Zones = None
    ) -> list[RoutedUpstream]:
        """Return the usable upstreams of a service in some zones."""
        return allowed_upstreams(
            self.registry.usable_upstreams(service), zones
        )

    def shortest_wait_s(self, service: str, zones: Zones = None) -> float:
        """Return how long to wait before sending to a service.

        It is 0 if the service has no upstream in the given zones.
        """
        shortest_s = 0.0
        for upstream in self.upstreams_in(service, zones):
            wait_s = self.send_wait_s(upstream)
            if not wait_s:
                return 0.0
            shortest_s = min(shortest_s or wait_s, wait_s)
        return shortest_s

    def update_gauges(self) -> None:
        """Show how many parts are refused and upstreams are limited."""
        now_s = self.now_s()
        quarantined = self.quarantine.quarantined(now_s)
        self.metrics.quarantined_parts.set(len(quarantined))
        limited = self.rate_limits.in_force(now_s)
        self.metrics.limited_upstreams.set(len(limited))
        cold = self.cold.limits.cold(now_s)
        self.metrics.cold_upstreams.set(len(cold))
        ramping = self.ramps.ramping()
        self.metrics.ramping_upstreams.set(len(ramping))
        self.answer_times.forget_except(ramping)

    def forget_gone_engines(self) -> None:
        """Drop what was measured about engines that are gone."""
        identifiers = (
            self.registry.entries.keys()
            | self.registry.vanished.keys()
            | self.fleet_loads.own.keys()
        )
        self.registry.forget_departed(self.now_s())
        for identifier in self.notice_periods_s.keys() - identifiers:
            del self.notice_periods_s[identifier]
        self.paces.forget_except(set(identifiers))
        self.read_rates.forget_except(set(identifiers))
        self.avoidance.forget_except(set(identifiers))
        self.rate_limits.forget_except(set(identifiers))
        self.hold_offs.forget_ended(self.now_s())
        self.cold.forget_ended(self.now_s())
        self.ramps.forget_except(set(identifiers))
        if self.ramps.ramping():
            loads = self.fleet_loads.totals(self.now_s())
            self.ramps.end_outdated(loads, self.now_s())
        self.update_gauges()

    def caller_limits(self) -> CallerLimits:
        """Return the limits on callers' requests now in force."""
        table = self.in_force.table
        if table is None:
            return CallerLimits()
        return table.configuration.limits

    def may_use_keys(self) -> bool:
        """Return whether the lists are fresh enough to check keys."""
        return self.in_force.may_use_keys(
            self.now_s(), self.settings.bounds.revocation_s
        )

    def may_lag_configuration(self) -> bool:
        """Return whether a newer configuration may be in force."""
        age_s = self.in_force.age_s(self.now_s())
        return age_s is None or age_s > self.settings.bounds.configuration_s

    def is_ready(self) -> bool:
        """Return whether this daemon can serve callers."""
        table = self.in_force.table
        if self.is_leaving or table is None or self.registry.revision < 0:
            return False
        return not table.needs_keys or self.may_use_keys()
