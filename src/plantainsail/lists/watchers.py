"""Choice of the daemons that watch the configuration service.

Each availability zone has a few watchers, chosen by rendezvous hashing
over the daemons that the host list names.  While daemons' views differ
there may be more or fewer watchers, which changes the number of calls
but is otherwise harmless.
"""

from collections.abc import Collection

import xxhash

from plantainsail.lists.model import HostEntry, HostList, HostState, Role

# The number of daemons in each availability zone that watch the
# configuration service.
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
    """Return the hosts whose daemons watch for a zone.

    The hosts are in order of decreasing rendezvous weight.
    `unavailable` names hosts that are stale, dead or draining.
    """
    candidates = [
        entry.host
        for entry in live_daemons(hosts)
        if entry.availability_zone == zone and entry.host not in unavailable
    ]
    ranked = sorted(
        candidates, key=lambda host: (-_rendezvous_weight(host, zone), host)
    )
    return tuple(ranked[:WATCHERS_PER_ZONE])


def is_watcher(
    hosts: HostList,
    host: str,
    zone: str,
    unavailable: Collection[str] = (),
) -> bool:
    """Return whether a daemon watches the configuration service.

    A daemon that the host list does not name yet also watches while
    its zone has fewer than `WATCHERS_PER_ZONE` watchers.
    """
    watcher_hosts = zone_watchers(hosts, zone, unavailable)
    return host in watcher_hosts or len(watcher_hosts) < WATCHERS_PER_ZONE


def neighbours(hosts: HostList, host: str) -> tuple[HostEntry, ...]:
    """Return all other daemons in an order specific to this host.

    The order survives restarts of this host's daemon, so the first
    neighbours are those that the daemon's earlier incarnation told of a
    revision before putting it in force.
    """
    others = [entry for entry in live_daemons(hosts) if entry.host != host]
    others.sort(key=lambda e: (-_rendezvous_weight(e.host, host), e.host))
    return tuple(others)


def _rendezvous_weight(host: str, owner: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{owner}\0{host}".encode()))
