"""Applies what the configuration service publishes, by watch and read.

The watch returns changes at once.  A watch without an answer doesn't
prove that the configuration is fresh, so one daemon of the fleet also
reads it about once a second.  The heartbeats tell the other daemons
how fresh it is.
"""

import asyncio
from collections.abc import Awaitable, Callable

from plantainsail.entry import ramping, zone_orders
from plantainsail.entry.node import EntryNode
from plantainsail.entry.source import (
    Changes,
    HistoryLostError,
    PublishedSource,
    SourceError,
)
from plantainsail.routing.first_proofs import FirstProofs, ReadProof
from plantainsail.routing.in_force import is_read_due
from plantainsail.routing.messages import ListChange
from plantainsail.routing.model import RoutedUpstream, RoutingConfiguration
from plantainsail.routing.overdue_proofs import OverdueProofs
from plantainsail.routing.revisions import is_restored, make_revision
from plantainsail.routing.zone_drains import UNKNOWN_REVISION, PublishedOrders

WATCH_TIMEOUT_S = 8.0
WATCHER_CHECK_S = 0.25
BACK_OFF_FIRST_S = 0.15
BACK_OFF_LIMIT_S = 0.8
PROOF_CHECK_INTERVAL_S = 0.1
# Bursts of changes are applied together.
MIN_CHANGE_INTERVAL_S = 0.03
READ_TIMEOUT_S = 1.2
# A daemon that starts waits at most this long for its peers' answers,
# as in a large fleet it needs no call to the service at all.
MEET_PEERS_TIMEOUT_S = 0.3
MEET_PEERS_POLL_S = 0.05


def _ignore_list_change(_: ListChange) -> None:
    """Do nothing, as gossip is not connected yet."""


def _ignore_announcement() -> None:
    """Do nothing, as gossip is not connected yet."""


class PublishedFeed:
    """Follows a published source and applies its changes."""

    def __init__(self, node: EntryNode, source: PublishedSource) -> None:
        self.node = node
        self.source = source
        self.started_s = node.now_s()
        self.is_service_lost = False
        self.back_off_s = BACK_OFF_FIRST_S
        self.in_force_since_s = self.started_s
        self.first_proofs = FirstProofs()
        # The last epoch in which the service named an older version.
        self.outdated_epoch = -1
        self.overdue_proofs = OverdueProofs()
        # Whether a watch reports changes to this daemon, and up to
        # which revision it has.
        self.is_following = False
        self.followed_revision = -1
        # Set when the watch that waits may have missed changes.
        self.watch_doubted = asyncio.Event()
        # A revision of the service that the watch had not reached when
        # it was read.
        self.awaited_revision = -1
        # Whether the orders to drain availability zones must be read,
        # and whether they were since the watch began.
        self.must_read_orders = False
        self.follows_orders = False
        # The daemon replaces these by the methods of its gossip.
        self.send_list_change: Callable[[ListChange], None] = (
            _ignore_list_change
        )
        self.announce: Callable[[], None] = _ignore_announcement

    async def watch(self) -> None:
        """Follow changes until cancelled."""
        await self._meet_peers()
        while True:
            if not self.node.members.is_watcher(self.node.now_s()):
                await asyncio.sleep(WATCHER_CHECK_S)
                continue
            try:
                revision = await self._read_all()
                await self._follow(revision)
            except HistoryLostError as error:
                self.node.log.info(
                    "watch history lost, reading all lists", reason=str(error)
                )
                await asyncio.sleep(self._next_back_off_s())
            except SourceError as error:
                self._mark_service_lost(str(error))
                await asyncio.sleep(self._next_back_off_s())

    async def verify(self) -> None:
        """Keep the proof of the configuration's freshness recent."""
        while True:
            await asyncio.sleep(PROOF_CHECK_INTERVAL_S)
            now_s = self.node.now_s()
            self.node.record_departures(
                self.node.registry.expire_vanished(now_s), "lapsed"
            )
            self.node.use_renewed_upstreams()
            self.node.forget_gone_engines()
            zone_orders.expire(self.node)
            ramping.observe(self.node)
            self._check_first_proof()
            if self.first_proofs.pending is not None:
                continue
            is_overdue = self._is_proof_overdue(now_s)
            if is_overdue or self._is_read_due(now_s):
                # Proofs tell peers that the orders are known, too.
                if is_overdue or not self.is_following:
                    self.must_read_orders = self._may_have_orders()
                await self._try(self._read_configuration)
            if self.must_read_orders:
                await self._try(self._read_orders)

    def _is_proof_overdue(self, now_s: float) -> bool:
        """Return whether this daemon reads, as its peers seem not to.

        Only orders need this; a configuration that may be outdated is
        handled where it is used.
        """
        if not self._may_have_orders():
            return False
        node = self.node
        return self.overdue_proofs.is_read_due(
            node.in_force.age_s(now_s),
            len(node.members.live(now_s)),
            node.random.random(),
            now_s,
        )

    def _is_read_due(self, now_s: float) -> bool:
        age_s = self.node.in_force.age_s(now_s)
        rank = self.node.members.rank(now_s)
        return is_read_due(age_s, rank, now_s - self.started_s)

    async def _try(self, read: Callable[[], Awaitable[object]]) -> None:
        """Read something, or wait for a while if that fails."""
        try:
            await read()
        except SourceError as error:
            self.overdue_proofs.note_failure()
            self._mark_service_lost(str(error))
            await asyncio.sleep(self._next_back_off_s())
        finally:
            self.overdue_proofs.note_checked(self.node.now_s())

    def put_in_force(
        self,
        configuration: RoutingConfiguration,
        as_of_s: float | None,
        origin: str,
    ) -> None:
        """Apply a configuration, and log it if it is a new one."""
        if not self.node.in_force.offer(configuration, as_of_s):
            return
        self.in_force_since_s = self.node.now_s()
        self.node.metrics.configuration_version.set(configuration.version)
        self.node.log.info(
            "configuration in force",
            version=configuration.version,
            origin=origin,
            routes=len(configuration.routes),
            organisations=len(configuration.organisations or ()),
        )

    async def _meet_peers(self) -> None:
        if not self.node.members.members:
            return
        end_s = self.started_s + MEET_PEERS_TIMEOUT_S
        while self.node.now_s() < end_s:
            # The first answers name further daemons, which answer too.
            await asyncio.sleep(MEET_PEERS_POLL_S)
            if self.node.members.live(self.node.now_s()):
                return

    async def _read_all(self) -> int:
        """Read all lists; return the revision to watch from.

        The orders to drain availability zones are read first, as they
        must be known before any upstream is used.
        """
        watched_from: list[int] = []
        self.follows_orders = False
        if self._may_have_orders():
            watched_from.append(await self._read_orders())
            self.follows_orders = True
        published = await self.source.list_upstreams()
        await self._read_configuration()
        self._mark_service_regained(self.node.now_s())
        if self.node.replace_upstreams(
            published.upstreams, published.revision, "read"
        ):
            # Peers that don't watch fetch the list at once.
            self.announce()
        self.node.service_restored.clear()
        watched_from.append(published.revision)
        return min(watched_from)

    def _may_have_orders(self) -> bool:
        """Return whether operators drain zones in this deployment."""
        if self.node.settings.bounds.drain_order_s > 0:
            return True
        return bool(self.node.zone_drains.orders)

    async def _read_orders(self) -> int:
        """Read the orders to drain availability zones."""
        was_following = self.is_following
        orders = await self.source.list_zone_orders()
        self.must_read_orders = False
        if was_following and self.is_following:
            # The watch reports the changes since.
            self.follows_orders = True
        zone_orders.apply_published(self.node, orders, "read")
        return orders.revision

    async def _read_configuration(self) -> None:
        as_of_s = self.node.now_s()
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                published = await self.source.read_configuration()
        except TimeoutError as error:
            raise SourceError("no answer in time") from error
        self._mark_service_regained(self.node.now_s())
        first_revision = make_revision(published.epoch, 0)
        if is_restored(self.node.registry.revision, first_revision):
            self.node.service_restored.set()
        self._check_watch(published.revision)
        if published.configuration is None:
            return
        proof = ReadProof(
            published.configuration.version, as_of_s, published.epoch
        )
        is_proved = self._is_proved(proof)
        before = self.node.in_force.version
        self.put_in_force(
            published.configuration, as_of_s if is_proved else None, "read"
        )
        if -1 < before < self.node.in_force.version:
            # The watchers have missed it, or send it a little later.
            self.announce()

    def _is_proved(self, proof: ReadProof) -> bool:
        newest = self.node.in_force.version
        if proof.version < newest:
            # One may have come into force while the read was made.
            if proof.as_of_s > self.in_force_since_s:
                self._log_outdated(proof, newest)
            return False
        return self.first_proofs.may_use(proof)

    def _check_first_proof(self) -> None:
        """Use a proof that was held back, if the peers allow it."""
        held = self.first_proofs.pending
        if held is None:
            return
        now_s = self.node.now_s()
        peers = self.node.members.versions_since(held.as_of_s, now_s)
        if peers.newest > held.version:
            self._log_outdated(held, peers.newest)
        proof = self.first_proofs.check(peers, now_s)
        if proof is not None:
            self.node.in_force.confirm(proof.version, proof.as_of_s)

    def _log_outdated(self, proof: ReadProof, newest: int) -> None:
        """Log once for each epoch that the service lost a version."""
        if proof.epoch == self.outdated_epoch:
            return
        self.outdated_epoch = proof.epoch
        self.node.log.warning(
            "published configuration outdated",
            version=proof.version,
            newest=newest,
            epoch=proof.epoch,
        )

    async def _follow(self, revision: int) -> None:
        self.followed_revision = revision
        self.is_following = True
        try:
            while self.node.members.is_watcher(self.node.now_s()):
                await self._follow_changes()
                await asyncio.sleep(MIN_CHANGE_INTERVAL_S)
        finally:
            self.is_following = False

    async def _follow_changes(self) -> None:
        changes = await self._next_changes(self.followed_revision)
        if changes is None:
            return
        self._mark_service_regained(self.node.now_s())
        self._apply_changes(changes)
        self.followed_revision = max(self.followed_revision, changes.revision)

    def _check_watch(self, revision: int) -> None:
        """Doubt a watch that is behind the read before this one.

        The connection of the watch may be broken, without either side
        knowing, while the reads use new ones.
        """
        is_behind = self.followed_revision < self.awaited_revision
        if is_behind and self._may_have_orders():
            self.watch_doubted.set()
        self.awaited_revision = revision

    async def _next_changes(self, revision: int) -> Changes | None:
        """Wait for changes, unless the service is restored meanwhile.

        A watch on a connection that the outage left open would hear
        nothing of the changes since.  Return None to watch again, on a
        new connection.
        """
        self.watch_doubted.clear()
        watch = asyncio.ensure_future(
            self.source.wait_for_changes(revision, WATCH_TIMEOUT_S)
        )
        restored = asyncio.ensure_future(self.node.service_restored.wait())
        doubted = asyncio.ensure_future(self.watch_doubted.wait())
        waits = (watch, restored, doubted)
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            if restored.done():
                raise HistoryLostError("restored during the watch")
            if not watch.done():
                return None
            return watch.result()
        finally:
            for wait in waits:
                wait.cancel()
            await asyncio.gather(*waits, return_exceptions=True)

    def _apply_changes(self, changes: Changes) -> None:
        for configuration in changes.configurations:
            self.put_in_force(configuration, None, "watch")
        if changes.configurations:
            self.announce()
        self._apply_orders(changes)
        now_s = self.node.now_s()
        registry = self.node.registry
        after = registry.revision
        for change in changes.upstreams:
            if change.upstream is None:
                departures = registry.remove(
                    change.identifier, change.revision, now_s
                )
            else:
                departures = registry.put(
                    change.upstream, change.revision, now_s
                )
            self.node.record_departures(departures, "watch")
        if changes.upstreams:
            self._forward_changes(after, changes)

    def _apply_orders(self, changes: Changes) -> None:
        """Apply the changes of orders to drain availability zones.

        Without a read before them, there may be others, so the orders
        are read now.
        """
        if changes.are_orders_complete:
            published = PublishedOrders(changes.orders, changes.revision)
            zone_orders.apply_published(self.node, published, "watch")
            return
        revision = UNKNOWN_REVISION
        if self.follows_orders:
            revision = changes.revision
        elif changes.orders:
            self.must_read_orders = True
        zone_orders.apply_changes(self.node, changes.orders, revision)

    def _forward_changes(self, after: int, changes: Changes) -> None:
        written: list[RoutedUpstream] = []
        removed: list[str] = []
        for change in changes.upstreams:
            if change.upstream is None:
                removed.append(change.identifier)
            else:
                written.append(change.upstream)
        self.send_list_change(
            ListChange(
                self.node.settings.peer_address,
                after,
                self.node.registry.revision,
                tuple(written),
                tuple(removed),
            )
        )

    def _mark_service_lost(self, reason: str) -> None:
        self.node.registry.mark_service_lost()
        if self.is_service_lost:
            return
        self.is_service_lost = True
        self.node.members.has_lost_service = True
        # The next daemons by rank watch the service instead.
        self.announce()
        self.node.log.warning(
            "configuration service lost",
            reason=reason,
            version=self.node.in_force.version,
        )

    def _mark_service_regained(self, now_s: float) -> None:
        self.back_off_s = BACK_OFF_FIRST_S
        self.node.registry.mark_service_regained(now_s)
        if not self.is_service_lost:
            return
        self.is_service_lost = False
        self.watch_doubted.set()
        self.node.members.has_lost_service = False
        self.node.log.info("configuration service regained")

    def _next_back_off_s(self) -> float:
        pause_s = self.back_off_s * (0.7 + 0.6 * self.node.random.random())
        self.back_off_s = min(BACK_OFF_LIMIT_S, self.back_off_s * 1.7)
        return pause_s
