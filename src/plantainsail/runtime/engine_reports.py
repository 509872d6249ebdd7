"""Reads the load and cache reports of engines in turn.

One engine is asked in each interval, however many there are, so the
cost for a daemon is bounded.  A late or lost report does no harm, since
reports only correct what the daemon counts itself.
"""

import asyncio
from collections.abc import Sequence

from plantainsail.lists.model import HostEntry
from plantainsail.policy.prefixes import CacheEvent
from plantainsail.policy.scheduler import Scheduler
from plantainsail.runtime.node import Node
from plantainsail.upstreams.engine_reports import CacheEvents, ReportClient

REPORT_INTERVAL_S = 1.0


class EngineReports:
    """Reads reports of the engines that run this daemon's work."""

    def __init__(self, node: Node, client: ReportClient) -> None:
        self.node = node
        self.client = client
        self.last_host = ""

    async def run(self) -> None:
        """Read one engine's reports per interval until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            engine = self.next_engine()
            if engine is not None:
                await self.read(engine)

    def next_engine(self) -> HostEntry | None:
        """Return the next engine with work of this daemon, or None."""
        hosts = self.node.store.hosts.hosts
        busy = [
            host
            for host, account in self.scheduler.accounts.items()
            if account.running and host in hosts
        ]
        if not busy:
            return None
        self.last_host = _next_host(sorted(busy), self.last_host)
        return hosts[self.last_host]

    async def read(self, engine: HostEntry) -> None:
        """Request and apply the load and cache reports of an engine."""
        node = self.node
        load = await self.client.load(engine)
        if load.is_ok():
            self.scheduler.placer.corrections.record(
                engine.host, load.ok, node.now_s()
            )
        self._count("load", load.is_ok())
        prefixes = self.scheduler.prefixes
        after_number = prefixes.latest_number(engine.host, engine.incarnation)
        news = await self.client.cache_events(engine, after_number)
        if news.is_ok():
            self._record_cache_events(engine, after_number, news.ok)
        self._count("cache", news.is_ok())

    @property
    def scheduler(self) -> Scheduler:
        """Return the scheduler that the reports correct."""
        return self.node.dispatcher.scheduler

    def _record_cache_events(
        self, engine: HostEntry, after_number: int, news: CacheEvents
    ) -> None:
        prefixes = self.scheduler.prefixes
        if news.latest < after_number:
            # The event numbers of the engine began again, so it has
            # lost its cache.
            prefixes.forget(engine.host)
        now_s = self.node.now_s()
        for event in news.events:
            prefixes.record_event(
                CacheEvent(
                    engine.host,
                    engine.incarnation,
                    event.number,
                    event.change,
                    event.prefix,
                ),
                now_s,
            )

    def _count(self, report: str, is_read: bool) -> None:
        result = "read" if is_read else "failed"
        self.node.metrics.engine_reports.labels(report, result).inc()


def _next_host(hosts: Sequence[str], last_host: str) -> str:
    """Return the host after the last one, or the first at the end."""
    return next((host for host in hosts if host > last_host), hosts[0])
