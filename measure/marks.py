"""Measure how long a leaving mark takes to reach all daemons.

    python -m measure marks

prints one JSON line for each fleet size and network: the simulated
seconds until the last daemon knows the mark, as the worst of some
seeds.  Messages are real heartbeat sections.  Each has its own random
delay, so they can overtake each other, and some are lost.  A lost
request or reply ends the exchange at its timeout, and a contact has at
most one exchange at a time, as in the daemon.
"""

import heapq
import itertools
import json
import random
from collections.abc import Callable
from typing import NamedTuple

from measure.membership import all_contacts, make_host_list
from plantainsail.identity import Incarnation
from plantainsail.lists.model import HostEntry, Role
from plantainsail.membership.cells import Contacts
from plantainsail.membership.liveness import OUTSIDE_CELL_INTERVAL_FACTOR
from plantainsail.membership.marks import LeavingMarks
from plantainsail.peers.links import CALL_DEADLINE_S
from plantainsail.peers.marks_section import MarksSection
from plantainsail.peers.messages import make_heartbeat
from plantainsail.peers.wire.fleet_pb2 import HeartbeatMessage
from plantainsail.runtime.contact import (
    HEARTBEAT_INTERVAL_S,
    Contact,
    wait_s,
)

FLEET_SIZES = (9, 540)
SEEDS = range(1, 6)
MIN_DELAY_S = 0.0005
LIMIT_S = 30.0
ENGINE = HostEntry("engine-1", Role.ENGINE, "10.9.0.1:1", "zone-0")


class Network(NamedTuple):
    """The loss and delay of messages; delays are uniform."""

    loss_share: float
    max_delay_s: float


NETWORKS = (
    Network(0.0, 0.1),
    Network(0.05, 0.1),
    Network(0.2, 0.3),
    Network(0.5, 0.5),
)


class MarkDaemon:
    """The state of one daemon that concerns leaving marks."""

    def __init__(self, address: str, nonce: int) -> None:
        self.own = Incarnation(address, nonce)
        self.marks = LeavingMarks()
        self.section = MarksSection(self.marks, self.own)
        self.contacts: dict[str, Contact] = {}
        # The number of the running exchange with each contact.
        self.exchanges: dict[str, int] = {}
        self.last_heard_s: dict[str, float] = {}


class MarkFleet:
    """Simulated daemons, with a queue of events ordered by time."""

    def __init__(
        self,
        contacts_by_host: dict[str, Contacts],
        network: Network,
        seed: int,
    ) -> None:
        self.network = network
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.sequence_numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.daemons: dict[str, MarkDaemon] = {}
        self.unaware_count = 0
        addresses = {
            entry.host: entry.address
            for contacts in contacts_by_host.values()
            for entry in (*contacts.cell, *contacts.outside_cell)
        }
        for nonce, (host, contacts) in enumerate(contacts_by_host.items(), 1):
            address = addresses[host]
            daemon = MarkDaemon(address, nonce)
            self.daemons[address] = daemon
            for entry in contacts.cell:
                self._add_contact(daemon, entry, HEARTBEAT_INTERVAL_S)
            for entry in contacts.outside_cell:
                self._add_contact(
                    daemon,
                    entry,
                    HEARTBEAT_INTERVAL_S * OUTSIDE_CELL_INTERVAL_FACTOR,
                )
        for daemon in self.daemons.values():
            for address in daemon.contacts:
                self._wake_contact(daemon, address)

    def _add_contact(
        self, daemon: MarkDaemon, entry: HostEntry, interval_s: float
    ) -> None:
        contact = Contact(
            entry.address,
            is_initiator=daemon.own.address < entry.address,
            interval_s=interval_s,
        )
        # The last heartbeat was at a random time in one interval.
        last_start_s = -self.random.uniform(0.0, interval_s)
        contact.last_exchange_s = daemon.last_heard_s[entry.address] = (
            last_start_s
        )
        daemon.contacts[entry.address] = contact

    def run_until_known(self, first_daemon: str) -> float:
        """Set a mark at one daemon; return when all daemons know it."""
        self.daemons[first_daemon].marks.mark_draining(ENGINE, self.now_s)
        self._wake_all_contacts(self.daemons[first_daemon])
        self.unaware_count = len(self.daemons) - 1
        while self.unaware_count and self.now_s < LIMIT_S:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        return self.now_s

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        event = (self.now_s + delay_s, next(self.sequence_numbers), action)
        heapq.heappush(self.events, event)

    def _wake_all_contacts(self, daemon: MarkDaemon) -> None:
        for address in daemon.contacts:
            self._wake_contact(daemon, address)

    def _wake_contact(self, daemon: MarkDaemon, address: str) -> None:
        """Start an exchange with a contact if due, or schedule it."""
        if address in daemon.exchanges:
            return
        contact = daemon.contacts[address]
        peer = self.daemons[address].own
        delay_s = wait_s(
            contact,
            self.now_s - daemon.last_heard_s[address],
            daemon.section.has_marks_for(peer),
            self.now_s,
        )
        if delay_s > 0:
            self._schedule(
                delay_s, lambda: self._wake_contact(daemon, address)
            )
            return
        contact.last_exchange_s = self.now_s
        number = daemon.exchanges[address] = next(self.sequence_numbers)
        message = self._compose(daemon, peer)
        self._send(lambda: self._answer(daemon, address, message, number))
        self._schedule(
            CALL_DEADLINE_S,
            lambda: self._end_exchange(daemon, address, number, None),
        )

    def _send(self, arrive: Callable[[], None]) -> None:
        if self.random.random() < self.network.loss_share:
            return
        delay_s = self.random.uniform(MIN_DELAY_S, self.network.max_delay_s)
        self._schedule(delay_s, arrive)

    def _compose(
        self, daemon: MarkDaemon, peer: Incarnation
    ) -> HeartbeatMessage:
        message = make_heartbeat(daemon.own, False, False)
        daemon.section.fill(message, peer, self.now_s)
        return message

    def _answer(
        self,
        sender: MarkDaemon,
        address: str,
        message: HeartbeatMessage,
        number: int,
    ) -> None:
        receiver = self.daemons[address]
        self._absorb(receiver, message, sender.own)
        reply = self._compose(receiver, sender.own)
        self._send(lambda: self._end_exchange(sender, address, number, reply))

    def _end_exchange(
        self,
        daemon: MarkDaemon,
        address: str,
        number: int,
        reply: HeartbeatMessage | None,
    ) -> None:
        """End an exchange at its reply or its timeout, once only."""
        if daemon.exchanges.get(address) != number:
            return
        del daemon.exchanges[address]
        daemon.contacts[address].is_answering = reply is not None
        if reply is not None:
            self._absorb(daemon, reply, self.daemons[address].own)
        self._wake_contact(daemon, address)

    def _absorb(
        self, daemon: MarkDaemon, message: HeartbeatMessage, peer: Incarnation
    ) -> None:
        latest_before = daemon.marks.latest
        daemon.section.absorb(message, peer, self.now_s)
        daemon.last_heard_s[peer.address] = self.now_s
        if daemon.marks.latest > latest_before:
            self.unaware_count -= 1
            self._wake_all_contacts(daemon)


def time_until_known(daemon_count: int, network: Network, seed: int) -> float:
    """Return the seconds until all daemons know a mark."""
    contacts_by_host = all_contacts(make_host_list(daemon_count))
    fleet = MarkFleet(contacts_by_host, network, seed)
    first_daemon = fleet.random.choice(sorted(fleet.daemons))
    return fleet.run_until_known(first_daemon)


def main() -> None:
    """Print the figures for all fleet sizes and networks."""
    for daemon_count in FLEET_SIZES:
        for network in NETWORKS:
            times = [
                time_until_known(daemon_count, network, seed) for seed in SEEDS
            ]
            worst_s = max(times)
            figures = {
                "daemons": daemon_count,
                "loss_share": network.loss_share,
                "max_delay_s": network.max_delay_s,
                "worst_s": round(worst_s, 2),
                "worst_seed": SEEDS[times.index(worst_s)],
                "seeds": len(times),
            }
            print(json.dumps(figures))


if __name__ == "__main__":
    main()
