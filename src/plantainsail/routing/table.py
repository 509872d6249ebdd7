"""Finds the route of a request and the organisation of a key."""

from plantainsail.routing.model import (
    Organisation,
    Route,
    RoutingConfiguration,
    Service,
)


class RoutingTable:
    """An index of one configuration.

    A lookup costs one probe for each slash of the path, however many
    routes there are.
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
        """Return whether callers must show a key."""
        return self.configuration.organisations is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        `host` may carry a port.  Prefixes end with a slash.
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
        """Return who holds a key."""
        return self.organisations_by_key.get(key)


def draw_service(route: Route, draw: float) -> str:
    """Return a service by weight; `draw` is from 0 up to 1."""
    total = sum(target.weight for target in route.services)
    rest = draw * total
    for target in route.services:
        rest -= target.weight
        if rest < 0:
            return target.service
    return route.services[-1].service
