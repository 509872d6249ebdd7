"""Decides which upstreams a request may use, by their regions.

A route and an organisation may each name regions.  The region of an
upstream is that of its availability zone, by the settings of this
daemon; an availability zone without one is in no region.
"""

from collections.abc import Iterable, Mapping

from plantainsail.routing.model import RoutedUpstream

# The availability zones that a request may use, or None for all.
Zones = frozenset[str] | None


def allowed_zones(
    route_regions: tuple[str, ...],
    organisation_regions: tuple[str, ...],
    zone_regions: Mapping[str, str],
) -> Zones:
    """Return the availability zones that a request may use.

    Where both name regions, both must allow an availability zone.
    Example: with route regions `west, east`, the organisation's region
    `east` and the zones `w1: west, e1: east`, only `e1` is allowed.
    """
    if not route_regions and not organisation_regions:
        return None
    zones: set[str] = set()
    for zone, region in zone_regions.items():
        if route_regions and region not in route_regions:
            continue
        if organisation_regions and region not in organisation_regions:
            continue
        zones.add(zone)
    return frozenset(zones)


def is_allowed(upstream: RoutedUpstream, zones: Zones) -> bool:
    """Return whether a request may use an upstream."""
    return zones is None or upstream.availability_zone in zones


def allowed_upstreams(
    upstreams: Iterable[RoutedUpstream], zones: Zones
) -> list[RoutedUpstream]:
    """Return the upstreams that a request may use."""
    allowed: list[RoutedUpstream] = []
    for upstream in upstreams:
        if is_allowed(upstream, zones):
            allowed.append(upstream)
    return allowed
