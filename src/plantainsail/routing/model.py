"""The published data that routing uses.

Operators publish routes, services and organisations; upstreams
announce themselves.
"""

from enum import StrEnum
from typing import NamedTuple


class RequestKind(StrEnum):
    """Whether a route's requests may be sent again after a failure.

    A `STREAMING` request runs at most once and is answered by a stream
    of events.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class WeightedService(NamedTuple):
    """A service and its relative share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Maps requests by host and path prefix to services.

    `host` is the host name in a request.  A request ends at most
    `timeout_s` after its arrival.  The first event of a stream is late
    `objective_s` after the request's arrival, and a later event if the
    pause before it exceeds `pause_s`.  A `priority` of 0 is the most
    urgent.  An idempotent request to a plain service is sent at most
    `max_attempts` times.  If `is_anonymous` is set, callers need no API
    key.  Only upstreams in `regions` may get its requests; if it is
    empty, all may.  A stream with `is_resumable` set may continue on
    another upstream after its last whole event.
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
    regions: tuple[str, ...] = ()
    is_resumable: bool = False


class EngineTraits(NamedTuple):
    """The published properties of a service's model engines.

    An engine runs at most `slots` generations at once, and has memory
    for `memory_tokens` tokens.  The memory of a running generation
    takes `token_bytes` for each token and is copied between engines at
    `link_bytes_s`, in bytes a second.
    """

    slots: int
    memory_tokens: int
    token_bytes: int = 0
    link_bytes_s: float = 0.0
    can_move: bool = False
    tokens_per_event: int = 1


# Used for services whose engine traits are not published.
UNBOUNDED_ENGINE = EngineTraits(slots=1_000_000, memory_tokens=1_000_000_000)


class Service(NamedTuple):
    """A group of upstreams that answer the same requests.

    `max_connections` is the published connection limit, or 0.
    `engine` is None for a service without published engine traits.
    An upstream is cold for `cold_s` after its start, and then bears
    `cold_per_s` requests a second, or any number if that is 0.
    """

    name: str
    max_connections: int = 0
    engine: EngineTraits | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0

    @property
    def traits(self) -> EngineTraits:
        """Return the traits of the service's engines.

        They are unbounded if none are published.
        """
        return self.engine or UNBOUNDED_ENGINE


class Organisation(NamedTuple):
    """A customer, identified by its API keys.

    A `priority` of None means that the route's priority applies.
    Only upstreams in `regions` may get its requests; if it is empty,
    all may.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    regions: tuple[str, ...] = ()


class CallerLimits(NamedTuple):
    """Limits on the size and duration of a caller's requests.

    `header_bytes` and `body_bytes` bound the size of a request's
    headers and body.  `header_s` bounds the time to send the headers,
    and `idle_s` the time for which a connection may stay idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


class RoutingConfiguration(NamedTuple):
    """One version of everything that operators publish for routing.

    If `organisations` is None, callers need no API keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...] | None = None
    limits: CallerLimits = CallerLimits()


class RoutedUpstream(NamedTuple):
    """One incarnation of an upstream, as it announced itself.

    `slots` is how many requests the upstream runs at once.  `born_ms`
    is the upstream's start time in milliseconds; two incarnations of an
    upstream differ in it.  It stays cold for `cold_ms` after the entry
    was written.
    """

    identifier: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_draining: bool = False
    born_ms: int = 0
    cold_ms: int = 0
