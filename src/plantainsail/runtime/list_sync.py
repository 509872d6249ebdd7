"""Keeps a daemon's lists up to date from the service and peers."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from expression import Result

from plantainsail.lists.pacing import CallPacer
from plantainsail.lists.service_read import Refusal, RefusalReason
from plantainsail.lists.snapshot import Family
from plantainsail.lists.start_gate import (
    OwnListState,
    PeerAnswer,
    PeerReport,
    may_trust,
)
from plantainsail.lists.watchers import (
    WATCHERS_PER_ZONE,
    is_watcher,
    live_daemons,
)
from plantainsail.logs import get_logger
from plantainsail.membership.view import PeerState
from plantainsail.runtime.list_peers import ListPeers
from plantainsail.runtime.list_reader import ListReader, ReadValue, WaitTurn

if TYPE_CHECKING:
    from plantainsail.runtime.node import Node

WATCH_TIMEOUT_S = 3.0
IDLE_CHECK_S = 0.25
# A daemon that is no watcher reads from the service once its lists are
# older than this.
MAX_AGE_WITHOUT_WATCH_S = 6.0
# Peers get this long to deliver a newer revision before being asked.
PEER_DELIVERY_TIME_S = 0.5
TORN_RETRY_S = 0.2
RETRIED_WITH_BACKOFF = (RefusalReason.UNREADABLE, RefusalReason.TORN)
UNSURE_STATES = ("starting", "unsure", "draining_unsure")


class ListSync:
    """Watches the configuration service or follows its peers.

    Only the watchers of a zone call the service regularly; other
    daemons get new revisions from peers.  `on_change` is called when a
    new revision is in force.
    """

    def __init__(self, node: "Node", on_change: Callable[[], None]) -> None:
        self.node = node
        self.on_change = on_change
        self.store = node.store
        self.logger = get_logger("lists")
        self.pacer = CallPacer(node.random, node.settings.expected_daemons)
        self.turn_lock = asyncio.Lock()
        self.last_call_s = float("-inf")
        self.peers: ListPeers = node.list_peers
        self.reader = ListReader(
            node.settings.configuration_url,
            node.http,
            node.store,
            node.now_s,
            self.peers.announce,
        )
        self.task: asyncio.Task[None] | None = None
        self.refresh_lock = asyncio.Lock()
        self.first_attempt_s: float | None = None
        self.logged_revisions: dict[Family, int] = {}

    async def run(self) -> None:
        """Keep the lists up to date until cancelled or stopped."""
        self.task = asyncio.current_task()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._catch_up())
            for family in Family:
                tasks.create_task(self._follow(family))

    async def stop(self) -> None:
        """Cancel `run`; `refresh` may still be called afterwards."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task])

    async def wait_first_turn(self) -> None:
        """Wait before the first call of a daemon without lists.

        The whole fleet may be starting at the same time.  The wait
        ends early when a peer has a newer revision.
        """
        if self.store.hosts.revision > 0:
            return
        try:
            async with asyncio.timeout(self.pacer.first_delay_s()):
                await self.peers.newer.wait()
        except TimeoutError:
            return

    async def refresh(self, *, is_paced: bool = False) -> bool:
        """Refresh the lists; return whether they may be trusted.

        This is called at the start and after a pause, before the
        `refreshed` transition of the life cycle.
        """
        async with self.refresh_lock:
            pauses = self.node.life_cycle.pauses
            is_trusted = await self._refresh_and_check_trust(is_paced)
            self.node.is_sure()
            if not is_trusted or pauses != self.node.life_cycle.pauses:
                return False
            self.first_attempt_s = None
            return True

    async def _refresh_and_check_trust(self, is_paced: bool) -> bool:
        """Refresh from peers and the service; return whether to trust.

        A paced refresh skips the service if a peer is sure and both
        families are in force here.
        """
        wait_turn: WaitTurn = self._wait_paced_turn if is_paced else _skip_turn
        if self.first_attempt_s is None:
            self.first_attempt_s = self.node.now_s()
        reports = await self._ask_peers()
        is_known = all(self.store.revision(f) > 0 for f in Family)
        is_sure = any(r.answer is PeerAnswer.SURE for r in reports)
        service_answered = False
        if not (is_paced and is_known and is_sure):
            # Hosts are read first, as they name the peers to ask.
            hosts = await self._read(Family.HOSTS, wait_turn)
            reports = await self._ask_peers()
            lists = await self._read(Family.LISTS, wait_turn)
            service_answered = hosts.is_ok() and lists.is_ok()
        own = OwnListState(
            self.store.lists.revision,
            self.store.hosts.revision,
            service_answered,
            self.node.now_s() - self.first_attempt_s,
        )
        return may_trust(own, reports)

    async def _ask_peers(self) -> list[PeerReport]:
        """Ask peers, fetch newer revisions and return the reports."""
        answers = await self.peers.ask_all()
        for answer in answers:
            for family in Family:
                if answer.revision(family) > self.store.revision(family):
                    await self._fetch(answer.address, family)
        return [answer.report for answer in answers]

    async def _fetch(self, address: str, family: Family) -> None:
        offered = await self.peers.fetch(address, family)
        if offered is not None:
            self._record_outcome(family, offered)

    async def _read(
        self,
        family: Family,
        wait_turn: WaitTurn,
        root: ReadValue | None = None,
    ) -> Result[int, Refusal]:
        result = await self.reader.read_family(family, wait_turn, root)
        self._record_outcome(family, result)
        if result.is_error() and (result.error.reason in RETRIED_WITH_BACKOFF):
            self.pacer.record_failure()
        else:
            self.pacer.record_success()
        return result

    def _record_outcome(
        self, family: Family, result: Result[Any, Refusal]
    ) -> None:
        """Count and log a refusal, or log a new revision in force."""
        metrics = self.node.metrics
        if result.is_error():
            refusal = result.error
            metrics.list_refusals.labels(family.value, refusal.reason).inc()
            if self.store.record_refusal(refusal):
                self.logger.warning(
                    "lists refused",
                    family=family.value,
                    revision=refusal.revision,
                    reason=refusal.reason.value,
                    detail=refusal.detail,
                )
            return
        revision = self.store.revision(family)
        if self.logged_revisions.get(family) == revision:
            return
        self.logged_revisions[family] = revision
        self.on_change()
        self.logger.info(
            "lists in force", family=family.value, revision=revision
        )
        if family is Family.LISTS:
            metrics.lists_revision.set(revision)

    async def _catch_up(self) -> None:
        """Fetch newer revisions from peers as they are found."""
        while True:
            await self.peers.newer.wait()
            self.peers.newer.clear()
            for address in tuple(self.peers.sources):
                for family in Family:
                    if self._is_behind(family):
                        await self._fetch(address, family)
            self.peers.sources.clear()

    def _is_behind(self, family: Family) -> bool:
        return self.store.highest_seen[family] > self.store.revision(family)

    def _is_overdue(self, family: Family) -> bool:
        """Return whether a newer revision from peers is overdue."""
        behind_s = self.store.behind_s(self.node.now_s(), family)
        return behind_s > PEER_DELIVERY_TIME_S

    async def _follow(self, family: Family) -> None:
        """Watch one family, or wait for peers to deliver it."""
        while True:
            if self.node.life_cycle.state in UNSURE_STATES:
                await asyncio.sleep(IDLE_CHECK_S)
                continue
            if self._update_watcher_role():
                await self._watch(family)
                continue
            if self._is_overdue(family):
                await self._ask_peers()
            age_s = self.store.age_s(self.node.now_s(), family)
            if age_s > MAX_AGE_WITHOUT_WATCH_S or self._is_overdue(family):
                await self._read_paced(family)
            await asyncio.sleep(IDLE_CHECK_S)

    def _update_watcher_role(self) -> bool:
        """Return whether to watch; set the pace of service calls."""
        node = self.node
        hosts = self.store.hosts
        daemons = max(1, len(live_daemons(hosts)))
        unavailable = frozenset(
            peer.host
            for peer in node.peers.peers(node.now_s())
            if peer.state is not PeerState.ALIVE or peer.is_draining
        )
        zones = max(1, len(node.freshness.zones()))
        zone = node.settings.availability_zone
        if is_watcher(hosts, node.settings.host, zone, unavailable):
            self.pacer.use_watcher_share(
                min(daemons, WATCHERS_PER_ZONE * zones)
            )
            return True
        self.pacer.use_non_watcher_share(daemons)
        return False

    async def _watch(self, family: Family) -> None:
        """Confirm the revision in force, then wait for a newer one."""
        result = await self._read_paced(family)
        after = self.store.revision(family)
        if result.is_error():
            refusal = result.error
            if refusal.reason is RefusalReason.UNREADABLE:
                return
            if refusal.reason is RefusalReason.TORN:
                await asyncio.sleep(TORN_RETRY_S)
                return
            after = max(after, refusal.revision)
        await self._wait_paced_turn()
        root = await self.reader.watch(family, after, WATCH_TIMEOUT_S)
        if root is not None:
            await self._read(family, self._wait_paced_turn, root)

    async def _read_paced(self, family: Family) -> Result[int, Refusal]:
        return await self._read(family, self._wait_paced_turn)

    async def _wait_paced_turn(self) -> None:
        """Wait for this daemon's next turn to call the service.

        All tasks share one lock, so that together they stay within
        the daemon's share of calls.
        """
        async with self.turn_lock:
            if self.store.hosts.revision == 0 and self.reader.daemons > 0:
                self.pacer.use_non_watcher_share(self.reader.daemons)
            loop = asyncio.get_running_loop()
            turn_s = self.last_call_s + self.pacer.next_delay_s()
            await asyncio.sleep(turn_s - loop.time())
            self.last_call_s = loop.time()


async def _skip_turn() -> None:
    """Return at once, for calls that need not wait for a turn."""
