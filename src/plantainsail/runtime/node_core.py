"""The state and the clients that all parts of one daemon share."""

import asyncio
import random
from collections.abc import Callable

from plantainsail.buffers import BufferQuota
from plantainsail.clock import Clock
from plantainsail.identity import Incarnation, draw_incarnation
from plantainsail.lists.store import ListStore
from plantainsail.membership.marks import LeavingMarks
from plantainsail.membership.pauses import PauseDetector
from plantainsail.membership.view import NoPeers, PeerView
from plantainsail.metrics import Metrics
from plantainsail.peers.credentials import TlsStore, make_token
from plantainsail.peers.fleet_service import PartSource
from plantainsail.peers.links import PeerLinks
from plantainsail.peers.list_parts import ListParts
from plantainsail.peers.sections import HeartbeatSection
from plantainsail.peers.server import Registration
from plantainsail.peers.suspect_section import SuspectSection
from plantainsail.policy.hedges import HedgePolicy
from plantainsail.policy.orders import OrderPlanner
from plantainsail.policy.part_quarantine import PartQuarantine
from plantainsail.policy.quarantine import Quarantine
from plantainsail.policy.retries import RetryBudgets
from plantainsail.results import Code, Failure
from plantainsail.runtime.dispatcher import DaemonLocation, Dispatcher
from plantainsail.runtime.life_cycle import SURE_STATES, LifeCycle
from plantainsail.runtime.list_freshness import NodeFreshness
from plantainsail.runtime.live_streams import LiveStreams
from plantainsail.runtime.running import RunningWork
from plantainsail.settings import Settings
from plantainsail.signing import Signer
from plantainsail.upstreams.engine import HttpEngineClient
from plantainsail.upstreams.http import make_client, make_pooled_client
from plantainsail.upstreams.service import HttpServiceClient


class NodeCore:
    """One daemon: its settings, identity, state and clients."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        tls: TlsStore | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random.Random(settings.seed)
        self.incarnation: Incarnation = draw_incarnation(
            settings.peer_address, self.random
        )
        self.signer = Signer([bytes.fromhex(k) for k in settings.fleet_keys])
        self.life_cycle = LifeCycle()
        self.metrics = Metrics()
        self.store = ListStore()
        self.tls = tls
        self.links = PeerLinks(
            make_token(self.signer, self.incarnation), self.tls
        )
        self.marks = LeavingMarks()
        self.running = RunningWork()
        self.buffers = BufferQuota()
        self.http = make_client()
        self.pooled_http = make_pooled_client()
        self.engines = HttpEngineClient(self.http, settings.time_limits)
        self.services = HttpServiceClient(
            self.http,
            self.pooled_http,
            settings.time_limits.connect_s,
            settings.limits.answer_bytes,
            self.buffers,
        )
        self.streams = LiveStreams()
        self.quarantine = Quarantine()
        self.part_quarantine = PartQuarantine()
        self.retries = RetryBudgets()
        self.hedges = HedgePolicy()
        # Stays None in a node that is used without a daemon.
        self.orders: OrderPlanner | None = None
        self.background: set[asyncio.Task[None]] = set()
        self.dispatcher = Dispatcher(
            self.store,
            self.random,
            clock,
            DaemonLocation(self.incarnation, settings.availability_zone),
            self.marks,
            self.metrics,
        )
        self.peers: PeerView = NoPeers()
        # Becomes False once the daemon hands its streams over.
        self.accepts_streams = True
        self.pauses = PauseDetector(clock.now_s())
        # The daemon replaces this by the request to its `Drain`.
        self.request_drain: Callable[[], None] = self.life_cycle.drain_now
        # Other parts append their sections before the daemon starts.
        self.sections: list[HeartbeatSection] = [
            self.dispatcher.heartbeats,
            SuspectSection(self.quarantine, self.part_quarantine),
        ]
        self.registrations: list[Registration] = []
        self.freshness = NodeFreshness(
            settings, clock, self.store, self.incarnation
        )
        self.list_parts: PartSource | None = ListParts(
            self.store, self.now_s, self.is_sure
        )

    def now_s(self) -> float:
        """Return the daemon's time in seconds."""
        return self.clock.now_s()

    def unix_s(self) -> float:
        """Return the host's wall clock in seconds since 1970."""
        return self.clock.unix_s()

    def is_sure(self) -> bool:
        """Return whether the daemon may act on its current state.

        This is checked right before each action that is forbidden
        after a pause: to admit, mint, send, cancel or order.
        """
        if self.pauses.has_paused(self.now_s()):
            self.life_cycle.paused()
        return self.life_cycle.state in SURE_STATES

    def find_pause_failure(self) -> Failure | None:
        """Return a failure if the daemon is unsure after a pause."""
        if self.is_sure():
            return None
        return Failure(Code.UNSURE, "the daemon was paused", 1.0)

    def find_act_failure(self, revision: int = 0) -> Failure | None:
        """Return why the daemon must not act now; None if it may.

        This is checked again right before each action, because the
        lists or the daemon's state may have changed since the work was
        admitted.  `revision` is the revision of the lists under which
        the work was created.
        """
        pause = self.find_pause_failure()
        if pause is not None:
            return pause
        behind = self.freshness.find_work_failure(revision)
        return behind or self.freshness.find_failure()

    def hold_task_reference(self, task: asyncio.Task[None]) -> None:
        """Keep a reference to a background task until it is done.

        The event loop holds only weak references to tasks.
        """
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def close(self) -> None:
        """Cancel background tasks and streams and close the clients."""
        tasks = list(self.background)
        tasks += [s.task for s in self.streams.running() if s.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.links.close()
        await self.http.aclose()
        await self.pooled_http.aclose()
