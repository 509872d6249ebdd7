"""Looks up the route of a request and the organisation of a key."""

from plantainsail.routing.model import (
    Organisation,
    Route,
    RoutingConfiguration,
    Service,
)


class RoutingTable:
    """An index of one routing configuration.

    A route lookup makes at most one dictionary access for each slash in
    the path, regardless of the number of routes.  `routes_by_host` maps
    each host name to its routes by path prefix.
    """

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self.services: dict[str, Service] = {
            service.name: service for service in configuration.services
        }
        self.routes_by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            prefixes = self.routes_by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route
        self.organisations_by_key: dict[str, Organisation] = {}
        for organisation in configuration.organisations or ():
            for key in organisation.keys:
                self.organisations_by_key[key] = organisation

    @property
    def needs_keys(self) -> bool:
        """Return whether callers must send an API key."""
        return self.configuration.organisations is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix.

        `host` may include a port.  Path prefixes end with a slash.
        """
        prefixes = self.routes_by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation that an API key belongs to."""
        return self.organisations_by_key.get(key)


def draw_service(route: Route, draw: float) -> str:
    """Choose a service of a route by weight.

    `draw` is a random number from 0 up to, but excluding, 1.
    """
    total = sum(target.weight for target in route.services)
    remaining = draw * total
    for target in route.services:
        remaining -= target.weight
        if remaining < 0:
            return target.service
    return route.services[-1].service
