"""Mints tickets and caches the peers' periods that they contain."""

import asyncio
from typing import NamedTuple

from plantainsail.identity import Incarnation
from plantainsail.membership.view import Peer, PeerState
from plantainsail.runtime.node_core import NodeCore
from plantainsail.runtime.ticket_links import TicketLinks
from plantainsail.tickets.executor import Executor
from plantainsail.tickets.mint import (
    Candidate,
    choose_participants,
    make_ticket,
)
from plantainsail.tickets.ticket import Participant, sign_ticket

PERIOD_REFRESH_S = 30.0
PERIOD_CHECK_S = 0.5
PERIOD_TIMEOUT_S = 1.0


class PeerPeriod(NamedTuple):
    """A peer's period and the time when it was received.

    An outdated period is safe: the ticket only expires earlier.
    """

    period: int
    received_at_s: float


class TicketMint:
    """Mints the tickets that this daemon issues to callers."""

    def __init__(
        self, node: NodeCore, executor: Executor, links: TicketLinks
    ) -> None:
        self.node = node
        self.executor = executor
        self.links = links
        self.peer_periods: dict[Incarnation, PeerPeriod] = {}

    def mint(self, organisation: str) -> str | None:
        """Return a new signed ticket, or None if none can be minted."""
        node = self.node
        if node.find_act_failure() is not None:
            return None
        participants = choose_participants(
            self._own_candidate(),
            self._peer_candidates(),
            node.settings.availability_zone,
            node.random,
        )
        if participants is None:
            return None
        ticket = make_ticket(
            participants, organisation, node.store.lists.revision, node.random
        )
        return sign_ticket(ticket, node.signer)

    def _own_candidate(self) -> Candidate | None:
        node = self.node
        now_s = node.now_s()
        if node.life_cycle.state != "serving" or self.executor.is_full(now_s):
            return None
        period = self.executor.clock.period(now_s)
        return Candidate(
            Participant(node.incarnation, period),
            node.settings.availability_zone,
        )

    def _peer_candidates(self) -> list[Candidate]:
        candidates = []
        for peer in self._usable_peers():
            peer_period = self.peer_periods.get(peer.incarnation)
            if peer_period is None:
                continue
            candidates.append(
                Candidate(
                    Participant(peer.incarnation, peer_period.period),
                    peer.availability_zone,
                )
            )
        return candidates

    def _usable_peers(self) -> list[Peer]:
        return [
            peer
            for peer in self.node.peers.peers(self.node.now_s())
            if peer.state is PeerState.ALIVE and not peer.is_draining
        ]

    def forget_period(self, incarnation: Incarnation) -> None:
        """Leave a peer out of new tickets until it answers again."""
        self.peer_periods.pop(incarnation, None)

    async def run(self) -> None:
        """Refresh the peers' periods until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(PERIOD_CHECK_S)

    async def refresh(self) -> None:
        """Ask each peer whose period is missing or outdated."""
        now_s = self.node.now_s()
        peers = self._usable_peers()
        incarnations = {peer.incarnation for peer in peers}
        for vanished in self.peer_periods.keys() - incarnations:
            del self.peer_periods[vanished]
        due = [i for i in incarnations if self._is_due(i, now_s)]
        await asyncio.gather(*(self._ask(incarnation) for incarnation in due))

    def _is_due(self, incarnation: Incarnation, now_s: float) -> bool:
        peer_period = self.peer_periods.get(incarnation)
        return (
            peer_period is None
            or now_s - peer_period.received_at_s > PERIOD_REFRESH_S
        )

    async def _ask(self, incarnation: Incarnation) -> None:
        period = await self.links.period(incarnation, PERIOD_TIMEOUT_S)
        if period is not None:
            self.peer_periods[incarnation] = PeerPeriod(
                period, self.node.now_s()
            )
