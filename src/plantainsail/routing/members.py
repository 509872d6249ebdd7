"""Tracks the daemons of the fleet by the heartbeats they send."""

import random
from collections import deque
from typing import NamedTuple

from plantainsail.routing.first_proofs import PeerVersions
from plantainsail.routing.messages import Heartbeat
from plantainsail.routing.revisions import is_restored

# The shortest time between two heartbeats to the same peer.
HEARTBEAT_S = 0.25
# Limits the heartbeats that a daemon sends to all its peers together,
# whatever the size of the fleet.
MAX_HEARTBEATS_PER_S = 60.0
# Distributors inform the others of published changes and of their
# freshness.  They exchange heartbeats more often, because a proof of
# freshness dates back to the last heartbeat the distributor received.
MAX_DISTRIBUTOR_HEARTBEATS_PER_S = 120.0
# The longest time between two heartbeats from one distributor, and
# between two heartbeats to one distributor.
MAX_DISTRIBUTOR_INTERVAL_S = 2.0
MAX_CONTACT_INTERVAL_S = 0.75
# A daemon is considered dead after this many heartbeat intervals
# without a heartbeat, but not before the minimum.  So one heartbeat may
# be lost.
MIN_SILENCE_LIMIT_S = 1.6
SILENCE_LIMIT_HEARTBEATS = 2.2
# A daemon, unless it is a seed, is removed after this long a silence.
FORGET_AFTER_S = 20.0
# A daemon that has had an older configuration, or older entries of
# upstreams, than a peer for this long fetches the newer ones.
CONFIGURATION_BEHIND_S = 0.12
UPSTREAMS_BEHIND_S = 0.3
# A heartbeat lists the addresses of all live daemons up to this number,
# else a sample, since heartbeats dominate a large fleet's traffic.
MAX_LISTED_MEMBERS = 12
# Forged messages could name any number of daemons.
MAX_MEMBERS = 2_048
SAMPLED_MEMBERS = 3
# Datagrams of this many earlier runs of a daemon are recognised.
MAX_EARLIER_RUNS = 4
# Where a budget is shared, a daemon that heard from no peer for this
# long counts as alone, and a peer that was not heard for this many
# heartbeat intervals and the margin as cut off.
ALONE_SILENCE_S = 0.5
SHARING_HEARTBEATS = 1.2
SHARING_MARGIN_S = 0.15


def heartbeat_interval_s(peers: int) -> float:
    """Return the time between two heartbeats to the same peer."""
    return max(HEARTBEAT_S, peers / MAX_HEARTBEATS_PER_S)


def distributor_interval_s(peers: int) -> float:
    """Return the time between two heartbeats from one distributor."""
    interval_s = max(HEARTBEAT_S, peers / MAX_DISTRIBUTOR_HEARTBEATS_PER_S)
    return min(MAX_DISTRIBUTOR_INTERVAL_S, interval_s)


def contact_interval_s(peers: int) -> float:
    """Return the time between two heartbeats to one distributor."""
    return min(MAX_CONTACT_INTERVAL_S, distributor_interval_s(peers))


# In fleets below this size every daemon watches the configuration
# service itself; in larger ones only the first `WATCHERS` daemons by
# rank do, for all.  They are also the distributors of any fleet.
ALL_WATCH_FLEET = 12
WATCHERS = 4
# The configuration service may refuse some daemons and serve others.
# Daemons that it refuses are replaced as watchers by the next ones.  If
# it answers nobody, only this many more ask it.
MAX_REPLACED_WATCHERS = 8


NEVER_S = float("-inf")


class AheadState(NamedTuple):
    """The newer data of a peer when this daemon's lag was first seen.

    `version` is that of the peer's configuration, and `revision` that
    of its entries of upstreams.  The lag was first seen at `since_s`.
    """

    version: int
    revision: int
    since_s: float

    def limit_s(self, version: int) -> float:
        """Return how long a daemon of a version may lag."""
        if version < self.version:
            return CONFIGURATION_BEHIND_S
        return UPSTREAMS_BEHIND_S


class Member:
    """The state of one other daemon, from its latest heartbeat.

    `nonce` names the daemon's run, `sequence` the heartbeat within it,
    and `sent_ms` is its time on the daemon's clock.  `earlier_nonces`
    name the runs before it.  `availability_zone` is None until the
    daemon has introduced itself.  `is_greeted` is set once a heartbeat
    was sent to it outside of the rounds.  `ahead` is set while this
    daemon has older data than the member.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.nonce = 0
        self.earlier_nonces: deque[int] = deque(maxlen=MAX_EARLIER_RUNS)
        self.sequence = -1
        self.last_heartbeat_s: float | None = None
        self.sent_ms = -1
        self.availability_zone: str | None = None
        self.is_greeted = False
        self.is_leaving = False
        self.has_lost_service = False
        self.configuration_version = -1
        self.registry_revision = -1
        self.ahead: AheadState | None = None

    def is_live(self, silence_limit_s: float, now_s: float) -> bool:
        """Return whether the last heartbeat is recent enough."""
        if self.last_heartbeat_s is None:
            return False
        return now_s - self.last_heartbeat_s <= silence_limit_s

    def start_run(self, nonce: int) -> None:
        """Record that another run of the daemon sends heartbeats."""
        if self.last_heartbeat_s is not None:
            self.earlier_nonces.append(self.nonce)
        self.nonce = nonce
        self.sequence = -1

    def is_ahead_too_long(
        self, version: int, revision: int, now_s: float
    ) -> bool:
        """Return whether this daemon has lagged the member too long.

        `version` and `revision` are this daemon's own.  They are
        compared with what the member had when the lag was first seen,
        so that lists which change all the time don't make a daemon
        that keeps up look stuck.  A daemon without any configuration
        lags at once, as does one whose entries are from before a
        restoration of the service.
        """
        ahead = self.ahead
        if version < 0 <= self.configuration_version:
            return True
        if is_restored(revision, self.registry_revision):
            return True
        if ahead is not None and (
            version < ahead.version or revision < ahead.revision
        ):
            return now_s - ahead.since_s >= ahead.limit_s(version)
        self.ahead = None
        is_version_ahead = self.configuration_version > version
        if is_version_ahead or self.registry_revision > revision:
            self.ahead = AheadState(
                self.configuration_version, self.registry_revision, now_s
            )
        return False


def _replaceable(fleet: int) -> int:
    """Return how many daemons may be replaced as watchers.

    Where all have lost the service, some stay watchers nevertheless.
    """
    return min(MAX_REPLACED_WATCHERS, max(0, fleet - WATCHERS))


def _lists_version(member: Member) -> tuple[int, int]:
    return member.configuration_version, member.registry_revision


class Members:
    """All known daemons except this one.

    `seeds` are addresses from the settings, which are never removed.
    `largest` is the largest number of live daemons seen, with this one.
    `has_lost_service` says that the configuration service refuses this
    daemon or does not answer it.
    The last heartbeat of any peer arrived at `last_heard_s`.
    """

    def __init__(self, address: str, seeds: tuple[str, ...]) -> None:
        self.address = address
        self.seeds = seeds
        self.members: dict[str, Member] = {}
        self.largest = 1
        self.has_lost_service = False
        self.last_heard_s = NEVER_S
        for seed in seeds:
            self.add(seed)

    def add(self, address: str) -> None:
        """Add the address of a daemon unless it is known.

        Messages can't add more than `MAX_MEMBERS`.
        """
        if address == self.address or address in self.members:
            return
        if len(self.members) < MAX_MEMBERS or address in self.seeds:
            self.members[address] = Member(address)

    def record_heartbeat(
        self, heartbeat: Heartbeat, now_s: float
    ) -> Member | None:
        """Update the sender's state.

        Return None for an old message, or one more member than there
        may be.
        """
        if heartbeat.address == self.address:
            return None
        known = len(self.members)
        self.add(heartbeat.address)
        member = self.members.get(heartbeat.address)
        if member is None:
            return None
        if heartbeat.nonce in member.earlier_nonces:
            return None
        if member.nonce != heartbeat.nonce:
            member.start_run(heartbeat.nonce)
        if heartbeat.sequence <= member.sequence:
            return None
        was_live = member.is_live(self.silence_limit_s(), now_s)
        member.sequence = heartbeat.sequence
        member.last_heartbeat_s = now_s
        self.last_heard_s = now_s
        member.sent_ms = heartbeat.sent_ms
        member.is_leaving = heartbeat.is_leaving
        member.has_lost_service = heartbeat.has_lost_service
        member.configuration_version = heartbeat.configuration_version
        member.registry_revision = heartbeat.registry_revision
        for address in heartbeat.members:
            self.add(address)
        if not was_live or len(self.members) > known:
            # The number of live daemons can't have grown otherwise, and
            # counting them takes time in a large fleet.
            self.largest = max(self.largest, len(self.live(now_s)) + 1)
        return member

    def silence_limit_s(self) -> float:
        """Return the silence after which a daemon counts as dead."""
        interval_s = heartbeat_interval_s(len(self.members))
        return max(MIN_SILENCE_LIMIT_S, SILENCE_LIMIT_HEARTBEATS * interval_s)

    def live(self, now_s: float) -> list[Member]:
        """Return the daemons whose last heartbeat is recent enough."""
        silence_limit_s = self.silence_limit_s()
        live: list[Member] = []
        for member in self.members.values():
            if member.is_live(silence_limit_s, now_s):
                live.append(member)
        return live

    def take_ungreeted(self) -> list[Member]:
        """Return silent members to greet, each of them only once.

        A daemon that starts learns of a large fleet within moments, and
        greeting all silent members with each news would flood it.
        """
        ungreeted: list[Member] = []
        for member in self.members.values():
            if member.last_heartbeat_s is None and not member.is_greeted:
                member.is_greeted = True
                ungreeted.append(member)
        return ungreeted

    def rank(self, now_s: float) -> int:
        """Return how many live daemons precede this one by address.

        Daemons that are leaving don't count, nor do the first ones that
        have lost the configuration service.
        """
        before = 0
        lost = 0
        staying = self._staying(now_s)
        for member in staying:
            if member.address > self.address:
                continue
            if member.has_lost_service:
                lost += 1
            else:
                before += 1
        return before + max(0, lost - _replaceable(len(staying) + 1))

    def is_watcher(self, now_s: float) -> bool:
        """Return whether this daemon watches the configuration service.

        In a large fleet the watchers do so for all daemons.
        """
        if len(self.live(now_s)) < ALL_WATCH_FLEET:
            return True
        return self.rank(now_s) < WATCHERS

    def is_distributor(self, now_s: float) -> bool:
        """Return whether this daemon sends changes to the others.

        Small fleets, where all daemons watch, have distributors too:
        the configuration service may refuse some daemons, and an engine
        that leaves gives little time.
        """
        if self.has_lost_service and self._is_replaced(now_s):
            return False
        return self.rank(now_s) < WATCHERS

    def distributors(self, now_s: float) -> list[Member]:
        """Return the other daemons that are distributors."""
        staying = self._staying(now_s)
        staying.sort(key=lambda member: member.address)
        left = _replaceable(len(staying) + 1)
        others = WATCHERS - 1 if self.is_distributor(now_s) else WATCHERS
        distributors: list[Member] = []
        own_turn = self.has_lost_service
        for member in staying:
            if own_turn and member.address > self.address:
                own_turn = False
                left -= 1
            if member.has_lost_service and left > 0:
                left -= 1
                continue
            if len(distributors) < others:
                distributors.append(member)
        return distributors

    def _staying(self, now_s: float) -> list[Member]:
        """Return the live daemons that are not leaving."""
        return [member for member in self.live(now_s) if not member.is_leaving]

    def _is_replaced(self, now_s: float) -> bool:
        """Return whether another daemon distributes instead of this.

        This holds for the first daemons that lost the service.
        """
        staying = self._staying(now_s)
        lost_before = 0
        for member in staying:
            if member.has_lost_service and member.address < self.address:
                lost_before += 1
        return lost_before < _replaceable(len(staying) + 1)

    def members_ahead_of(self, version: int, revision: int) -> list[Member]:
        """Return the members that have a newer version or revision."""
        ahead: list[Member] = []
        for member in self.members.values():
            if member.last_heartbeat_s is None or member.is_leaving:
                continue
            is_version_ahead = member.configuration_version > version
            if is_version_ahead or member.registry_revision > revision:
                ahead.append(member)
        return ahead

    def newest_ahead_of(self, version: int, revision: int) -> list[Member]:
        """Return the newest half of the members that are ahead.

        A member that was cut off lags the others.  A daemon that has
        just restarted must not take such a member's lists, in which
        upstreams that have left still stand.
        """
        ahead = self.members_ahead_of(version, revision)
        ahead.sort(key=_lists_version, reverse=True)
        return ahead[: (len(ahead) + 1) // 2]

    def versions_since(self, since_s: float, now_s: float) -> PeerVersions:
        """Return what live peers' heartbeats tell of their versions.

        Those after `since_s` count as heard.
        """
        heard = 0
        newest = -1
        live = self.live(now_s)
        for member in live:
            newest = max(newest, member.configuration_version)
            assert member.last_heartbeat_s is not None
            if member.last_heartbeat_s > since_s:
                heard += 1
        return PeerVersions(len(live), heard, newest)

    def fleet_size(self) -> int | None:
        """Return the size of the largest fleet seen so far.

        It is None until the first heartbeat of a peer.
        """
        return self.largest if self.largest > 1 else None

    def sharing_limit_s(self) -> float:
        """Return the silence after which a daemon shares no budget."""
        interval_s = heartbeat_interval_s(self.largest)
        return SHARING_HEARTBEATS * interval_s + SHARING_MARGIN_S

    def sharing(self, now_s: float) -> int:
        """Return how many daemons hear each other now, with this one.

        It reacts sooner to a partition than `live`.
        """
        if now_s - self.last_heard_s > ALONE_SILENCE_S:
            return 1
        limit_s = self.sharing_limit_s()
        sharing = 1
        for member in self.members.values():
            if member.is_live(limit_s, now_s):
                sharing += 1
        return sharing

    def sample_addresses(
        self, source: random.Random, now_s: float
    ) -> tuple[str, ...]:
        """Return the addresses of live daemons for a heartbeat."""
        addresses = [member.address for member in self.live(now_s)]
        if len(addresses) > MAX_LISTED_MEMBERS:
            addresses = source.sample(addresses, SAMPLED_MEMBERS)
        return tuple(addresses)

    def forget_silent(self, now_s: float) -> list[str]:
        """Remove daemons that were silent too long; return them."""
        gone: list[str] = []
        for address, member in list(self.members.items()):
            if address in self.seeds or member.last_heartbeat_s is None:
                continue
            if now_s - member.last_heartbeat_s > FORGET_AFTER_S:
                del self.members[address]
                gone.append(address)
        return gone
