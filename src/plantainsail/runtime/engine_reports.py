"""Reads the reports of engines, one engine in turn.

One engine is asked an interval, however many there are, so the cost of
a daemon is bounded; what comes late or never is missed by nobody, for
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
    """Asks engines that run this daemon's work."""

    def __init__(self, node: Node, client: ReportClient) -> None:
        self.node = node
        self.client = client
        self.last = ""

    async def run(self) -> None:
        """Ask one engine an interval until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            engine = self.next_engine()
            if engine is not None:
                await self.read(engine)

    def next_engine(self) -> HostEntry | None:
        """Return the engine whose turn it is, if any has work here."""
        hosts = self.node.store.hosts.hosts
        busy = [
            host
            for host, account in self.scheduler.accounts.items()
            if account.running and host in hosts
        ]
        if not busy:
            return None
        self.last = _after(sorted(busy), self.last)
        return hosts[self.last]

    async def read(self, engine: HostEntry) -> None:
        """Take in the reports of one engine."""
        node = self.node
        load = await self.client.load(engine)
        if load.is_ok():
            self.scheduler.placer.corrections.record(
                engine.host, load.ok, node.now_s()
            )
        self._count("load", load.is_ok())
        prefixes = self.scheduler.prefixes
        after = prefixes.latest_number(engine.host, engine.incarnation)
        news = await self.client.cache_events(engine, after)
        if news.is_ok():
            self._absorb(engine, after, news.ok)
        self._count("cache", news.is_ok())

    @property
    def scheduler(self) -> Scheduler:
        """Return the scheduler that the reports correct."""
        return self.node.dispatcher.scheduler

    def _absorb(
        self, engine: HostEntry, after: int, news: CacheEvents
    ) -> None:
        prefixes = self.scheduler.prefixes
        if news.latest < after:
            # The engine began to count anew, so it lost its cache.
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


def _after(hosts: Sequence[str], last: str) -> str:
    """Return the host that follows the last one, in a circle."""
    return next((host for host in hosts if host > last), hosts[0])
