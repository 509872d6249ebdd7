"""Decides which daemon owns and orders an engine, and since when.

The owner is a function of the published host list alone, so two daemons
can own one engine only if they use different revisions of it.  A daemon
acts on a revision until `LIST_AGE_LIMIT_S` after any daemon confirmed
it as the newest.  A daemon that becomes the owner by a newer revision
waits until the earlier owner can no longer act and none of its orders
can still be on the way.

A daemon that skipped a revision cannot know which daemon owned the
engine by it.  So a daemon that owns an engine by two revisions that are
not consecutive waits as well.
"""

from collections.abc import Collection
from typing import NamedTuple

import xxhash

from plantainsail.lists.model import HostEntry, HostList, Role
from plantainsail.lists.watchers import live_daemons

# A daemon acts on a host list that was confirmed this recently.
LIST_AGE_LIMIT_S = 7.0
# An order may be written for this long after it was decided, and may
# then take this long to be answered.
ORDER_VALID_S = 1.0
ORDER_TIMEOUT_S = 5.0
CLOCK_MARGIN_S = 1.0
# A new owner of an engine waits this long before its first order.
SETTLE_S = LIST_AGE_LIMIT_S + ORDER_VALID_S + ORDER_TIMEOUT_S + CLOCK_MARGIN_S
# Hashed with each daemon's host to choose the daemons that own engines.
DAEMON_RANK_KEY = "orders"
# A fencing number has the revision of the host list above this many
# bits, which hold the daemon's clock in ticks.
REVISION_SHIFT_BITS = 32
TICKS_PER_S = 10


class LoadShareChange(NamedTuple):
    """The loads that a daemon may start per window from a time on."""

    at_s: float
    loads: int


class FencingNumbers:
    """Draws the fencing numbers of one daemon, in increasing order.

    The upper bits are the revision of the host list, which orders the
    numbers of successive owners.  The lower bits are the daemon's
    clock, which orders the numbers of its incarnations.  `last` is the
    highest number that was drawn or that an engine has reported.
    """

    def __init__(self) -> None:
        self.last = 0

    def draw(self, revision: int, now_s: float) -> int:
        """Return a number that is higher than all drawn before."""
        number = (revision << REVISION_SHIFT_BITS) + int(now_s * TICKS_PER_S)
        self.last = max(self.last + 1, number)
        return self.last

    def try_exceed(self, seen_number: int, revision: int) -> bool:
        """Make the next number exceed one that an engine has seen.

        Return False if the next number would belong to a newer revision
        of the host list, which this daemon may not use.
        """
        if revision_of(seen_number + 1) > revision:
            return False
        self.last = max(self.last, seen_number)
        return True


def revision_of(number: int) -> int:
    """Return the revision of the host list in a fencing number."""
    return number >> REVISION_SHIFT_BITS


class Ownership:
    """The engines that one daemon owns, and since when without a break.

    `engines` maps each engine to the start of the ownership.
    `load_shares` lists the daemon's recent shares of the weight store's
    load rate, by the time from which each applied.  `window_s` is the
    time in which a share's loads may start.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.revision = 0
        self.engines: dict[str, float] = {}
        self.load_shares = [LoadShareChange(float("-inf"), 0)]

    @property
    def load_settle_s(self) -> float:
        """Return how long a load share must last before it applies."""
        return SETTLE_S + self.window_s

    def update(
        self,
        revision: int,
        engines: Collection[str],
        loads: int,
        now_s: float,
    ) -> None:
        """Apply what the daemon owns by a revision of the host list."""
        if revision not in (self.revision, self.revision + 1):
            self.engines.clear()
            self._set_load_share(0, now_s)
        self.revision = revision
        self.engines = {e: self.engines.get(e, now_s) for e in engines}
        self._set_load_share(loads, now_s)

    def is_settled(self, engine: str, now_s: float) -> bool:
        """Return whether no earlier owner of the engine can act."""
        since_s = self.engines.get(engine)
        return since_s is not None and now_s - since_s >= SETTLE_S

    def loads(self, now_s: float) -> int:
        """Return how many loads this daemon may start in `window_s`.

        It is the lowest recent share of the daemon, so that the shares
        of all daemons that load in one window come from one revision at
        most.
        """
        self._drop_old_shares(now_s)
        return min(change.loads for change in self.load_shares)

    def _set_load_share(self, loads: int, now_s: float) -> None:
        if self.load_shares[-1].loads != loads:
            self.load_shares.append(LoadShareChange(now_s, loads))
        self._drop_old_shares(now_s)

    def _drop_old_shares(self, now_s: float) -> None:
        since_s = now_s - self.load_settle_s
        while (
            len(self.load_shares) > 1 and self.load_shares[1].at_s <= since_s
        ):
            del self.load_shares[0]


class Owners:
    """The owners of all engines by one revision of the host list.

    At most `loads_per_window` daemons own engines, so that each has a
    whole number of loads in each window of `OrderLimits.window_s`.
    `daemons` are those that own engines, `daemon_count` counts all live
    daemons, and `by_engine` maps each engine to its owner.
    """

    def __init__(self, loads_per_window: int) -> None:
        self.loads_per_window = loads_per_window
        self.revision = -1
        self.daemon_count = 0
        self.daemons: tuple[str, ...] = ()
        self.by_engine: dict[str, str] = {}

    def update(self, hosts: HostList) -> None:
        """Apply a host list; known owners are not computed again."""
        if hosts.revision == self.revision:
            return
        self.revision = hosts.revision
        self.daemon_count = len(live_daemons(hosts))
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
        """Return how many loads a daemon may start in each window."""
        if daemon not in self.daemons:
            return 0
        return self.loads_per_window // len(self.daemons)


def choose_owners(hosts: HostList, limit: int) -> tuple[str, ...]:
    """Return the daemons that own engines, at most `limit` of them."""
    daemons = [entry.host for entry in live_daemons(hosts)]
    daemons.sort(key=lambda d: (-_weight(DAEMON_RANK_KEY, d), d))
    return tuple(daemons[:limit])


def is_managed(entry: HostEntry) -> bool:
    """Return whether an upstream is an engine that takes orders."""
    if entry.role is not Role.ENGINE:
        return False
    return bool(entry.may_hold or entry.may_take_roles)


def _weight(name: str, daemon: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{name}\0{daemon}".encode()))
