"""Tests route lookups, also against a naive implementation."""

from hypothesis import given
from hypothesis import strategies as st

from plantainsail.routing.model import (
    Organisation,
    RequestKind,
    Route,
    RoutingConfiguration,
    WeightedService,
)
from plantainsail.routing.table import RoutingTable, draw_service

PARTS = st.sampled_from(["a", "b", "ab", "abc"])
PREFIXES = st.lists(PARTS, max_size=3).map(
    lambda parts: "/" + "".join(part + "/" for part in parts)
)
HOSTS = st.sampled_from(["one.example", "two.example"])
PATHS = st.tuples(PREFIXES, st.sampled_from(["", "a", "x", "ab"])).map(
    lambda pair: pair[0] + pair[1]
)


def make_route(host: str, prefix: str, **weights: float) -> Route:
    services = tuple(
        WeightedService(name, weight) for name, weight in weights.items()
    )
    return Route(
        f"{host}{prefix}",
        host,
        prefix,
        RequestKind.IDEMPOTENT,
        services or (WeightedService("s", 1.0),),
        1.0,
        0.1,
    )


def make_table(routes: list[Route]) -> RoutingTable:
    return RoutingTable(RoutingConfiguration(1, tuple(routes), ()))


def naive_route(routes: list[Route], host: str, path: str) -> Route | None:
    matching = [
        route
        for route in routes
        if route.host == host and path.startswith(route.path_prefix)
    ]
    return max(matching, key=lambda one: len(one.path_prefix), default=None)


@given(
    st.dictionaries(st.tuples(HOSTS, PREFIXES), st.just(None), max_size=8),
    HOSTS,
    PATHS,
)
def test_the_route_with_the_longest_prefix_is_found(
    hosts_and_prefixes: dict[tuple[str, str], None], host: str, path: str
) -> None:
    routes = [
        make_route(*host_and_prefix) for host_and_prefix in hosts_and_prefixes
    ]
    found = make_table(routes).find_route(host, path)
    assert found == naive_route(routes, host, path)


def test_a_host_matches_without_its_port_and_in_any_case() -> None:
    table = make_table([make_route("one.example", "/a/")])
    assert table.find_route("ONE.example:8080", "/a/b") is not None
    assert table.find_route("one.example", "/a") is None
    assert table.find_route("other.example", "/a/b") is None


def test_a_lookup_takes_one_dictionary_access_for_each_slash() -> None:
    routes = [make_route("one.example", f"/r{n}/") for n in range(1_000)]
    table = make_table(routes)
    lookups: list[str] = []

    class RecordingDict(dict[str, Route]):
        def get(self, key: str, default: object = None) -> Route | None:  # type: ignore[override]
            lookups.append(key)
            return super().get(key)

    table.routes_by_host["one.example"] = RecordingDict(
        table.routes_by_host["one.example"]
    )
    assert table.find_route("one.example", "/x/y/z") is None
    assert lookups == ["/x/y/", "/x/", "/"]


@given(st.floats(0, 1, exclude_max=True))
def test_services_are_chosen_by_weight(draw: float) -> None:
    route = make_route("one.example", "/", x=90.0, y=10.0)
    assert draw_service(route, draw) == ("x" if draw < 0.9 else "y")


def test_a_key_is_mapped_to_its_organisation() -> None:
    organisations = (
        Organisation("desk", ("k1", "k2")),
        Organisation("mine", ("k3",)),
    )
    configuration = RoutingConfiguration(1, (), (), organisations)
    table = RoutingTable(configuration)
    found = table.find_organisation("k2")
    assert found is not None and found.name == "desk"
    assert table.find_organisation("k4") is None
    assert table.needs_keys
    assert not make_table([]).needs_keys
