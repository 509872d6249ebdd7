"""Which daemons read the configuration service.

Each availability zone has a few watchers, chosen by rendezvous hashing
over the daemons that the host list names.  Where views differ for a
while there are some watchers more or fewer, which costs calls but
breaks nothing.
"""

from collections.abc import Collection

import xxhash

from plantainsail.lists.model import HostEntry, HostList, HostState, Role

WATCHERS_PER_ZONE = 2


def live_daemons(hosts: HostList) -> tuple[HostEntry, ...]:
    """Return the daemons of the host list that are not leaving."""
    return tuple(
        entry
        for entry in hosts.hosts.values()
        if entry.role is Role.ENTRY and entry.state is HostState.LIVE
    )


def other_daemon_zones(hosts: HostList, own_host: str) -> frozenset[str]:
    """Return the availability zones that have other daemons."""
    return frozenset(
        entry.availability_zone
        for entry in live_daemons(hosts)
        if entry.host != own_host
    )


def zone_watchers(
    hosts: HostList, zone: str, unavailable: Collection[str] = ()
) -> tuple[str, ...]:
    """Return the watchers of a zone, the first choice first.

    `unavailable` names hosts that are stale, dead or draining.
    """
    candidates = [
        entry.host
        for entry in live_daemons(hosts)
        if entry.availability_zone == zone and entry.host not in unavailable
    ]
    ranked = sorted(candidates, key=lambda host: (-_weight(host, zone), host))
    return tuple(ranked[:WATCHERS_PER_ZONE])


def is_watcher(
    hosts: HostList,
    host: str,
    zone: str,
    unavailable: Collection[str] = (),
) -> bool:
    """Return whether a daemon watches the service for its zone.

    A daemon that the host list does not name yet stands in while its
    zone has too few.
    """
    chosen = zone_watchers(hosts, zone, unavailable)
    return host in chosen or len(chosen) < WATCHERS_PER_ZONE


def neighbours(hosts: HostList, host: str) -> tuple[HostEntry, ...]:
    """Return all other daemons, in an order of this host's own.

    The order stays the same over restarts of the daemon, so the first
    of them are those that its earlier incarnation told of a revision
    before it put that in force.
    """
    others = [entry for entry in live_daemons(hosts) if entry.host != host]
    others.sort(key=lambda e: (-_weight(e.host, host), e.host))
    return tuple(others)


def _weight(host: str, owner: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{owner}\0{host}".encode()))
