"""Explains where a request would go now and why, without sending it.

The choice is made by the functions that real requests use.  Nothing is
changed or counted; only the samples of `routing.pace` that are too old
are dropped, as each heartbeat does.  Where upstreams cost the same, a
real request goes to one of them at random; the explanation names one
and lists the others.
"""

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

from plantainsail.entry.node import EntryNode
from plantainsail.entry.plain import plain_views
from plantainsail.entry.streamed_request import limit_need
from plantainsail.entry.views import read_service
from plantainsail.entry.waiting import (
    POLL_INTERVAL_S,
    WaitingQueue,
    choose,
    idle_read_s,
)
from plantainsail.routing.engine_offers import EngineOffers
from plantainsail.routing.homes import Zones, allowed_zones
from plantainsail.routing.model import (
    Organisation,
    RequestKind,
    Route,
    RoutedUpstream,
    Service,
)
from plantainsail.routing.placement import (
    EngineView,
    GenerationNeed,
    PassedOver,
    PlainView,
    choose_plain,
    cost_s,
    must_leave_room,
    plain_cost,
    read_time_s,
    why_passed_over,
)
from plantainsail.routing.ramp_records import RampLimit
from plantainsail.routing.revisions import count_of, epoch_of
from plantainsail.routing.urgency import (
    Claim,
    engine_requirement,
    gives_up_before_first_event,
    make_claim,
)

# An answer lists at most this many upstreams, those of the lowest cost.
MAX_CANDIDATES = 256
MAX_TOKEN_DIGITS = 9
# Reasons that last for a known time.
SHUNNED = frozenset({PassedOver.SUSPECT, PassedOver.WAITS})

Explanation = dict[str, Any]


class RouteQuery(NamedTuple):
    """A request that is asked about.

    `organisation` is a name, not a key, or empty.
    """

    host: str
    path: str
    organisation: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 1


class Candidate(NamedTuple):
    """An upstream with what is shown of it, for sorting by cost."""

    cost: float
    shown: Explanation


def parse_query(values: Mapping[str, str]) -> RouteQuery | str:
    """Return a query from the parameters of a URL, or what is wrong."""
    host, path = values.get("host", ""), values.get("path", "")
    if not host or not path.startswith("/"):
        return "host and a path that begins with / are needed"
    tokens: list[int] = []
    for name, default in (("prompt_tokens", 0), ("output_tokens", 1)):
        text = values.get(name, str(default))
        is_number = text.isascii() and text.isdigit()
        if not is_number or len(text) > MAX_TOKEN_DIGITS:
            return f"{name} is no whole number of up to 9 digits"
        tokens.append(int(text))
    return RouteQuery(host, path, values.get("organisation", ""), *tokens)


class Explainer:
    """Answers queries of operators from one daemon's state."""

    def __init__(self, node: EntryNode, queue: WaitingQueue) -> None:
        self.node = node
        self.queue = queue

    def explain(self, query: RouteQuery) -> Explanation:
        """Return where a request would go now, for JSON."""
        explanation: Explanation = {
            "daemon": self.node.settings.host,
            "refused": None,
            "route": None,
            "organisation": query.organisation or None,
            "services": [],
            "believed": self._believed(),
        }
        route = self._find_route(query)
        if isinstance(route, str):
            explanation["refused"] = route
            return explanation
        explanation["route"] = _shown_route(route)
        organisation = self._find_organisation(query, route)
        if isinstance(organisation, str):
            explanation["refused"] = organisation
            return explanation
        explanation["services"] = self._services(query, route, organisation)
        return explanation

    def _find_route(self, query: RouteQuery) -> Route | str:
        """Return the route, or why a request gets none."""
        table = self.node.in_force.table
        if table is None or self.node.registry.revision < 0:
            return "no configuration yet"
        route = table.find_route(query.host, query.path)
        if route is None:
            return "no route fits"
        if self.node.is_leaving and route.kind is RequestKind.STREAMING:
            return "leaving"
        return route

    def _find_organisation(
        self, query: RouteQuery, route: Route
    ) -> Organisation | None | str:
        """Return the organisation, or why a request is refused."""
        table = self.node.in_force.table
        assert table is not None
        if route.is_anonymous or not table.needs_keys:
            return None
        if not self.node.may_use_keys():
            return "keys can't be checked against fresh lists"
        for organisation in table.configuration.organisations or ():
            if organisation.name == query.organisation:
                return organisation
        return "the route needs a key, and no such organisation is listed"

    def _services(
        self,
        query: RouteQuery,
        route: Route,
        organisation: Organisation | None,
    ) -> list[Explanation]:
        """Explain each service of the route, as one is drawn."""
        table = self.node.in_force.table
        assert table is not None
        zones = allowed_zones(
            route.regions,
            () if organisation is None else organisation.regions,
            self.node.settings.zone_regions,
        )
        explained: list[Explanation] = []
        for target in route.services:
            service = table.services.get(target.service)
            shown: Explanation = {
                "service": target.service,
                "weight": target.weight,
            }
            explained.append(shown)
            if service is None:
                shown["refused"] = "the service is not listed"
                continue
            if route.kind is not RequestKind.STREAMING:
                shown.update(self._plain(service, zones))
                continue
            need = limit_need(
                service,
                query.prompt_tokens,
                query.output_tokens,
                route.pause_s,
            )
            claim = self._claim(route, organisation)
            shown.update(self._streaming(service, zones, need, claim))
        return explained

    def _claim(self, route: Route, organisation: Organisation | None) -> Claim:
        now_s = self.node.now_s()
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        deadline_s = now_s + route.timeout_s
        return make_claim(priority, now_s, route.objective_s, 0.0, deadline_s)

    def _plain(self, service: Service, zones: Zones) -> Explanation:
        node = self.node
        now_s = node.now_s()
        views = plain_views(node, service, now_s, zones)
        chosen = choose_plain(views, frozenset())
        least = min((plain_cost(view) for view in views), default=math.inf)
        candidates: list[Candidate] = []
        for view in views:
            cost = plain_cost(view)
            passed_over = _passed_by_cost(view.upstream, chosen, cost, least)
            shown = self._shown_upstream(view.upstream, view.ramp, now_s)
            shown.update(_shown_plain(view, cost, passed_over))
            candidates.append(Candidate(cost, shown))
        for upstream in node.upstreams_in(service.name, zones):
            if node.send_wait_s(upstream):
                candidates.append(self._waiting(upstream, now_s))
        wait_s = 0.0
        if chosen is None:
            wait_s = node.shortest_wait_s(service.name, zones)
        return {
            "refused": None if chosen else "no upstream takes the request",
            "chosen": None if chosen is None else chosen.identifier,
            "position": 0,
            "expected_wait_ms": _ms(wait_s),
            **_listed(candidates),
        }

    def _streaming(
        self,
        service: Service,
        zones: Zones,
        need: GenerationNeed,
        claim: Claim,
    ) -> Explanation:
        node = self.node
        now_s = node.now_s()
        view = read_service(node, service, zones)
        offers = EngineOffers(view.engines, view.departing)
        choice = choose(claim, need, offers, now_s)
        chosen = None if choice is None else choice.upstream
        read_limit_s = engine_requirement(
            claim, idle_read_s(need), now_s
        ).read_limit_s
        candidates: list[Candidate] = []
        waits_s: list[float] = []
        for engine in view.engines:
            cost = cost_s(engine, need)
            least = math.inf if choice is None else choice.cost_s
            read_s = read_time_s(engine, need)
            passed_over = why_passed_over(engine, need, read_s, read_limit_s)
            if node.send_wait_s(engine.upstream):
                passed_over = PassedOver.WAITS
            if passed_over is None and choice is None:
                passed_over = PassedOver.ROOM_FOR_MOVES
            if passed_over is None:
                passed_over = _passed_by_cost(
                    engine.upstream, chosen, cost, least
                )
            if passed_over is PassedOver.TOO_LONG_TO_READ:
                waits_s.append(read_s - read_limit_s)
            elif passed_over in SHUNNED:
                waits_s.append(self._shunned_s(engine.upstream, now_s))
            shown = self._shown_upstream(engine.upstream, engine.ramp, now_s)
            shown.update(_shown_engine(engine, need, cost, passed_over))
            candidates.append(Candidate(cost, shown))
        before = self.queue.count_before(claim, need)
        wait_s = 0.0 if chosen else min(waits_s, default=math.inf)
        return {
            "refused": self._streaming_refusal(
                service.name, zones, need, claim
            ),
            "chosen": None if chosen is None else chosen.identifier,
            "position": before,
            "expected_wait_ms": _ms(wait_s + before * POLL_INTERVAL_S),
            "gives_up_in_ms": _ms(claim.gives_up_s - now_s),
            "read_limit_ms": _ms(read_limit_s),
            "need": need._asdict(),
            "keeps_room_for_moves": must_leave_room(
                view.engines, need, view.departing
            ),
            **_listed(candidates),
        }

    def _streaming_refusal(
        self, service: str, zones: Zones, need: GenerationNeed, claim: Claim
    ) -> str | None:
        """Return why a request is refused without waiting."""
        if self.node.registry.is_service_drained(service):
            return "all upstreams are in drained availability zones"
        if not self.node.upstreams_in(service, zones):
            return "no engine is there"
        wait_s = self.node.shortest_wait_s(service, zones)
        start_s = self.node.now_s() + wait_s
        if gives_up_before_first_event(claim, idle_read_s(need), start_s):
            return "no engine has room in time"
        return None

    def _shunned_s(self, upstream: RoutedUpstream, now_s: float) -> float:
        """Return for how long an upstream gets no request."""
        node = self.node
        identifier = upstream.identifier
        until_s = max(
            node.registry.suspect_until_s.get(identifier, now_s),
            node.avoidance.avoided_until_s.get(identifier, now_s),
        )
        return max(node.send_wait_s(upstream), until_s - now_s)

    def _waiting(self, upstream: RoutedUpstream, now_s: float) -> Candidate:
        """Return a plain upstream that wants no request yet."""
        shown = self._shown_upstream(upstream, None, now_s)
        shown["passed_over"] = PassedOver.WAITS
        return Candidate(math.inf, shown)

    def _shown_upstream(
        self, upstream: RoutedUpstream, ramp: RampLimit | None, now_s: float
    ) -> Explanation:
        """Return what is shown of an upstream of any kind."""
        node = self.node
        identifier = upstream.identifier
        zone = upstream.availability_zone
        return {
            "upstream": identifier,
            "availability_zone": zone,
            "is_same_zone": zone == node.settings.availability_zone,
            "slots": upstream.slots,
            "is_suspect": node.registry.is_suspect(identifier, now_s),
            "is_avoided": node.avoidance.is_avoided(identifier, now_s),
            "is_limited": node.rate_limits.is_limited(identifier, now_s),
            "send_wait_ms": _ms(node.send_wait_s(upstream)),
            "cold_wait_ms": _ms(node.cold.wait_s(upstream, now_s)),
            "ramp_limit": None if ramp is None else round(ramp.limit, 2),
            "is_over_ramp": ramp is not None and ramp.is_over,
        }

    def _believed(self) -> Explanation:
        """Return how old the daemon's knowledge is."""
        node = self.node
        now_s = node.now_s()
        ages_ms: list[int] = []
        for peer in node.fleet_loads.peers.values():
            ages_ms.append(int((now_s - peer.received_s) * 1000))
        return {
            "configuration_version": node.in_force.version,
            "configuration_age_ms": node.in_force.age_ms(now_s),
            "registry_epoch": epoch_of(node.registry.revision),
            "registry_revision": count_of(node.registry.revision),
            "is_service_lost": node.registry.is_service_lost,
            "live_peers": len(node.members.live(now_s)),
            "peer_loads": len(ages_ms),
            "newest_load_age_ms": min(ages_ms, default=None),
            "oldest_load_age_ms": max(ages_ms, default=None),
        }


def _shown_route(route: Route) -> Explanation:
    return {
        "name": route.name,
        "host": route.host,
        "path_prefix": route.path_prefix,
        "kind": route.kind.value,
        "priority": route.priority,
        "objective_ms": _ms(route.objective_s),
        "timeout_ms": _ms(route.timeout_s),
    }


def _shown_plain(
    view: PlainView, cost: float, passed_over: PassedOver | None
) -> Explanation:
    return {
        "running": view.running,
        "cost": round(cost, 4),
        "passed_over": passed_over,
    }


def _shown_engine(
    view: EngineView,
    need: GenerationNeed,
    cost: float,
    passed_over: PassedOver | None,
) -> Explanation:
    return {
        **view.load._asdict(),
        "memory_limit_tokens": view.traits.memory_tokens,
        "slowness": round(view.slowness, 3),
        "recent_slowness": round(view.recent_slowness, 3),
        "read_tokens_s": round(view.read_tokens_s),
        "read_ms": _ms(read_time_s(view, need)),
        "cost": round(cost, 4),
        "passed_over": passed_over,
    }


def _passed_by_cost(
    upstream: RoutedUpstream,
    chosen: RoutedUpstream | None,
    cost: float,
    least: float,
) -> PassedOver | None:
    """Return why an upstream that could be chosen is not."""
    if upstream == chosen:
        return None
    is_equal = cost <= least
    return PassedOver.COSTS_AS_MUCH if is_equal else PassedOver.COSTS_MORE


def _listed(candidates: list[Candidate]) -> Explanation:
    """Return the candidates of the lowest cost, and how many others."""
    ordered = sorted(candidates, key=lambda candidate: candidate.cost)
    listed = [candidate.shown for candidate in ordered[:MAX_CANDIDATES]]
    return {
        "candidates": listed,
        "candidates_left_out": len(candidates) - len(listed),
    }


def _ms(seconds: float) -> int | None:
    """Return whole milliseconds, or None if the time is not known."""
    return None if math.isinf(seconds) else math.ceil(seconds * 1000)
