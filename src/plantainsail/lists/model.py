"""Immutable values that hold the contents of the published lists.

Operators publish two lists: the plan of each organisation, and the
grants of each plan.  The platform publishes a third, the list of hosts,
which names the daemons and upstreams that are live or leaving.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class Organisation(NamedTuple):
    """An organisation, the plan that it holds and its API keys.

    `key_hashes` are SHA-256 hashes of the keys in hexadecimal.
    """

    organisation: str
    plan: str
    key_hashes: tuple[str, ...]


class Grant(NamedTuple):
    """The models, operations and capacity that a plan grants.

    `weight` sets the plan's share when plans contend for capacity.
    `operations` holds names such as `ledger/stock.read`.
    `tokens_per_s` limits the tokens per second of the whole plan; None
    means no limit beyond its share.  `waiting_requests` limits the
    queued requests of each organisation; None means the default limit.
    """

    plan: str
    weight: int
    models: tuple[str, ...] = ()
    operations: tuple[str, ...] = ()
    tokens_per_s: int | None = None
    waiting_requests: int | None = None


class Operation(NamedTuple):
    """One operation of a plain service, by name.

    `is_idempotent` tells whether running it twice has the same effect
    as running it once.
    """

    operation: str
    is_idempotent: bool = False


class Service(NamedTuple):
    """A plain service and its operations."""

    service: str
    operations: tuple[Operation, ...]


class ArtifactKind(StrEnum):
    """The kinds of artifact that an engine can load."""

    MODEL = "model"
    ADAPTER = "adapter"
    VERSION = "version"


class Artifact(NamedTuple):
    """A model, adapter or version that engines are ordered to load.

    Requests name an artifact as their model.  At least `min_replicas`
    engines are to hold it, whatever the demand.
    """

    artifact: str
    kind: ArtifactKind = ArtifactKind.MODEL
    min_replicas: int = 1


class Role(StrEnum):
    """What a host runs: a daemon, a model engine or a plain service."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class HostState(StrEnum):
    """State of a host as published by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class HostEntry(NamedTuple):
    """One daemon or upstream in the platform's list of hosts.

    `address` is `IP:port`: of the peer listener for a daemon, of the
    HTTP listener for an upstream.  `incarnation` changes whenever an
    upstream starts again.  `kv_tokens` is an engine's KV memory.
    `checks_fencing` tells whether an engine refuses orders that carry
    an old fencing number.

    `models` names the artifacts that an engine holds.  An engine takes
    orders to hold up to `slots` of those in `may_hold`, and to change
    its `engine_role` to another of `may_take_roles`.
    """

    host: str
    role: Role
    address: str
    availability_zone: str
    state: HostState = HostState.LIVE
    incarnation: str = "0"
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    kv_tokens: int = 0
    checks_fencing: bool = False
    may_hold: tuple[str, ...] = ()
    slots: int = 1
    engine_role: str = ""
    may_take_roles: tuple[str, ...] = ()


class PublishedLists(NamedTuple):
    """The operators' lists at one revision, indexed by name.

    `organisation_by_key_hash` gives the name of the organisation that
    holds the API key with a hash.
    """

    revision: int
    organisations: Mapping[str, Organisation]
    organisation_by_key_hash: Mapping[str, str]
    grants: Mapping[str, Grant]
    services: Mapping[str, Service]
    artifacts: Mapping[str, Artifact] = {}


class HostList(NamedTuple):
    """The platform's list of hosts at one revision, by host name."""

    revision: int
    hosts: Mapping[str, HostEntry]


# The lists and hosts of a daemon that has not yet read any revision.
EMPTY_LISTS = PublishedLists(0, {}, {}, {}, {})
EMPTY_HOSTS = HostList(0, {})
