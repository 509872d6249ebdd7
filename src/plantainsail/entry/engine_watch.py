"""Asks engines whether and when they leave.

An engine whose departure was published is asked how long it stays.
While the configuration service is unreachable, no departures are
published.  Each daemon then asks the engines that run its streams
whether they leave, and informs its peers.
"""

import asyncio

from plantainsail.entry.mover import EngineMover
from plantainsail.entry.node import EntryNode
from plantainsail.routing.in_force import READER_INTERVAL_S
from plantainsail.routing.members import (
    contact_interval_s,
    distributor_interval_s,
)
from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.registry import Departure, DepartureNotice

# An engine's report is this old when the engine sends it.
REPORT_AGE_S = 0.62
CHECK_INTERVAL_S = 0.3
MAX_NOTICE_S = 30.0
# Proofs of freshness are made at intervals and spread by heartbeats.
# If the newest one is older than these intervals by this much, the
# configuration service is unreachable.
PROOF_DELAY_S = 0.2


class EngineWatch:
    """Records what engines report about their departure."""

    def __init__(self, node: EntryNode, mover: EngineMover) -> None:
        self.node = node
        self.mover = mover
        self.asked_engines: set[str] = set()

    async def run(self) -> None:
        """Ask engines in use while departures may go unpublished."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self._may_miss_departures():
                continue
            await asyncio.gather(
                *(
                    self._check_if_leaving(engine)
                    for engine in self._engines_in_use()
                )
            )

    async def ask_notice_period(self, departure: Departure) -> None:
        """Ask a leaving engine how long it stays."""
        identifier = departure.upstream.identifier
        self.asked_engines &= self.node.registry.departures.keys()
        if identifier in self.asked_engines:
            return
        if identifier not in self.node.fleet_loads.own:
            return
        self.asked_engines.add(identifier)
        age_s = self.node.now_s() - departure.at_s
        await asyncio.sleep(max(0.0, REPORT_AGE_S - age_s))
        status = await self.mover.departure_status(departure.upstream.address)
        if status is None or status.leaves_in_s is None:
            return
        # The engine computed `leaves_in_s` when it made the report, so
        # the time that remained on sending it was shorter by its age.
        notice_s = min(MAX_NOTICE_S, status.leaves_in_s)
        self.node.notice_periods_s[identifier] = notice_s
        self.node.log.info(
            "engine gave notice",
            upstream=identifier,
            notice_ms=int(notice_s * 1000),
        )

    def _may_miss_departures(self) -> bool:
        now_s = self.node.now_s()
        peers = len(self.node.members.live(now_s))
        usual_s = READER_INTERVAL_S + contact_interval_s(peers)
        usual_s += distributor_interval_s(peers)
        age_s = self.node.in_force.age_s(now_s)
        if age_s is not None and age_s > usual_s + PROOF_DELAY_S:
            return True
        return self.node.registry.may_miss_departures(now_s)

    def _engines_in_use(self) -> list[RoutedUpstream]:
        engines: list[RoutedUpstream] = []
        for identifier in self.node.fleet_loads.own:
            upstream = self.node.registry.entries.get(identifier)
            if upstream is not None and not upstream.is_draining:
                engines.append(upstream)
        return engines

    async def _check_if_leaving(self, upstream: RoutedUpstream) -> None:
        status = await self.mover.departure_status(upstream.address)
        if status is None or not status.is_draining:
            return
        now_s = self.node.now_s()
        notice_s = 0.0
        if status.leaves_in_s is not None:
            notice_s = max(0.0, status.leaves_in_s - REPORT_AGE_S)
        notice = DepartureNotice(upstream.born_ms, now_s + notice_s)
        self.node.record_departure_notice(
            upstream.identifier, notice, "its own word"
        )
        self.node.engine_state_changed.set()
