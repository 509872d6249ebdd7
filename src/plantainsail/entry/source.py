"""Where routes, services, organisations and upstreams are published.

An adapter implements `PublishedSource` for its platform.  All calls
raise `SourceError` where the source does not answer as it should.
"""

from typing import NamedTuple, Protocol

from plantainsail.routing.model import RoutedUpstream, RoutingConfiguration


class SourceError(Exception):
    """The source did not answer, or refused."""


class HistoryLostError(SourceError):
    """Changes since the revision asked for are not kept any more."""


class PublishedUpstreams(NamedTuple):
    """All upstreams at one revision."""

    upstreams: tuple[RoutedUpstream, ...]
    revision: int


class UpstreamChange(NamedTuple):
    """An entry written, or removed where `upstream` is None."""

    identifier: str
    upstream: RoutedUpstream | None
    revision: int


class Changes(NamedTuple):
    """What changed since a revision, in order."""

    configurations: tuple[RoutingConfiguration, ...]
    upstreams: tuple[UpstreamChange, ...]
    revision: int


class PublishedSource(Protocol):
    """Reads what operators and upstreams publish."""

    async def read_configuration(self) -> RoutingConfiguration | None:
        """Return the newest configuration, None before the first."""

    async def list_upstreams(self) -> PublishedUpstreams:
        """Return all upstreams."""

    async def wait_for_changes(self, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision, waiting for the first.

        Raises `HistoryLostError` if they are not kept any more.
        """
