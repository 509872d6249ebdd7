"""Keeps the lists of a daemon as new as anyone's."""

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
FALLBACK_AGE_S = 6.0
BEHIND_ASK_S = 0.5
TORN_RETRY_S = 0.2
RETRIED_WITH_BACKOFF = (RefusalReason.UNREADABLE, RefusalReason.TORN)
UNSURE_STATES = ("starting", "unsure", "draining_unsure")


class ListSync:
    """Follows the service as a watcher, and peers otherwise.

    `on_change` lets some peers know of a new revision at once.
    """

    def __init__(self, node: "Node", on_change: Callable[[], None]) -> None:
        self.node = node
        self.on_change = on_change
        self.store = node.store
        self.logger = get_logger("lists")
        self.pacer = CallPacer(node.random, node.settings.expected_daemons)
        self.turns = asyncio.Lock()
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
        self.refreshing = asyncio.Lock()
        self.trying_since_s: float | None = None
        self.logged_revisions: dict[Family, int] = {}

    async def run(self) -> None:
        """Follow the lists until cancelled or stopped."""
        self.task = asyncio.current_task()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._catch_up())
            for family in Family:
                tasks.create_task(self._follow(family))

    async def stop(self) -> None:
        """End `run`; a refresh may still be asked for."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task])

    async def wait_first_turn(self) -> None:
        """Wait before the first call of a daemon that knows nothing.

        The whole fleet may be starting with it.  A peer that is heard
        ends the wait.
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

        Called at the start and after a pause, before the life cycle
        is told that the state is refreshed.
        """
        async with self.refreshing:
            pauses = self.node.life_cycle.pauses
            is_trusted = await self._gain_trust(is_paced)
            self.node.is_sure()
            if not is_trusted or pauses != self.node.life_cycle.pauses:
                return False
            self.trying_since_s = None
            return True

    async def _gain_trust(self, is_paced: bool) -> bool:
        """Ask peers, and the service as well.

        Paced calls are saved where the peers are enough.
        """
        pause: WaitTurn = self._paced if is_paced else _unpaced
        if self.trying_since_s is None:
            self.trying_since_s = self.node.now_s()
        reports = await self._ask_peers()
        is_known = all(self.store.revision(f) > 0 for f in Family)
        is_sure = any(r.answer is PeerAnswer.SURE for r in reports)
        service_answered = False
        if not (is_paced and is_known and is_sure):
            # Hosts come first: they name the peers to ask.
            hosts = await self._read(Family.HOSTS, pause)
            reports = await self._ask_peers()
            lists = await self._read(Family.LISTS, pause)
            service_answered = hosts.is_ok() and lists.is_ok()
        own = OwnListState(
            self.store.lists.revision,
            self.store.hosts.revision,
            service_answered,
            self.node.now_s() - self.trying_since_s,
        )
        return may_trust(own, reports)

    async def _ask_peers(self) -> list[PeerReport]:
        """Ask peers, get what is newer, and return their reports."""
        answers = await self.peers.ask_all()
        for answer in answers:
            for family in Family:
                if answer.revision(family) > self.store.revision(family):
                    await self._fetch(answer.address, family)
        return [answer.report for answer in answers]

    async def _fetch(self, address: str, family: Family) -> None:
        offered = await self.peers.fetch(address, family)
        if offered is not None:
            self._note(family, offered)

    async def _read(
        self, family: Family, pause: WaitTurn, root: ReadValue | None = None
    ) -> Result[int, Refusal]:
        result = await self.reader.read_family(family, pause, root)
        self._note(family, result)
        if result.is_error() and (result.error.reason in RETRIED_WITH_BACKOFF):
            self.pacer.record_failure()
        else:
            self.pacer.record_success()
        return result

    def _note(self, family: Family, result: Result[Any, Refusal]) -> None:
        """Count and log what became of a revision."""
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
        """Fetch from peers that have something newer."""
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

    def _lags(self, family: Family) -> bool:
        """Return whether peers had time to bring a newer revision."""
        behind_s = self.store.behind_s(self.node.now_s(), family)
        return behind_s > BEHIND_ASK_S

    async def _follow(self, family: Family) -> None:
        """Follow one family: watch it, or wait for peers to tell."""
        while True:
            if self.node.life_cycle.state in UNSURE_STATES:
                await asyncio.sleep(IDLE_CHECK_S)
                continue
            if self._takes_share():
                await self._watch(family)
                continue
            if self._lags(family):
                await self._ask_peers()
            age_s = self.store.age_s(self.node.now_s(), family)
            if age_s > FALLBACK_AGE_S or self._lags(family):
                await self._read_paced(family)
            await asyncio.sleep(IDLE_CHECK_S)

    def _takes_share(self) -> bool:
        """Return whether to watch; set the share of calls for it."""
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
        await self._paced()
        root = await self.reader.watch(family, after, WATCH_TIMEOUT_S)
        if root is not None:
            await self._read(family, self._paced, root)

    async def _read_paced(self, family: Family) -> Result[int, Refusal]:
        return await self._read(family, self._paced)

    async def _paced(self) -> None:
        """Wait for this daemon's next turn to call the service.

        All tasks take turns, so that together they stay within the
        daemon's share.
        """
        async with self.turns:
            if self.store.hosts.revision == 0 and self.reader.daemons > 0:
                self.pacer.use_non_watcher_share(self.reader.daemons)
            loop = asyncio.get_running_loop()
            turn_s = self.last_call_s + self.pacer.next_delay_s()
            await asyncio.sleep(turn_s - loop.time())
            self.last_call_s = loop.time()


async def _unpaced() -> None:
    """Call at once."""
