"""Interface to the source of the configuration and the upstreams.

The configuration consists of routes, services and organisations.  An
adapter implements `PublishedSource` for its platform.  All calls raise
`SourceError` if the source fails or gives a wrong answer.

Revisions come from `routing.revisions`, so that they rise also where
the source is restored from an older copy.
"""

from typing import NamedTuple, Protocol

from plantainsail.routing.model import RoutedUpstream, RoutingConfiguration
from plantainsail.routing.zone_drains import PublishedOrders, ZoneOrder


class SourceError(Exception):
    """The source didn't answer, or its answer can't be used."""


class HistoryLostError(SourceError):
    """The source no longer has all changes since a revision."""


class PublishedConfiguration(NamedTuple):
    """The newest configuration, or None before the first one.

    `epoch` rises each time the source is restored from a copy.
    `revision` is that of the source when it was read, or -1 if that is
    unknown.
    """

    configuration: RoutingConfiguration | None
    epoch: int = 0
    revision: int = -1


class PublishedUpstreams(NamedTuple):
    """All upstreams at one revision."""

    upstreams: tuple[RoutedUpstream, ...]
    revision: int


class UpstreamChange(NamedTuple):
    """An upstream's new entry; it was removed if `upstream` is None."""

    identifier: str
    upstream: RoutedUpstream | None
    revision: int


class Changes(NamedTuple):
    """The changes since a revision, in order.

    `orders` drain availability zones, or lift earlier orders.  They
    are all that there are if `are_orders_complete` is set.
    """

    configurations: tuple[RoutingConfiguration, ...]
    upstreams: tuple[UpstreamChange, ...]
    revision: int
    orders: tuple[ZoneOrder, ...] = ()
    are_orders_complete: bool = False


class PublishedSource(Protocol):
    """Reads what operators and upstreams publish."""

    async def read_configuration(self) -> PublishedConfiguration:
        """Return the newest configuration."""

    async def list_upstreams(self) -> PublishedUpstreams:
        """Return all upstreams."""

    async def list_zone_orders(self) -> PublishedOrders:
        """Return the availability zones that are to be drained."""

    async def wait_for_changes(self, after: int, wait_s: float) -> Changes:
        """Wait for changes after a revision and return them.

        Raises `HistoryLostError` if the source no longer has them all.
        """
