"""Gossip between entry daemons about liveness, load and freshness.

Datagrams carry state that soon becomes outdated, so a lost one is
replaced by the next.  Configurations and lists of upstreams are larger,
and a daemon that lags a peer fetches them over gRPC.
"""

import asyncio

import grpc
import msgspec

from plantainsail.entry import deaths
from plantainsail.entry.node import EntryNode
from plantainsail.entry.snapshot import SnapshotExchange
from plantainsail.routing.fleet_loads import PEER_SILENCE_S, UpstreamLoad
from plantainsail.routing.members import (
    ALL_WATCH_FLEET,
    AvoidedEntry,
    Heartbeat,
    Introduction,
    LeavingEntry,
    ListChange,
    LoadEntry,
    Member,
    SuspectEntry,
    contact_interval_s,
    distributor_interval_s,
    heartbeat_interval_s,
)
from plantainsail.routing.registry import DepartureNotice
from plantainsail.routing.spread import Receivers, choose_receivers
from plantainsail.settings import split_address

LOAD_CHANGE_DELAY_S = 0.004
# A round sends heartbeats to all members, but to silent ones only once
# in this many rounds.
SILENT_MEMBER_ROUNDS = 4
# Heartbeats list other members once in this many rounds, and in each of
# the first rounds of a daemon.
MEMBER_LIST_ROUNDS = 4
STARTUP_ROUNDS = 40
# Absorbs timers that fire slightly early or late.
DUE_SLACK_S = 0.05

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Heartbeat)
LIST_CHANGE_DECODER = msgspec.msgpack.Decoder(ListChange)
INTRODUCTION_DECODER = msgspec.msgpack.Decoder(Introduction)
# A heartbeat is an array, which starts with none of these bytes, so
# they tell other messages from it.
LIST_CHANGE_PREFIX = b"\xc1"
INTRODUCTION_PREFIX = b"\xc0"
# The rest is a message to forward to the receiver's availability zone.
FORWARD_PREFIX = b"\xc2"
# Peers that lag fetch larger changes over gRPC.
MAX_LIST_CHANGE_BYTES = 1_300
# Spreads the fetches of daemons that fall behind at the same time.
MAX_FETCH_DELAY_S = 0.25


class Gossip(asyncio.DatagramProtocol):
    """Exchanges heartbeats and list changes with all peers."""

    def __init__(self, node: EntryNode, snapshots: SnapshotExchange) -> None:
        self.node = node
        self.snapshots = snapshots
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
        )

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Decode and apply one message."""
        if data.startswith(FORWARD_PREFIX):
            data = data[1:]
            self._send_to_zone(data)
        try:
            if data.startswith(LIST_CHANGE_PREFIX):
                self._apply_list_change(LIST_CHANGE_DECODER.decode(data[1:]))
                return
            if data.startswith(INTRODUCTION_PREFIX):
                self._introduce(INTRODUCTION_DECODER.decode(data[1:]))
                return
            heartbeat = DECODER.decode(data)
        except msgspec.MsgspecError as error:
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
        self._apply_heartbeat(heartbeat, member, now_s)

    def error_received(self, error: Exception) -> None:
        """Log that a message could not be sent."""
        self.node.log.debug("message not sent", reason=str(error))

    def announce(self) -> None:
        """Send all daemons a heartbeat now, such as on leaving."""
        message = self._make_heartbeat(self._all_loads(), is_whole=True)
        for member in list(self.node.members.members.values()):
            self._send(member, message)

    def send_list_change(self, change: ListChange) -> None:
        """Send changed upstream entries to all live daemons.

        Only a distributor sends them.
        """
        now_s = self.node.now_s()
        if not self.node.members.is_distributor(now_s):
            return
        data = LIST_CHANGE_PREFIX + ENCODER.encode(change)
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
        message = self._make_heartbeat(self._all_loads(), is_whole=True)
        self._send(member, message)
        for other in list(self.node.members.members.values()):
            if other.last_heartbeat_s is None:
                self._send(other, message)

    async def _send_heartbeats(self) -> None:
        while True:
            now_s = self.node.now_s()
            self._update_live_peers(now_s)
            message = self._make_heartbeat(self._all_loads(), is_whole=True)
            if not self._should_list_members():
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
        live: list[Member] = []
        for member in members.members.values():
            if member.address in self.live:
                live.append(member)
                if member.availability_zone is None:
                    self._ask_zone(member)
            elif self.rounds % SILENT_MEMBER_ROUNDS == 0:
                self._send(member, message)
        if members.is_distributor(now_s):
            self.next_round_s = now_s + distributor_interval_s(peers)
            for member in live:
                self._send(member, message)
            return
        self.next_round_s = now_s + heartbeat_interval_s(peers)
        for member in members.distributors(now_s):
            self._send(member, message)
        self._spread_heartbeat(message, live)

    def _should_list_members(self) -> bool:
        """Return whether this round's heartbeats list other daemons.

        A daemon that started recently lists them in every round.
        """
        if self.rounds <= STARTUP_ROUNDS:
            return True
        return self.rounds % MEMBER_LIST_ROUNDS == 0

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
            self._send_to_live(self._make_heartbeat(loads, is_whole=False))

    async def _send_engine_states(self) -> None:
        while True:
            await self.node.engine_state_changed.wait()
            self.node.engine_state_changed.clear()
            self._send_to_live(self._make_heartbeat((), is_whole=False))

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
        data = ENCODER.encode(message._replace(sequence=self.sequence))
        for member in receivers.forwarders:
            self._send_data(member, FORWARD_PREFIX + data)

    def _spread(self, data: bytes, members: list[Member]) -> None:
        """Send the same message to many members."""
        receivers = self._receivers(members)
        for member in receivers.direct:
            self._send_data(member, data)
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

    def _leaving_entries(self, now_s: float) -> tuple[LeavingEntry, ...]:
        entries: list[LeavingEntry] = []
        notices = self.node.registry.notices_to_send(now_s)
        for identifier, notice in notices.items():
            gone_in_ms = int((notice.gone_s - now_s) * 1000)
            entries.append(
                LeavingEntry(identifier, notice.born_ms, gone_in_ms)
            )
        return tuple(entries)

    def _avoided_entries(self, now_s: float) -> tuple[AvoidedEntry, ...]:
        avoided = self.node.avoidance.local_remaining_s(now_s)
        entries: list[AvoidedEntry] = []
        for identifier, remaining_s in avoided.items():
            entries.append(AvoidedEntry(identifier, int(remaining_s * 1000)))
        return tuple(entries)

    def _apply_departure_notices(
        self, heartbeat: Heartbeat, now_s: float
    ) -> None:
        for entry in heartbeat.leaving:
            known_notice = self.node.registry.departure_notices.get(
                entry.identifier
            )
            if (
                known_notice is not None
                and known_notice.born_ms == entry.born_ms
            ):
                continue
            notice = DepartureNotice(
                entry.born_ms, now_s + entry.gone_in_ms / 1000
            )
            self.node.record_departure_notice(
                entry.identifier, notice, heartbeat.address
            )

    def _all_loads(self) -> tuple[LoadEntry, ...]:
        paces = self.node.paces.local_paces(self.node.now_s())
        own = self.node.fleet_loads.own
        entries: list[LoadEntry] = []
        for identifier in own.keys() | paces.keys():
            load = own.get(identifier, UpstreamLoad())
            entries.append(
                LoadEntry(
                    identifier,
                    load,
                    paces.get(identifier),
                    self.node.read_rates.local_rates.get(identifier),
                )
            )
        return tuple(entries)

    def _make_heartbeat(
        self, loads: tuple[LoadEntry, ...], *, is_whole: bool
    ) -> Heartbeat:
        """Return a heartbeat without the fields set per receiver."""
        node = self.node
        now_s = node.now_s()
        age_ms = node.in_force.age_ms(now_s)
        suspects: tuple[SuspectEntry, ...] = ()
        members: tuple[str, ...] = ()
        if is_whole:
            suspects = deaths.suspects_to_send(node.quarantine, now_s)
            members = node.members.sample_addresses(node.random, now_s)
        return Heartbeat(
            address=node.settings.peer_address,
            nonce=node.nonce,
            sequence=0,
            sent_ms=int(now_s * 1000),
            echo_ms=-1,
            echo_nonce=0,
            is_leaving=node.is_leaving,
            configuration_version=node.in_force.version,
            configuration_age_ms=-1 if age_ms is None else age_ms,
            registry_revision=node.registry.revision,
            is_whole=is_whole,
            loads=loads,
            suspects=suspects,
            members=members,
            leaving=self._leaving_entries(now_s),
            avoided=self._avoided_entries(now_s),
        )

    def _send(self, member: Member, message: Heartbeat) -> None:
        self.sequence += 1
        addressed = message._replace(
            sequence=self.sequence,
            echo_ms=member.sent_ms,
            echo_nonce=member.nonce,
        )
        self._send_data(member, ENCODER.encode(addressed))

    def _send_data(self, member: Member, data: bytes) -> None:
        assert self.transport is not None
        self.transport.sendto(data, split_address(member.address))

    def _apply_heartbeat(
        self, heartbeat: Heartbeat, member: Member, now_s: float
    ) -> None:
        node = self.node
        loads = {entry.identifier: entry.load for entry in heartbeat.loads}
        node.fleet_loads.record_peer_loads(
            heartbeat.address, loads, now_s, is_whole=heartbeat.is_whole
        )
        for entry in heartbeat.loads:
            if entry.pace is not None:
                node.paces.record_peer_pace(
                    entry.identifier, entry.pace, now_s
                )
            if entry.read_tokens_s is not None:
                node.read_rates.record_peer_rate(
                    entry.identifier, entry.read_tokens_s
                )
        deaths.merge_peer_suspects(node.quarantine, heartbeat.suspects, now_s)
        self._apply_departure_notices(heartbeat, now_s)
        for avoided in heartbeat.avoided:
            for_s = avoided.for_ms / 1000
            node.avoidance.record_peer_avoidance(
                avoided.identifier, for_s, now_s
            )
        self._confirm_freshness(heartbeat)
        self._fetch_if_behind(member, now_s)

    def _confirm_freshness(self, heartbeat: Heartbeat) -> None:
        is_echo = heartbeat.echo_nonce == self.node.nonce
        if not is_echo or heartbeat.echo_ms < 0:
            return
        if heartbeat.configuration_age_ms < 0:
            return
        as_of_ms = heartbeat.echo_ms - heartbeat.configuration_age_ms
        self.node.in_force.confirm(
            heartbeat.configuration_version, as_of_ms / 1000
        )

    def _fetch_if_behind(self, member: Member, now_s: float) -> None:
        node = self.node
        version, revision = node.in_force.version, node.registry.revision
        if not member.is_ahead_too_long(version, revision, now_s):
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
        except (grpc.aio.AioRpcError, msgspec.MsgspecError) as error:
            node.log.warning(
                "peer snapshot not fetched",
                peer=member.address,
                reason=str(error)[:80],
            )
        finally:
            member.ahead = None

    def _update_live_peers(self, now_s: float) -> None:
        live = {member.address for member in self.node.members.live(now_s)}
        for address in live - self.live:
            self.node.log.info("peer live", peer=address)
        for address in self.live - live:
            self.node.log.warning("peer lost", peer=address)
        self.live = live
        self.node.fleet_loads.silence_limit_s = max(
            PEER_SILENCE_S, self.node.members.silence_limit_s()
        )
        self.node.metrics.peers.set(len(live))
        for address in self.node.members.forget_silent(now_s):
            self.node.fleet_loads.forget(address)
