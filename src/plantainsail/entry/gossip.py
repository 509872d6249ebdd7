"""Gossip between entry daemons about liveness, load and freshness.

Datagrams carry state that soon becomes outdated, so a lost one is
replaced by the next.  Configurations and lists of upstreams are larger,
and a daemon that lags a peer fetches them over gRPC.
"""

import asyncio

import grpc

from plantainsail.decoding import UndecodableError
from plantainsail.entry.announcements import Announcements
from plantainsail.entry.datagrams import (
    ENCODER,
    FORWARD_PREFIX,
    INTRODUCTION_PREFIX,
    LIST_CHANGE_PREFIX,
    decode_heartbeat,
    decode_introduction,
    decode_list_change,
    encode_heartbeat,
)
from plantainsail.entry.heartbeats import (
    apply_heartbeat,
    make_heartbeat,
    make_whole_heartbeat,
)
from plantainsail.entry.node import EntryNode
from plantainsail.entry.snapshot import SnapshotExchange
from plantainsail.routing.compact import compact
from plantainsail.routing.fleet_loads import PEER_SILENCE_S
from plantainsail.routing.members import (
    ALL_WATCH_FLEET,
    Member,
    contact_interval_s,
    distributor_interval_s,
    heartbeat_interval_s,
)
from plantainsail.routing.messages import (
    Heartbeat,
    Introduction,
    ListChange,
    LoadEntry,
)
from plantainsail.routing.order_spread import (
    ROUND_INTERVAL_S,
    ROUNDS,
    Sender,
    choose_order_receivers,
)
from plantainsail.routing.spread import Receivers, choose_receivers
from plantainsail.settings import split_address

LOAD_CHANGE_DELAY_S = 0.004
# A round sends heartbeats to all members, but to silent ones only once
# in this many rounds, and in each of the first rounds of a daemon.
SILENT_MEMBER_ROUNDS = 4
FIRST_CONTACT_ROUNDS = 8
# Heartbeats list other members once in this many rounds, and in each of
# the first rounds of a daemon.
MEMBER_LIST_ROUNDS = 4
STARTUP_ROUNDS = 40
# Members whose availability zone is unknown are asked once in this many
# rounds, and when they are met.
ZONE_QUESTION_ROUNDS = 4
# Absorbs timers that fire slightly early or late.
DUE_SLACK_S = 0.05

# Peers that lag fetch larger changes over gRPC.
MAX_LIST_CHANGE_BYTES = 1_300
# Spreads the fetches of daemons that fall behind at the same time.
MAX_FETCH_DELAY_S = 0.25
# Absorbs timers that fire slightly early.
RECHECK_MARGIN_S = 0.01


class Gossip(asyncio.DatagramProtocol):
    """Exchanges heartbeats and list changes with all peers."""

    def __init__(self, node: EntryNode, snapshots: SnapshotExchange) -> None:
        self.node = node
        self.snapshots = snapshots
        self.announcements = Announcements(node)
        self.sequence = 0
        self.rounds = 0
        self.spread_turn = 0
        self.next_round_s = 0.0
        self.transport: asyncio.DatagramTransport | None = None
        self.live: set[str] = set()
        self.fetch_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the datagram socket."""
        loop = asyncio.get_running_loop()
        address = split_address(self.node.settings.peer_address)
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )

    async def run(self) -> None:
        """Send heartbeats at intervals and urgent changes at once."""
        await asyncio.gather(
            self._send_heartbeats(),
            self._send_load_changes(),
            self._send_engine_states(),
            self._send_announcements(),
            self._send_zone_orders(),
        )

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Decode and apply one message."""
        if data.startswith(FORWARD_PREFIX):
            data = data[1:]
            self._send_to_zone(data)
        try:
            if data.startswith(LIST_CHANGE_PREFIX):
                self._apply_list_change(decode_list_change(data[1:]))
                return
            if data.startswith(INTRODUCTION_PREFIX):
                self._introduce(decode_introduction(data[1:]))
                return
            if self.announcements.apply(data):
                return
            heartbeat = decode_heartbeat(data, self.node.members.members)
        except UndecodableError as error:
            self.node.log.warning("message unreadable", reason=str(error))
            return
        now_s = self.node.now_s()
        known_member = self.node.members.members.get(heartbeat.address)
        is_new = known_member is None or known_member.nonce != heartbeat.nonce
        member = self.node.members.record_heartbeat(heartbeat, now_s)
        if member is None:
            return
        if is_new:
            self._answer_new_member(member)
        apply_heartbeat(self.node, heartbeat, now_s)
        self._fetch_if_behind(member)

    def error_received(self, error: Exception) -> None:
        """Log that a message could not be sent."""
        self.node.log.debug("message not sent", reason=str(error))

    def announce(self) -> None:
        """Send all daemons a heartbeat now, such as on leaving."""
        message = make_whole_heartbeat(self.node)
        for member in list(self.node.members.members.values()):
            self._send(member, message)

    def send_list_change(self, change: ListChange) -> None:
        """Send changed upstream entries to all live daemons.

        Only a distributor sends them.
        """
        now_s = self.node.now_s()
        if not self.node.members.is_distributor(now_s):
            return
        data = LIST_CHANGE_PREFIX + ENCODER.encode(compact(change))
        if len(data) > MAX_LIST_CHANGE_BYTES:
            return
        self._spread(data, self.node.members.live(now_s))

    def _apply_list_change(self, change: ListChange) -> None:
        registry = self.node.registry
        # The message has all changes after revision `after`, some of
        # which may be applied already.
        if not change.after <= registry.revision < change.revision:
            return
        now_s = self.node.now_s()
        departures = []
        for upstream in change.written:
            departures += registry.put(upstream, change.revision, now_s)
        for identifier in change.removed:
            departures += registry.remove(identifier, change.revision, now_s)
        self.node.record_departures(departures, change.address)

    def _answer_new_member(self, member: Member) -> None:
        """Send a heartbeat at once to a new or restarted daemon.

        Daemons that start together discover each other within
        milliseconds, before all of them choose the same engine.
        """
        self.node.fleet_loads.forget(member.address)
        self._ask_zone(member)
        message = make_whole_heartbeat(self.node)
        self._send(member, message)
        self._repeat_announcements(member)
        for other in self.node.members.take_ungreeted():
            self._send(other, message)

    async def _send_heartbeats(self) -> None:
        while True:
            now_s = self.node.now_s()
            self._update_live_peers(now_s)
            message = make_whole_heartbeat(self.node)
            if not self._is_due(STARTUP_ROUNDS, MEMBER_LIST_ROUNDS):
                message = message._replace(members=())
            if now_s + DUE_SLACK_S < self.next_round_s:
                for member in self.node.members.distributors(now_s):
                    self._send(member, message)
            else:
                self._send_round(message, now_s)
            await asyncio.sleep(contact_interval_s(len(self.live)))

    def _send_round(self, message: Heartbeat, now_s: float) -> None:
        """Send a heartbeat to all members.

        Those of a distributor are proofs of freshness, which each
        receiver gets with the echo of its own heartbeat.
        """
        members = self.node.members
        peers = len(self.live)
        self.rounds += 1
        is_silent_due = self._is_due(
            FIRST_CONTACT_ROUNDS, SILENT_MEMBER_ROUNDS
        )
        # Builds that know no introductions log each question.
        is_question_due = self._is_due(0, ZONE_QUESTION_ROUNDS)
        live: list[Member] = []
        for member in members.members.values():
            if member.address in self.live:
                live.append(member)
                if member.availability_zone is None and is_question_due:
                    self._ask_zone(member)
            elif is_silent_due:
                self._send(member, message)
        if live:
            self._repeat_announcements(self.node.random.choice(live))
        if members.is_distributor(now_s):
            self.next_round_s = now_s + distributor_interval_s(peers)
            for member in live:
                self._send(member, message)
            return
        self.next_round_s = now_s + heartbeat_interval_s(peers)
        distributors = members.distributors(now_s)
        for member in distributors:
            self._send(member, message)
        others = [member for member in live if member not in distributors]
        self._spread_heartbeat(message, others)

    def _is_due(self, first_rounds: int, interval_rounds: int) -> bool:
        """Return whether something is done in the present round.

        It is done in each of the daemon's first rounds, and in one of
        `interval_rounds` afterwards.
        """
        if self.rounds <= first_rounds:
            return True
        return self.rounds % interval_rounds == 0

    async def _send_load_changes(self) -> None:
        while True:
            await self.node.load_changed.wait()
            self.node.load_changed.clear()
            await asyncio.sleep(LOAD_CHANGE_DELAY_S)
            changed = self.node.fleet_loads.pop_changed()
            if not changed:
                continue
            loads = tuple(
                LoadEntry(identifier, load)
                for identifier, load in changed.items()
            )
            self._send_to_live(
                make_heartbeat(self.node, loads, is_whole=False)
            )

    async def _send_engine_states(self) -> None:
        while True:
            await self.node.engine_state_changed.wait()
            self.node.engine_state_changed.clear()
            self._send_to_live(make_heartbeat(self.node, (), is_whole=False))

    async def _send_announcements(self) -> None:
        while True:
            await self.node.announcements_pending.wait()
            self.node.announcements_pending.clear()
            await asyncio.sleep(LOAD_CHANGE_DELAY_S)
            live = self.node.members.live(self.node.now_s())
            for data in self.announcements.take_news():
                self._spread(data, live)

    async def _send_zone_orders(self) -> None:
        pending = self.node.zone_orders_pending
        while True:
            await pending.wait()
            pending.clear()
            for _ in range(ROUNDS):
                self._send_zone_order_round()
                await asyncio.sleep(ROUND_INTERVAL_S)

    def _send_zone_order_round(self) -> None:
        node = self.node
        settings = node.settings
        self.spread_turn += 1
        receivers = choose_order_receivers(
            Sender(
                settings.peer_address,
                settings.availability_zone,
                self.spread_turn,
            ),
            node.members,
            node.random,
            node.now_s(),
        )
        for data in self.announcements.zone_orders():
            for member in receivers.direct:
                self._send_data(member, data)
            self._send_to_forwarders(receivers, data)

    def _repeat_announcements(self, member: Member) -> None:
        for data in self.announcements.repeat():
            self._send_data(member, data)

    def _send_to_live(self, message: Heartbeat) -> None:
        live = self.node.members.live(self.node.now_s())
        self._spread_heartbeat(message, live)

    def _spread_heartbeat(
        self, message: Heartbeat, members: list[Member]
    ) -> None:
        """Send one heartbeat to many members.

        One that is forwarded carries no echo, as that would be for a
        single receiver.
        """
        receivers = self._receivers(members)
        for member in receivers.direct:
            self._send(member, message)
        if not receivers.forwarders:
            return
        self.sequence += 1
        data = encode_heartbeat(message._replace(sequence=self.sequence))
        self._send_to_forwarders(receivers, data)

    def _spread(self, data: bytes, members: list[Member]) -> None:
        """Send the same message to many members."""
        receivers = self._receivers(members)
        for member in receivers.direct:
            self._send_data(member, data)
        self._send_to_forwarders(receivers, data)

    def _send_to_forwarders(self, receivers: Receivers, data: bytes) -> None:
        for member in receivers.forwarders:
            self._send_data(member, FORWARD_PREFIX + data)

    def _receivers(self, members: list[Member]) -> Receivers:
        settings = self.node.settings
        self.spread_turn += 1
        return choose_receivers(
            settings.peer_address,
            settings.availability_zone,
            members,
            self.spread_turn,
        )

    def _send_to_zone(self, data: bytes) -> None:
        """Forward a message to the other daemons of this zone."""
        zone = self.node.settings.availability_zone
        for member in self.node.members.live(self.node.now_s()):
            if member.availability_zone == zone:
                self._send_data(member, data)

    def _ask_zone(self, member: Member) -> None:
        self._send_introduction(member, is_question=True)

    def _introduce(self, introduction: Introduction) -> None:
        """Record a daemon's zone, and answer if it asked for ours."""
        member = self.node.members.members.get(introduction.address)
        if member is None:
            return
        member.availability_zone = introduction.availability_zone
        if introduction.is_question:
            self._send_introduction(member, is_question=False)

    def _send_introduction(self, member: Member, *, is_question: bool) -> None:
        settings = self.node.settings
        introduction = Introduction(
            settings.peer_address, settings.availability_zone, is_question
        )
        data = INTRODUCTION_PREFIX + ENCODER.encode(introduction)
        self._send_data(member, data)

    def _send(self, member: Member, message: Heartbeat) -> None:
        self.sequence += 1
        addressed = message._replace(
            sequence=self.sequence,
            echo_ms=member.sent_ms,
            echo_nonce=member.nonce,
        )
        self._send_data(member, encode_heartbeat(addressed))

    def _send_data(self, member: Member, data: bytes) -> None:
        assert self.transport is not None
        self.transport.sendto(data, split_address(member.address))

    def _fetch_if_behind(self, member: Member) -> None:
        """Fetch a member's lists if this daemon lags it too long.

        While it lags for a shorter time, this is checked again without
        another heartbeat, as the next one may be seconds away in a
        large fleet.
        """
        node = self.node
        version, revision = node.in_force.version, node.registry.revision
        before = member.ahead
        if not member.is_ahead_too_long(version, revision, node.now_s()):
            if member.ahead is not None and member.ahead != before:
                delay_s = RECHECK_MARGIN_S + member.ahead.limit_s(version)
                asyncio.get_running_loop().call_later(
                    delay_s, self._fetch_if_behind, member
                )
            return
        if self.fetch_task is not None and not self.fetch_task.done():
            return
        self.fetch_task = asyncio.create_task(self._fetch())

    async def _fetch(self) -> None:
        node = self.node
        if len(self.live) >= ALL_WATCH_FLEET:
            await asyncio.sleep(MAX_FETCH_DELAY_S * node.random.random())
        members = node.members.newest_ahead_of(
            node.in_force.version, node.registry.revision
        )
        if not members:
            return
        member = node.random.choice(members)
        try:
            await self.snapshots.fetch(member.address)
        except (grpc.aio.AioRpcError, UndecodableError) as error:
            node.log.warning(
                "peer snapshot not fetched",
                peer=member.address,
                reason=str(error)[:80],
            )
        finally:
            member.ahead = None

    def _send_known_orders(self, address: str) -> None:
        """Send the orders to a peer, which may have missed them."""
        for data in self.announcements.zone_orders():
            self._send_data(self.node.members.members[address], data)

    def _update_live_peers(self, now_s: float) -> None:
        live = {member.address for member in self.node.members.live(now_s)}
        for address in live - self.live:
            self.node.log.info("peer live", peer=address)
            self._send_known_orders(address)
        for address in self.live - live:
            self.node.log.warning("peer lost", peer=address)
        self.live = live
        self.node.fleet_loads.silence_limit_s = max(
            PEER_SILENCE_S, self.node.members.silence_limit_s()
        )
        self.node.metrics.peers.set(len(live))
        for address in self.node.members.forget_silent(now_s):
            self.node.fleet_loads.forget(address)
