"""The messages between daemons about shares and slices.

With every heartbeat a daemon sends its counters, the memory that it
could lend, what it wants to borrow and the leases that it grants.
Messages are bounded in size, and may be lost or late.
"""

from collections.abc import Mapping
from typing import NamedTuple

from plantainsail.identity import Incarnation
from plantainsail.policy.decisions import OUTGROWN, Claim
from plantainsail.policy.scheduler import Scheduler
from plantainsail.policy.shares import ShareCounter
from plantainsail.policy.slices import (
    LEASE_S,
    MAX_NEEDS,
    MAX_ROOMS,
    MS_PER_S,
    Lease,
    Need,
    Room,
    SliceMessage,
)

# The memory to borrow from peers is planned at most this often.
NEEDS_INTERVAL_S = 0.1
# Memory is requested for at most this many waiting requests at a time.
MAX_REQUESTS_TO_PLAN = 64
# Less lendable memory on an engine is not offered to peers.
MIN_ROOM_TOKENS = 64


class CrowdMessage(NamedTuple):
    """One daemon's message to one peer.

    `receiver_nonce` names the incarnation of the receiver for which the
    echo and the leases in `slices` are meant; other incarnations ignore
    them.  `plans` and `organisations` are the sender's share counters.
    """

    receiver_nonce: int
    slices: SliceMessage
    plans: tuple[ShareCounter, ...] = ()
    organisations: tuple[ShareCounter, ...] = ()


class _WaitingRequest(NamedTuple):
    """A queued request, with the tokens that it would fill."""

    tokens: int
    plan: str
    organisation: str


class Exchange:
    """Builds and applies the share and slice messages of a daemon.

    `nonces` holds the nonce of each peer's latest message.  `needs`
    holds the memory to borrow, by the lender's address and then by
    host.  It was planned at `planned_s`.
    """

    def __init__(self, scheduler: Scheduler, incarnation: Incarnation) -> None:
        self.scheduler = scheduler
        self.incarnation = incarnation
        self.nonces: dict[str, int] = {}
        self.needs: dict[str, dict[str, Need]] = {}
        self.planned_s = float("-inf")

    def fill(
        self, address: str, peer: Incarnation | None, now_s: float
    ) -> CrowdMessage:
        """Return the message to the peer at an address."""
        book = self.scheduler.slices
        state = book.peers.get(address)
        self.plan_needs(now_s)
        waiting = self._waiting_by_plan()
        knows_incarnation = peer is not None and peer.nonce == self.nonces.get(
            address
        )
        leases = (
            self._grant_leases(address, now_s) if knows_incarnation else ()
        )
        return CrowdMessage(
            receiver_nonce=peer.nonce if peer is not None else 0,
            slices=SliceMessage(
                stamp_ms=int(now_s * MS_PER_S),
                echo_ms=state.stamp_ms if state and knows_incarnation else 0,
                silent=book.silent_peers(now_s),
                needs=tuple(self.needs.get(address, {}).values())[:MAX_NEEDS],
                leases=leases,
                rooms=self._rooms(now_s),
            ),
            plans=self.scheduler.plans.counters(waiting, now_s),
            organisations=self.scheduler.organisations.counters(
                self._waiting_by_organisation(), now_s
            ),
        )

    def absorb(
        self, peer: Incarnation, message: CrowdMessage, now_s: float
    ) -> None:
        """Apply a peer's message."""
        book = self.scheduler.slices
        if self.nonces.get(peer.address) != peer.nonce:
            self.nonces[peer.address] = peer.nonce
            book.restart_peer(peer.address)
        slices = message.slices
        if message.receiver_nonce != self.incarnation.nonce:
            slices = slices._replace(echo_ms=0, leases=())
        book.receive(peer.address, slices, now_s)
        self.scheduler.plans.receive(peer, message.plans, now_s)
        self.scheduler.organisations.receive(
            peer, message.organisations, now_s
        )
        self._update_claims(now_s)

    def plan_needs(self, now_s: float) -> None:
        """Decide how much memory to ask of which peers."""
        if now_s - self.planned_s < NEEDS_INTERVAL_S:
            return
        self.planned_s = now_s
        self.needs = {}
        for host in self.scheduler.accounts:
            self._keep_borrowed(host, now_s)
        for request in self._waiting_requests(now_s):
            self._borrow(request, now_s)

    def _keep_borrowed(self, host: str, now_s: float) -> None:
        """Ask again for the leases that running work needs."""
        book = self.scheduler.slices
        account = self.scheduler.accounts[host]
        account.refresh(now_s)
        own = book.own_tokens(host, now_s) - book.lent_tokens(host, now_s)
        uncovered = account.reserved - max(0, own)
        for lender, borrowed in book.borrowed.get(host, {}).items():
            if uncovered <= 0:
                return
            held = min(uncovered, borrowed.tokens)
            uncovered -= held
            self._add_need(lender, Need(host, held, held))
        if uncovered > 0:
            self._ask_for_outgrown(host, uncovered)

    def _ask_for_outgrown(self, host: str, outgrown: int) -> None:
        """Ask all holders for running work's excess over the limit."""
        lenders = self._lenders(host)
        for lender in lenders:
            part = outgrown // len(lenders)
            self._add_need(lender, Need(host, part, part, outgrown=outgrown))

    def _waiting_requests(self, now_s: float) -> list[_WaitingRequest]:
        """Return queued requests in scheduling order."""
        scheduler = self.scheduler
        requests: list[_WaitingRequest] = []
        for queue in scheduler.queues.values():
            for entry in queue.next_entries(
                lambda plan: scheduler.plans.weighted_usage(plan, now_s),
                lambda name: scheduler.organisations.weighted_usage(
                    name, now_s
                ),
                MAX_REQUESTS_TO_PLAN,
            ):
                tokens = entry.work.prompt_tokens + entry.expected_tokens
                work = entry.work
                requests.append(
                    _WaitingRequest(tokens, work.plan, work.organisation)
                )
        return requests

    def _borrow(self, request: _WaitingRequest, now_s: float) -> None:
        """Ask for one request's tokens on the engine with most room."""
        best_host = ""
        best_room = 0
        for host in self.scheduler.accounts:
            if host in self.scheduler.slowness.avoided:
                continue
            room = sum(
                self._unclaimed_room(p, host) for p in self._lenders(host)
            )
            room += max(0, self.scheduler.free_tokens(host, now_s))
            if room > best_room:
                best_host, best_room = host, room
        if best_host == "":
            return
        missing = request.tokens
        lenders = self._lenders(best_host)
        for lender in sorted(
            lenders, key=lambda p: -self._unclaimed_room(p, best_host)
        ):
            part = min(
                missing, max(0, self._unclaimed_room(lender, best_host))
            )
            if part <= 0:
                break
            missing -= part
            self._add_need(lender, _need(best_host, part, request))
        if missing == request.tokens and lenders:
            self._add_need(
                self.scheduler.random.choice(lenders),
                _need(best_host, missing, request),
            )

    def _lenders(self, host: str) -> list[str]:
        book = self.scheduler.slices
        host_slices = book.slices_by_host.get(host, {})
        return [name for name in host_slices if name != book.address]

    def _unclaimed_room(self, lender: str, host: str) -> int:
        state = self.scheduler.slices.peers.get(lender)
        room = state.rooms.get(host, 0) if state is not None else 0
        asked = self.needs.get(lender, {}).get(host)
        if asked is None:
            return room
        return room - (asked.tokens - asked.held)

    def _add_need(self, lender: str, need: Need) -> None:
        needs = self.needs.setdefault(lender, {})
        before = needs.get(need.host)
        if before is not None:
            need = Need(
                need.host,
                need.tokens + before.tokens,
                need.held + before.held,
                need.plan or before.plan,
                need.outgrown + before.outgrown,
                need.organisation or before.organisation,
            )
        needs[need.host] = need

    def _rooms(self, now_s: float) -> tuple[Room, ...]:
        """Return the largest amounts of memory that could be lent."""
        book = self.scheduler.slices
        rooms: list[Room] = []
        for host, account in self.scheduler.accounts.items():
            account.refresh(now_s)
            tokens = book.lendable(host, account.reserved, now_s)
            if tokens >= MIN_ROOM_TOKENS:
                rooms.append(Room(host, tokens))
        rooms.sort(key=lambda room: -room.tokens)
        return tuple(rooms[:MAX_ROOMS])

    def _grant_leases(self, address: str, now_s: float) -> tuple[Lease, ...]:
        """Lend a peer the tokens it needs, as far as shares allow."""
        book = self.scheduler.slices
        state = book.peers.get(address)
        if state is None or now_s - state.heard_s > LEASE_S:
            return ()
        leases: list[Lease] = []
        for need in state.needs.values():
            account = self.scheduler.accounts.get(need.host)
            if account is None:
                continue
            account.refresh(now_s)
            wanted = (
                need.held
                if self._own_work_comes_first(need, now_s)
                else need.tokens
            )
            lease = book.grant(
                address, need.host, wanted, account.reserved, now_s
            )
            if lease is not None:
                leases.append(lease)
        return tuple(leases)

    def _own_work_comes_first(self, need: Need, now_s: float) -> bool:
        """Return whether own queued work comes before a peer's need."""
        scheduler = self.scheduler
        account = scheduler.accounts[need.host]
        for model, hosts in scheduler.engines.items():
            if account.engine.host not in hosts:
                continue
            entry = scheduler.first_waiting(model, now_s)
            if entry is None:
                continue
            work = entry.work
            own = scheduler.fair_order.rank(
                work.plan, work.organisation, now_s
            )
            theirs = scheduler.fair_order.rank(
                need.plan, need.organisation, now_s
            )
            if need.plan == "" or own <= theirs:
                return True
        return False

    def _update_claims(self, now_s: float) -> None:
        """Collect the peers' needs that may come before own work."""
        claims: dict[str, list[Claim]] = {}
        book = self.scheduler.slices
        for state in book.peers.values():
            if now_s - state.heard_s > LEASE_S:
                continue
            for need in state.needs.values():
                host_claims = claims.setdefault(need.host, [])
                if need.outgrown > 0:
                    host_claims.append(Claim(OUTGROWN, need.outgrown))
                more = need.tokens - need.held
                if more <= 0 or need.plan == "":
                    continue
                rank = self.scheduler.fair_order.rank(
                    need.plan, need.organisation, now_s
                )
                host_claims.append(Claim(rank, more))
        self.scheduler.placer.claims = claims

    def _waiting_by_plan(self) -> Mapping[str, int]:
        counts: dict[str, int] = {}
        for queue in self.scheduler.queues.values():
            for plan, count in queue.waiting_by_plan().items():
                counts[plan] = counts.get(plan, 0) + count
        return counts

    def _waiting_by_organisation(self) -> Mapping[str, int]:
        counts: dict[str, int] = {}
        for queue in self.scheduler.queues.values():
            for name, queued in queue.organisations.items():
                counts[name] = counts.get(name, 0) + queued.count
        return counts


def _need(host: str, tokens: int, request: _WaitingRequest) -> Need:
    return Need(
        host=host,
        tokens=tokens,
        plan=request.plan,
        organisation=request.organisation,
    )
