"""What operators publish about routes, services and upstreams."""

from enum import StrEnum
from typing import NamedTuple


class RequestKind(StrEnum):
    """What may be repeated of a route's requests.

    `STREAMING` requests may run once at most, and are answered by a
    stream of events.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class WeightedService(NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """One entry of the routing table.

    `pause_s` is the longest pause between two events at which a stream
    still is on time, `priority` 0 the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    pause_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    is_anonymous: bool = False


class EngineTraits(NamedTuple):
    """What is published of a service's model engines.

    Memory is copied between engines over links of `link_bytes_s`, and
    each token takes `token_bytes`.
    """

    slots: int
    memory_tokens: int
    token_bytes: int = 0
    link_bytes_s: float = 0.0
    can_move: bool = False
    tokens_per_event: int = 1


UNBOUNDED_ENGINE = EngineTraits(slots=1_000_000, memory_tokens=1_000_000_000)


class Service(NamedTuple):
    """A group of upstreams that answer the same requests."""

    name: str
    max_connections: int = 0
    engine: EngineTraits | None = None

    @property
    def traits(self) -> EngineTraits:
        """Return the engine's traits, unbounded if not published."""
        return self.engine or UNBOUNDED_ENGINE


class Organisation(NamedTuple):
    """A customer, known by its API keys."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


class RoutingConfiguration(NamedTuple):
    """One version of all that operators publish for routing."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...] | None = None
    limits: CallerLimits = CallerLimits()


class RoutedUpstream(NamedTuple):
    """One incarnation of an upstream, as it announced itself."""

    identifier: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_draining: bool = False
    born_ms: int = 0
