"""Checks what was published, or passed on by a peer, before its use.

A value of the right type may still be one that can't be used or passed
on: a port out of range, a name that no header can carry, or a number
that no message between daemons can hold.  It would fail much later, and
again each time.
"""

import math

from plantainsail.routing.model import (
    CallerLimits,
    EngineTraits,
    Organisation,
    Route,
    RoutedUpstream,
    RoutingConfiguration,
    Service,
)
from plantainsail.settings import is_address

MAX_NAME_CHARACTERS = 256
MAX_COUNT = 2**31
MAX_INTEGER = 2**53
MAX_SECONDS = 1e6
MAX_BYTES_PER_S = 1e15


def is_name(value: object) -> bool:
    """Return whether a value is a text that a header can carry."""
    if not isinstance(value, str) or not value.isprintable():
        return False
    if not 0 < len(value) <= MAX_NAME_CHARACTERS:
        return False
    return value == value.strip()


def is_usable_address(value: object) -> bool:
    """Return whether a value is an IP number and a port above 0."""
    if not isinstance(value, str) or not is_address(value):
        return False
    return int(value.rpartition(":")[2]) > 0


def upstream_problem(upstream: RoutedUpstream) -> str | None:
    """Return why an upstream's entry can't be used, if so."""
    names = (
        upstream.identifier,
        upstream.service,
        upstream.availability_zone,
    )
    if not all(is_name(name) for name in names):
        return "a name is missing or malformed"
    if not is_usable_address(upstream.address):
        return "the address is no IP number and port"
    if not _is_integer(upstream.slots, 1, MAX_COUNT):
        return "the number of slots is out of range"
    if not _is_integer(upstream.born_ms, -MAX_INTEGER, MAX_INTEGER):
        return "the start time is out of range"
    if not _is_integer(upstream.cold_ms, 0, MAX_INTEGER):
        return "the time for which it is cold is out of range"
    return None


def configuration_problem(configuration: RoutingConfiguration) -> str | None:
    """Return why a configuration can't be used, if so."""
    if not _is_integer(configuration.version, 0, MAX_INTEGER):
        return "the version is out of range"
    for route in configuration.routes:
        if not _is_valid_route(route):
            return f"route {str(route.name)[:MAX_NAME_CHARACTERS]!r}"
    for service in configuration.services:
        if not _is_valid_service(service):
            return f"service {str(service.name)[:MAX_NAME_CHARACTERS]!r}"
    for organisation in configuration.organisations or ():
        if not _is_valid_organisation(organisation):
            return "an organisation"
    if not _are_valid_limits(configuration.limits):
        return "the limits on callers' requests"
    return None


def _is_valid_route(route: Route) -> bool:
    texts = (route.name, route.host, route.path_prefix)
    if not all(_is_text(text) for text in texts) or not route.services:
        return False
    for weighted in route.services:
        if not is_name(weighted.service):
            return False
        if not _is_number(weighted.weight, 0.0, MAX_SECONDS):
            return False
    if not _is_number(route.timeout_s, 0.0, MAX_SECONDS):
        return False
    for seconds in (route.objective_s, route.pause_s):
        if not _is_number(seconds, 0.0, MAX_SECONDS):
            return False
    if not _is_integer(route.max_attempts, 1, MAX_COUNT):
        return False
    if not all(is_name(region) for region in route.regions):
        return False
    return _is_integer(route.priority, -MAX_COUNT, MAX_COUNT)


def _is_valid_service(service: Service) -> bool:
    if not is_name(service.name):
        return False
    if not _is_integer(service.max_connections, 0, MAX_COUNT):
        return False
    for number in (service.cold_s, service.cold_per_s):
        if not _is_number(number, 0.0, MAX_SECONDS):
            return False
    return service.engine is None or _are_valid_traits(service.engine)


def _are_valid_traits(traits: EngineTraits) -> bool:
    for positive in (
        traits.slots,
        traits.memory_tokens,
        traits.tokens_per_event,
    ):
        if not _is_integer(positive, 1, MAX_COUNT):
            return False
    if not _is_integer(traits.token_bytes, 0, MAX_COUNT):
        return False
    return _is_number(traits.link_bytes_s, 0.0, MAX_BYTES_PER_S)


def _is_valid_organisation(organisation: Organisation) -> bool:
    if not is_name(organisation.name):
        return False
    if not all(_is_text(key) for key in organisation.keys):
        return False
    if not all(is_name(region) for region in organisation.regions):
        return False
    priority = organisation.priority
    return priority is None or _is_integer(priority, -MAX_COUNT, MAX_COUNT)


def _are_valid_limits(limits: CallerLimits) -> bool:
    for size in (limits.header_bytes, limits.body_bytes):
        if not _is_integer(size, 1, MAX_INTEGER):
            return False
    for seconds in (limits.header_s, limits.idle_s):
        if not _is_number(seconds, 0.0, MAX_SECONDS):
            return False
    return True


def _is_text(value: object) -> bool:
    """Return whether a value is a text that a message can hold."""
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _is_integer(value: object, least: int, most: int) -> bool:
    return type(value) is int and least <= value <= most


def _is_number(value: object, least: float, most: float) -> bool:
    if not isinstance(value, int | float):
        return False
    return math.isfinite(value) and least <= value <= most
