"""Exchanges heartbeats with other daemons, one task per peer."""

import asyncio
from collections import Counter
from collections.abc import Sequence
from functools import partial

import grpc

from plantainsail.identity import Incarnation
from plantainsail.lists.model import HostEntry, Role
from plantainsail.logs import get_logger
from plantainsail.membership.cells import all_daemons, choose_contacts
from plantainsail.membership.liveness import (
    OUTSIDE_CELL_INTERVAL_FACTOR,
    PeerTable,
)
from plantainsail.membership.versions import is_compatible
from plantainsail.membership.view import PeerState
from plantainsail.peers.fleet_service import FleetService
from plantainsail.peers.marks_section import MarksSection
from plantainsail.peers.messages import (
    add_introduction,
    make_heartbeat,
    read_sender,
)
from plantainsail.peers.wire.fleet_pb2 import HeartbeatMessage
from plantainsail.runtime.contact import (
    HEARTBEAT_INTERVAL_S,
    Contact,
    is_due,
    wait_s,
)
from plantainsail.runtime.node import Node
from plantainsail.runtime.task_supervision import keep_running

# Equals no count of pauses, so that a starting daemon asks its peers.
NEVER_ASKED = -1
# Number of peers that hear of a new revision of the lists at once.
LISTS_FANOUT = 3
UPDATE_INTERVAL_S = 0.2
TLS_RELOAD_INTERVAL_S = 5.0
# Limits the exchanges in which a starting daemon fetches the leaving
# marks of one peer.
MAX_CATCH_UP_EXCHANGES = 100


class Fleet:
    """Keeps this daemon in contact with the other daemons."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.logger = get_logger("fleet")
        self.own_entry = HostEntry(
            host=node.settings.host,
            role=Role.ENTRY,
            address=node.incarnation.address,
            availability_zone=node.settings.availability_zone,
        )
        self.table = PeerTable()
        self.marks_section = MarksSection(node.marks, node.incarnation)
        self.contacts: dict[str, Contact] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.hosts_revision = -1
        self.announced_mark = 0
        self.tls_checked_s = node.now_s()
        node.life_cycle.peers_asked = NEVER_ASKED
        node.peers = self.table
        node.sections.append(self.marks_section)
        self.service = FleetService(self, node)
        node.registrations.append(self.service.register)

    async def run(self) -> None:
        """Keep in contact with the chosen peers until cancelled."""
        try:
            while True:
                self.update()
                await asyncio.sleep(UPDATE_INTERVAL_S)
        finally:
            # An open streaming call would delay the listener's end.
            self.service.closing.set()
            for task in self.tasks.values():
                task.cancel()

    def update(self) -> None:
        """Apply the current host list and send pending news at once."""
        now_s = self.node.now_s()
        hosts = self.node.store.hosts
        self.node.marks.apply_host_list(hosts, now_s)
        if hosts.revision != self.hosts_revision:
            self.hosts_revision = hosts.revision
            self._choose_contacts(list(hosts.hosts.values()))
        self.table.update_states(now_s)
        self._update_guests()
        self._start_tasks()
        self.marks_section.retain(self.table.incarnations())
        if self.node.marks.latest > self.announced_mark:
            self.wake_contacts()
        self._update_gauges(now_s)
        if self._has_unsent_suspects():
            self.node.quarantine.has_unsent_suspects = False
            self.node.part_quarantine.unsent.clear()
            self.send_heartbeats_now()
        if now_s - self.tls_checked_s >= TLS_RELOAD_INTERVAL_S:
            self.tls_checked_s = now_s
            self._reload_tls()

    def _has_unsent_suspects(self) -> bool:
        if self.node.quarantine.has_unsent_suspects:
            return True
        return bool(self.node.part_quarantine.unsent)

    def wake_contacts(self) -> None:
        """Wake the tasks of all contacts to send new marks."""
        self.announced_mark = self.node.marks.latest
        for contact in self.contacts.values():
            contact.wake.set()

    def announce_lists_revision(self) -> None:
        """Send a new revision of the lists to a few peers at once.

        Sending it to all would cost each daemon an extra heartbeat
        from each of its peers; the other peers get the revision with
        the regular heartbeats.
        """
        contacts = list(self.contacts.values())
        chosen = self.node.random.sample(
            contacts, min(LISTS_FANOUT, len(contacts))
        )
        for contact in chosen:
            contact.is_urgent = True
            contact.wake.set()

    def send_heartbeats_now(self) -> None:
        """Send a heartbeat to all peers at once."""
        for contact in self.contacts.values():
            contact.is_urgent = True
            contact.wake.set()

    async def refresh(self) -> bool:
        """Send heartbeats to all peers; return whether all were asked.

        A peer that does not answer in time counts as asked, as the
        daemon can't wait for a peer that is gone.  Returns False if
        the daemon was paused meanwhile.
        """
        pauses = self.node.life_cycle.pauses
        self.update()
        await asyncio.gather(
            *(self._catch_up(c) for c in list(self.contacts.values()))
        )
        self.update()
        if self.node.life_cycle.pauses != pauses:
            return False
        self.node.life_cycle.record_peers_asked(pauses)
        return True

    def answer(self, message: HeartbeatMessage) -> HeartbeatMessage:
        """Process a peer's heartbeat and return the reply."""
        sender = read_sender(message)
        known_incarnation = self.table.incarnation_at(
            sender.incarnation.address
        )
        if self.table.record_request(sender, self.node.now_s()):
            self._make_urgent(sender.incarnation.address)
        self._absorb(message, sender.incarnation)
        reply = self._compose(sender.incarnation)
        if message.HasField("introduction") or known_incarnation is None:
            self._introduce(reply)
        return reply

    def count_refused(self, reason: str) -> None:
        """Count a peer's call or reply that was refused."""
        self.node.metrics.peer_refusals.labels(reason).inc()

    async def _catch_up(self, contact: Contact) -> None:
        for _ in range(MAX_CATCH_UP_EXCHANGES):
            if not await self.exchange(contact):
                return
            peer = self.table.incarnation_at(contact.address)
            if peer is None or self.marks_section.has_all_marks_of(peer):
                return

    async def exchange(self, contact: Contact) -> bool:
        """Send one heartbeat; return whether the peer answered."""
        address = contact.address
        number = self.table.begin_exchange()
        contact.last_exchange_s = self.node.now_s()
        contact.is_urgent = False
        known_incarnation = self.table.incarnation_at(address)
        message = self._compose(known_incarnation)
        if known_incarnation is None:
            self._introduce(message)
        try:
            reply = await self.node.links.heartbeat(address, message)
        except grpc.RpcError as error:
            contact.is_answering = False
            self._record_failure(address, error)
            return False
        if not is_compatible(reply.version):
            self.count_refused("version")
            return False
        contact.is_answering = True
        sender = read_sender(reply)
        self.table.record_reply(number, sender, self.node.now_s())
        self._absorb(reply, sender.incarnation)
        self.node.metrics.heartbeats.labels("answered").inc()
        return True

    def _record_failure(self, address: str, error: grpc.RpcError) -> None:
        code = error.code()
        self.node.metrics.heartbeats.labels(code.name.lower()).inc()
        if code is grpc.StatusCode.UNAVAILABLE:
            self.table.record_connection_refused(address)

    def _compose(self, peer: Incarnation | None) -> HeartbeatMessage:
        state = self.node.life_cycle.state
        message = make_heartbeat(
            self.node.incarnation,
            is_draining=state in ("settling", "draining", "draining_unsure"),
            is_unsure=state in ("starting", "unsure", "draining_unsure"),
        )
        for section in self.node.sections:
            section.fill(message, peer, self.node.now_s())
        return message

    def _introduce(self, message: HeartbeatMessage) -> None:
        add_introduction(
            message, self.own_entry.host, self.own_entry.availability_zone
        )

    def _absorb(self, message: HeartbeatMessage, peer: Incarnation) -> None:
        for section in self.node.sections:
            section.absorb(message, peer, self.node.now_s())
        if self.node.marks.latest > self.announced_mark:
            self.wake_contacts()

    def _make_urgent(self, address: str) -> None:
        contact = self.contacts.get(address)
        if contact is not None:
            contact.is_urgent = True
            contact.wake.set()

    def _choose_contacts(self, hosts: Sequence[HostEntry]) -> None:
        daemons = all_daemons(hosts, self.own_entry)
        self.table.set_entries(daemons)
        chosen = choose_contacts(hosts, self.own_entry)
        cell = {entry.address for entry in chosen.cell}
        outside_cell = {entry.address for entry in chosen.outside_cell}
        self.table.set_cell(cell)
        for address in list(self.contacts):
            if address not in cell | outside_cell:
                self._remove_contact(address)
        for address in sorted(cell | outside_cell):
            self._add_or_update_contact(
                Contact(
                    address,
                    is_initiator=self.own_entry.address < address,
                    interval_s=(
                        HEARTBEAT_INTERVAL_S
                        if address in cell
                        else HEARTBEAT_INTERVAL_S
                        * OUTSIDE_CELL_INTERVAL_FACTOR
                    ),
                )
            )

    def _add_or_update_contact(self, contact: Contact) -> None:
        existing = self.contacts.get(contact.address)
        if existing is None:
            self.contacts[contact.address] = contact
            return
        existing.is_inbound = contact.is_inbound
        existing.interval_s = contact.interval_s
        existing.is_initiator = contact.is_initiator

    def _update_guests(self) -> None:
        for address in self.table.records:
            if address not in self.contacts:
                self._add_or_update_contact(Contact(address, is_inbound=True))
        for address, contact in list(self.contacts.items()):
            if contact.is_inbound and address not in self.table.records:
                self._remove_contact(address)

    def _remove_contact(self, address: str) -> None:
        del self.contacts[address]
        self.node.links.forget(address)
        task = self.tasks.pop(address, None)
        if task is not None:
            task.cancel()

    def _start_tasks(self) -> None:
        for address, contact in self.contacts.items():
            if address in self.tasks:
                continue
            self.tasks[address] = asyncio.create_task(
                keep_running(
                    "contact",
                    partial(self._keep_contact, contact),
                    self.node.metrics,
                )
            )

    async def _keep_contact(self, contact: Contact) -> None:
        while True:
            contact.wake.clear()
            now_s = self.node.now_s()
            peer = self.table.incarnation_at(contact.address)
            silent_s = self.table.silence_duration_s(contact.address, now_s)
            has_news = self.marks_section.has_marks_for(peer)
            if is_due(contact, silent_s, has_news, now_s):
                await self.exchange(contact)
                continue
            delay_s = wait_s(contact, silent_s, has_news, now_s)
            try:
                async with asyncio.timeout(delay_s):
                    await contact.wake.wait()
            except TimeoutError:
                continue

    def _update_gauges(self, now_s: float) -> None:
        metrics = self.node.metrics
        counts = Counter(p.state for p in self.table.peers(now_s))
        for state in PeerState:
            metrics.peers.labels(state.value).set(counts[state])
        for kind, count in self.node.running.counts.items():
            metrics.running.labels(kind).set(count)
        metrics.peer_links_replaced.set(self.node.links.replaced)

    def _reload_tls(self) -> None:
        if self.node.tls is None or not self.node.tls.reload():
            return
        self.logger.info("TLS certificates reloaded")
        self.node.links.reload()
