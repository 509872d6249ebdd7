"""Reads routes, services, organisations and upstreams from a file.

The file is JSON with comments and has the fields of `PublishedFile`.
A change takes effect once `version` is higher than before:

    {
        "version": 3,
        "routes": [{
            "name": "letters", "host": "example.org",
            "path_prefix": "/letters/", "kind": "streaming",
            "services": [{"service": "engines", "weight": 1}],
            "timeout_s": 39, "objective_s": 1.8, "pause_s": 0.18,
        }],
        "services": [{"name": "engines"}],
        "upstreams": [{
            "identifier": "engine-1", "service": "engines",
            "address": "10.0.1.1:8000",
            "availability_zone": "wa-south-1a", "slots": 24,
        }],
        "drained_zones": ["wa-south-1b"],
    }
"""

import asyncio
from pathlib import Path
from typing import NamedTuple

from plantainsail.entry.source import (
    Changes,
    PublishedConfiguration,
    PublishedUpstreams,
    SourceError,
    UpstreamChange,
)
from plantainsail.logs import get_logger
from plantainsail.routing.model import (
    CallerLimits,
    Organisation,
    Route,
    RoutedUpstream,
    RoutingConfiguration,
    Service,
)
from plantainsail.routing.validity import (
    configuration_problem,
    is_name,
    upstream_problem,
)
from plantainsail.routing.zone_drains import PublishedOrders, ZoneOrder
from plantainsail.settings import parse_record, read_text

POLL_INTERVAL_S = 0.2


class PublishedFile(NamedTuple):
    """The content of a published file.

    Nothing is sent to the upstreams of `drained_zones`.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    upstreams: tuple[RoutedUpstream, ...]
    organisations: tuple[Organisation, ...] | None = None
    limits: CallerLimits = CallerLimits()
    drained_zones: tuple[str, ...] = ()


class FileSource:
    """Reads a published file, and again when its version grows."""

    def __init__(self, file: Path) -> None:
        self.file = file
        self.log = get_logger("file")
        # Those that were logged; the file is read several times a
        # second.
        self.unusable: set[str] = set()
        self.last_published: PublishedFile | None = None

    async def read_configuration(self) -> PublishedConfiguration:
        """Return the file's configuration."""
        return PublishedConfiguration(_configuration_of(self._read()))

    async def list_upstreams(self) -> PublishedUpstreams:
        """Return the file's upstreams."""
        self.last_published = self._read()
        return PublishedUpstreams(
            self.last_published.upstreams, self.last_published.version
        )

    async def list_zone_orders(self) -> PublishedOrders:
        """Return the availability zones that the file drains."""
        published = self._read()
        return PublishedOrders(_orders_of(published), published.version)

    async def wait_for_changes(self, after: int, wait_s: float) -> Changes:
        """Wait for a higher version and return what changed."""
        before = (
            {}
            if self.last_published is None
            else _by_identifier(self.last_published)
        )
        published = self._read()
        polls = int(wait_s / POLL_INTERVAL_S)
        for _ in range(polls):
            if published.version > after:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
            published = self._read()
        if published.version <= after:
            return Changes((), (), after)
        self.last_published = published
        return Changes(
            (_configuration_of(published),),
            _differences(before, published),
            published.version,
            _orders_of(published),
            are_orders_complete=True,
        )

    def _read(self) -> PublishedFile:
        text = read_text(self.file)
        record = text.bind(
            lambda content: parse_record(
                PublishedFile, content, str(self.file)
            )
        )
        if record.is_error():
            raise SourceError(str(record.error))
        published = record.ok
        problem = configuration_problem(_configuration_of(published))
        if problem is not None:
            raise SourceError(f"{self.file}: {problem}")
        return published._replace(upstreams=self._usable(published.upstreams))

    def _usable(
        self, upstreams: tuple[RoutedUpstream, ...]
    ) -> tuple[RoutedUpstream, ...]:
        """Return the upstreams that can be used, and log the others."""
        usable: list[RoutedUpstream] = []
        for upstream in upstreams:
            problem = upstream_problem(upstream)
            if problem is None:
                usable.append(upstream)
                self.unusable.discard(upstream.identifier)
            elif upstream.identifier not in self.unusable:
                self.unusable.add(upstream.identifier)
                self.log.info(
                    "upstream entry unreadable",
                    upstream=upstream.identifier,
                    reason=problem,
                )
        return tuple(usable)


def _configuration_of(published: PublishedFile) -> RoutingConfiguration:
    return RoutingConfiguration(
        published.version,
        published.routes,
        published.services,
        published.organisations,
        published.limits,
    )


def _orders_of(published: PublishedFile) -> tuple[ZoneOrder, ...]:
    """Return the orders of a version, all at its revision.

    An order that was lifted and given again between two reads looks
    unchanged, so every version gives all of them anew.
    """
    return tuple(
        ZoneOrder(zone, published.version)
        for zone in published.drained_zones
        if is_name(zone)
    )


def _by_identifier(published: PublishedFile) -> dict[str, RoutedUpstream]:
    return {upstream.identifier: upstream for upstream in published.upstreams}


def _differences(
    before: dict[str, RoutedUpstream], published: PublishedFile
) -> tuple[UpstreamChange, ...]:
    after = _by_identifier(published)
    version = published.version
    changes: list[UpstreamChange] = []
    for identifier in before.keys() - after.keys():
        changes.append(UpstreamChange(identifier, None, version))
    for identifier, upstream in after.items():
        if before.get(identifier) != upstream:
            changes.append(UpstreamChange(identifier, upstream, version))
    return tuple(changes)
