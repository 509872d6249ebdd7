"""Gets newer revisions of the lists from other daemons."""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from expression import Result

from plantainsail.lists.service_read import Refusal
from plantainsail.lists.snapshot import Family
from plantainsail.lists.start_gate import PeerAnswer, PeerReport
from plantainsail.lists.watchers import neighbours
from plantainsail.peers.list_parts import (
    ProbeOutcome,
    fetch_family,
    probe_revision,
)
from plantainsail.runtime.node_core import NodeCore

MAX_ASKED_NEIGHBOURS = 6
MAX_ASKED_OTHERS = 2
ANNOUNCED_NEIGHBOURS = 2
MAX_SOURCES = 8


class PeerRevisions(NamedTuple):
    """The highest revisions that one peer reported."""

    address: str
    report: PeerReport

    def revision(self, family: Family) -> int:
        """Return the revision of a family that the peer reported."""
        if family is Family.LISTS:
            return self.report.lists_revision
        return self.report.hosts_revision


class ListPeers:
    """Asks other daemons for their revisions and list parts.

    `sources` holds, in order of arrival, the addresses of peers whose
    heartbeats showed a newer revision; `newer` is set when an address
    is added.
    """

    def __init__(self, node: NodeCore) -> None:
        self.node = node
        self.sources: dict[str, None] = {}
        self.newer = asyncio.Event()
        self.announcing: set[asyncio.Task[ProbeOutcome]] = set()

    def add_source(self, address: str) -> None:
        """Add the address of a peer that has a newer revision."""
        self.sources.pop(address, None)
        self.sources[address] = None
        if len(self.sources) > MAX_SOURCES:
            del self.sources[next(iter(self.sources))]
        self.newer.set()

    def neighbours(self) -> Sequence[str]:
        """Return other daemons' addresses in this host's own order."""
        own = self.node.settings
        return tuple(
            entry.address
            for entry in neighbours(self.node.store.hosts, own.host)
            if entry.address != own.peer_address
        )

    def addresses(self) -> Sequence[str]:
        """Return the addresses of peers to ask.

        These are the known sources, the neighbours (to which an
        earlier incarnation of this daemon announced its revisions) and
        a few others chosen at random.
        """
        listed = self.neighbours()
        nearest = listed[:MAX_ASKED_NEIGHBOURS]
        others = listed[MAX_ASKED_NEIGHBOURS:]
        sample_size = min(MAX_ASKED_OTHERS, len(others))
        sample = self.node.random.sample(others, sample_size)
        return tuple(dict.fromkeys([*self.sources, *nearest, *sample]))

    async def announce(self, family: Family, revision: int) -> None:
        """Announce a revision to neighbours before it comes in force.

        If this daemon restarts while the service is stale, the
        neighbours still know that the revision was in force.  Returns
        once one neighbour has answered or all calls have failed.
        """
        asked = [
            asyncio.create_task(
                probe_revision(
                    self.node.links.channel(address),
                    family,
                    self.node.now_s,
                    announced_revision=revision,
                )
            )
            for address in self.neighbours()[:ANNOUNCED_NEIGHBOURS]
        ]
        for task in asked:
            self.announcing.add(task)
            task.add_done_callback(self.announcing.discard)
        for answered in asyncio.as_completed(asked):
            outcome = await answered
            if outcome.answer in (PeerAnswer.SURE, PeerAnswer.STARTING):
                return

    async def ask_all(self) -> Sequence[PeerRevisions]:
        """Ask the chosen peers for their revisions."""
        asked = [self._probe(address) for address in self.addresses()]
        return await asyncio.gather(*asked)

    async def _probe(self, address: str) -> PeerRevisions:
        """Ask one peer; its reply may confirm revisions in force."""
        store = self.node.store
        revisions: dict[Family, int] = {}
        answer = PeerAnswer.SILENT
        for family in Family:
            probed = await probe_revision(
                self.node.links.channel(address), family, self.node.now_s
            )
            answer = probed.answer
            if answer in (PeerAnswer.SILENT, PeerAnswer.REFUSED):
                return PeerRevisions(address, PeerReport(answer))
            revisions[family] = probed.seen_revision
            store.confirm(probed.confirmed_at_s, family, probed.revision)
        return PeerRevisions(
            address,
            PeerReport(
                answer, revisions[Family.LISTS], revisions[Family.HOSTS]
            ),
        )

    async def fetch(
        self, address: str, family: Family
    ) -> Result[bool, Refusal] | None:
        """Fetch a family from a peer and put it in force if newer.

        Returns None if the peer delivered no snapshot.
        """
        store = self.node.store
        outcome = await fetch_family(
            self.node.links.channel(address), family, store, self.node.now_s
        )
        offered: Result[bool, Refusal] | None = None
        if outcome.transfer.snapshot is not None:
            offered = store.offer(family, outcome.transfer.snapshot)
        if outcome.revision > 0:
            store.record_seen_revision(
                family, outcome.revision, self.node.now_s()
            )
            store.confirm(outcome.confirmed_at_s, family, outcome.revision)
        return offered
