"""Which daemons belong to the fleet, and what they say."""

import random
from typing import NamedTuple

from plantainsail.routing.fleet_loads import UpstreamLoad
from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.pace import Pace

HEARTBEAT_S = 0.25
# A daemon sends no more heartbeats a second to all than this, whatever
# the size of the fleet.
MAX_HEARTBEATS_PER_S = 60.0
# Those that tell the others what is published, and how fresh it is,
# send more, and hear from each more often: a proof of freshness holds
# as of the last heartbeat that its teller heard.
MAX_DISTRIBUTOR_HEARTBEATS_PER_S = 120.0
MAX_DISTRIBUTOR_INTERVAL_S = 2.0
MAX_CONTACT_INTERVAL_S = 0.75
MIN_SILENCE_LIMIT_S = 1.6
# One heartbeat may be lost without its sender being taken for dead.
SILENCE_LIMIT_HEARTBEATS = 2.2
FORGET_AFTER_S = 20.0
CONFIGURATION_BEHIND_S = 0.12
UPSTREAMS_BEHIND_S = 0.3
# Up to this many addresses all are told, of more only some: heartbeats
# are the larger part of what a large fleet sends.
MAX_LISTED_MEMBERS = 12
SAMPLED_MEMBERS = 3


def heartbeat_interval_s(peers: int) -> float:
    """Return the time between two heartbeats to the same peer."""
    return max(HEARTBEAT_S, peers / MAX_HEARTBEATS_PER_S)


def distributor_interval_s(peers: int) -> float:
    """Return the time between two heartbeats from the same teller."""
    interval_s = max(HEARTBEAT_S, peers / MAX_DISTRIBUTOR_HEARTBEATS_PER_S)
    return min(MAX_DISTRIBUTOR_INTERVAL_S, interval_s)


def contact_interval_s(peers: int) -> float:
    """Return the time between two heartbeats to the same teller."""
    return min(MAX_CONTACT_INTERVAL_S, distributor_interval_s(peers))


class LoadEntry(NamedTuple):
    """What a daemon says of one upstream."""

    identifier: str
    load: UpstreamLoad
    pace: Pace | None = None
    read_tokens_s: float | None = None


class SuspectEntry(NamedTuple):
    """A request under which engines died.

    `age_ms` is the time since the last of these deaths.
    """

    fingerprint: int
    deaths: tuple[str, ...]
    age_ms: int


class LeavingEntry(NamedTuple):
    """An upstream that said itself that it leaves, and how soon."""

    identifier: str
    born_ms: int
    gone_in_ms: int


class AvoidedEntry(NamedTuple):
    """An engine that cuts streams, and for how long it is avoided."""

    identifier: str
    for_ms: int


class Heartbeat(NamedTuple):
    """One message between two daemons.

    `sent_ms` is on the sender's clock and `echo_ms` the newest
    `sent_ms` that the sender has from its receiver, whose run
    `echo_nonce` names.  A sender's proof of freshness is
    `configuration_age_ms` old, -1 without one.  A message with
    `is_whole` carries all loads, another only those that changed.
    """

    address: str
    nonce: int
    sequence: int
    sent_ms: int
    echo_ms: int
    echo_nonce: int
    is_leaving: bool
    configuration_version: int
    configuration_age_ms: int
    registry_revision: int
    is_whole: bool
    loads: tuple[LoadEntry, ...]
    members: tuple[str, ...] = ()
    suspects: tuple[SuspectEntry, ...] = ()
    leaving: tuple[LeavingEntry, ...] = ()
    avoided: tuple[AvoidedEntry, ...] = ()


class ListChange(NamedTuple):
    """Entries that changed, from a daemon that watches to all others.

    It can be applied by who has exactly revision `after`.
    """

    address: str
    after: int
    revision: int
    written: tuple[RoutedUpstream, ...]
    removed: tuple[str, ...]


# A small fleet is cheap to inform; in a large one few daemons watch.
ALL_WATCH_FLEET = 12
WATCHERS = 4


class AheadState(NamedTuple):
    """What a peer had that this daemon lacked, and since when."""

    version: int
    revision: int
    since_s: float


class Member:
    """One other daemon."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.nonce = 0
        self.sequence = -1
        self.heard_s: float | None = None
        self.sent_ms = -1
        self.is_leaving = False
        self.configuration_version = -1
        self.registry_revision = -1
        self.ahead: AheadState | None = None

    def is_ahead_too_long(
        self, version: int, revision: int, now_s: float
    ) -> bool:
        """Return whether this daemon has been behind for too long.

        `version` and `revision` are its own.  What it is behind is
        noted at first sight: lists that change all the time don't
        make a daemon look as if it stood still.
        """
        ahead = self.ahead
        if ahead is not None and version < ahead.version:
            return now_s - ahead.since_s >= CONFIGURATION_BEHIND_S
        if ahead is not None and revision < ahead.revision:
            return now_s - ahead.since_s >= UPSTREAMS_BEHIND_S
        self.ahead = None
        is_version_ahead = self.configuration_version > version
        if is_version_ahead or self.registry_revision > revision:
            self.ahead = AheadState(
                self.configuration_version, self.registry_revision, now_s
            )
        return False


class Members:
    """All daemons that this one knows of, but for itself."""

    def __init__(self, address: str, seeds: tuple[str, ...]) -> None:
        self.address = address
        self.seeds = seeds
        self.members: dict[str, Member] = {}
        self.largest = 1
        for seed in seeds:
            self.add(seed)

    def add(self, address: str) -> None:
        """Note the address of a daemon."""
        if address != self.address and address not in self.members:
            self.members[address] = Member(address)

    def record_heartbeat(
        self, heartbeat: Heartbeat, now_s: float
    ) -> Member | None:
        """Take a message; None if it is older than one seen."""
        if heartbeat.address == self.address:
            return None
        self.add(heartbeat.address)
        member = self.members[heartbeat.address]
        if member.nonce != heartbeat.nonce:
            member.nonce = heartbeat.nonce
            member.sequence = -1
        if heartbeat.sequence <= member.sequence:
            return None
        member.sequence = heartbeat.sequence
        member.heard_s = now_s
        member.sent_ms = heartbeat.sent_ms
        member.is_leaving = heartbeat.is_leaving
        member.configuration_version = heartbeat.configuration_version
        member.registry_revision = heartbeat.registry_revision
        for address in heartbeat.members:
            self.add(address)
        self.largest = max(self.largest, len(self.live(now_s)) + 1)
        return member

    def silence_limit_s(self) -> float:
        """Return after how much silence a daemon is taken for dead."""
        interval_s = heartbeat_interval_s(len(self.members))
        return max(MIN_SILENCE_LIMIT_S, SILENCE_LIMIT_HEARTBEATS * interval_s)

    def live(self, now_s: float) -> list[Member]:
        """Return the daemons that spoke a short time ago."""
        silence_limit_s = self.silence_limit_s()
        found: list[Member] = []
        for member in self.members.values():
            if member.heard_s is None:
                continue
            if now_s - member.heard_s <= silence_limit_s:
                found.append(member)
        return found

    def rank(self, now_s: float) -> int:
        """Return how many live daemons come before this one."""
        before = 0
        for member in self.live(now_s):
            if not member.is_leaving and member.address < self.address:
                before += 1
        return before

    def is_watcher(self, now_s: float) -> bool:
        """Return whether this daemon watches for the others too."""
        if len(self.live(now_s)) < ALL_WATCH_FLEET:
            return True
        return self.rank(now_s) < WATCHERS

    def is_distributor(self, now_s: float) -> bool:
        """Return whether this daemon tells the others what changed.

        Also where all watch: the service may refuse some of them, and
        an engine that leaves gives little time.
        """
        return self.rank(now_s) < WATCHERS

    def distributors(self, now_s: float) -> list[Member]:
        """Return the tellers among the others."""
        staying = [one for one in self.live(now_s) if not one.is_leaving]
        staying.sort(key=lambda member: member.address)
        others = WATCHERS - 1 if self.is_distributor(now_s) else WATCHERS
        return staying[:others]

    def members_ahead_of(self, version: int, revision: int) -> list[Member]:
        """Return the members that have what this daemon lacks."""
        found: list[Member] = []
        for member in self.members.values():
            if member.heard_s is None or member.is_leaving:
                continue
            is_configured = member.configuration_version > version
            if is_configured or member.registry_revision > revision:
                found.append(member)
        return found

    def fleet_size(self) -> int | None:
        """Return the largest fleet seen, None before any peer."""
        return self.largest if self.largest > 1 else None

    def sample_addresses(
        self, source: random.Random, now_s: float
    ) -> tuple[str, ...]:
        """Return addresses of live daemons for a message."""
        addresses = [member.address for member in self.live(now_s)]
        if len(addresses) > MAX_LISTED_MEMBERS:
            addresses = source.sample(addresses, SAMPLED_MEMBERS)
        return tuple(addresses)

    def forget_silent(self, now_s: float) -> list[str]:
        """Drop daemons that were silent for long; return them."""
        gone: list[str] = []
        for address, member in list(self.members.items()):
            if address in self.seeds or member.heard_s is None:
                continue
            if now_s - member.heard_s > FORGET_AFTER_S:
                del self.members[address]
                gone.append(address)
        return gone
