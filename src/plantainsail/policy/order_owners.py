"""Which daemon gives orders to an engine, and since when.

The owner is a function of the published host list alone, so two daemons
can own one engine only by different revisions.  A daemon acts on a
revision for `LIST_AGE_LIMIT_S` after anyone confirmed it as the newest.
Whoever becomes the owner by a newer one waits until the earlier owner
can't act any more, and nothing that it sent is still on its way.

A daemon that skips a revision can't know that it was not the owner by
it, so whoever is the owner by two revisions that do not follow each
other waits as well.
"""

from collections.abc import Collection
from typing import NamedTuple

import xxhash

from plantainsail.lists.model import HostEntry, HostList, Role
from plantainsail.lists.watchers import entry_hosts

LIST_AGE_LIMIT_S = 7.0
ORDER_VALID_S = 1.0
ORDER_TIMEOUT_S = 5.0
CLOCK_MARGIN_S = 1.0
SETTLE_S = LIST_AGE_LIMIT_S + ORDER_VALID_S + ORDER_TIMEOUT_S + CLOCK_MARGIN_S
OWNERS_KEY = "orders"
REVISION_SHIFT_BITS = 32
TICKS_PER_S = 10


class ShareChange(NamedTuple):
    """How many loads a daemon may start in a window, from a time on."""

    at_s: float
    loads: int


class FencingNumbers:
    """Draws the fencing numbers of one daemon, which only grow.

    The upper bits are the revision of the host list, by which daemons
    differ; the lower ones are the daemon's clock, which tells the
    incarnations of one daemon apart.
    """

    def __init__(self) -> None:
        self.last = 0

    def draw(self, revision: int, now_s: float) -> int:
        """Return a number above all drawn before."""
        number = (revision << REVISION_SHIFT_BITS) + int(now_s * TICKS_PER_S)
        self.last = max(self.last + 1, number)
        return self.last

    def try_exceed(self, seen: int, revision: int) -> bool:
        """Go above a number that an engine has seen.

        Return False if the next number belongs to a newer revision,
        which this daemon may not use.
        """
        if revision_of(seen + 1) > revision:
            return False
        self.last = max(self.last, seen)
        return True


def revision_of(number: int) -> int:
    """Return the revision of the host list in a fencing number."""
    return number >> REVISION_SHIFT_BITS


class Ownership:
    """The engines that one daemon owns without a break.

    `engines` holds the time since when; `shares` the part of the weight
    store's rate that the daemon had at each time.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.revision = 0
        self.engines: dict[str, float] = {}
        self.shares = [ShareChange(float("-inf"), 0)]

    @property
    def load_settle_s(self) -> float:
        """Return how long a share must last before it is used."""
        return SETTLE_S + self.window_s

    def update(
        self,
        revision: int,
        engines: Collection[str],
        loads: int,
        now_s: float,
    ) -> None:
        """Take what a revision of the host list says of the daemon."""
        if revision not in (self.revision, self.revision + 1):
            self.engines.clear()
            self._change_share(0, now_s)
        self.revision = revision
        self.engines = {e: self.engines.get(e, now_s) for e in engines}
        self._change_share(loads, now_s)

    def is_settled(self, engine: str, now_s: float) -> bool:
        """Return whether no earlier owner can still act."""
        since_s = self.engines.get(engine)
        return since_s is not None and now_s - since_s >= SETTLE_S

    def loads(self, now_s: float) -> int:
        """Return the loads that may be started in a window.

        It is the least that the daemon had lately, so that all daemons
        that load in one window have shares by one revision at most.
        """
        self._drop_old(now_s)
        return min(change.loads for change in self.shares)

    def _change_share(self, loads: int, now_s: float) -> None:
        if self.shares[-1].loads != loads:
            self.shares.append(ShareChange(now_s, loads))
        self._drop_old(now_s)

    def _drop_old(self, now_s: float) -> None:
        since_s = now_s - self.load_settle_s
        while len(self.shares) > 1 and self.shares[1].at_s <= since_s:
            del self.shares[0]


class Owners:
    """The owners of all engines by one revision of the host list.

    No more daemons own engines than there are loads in a window, so
    that each has a whole number of them.
    """

    def __init__(self, loads_per_window: int) -> None:
        self.loads_per_window = loads_per_window
        self.revision = -1
        self.daemon_count = 0
        self.daemons: tuple[str, ...] = ()
        self.by_engine: dict[str, str] = {}

    def update(self, hosts: HostList) -> None:
        """Take a host list; only what is new is worked out."""
        if hosts.revision == self.revision:
            return
        self.revision = hosts.revision
        self.daemon_count = len(entry_hosts(hosts))
        daemons = choose_owners(hosts, self.loads_per_window)
        if daemons != self.daemons:
            self.daemons = daemons
            self.by_engine.clear()
        if not daemons:
            return
        self.by_engine = {
            entry.host: self.by_engine.get(entry.host)
            or max(daemons, key=lambda d: _weight(entry.host, d))
            for entry in hosts.hosts.values()
            if is_managed(entry)
        }

    def engines_of(self, daemon: str) -> list[str]:
        """Return the engines that a daemon owns."""
        return [e for e, owner in self.by_engine.items() if owner == daemon]

    def loads_of(self, daemon: str) -> int:
        """Return the loads that a daemon may start in a window."""
        if daemon not in self.daemons:
            return 0
        return self.loads_per_window // len(self.daemons)


def choose_owners(hosts: HostList, limit: int) -> tuple[str, ...]:
    """Return the daemons that own engines, at most `limit` of them."""
    daemons = [entry.host for entry in entry_hosts(hosts)]
    daemons.sort(key=lambda d: (-_weight(OWNERS_KEY, d), d))
    return tuple(daemons[:limit])


def is_managed(entry: HostEntry) -> bool:
    """Return whether an upstream takes orders at all."""
    if entry.role is not Role.ENGINE:
        return False
    return bool(entry.may_hold or entry.may_take_roles)


def _weight(name: str, daemon: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{name}\0{daemon}".encode()))
