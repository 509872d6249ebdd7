"""Combines registry, loads and paces into placement's engine views."""

from typing import NamedTuple

from plantainsail.entry import ramping
from plantainsail.entry.node import EntryNode
from plantainsail.routing.fleet_loads import NO_LOAD, UpstreamLoad
from plantainsail.routing.homes import Zones, is_allowed
from plantainsail.routing.model import RoutedUpstream, Service
from plantainsail.routing.placement import (
    DEFAULT_SLOWNESS,
    Departing,
    EngineView,
)

# Departures within this time count as frequent.
RECENT_DEPARTURE_S = 30.0


class ServiceView(NamedTuple):
    """A service's engines, and what its departures mean."""

    engines: list[EngineView]
    departing: Departing


def view_service(
    node: EntryNode, service: Service, zones: Zones = None
) -> ServiceView:
    """Return the current view of a service in some zones."""
    view = read_service(node, service, zones)
    node.random.shuffle(view.engines)
    return view


def read_service(
    node: EntryNode, service: Service, zones: Zones = None
) -> ServiceView:
    """Return the current view, with the engines in the list's order."""
    now_s = node.now_s()
    loads = node.fleet_loads.totals(now_s)
    upstreams = node.upstreams_in(service.name, zones)
    return ServiceView(
        _engine_views(node, service, upstreams, loads, now_s),
        _departing(node, service, zones, loads, now_s),
    )


def _engine_views(
    node: EntryNode,
    service: Service,
    upstreams: list[RoutedUpstream],
    loads: dict[str, UpstreamLoad],
    now_s: float,
) -> list[EngineView]:
    """Join what this daemon knows of each engine."""
    usual_s = {
        upstream.identifier: node.paces.usual_s(upstream.identifier, now_s)
        for upstream in upstreams
    }
    known_s = [pause_s for pause_s in usual_s.values() if pause_s]
    fastest_s = min(known_s) if known_s else 0.0
    avoided = _avoided_engines(node, upstreams, now_s)
    ramps = ramping.engine_limits(node, service, upstreams, loads, now_s)
    views: list[EngineView] = []
    for upstream in upstreams:
        identifier = upstream.identifier
        own_usual_s = usual_s[identifier]
        views.append(
            EngineView(
                upstream,
                service.traits,
                loads.get(identifier, NO_LOAD),
                _slowness(own_usual_s, fastest_s),
                _recent_slowness(
                    node.paces.recent_s(identifier, now_s), own_usual_s
                ),
                node.read_rates.rate(identifier),
                identifier in avoided
                or node.registry.is_suspect(identifier, now_s)
                or node.send_wait_s(upstream) > 0,
                _is_same_zone(node, upstream),
                own_usual_s or 0.0,
                ramps.get(identifier),
            )
        )
    return views


def _departing(
    node: EntryNode,
    service: Service,
    zones: Zones,
    loads: dict[str, UpstreamLoad],
    now_s: float,
) -> Departing:
    tokens = 0
    is_frequent = False
    for identifier, departure in node.registry.departures.items():
        if departure.upstream.service != service.name:
            continue
        if not is_allowed(departure.upstream, zones):
            continue
        tokens += loads.get(identifier, NO_LOAD).memory_tokens
        if now_s - departure.at_s <= RECENT_DEPARTURE_S:
            is_frequent = True
    return Departing(tokens, is_frequent)


def _avoided_engines(
    node: EntryNode, upstreams: list[RoutedUpstream], now_s: float
) -> set[str]:
    """Return the engines to avoid, or none if all would be avoided."""
    avoided: set[str] = set()
    for upstream in upstreams:
        if node.avoidance.is_avoided(upstream.identifier, now_s):
            avoided.add(upstream.identifier)
    return avoided if len(avoided) < len(upstreams) else set()


def _slowness(pause_s: float | None, fastest_s: float) -> float:
    if not pause_s or not fastest_s:
        return DEFAULT_SLOWNESS
    return pause_s / fastest_s


def _recent_slowness(recent_s: float, usual_s: float | None) -> float:
    if not recent_s or not usual_s:
        return 1.0
    return recent_s / usual_s


def _is_same_zone(node: EntryNode, upstream: RoutedUpstream) -> bool:
    return upstream.availability_zone == node.settings.availability_zone
