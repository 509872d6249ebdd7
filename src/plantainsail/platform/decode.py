"""Decodes entries that operators and upstreams write to the store.

Field names are checked only here.  An upstream's entry is rejected if
a field is missing or has a wrong type.
"""

from collections.abc import Mapping
from typing import Any

from plantainsail.decoding import UndecodableError, decode_json
from plantainsail.routing.model import (
    CallerLimits,
    EngineTraits,
    Organisation,
    RequestKind,
    Route,
    RoutedUpstream,
    RoutingConfiguration,
    Service,
    WeightedService,
)
from plantainsail.routing.validity import (
    configuration_problem,
    upstream_problem,
)

MS_PER_S = 1000.0
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
MAX_REASON_CHARACTERS = 200
# An upstream that names a longer time is not believed.
MAX_COLD_MS = 3_600_000
# What Python raises for values of a wrong type or out of its range.
CONVERSION_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)
READY = "ready"
DRAINING = "draining"

JsonObject = Mapping[str, Any]


class UnreadableError(ValueError):
    """A value in the store does not have the expected form."""


def decode_configuration(value: bytes) -> RoutingConfiguration:
    """Decode the configuration that operators write."""
    raw = _decode(value)
    try:
        configuration = RoutingConfiguration(
            version=int(raw["Version"]),
            routes=tuple(_route(route) for route in raw["Routes"]),
            services=tuple(_service(service) for service in raw["Services"]),
            organisations=_organisations(raw.get("Tenants")),
            limits=_limits(raw.get("Limits") or {}),
        )
    except CONVERSION_ERRORS as error:
        reason = repr(error)[:MAX_REASON_CHARACTERS]
        raise UnreadableError(f"configuration: {reason}") from error
    problem = configuration_problem(configuration)
    if problem is not None:
        raise UnreadableError(f"configuration: {problem}")
    return configuration


def decode_upstream(identifier: str, value: bytes) -> RoutedUpstream:
    """Decode the entry that an upstream writes."""
    raw = _decode(value)
    state = raw.get("State")
    address = raw.get("Address")
    if state not in (READY, DRAINING):
        raise UnreadableError("the state is unknown")
    if not isinstance(address, str) or address.count(":") != 1:
        # The platform uses only IPv4.
        raise UnreadableError("the address is no IPv4 address and port")
    upstream = RoutedUpstream(
        identifier,
        raw.get("Service"),  # type: ignore[arg-type]
        address,
        raw.get("Zone"),  # type: ignore[arg-type]
        raw.get("Slots"),  # type: ignore[arg-type]
        state == DRAINING,
        raw.get("born", 0),
        _cold_ms(raw.get("ColdRemainingMs")),
    )
    problem = upstream_problem(upstream)
    if problem is not None:
        raise UnreadableError(problem)
    return upstream


def _decode(value: bytes) -> JsonObject:
    try:
        raw = decode_json(value)
    except UndecodableError as error:
        raise UnreadableError(str(error)) from error
    if not isinstance(raw, dict):
        raise UnreadableError("not an object")
    return raw


def _route(raw: JsonObject) -> Route:
    split = raw.get("TrafficSplit")
    if split:
        services = tuple(
            WeightedService(weighted["Service"], float(weighted["Weight"]))
            for weighted in split
        )
    else:
        services = (WeightedService(raw["Service"], 1.0),)
    return Route(
        name=raw["Name"],
        host=raw["Host"],
        path_prefix=raw["PathPrefix"],
        kind=RequestKind(raw["Kind"]),
        services=services,
        timeout_s=float(raw["TimeoutMs"]) / MS_PER_S,
        objective_s=float(raw["TargetLatencyMs"]) / MS_PER_S,
        pause_s=float(raw.get("TargetGapMs") or 0.0) / MS_PER_S,
        priority=int(raw.get("Priority") or 0),
        max_attempts=max(1, int(raw.get("MaxAttempts") or 1)),
        is_anonymous=bool(raw.get("AnonymousAccess")),
        regions=_names(raw.get("AllowedRegions")),
        is_resumable=raw.get("StreamResumption") is True,
    )


def _names(raw: Any) -> tuple[str, ...]:
    """Return a list of names; a missing one is empty."""
    if raw is None:
        return ()
    if not isinstance(raw, list):
        raise TypeError("the names are no list")
    return tuple(raw)


def _cold_ms(raw: object) -> int:
    """Return for how long an upstream stays cold, 0 if unreadable.

    An entry is used without this field, too.
    """
    if not isinstance(raw, int | float) or not 0 <= raw <= MAX_COLD_MS:
        return 0
    return int(raw)


def _service(raw: JsonObject) -> Service:
    engine = raw.get("InferenceEngine")
    return Service(
        raw["Name"],
        int(raw.get("ConnectionLimit") or 0),
        _engine(engine) if engine else None,
        float(raw.get("ColdStartS") or 0.0),
        float(raw.get("ColdPerS") or 0.0),
    )


def _engine(raw: JsonObject) -> EngineTraits:
    megabits = float(raw.get("LinkSpeedMbps") or 0.0)
    return EngineTraits(
        slots=int(raw["Slots"]),
        memory_tokens=int(raw["KvCapacityTokens"]),
        token_bytes=int(raw.get("KvTokenBytes") or 0),
        link_bytes_s=megabits * BITS_PER_MEGABIT / BITS_PER_BYTE,
        can_move=bool(raw.get("Moves")),
        # The platform calls the number of tokens per event a stride.
        tokens_per_event=max(1, int(raw.get("Stride") or 1)),
    )


def _organisations(raw: Any) -> tuple[Organisation, ...] | None:
    if raw is None:
        return None
    organisations: list[Organisation] = []
    for organisation in raw:
        priority = organisation.get("Priority")
        organisations.append(
            Organisation(
                organisation["Name"],
                _keys(organisation.get("ApiKeys") or []),
                None if priority is None else int(priority),
                _names(organisation.get("AllowedRegions")),
            )
        )
    return tuple(organisations)


def _keys(raw: Any) -> tuple[str, ...]:
    if not isinstance(raw, list):
        raise TypeError("the keys are no list")
    return tuple(raw)


def _limits(raw: JsonObject) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=int(raw.get("MaxHeaderBytes") or defaults.header_bytes),
        body_bytes=int(raw.get("MaxBodyBytes") or defaults.body_bytes),
        header_s=float(
            raw.get("HeaderTimeoutMs") or defaults.header_s * MS_PER_S
        )
        / MS_PER_S,
        idle_s=float(raw.get("IdleTimeoutMs") or defaults.idle_s * MS_PER_S)
        / MS_PER_S,
    )
