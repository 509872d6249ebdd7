"""Hundreds of daemons agree on the upstreams of a restored service.

Only a few daemons watch the service.  The others get changes by
messages, which are lost and overtake each other, and whole lists from
peers.  Mixed up revisions of different epochs would leave some of them
with upstreams that have left, or without new ones.
"""

import random
from collections import defaultdict
from typing import NamedTuple

import pytest

from plantainsail.routing.held_entries import ENTRY_LIFETIME_S
from plantainsail.routing.messages import ListChange
from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.registry import RETURN_GRACE_S, UpstreamRegistry
from plantainsail.routing.revisions import epoch_of, make_revision

DAEMONS = 195
WATCHERS = 4
STEPS = 600
STEP_S = 0.05
MAX_COPY_AGE_STEPS = 150
MESSAGE_LOSS = 0.2
# A daemon that lags fetches a newer list within a second.
FETCHES_PER_STEP = 60
# Upstreams rewrite their entries, and those that left lapse, in so many
# steps after a restoration.
CATCH_UP_STEPS = 40


class Write(NamedTuple):
    """One change of an entry; `upstream` is None if it was removed."""

    identifier: str
    upstream: RoutedUpstream | None
    number: int


class Service:
    """A configuration service and the upstreams that announce to it."""

    def __init__(self) -> None:
        self.epoch = 1
        self.count = 50
        self.entries: dict[str, RoutedUpstream] = {}
        self.history: list[Write] = []
        self.running: dict[str, RoutedUpstream] = {}
        # The upstreams that wrote an entry, by epoch.
        self.written: dict[int, set[RoutedUpstream]] = defaultdict(set)

    @property
    def revision(self) -> int:
        return make_revision(self.epoch, self.count)

    def write(self, identifier: str, upstream: RoutedUpstream | None) -> None:
        self.count += 1
        self.entries.pop(identifier, None)
        if upstream is not None:
            self.entries[identifier] = upstream
            self.written[self.epoch].add(upstream)
        self.history.append(Write(identifier, upstream, self.count))

    def copy(self) -> tuple[dict[str, RoutedUpstream], int]:
        return dict(self.entries), self.count

    def restore(self, copy: tuple[dict[str, RoutedUpstream], int]) -> None:
        self.entries, self.count = dict(copy[0]), copy[1]
        self.history.clear()
        self.epoch += 1

    def catch_up(self) -> None:
        """Let upstreams write again, and entries of others lapse."""
        for identifier, upstream in self.running.items():
            if self.entries.get(identifier) != upstream:
                self.write(identifier, upstream)
        for identifier in self.entries.keys() - self.running.keys():
            self.write(identifier, None)


class Fleet:
    """Daemons, and the messages that are on their way."""

    def __init__(self, seed: int) -> None:
        self.source = random.Random(seed)
        self.service = Service()
        self.daemons = [UpstreamRegistry() for _ in range(DAEMONS)]
        self.messages: list[tuple[UpstreamRegistry, ListChange]] = []
        self.now_s = 0.0
        self.born = 0
        # By daemon, the upstreams of which it knew that they left.
        self.left: dict[int, set[RoutedUpstream]] = {}

    def change_an_upstream(self) -> None:
        """Start, drain or remove an upstream."""
        running = self.service.running
        identifier = f"u{self.source.randrange(12)}"
        upstream = running.get(identifier)
        if upstream is None:
            self.born += 1
            upstream = RoutedUpstream(
                identifier, "letters", "10.0.0.1:80", "a", 8, False, self.born
            )
            running[identifier] = upstream
            self.service.write(identifier, upstream)
        elif not upstream.is_draining and self.source.random() < 0.5:
            running[identifier] = upstream._replace(is_draining=True)
            self.service.write(identifier, running[identifier])
        else:
            del running[identifier]
            self.service.write(identifier, None)

    def watch(self, registry: UpstreamRegistry) -> None:
        """Let a watcher follow the service, or read its whole list."""
        service = self.service
        if epoch_of(registry.revision) != service.epoch:
            listed = tuple(service.entries.values())
            registry.replace(listed, service.revision, self.now_s)
            return
        after = registry.revision
        written: list[RoutedUpstream] = []
        removed: list[str] = []
        for write in service.history:
            revision = make_revision(service.epoch, write.number)
            if revision <= after:
                continue
            if write.upstream is None:
                removed.append(write.identifier)
                registry.remove(write.identifier, revision, self.now_s)
            else:
                written.append(write.upstream)
                registry.put(write.upstream, revision, self.now_s)
        if registry.revision == after or len(written) + len(removed) > 1:
            return
        change = ListChange(
            "w", after, registry.revision, tuple(written), tuple(removed)
        )
        for receiver in self.daemons[WATCHERS:]:
            if self.source.random() > MESSAGE_LOSS:
                self.messages.append((receiver, change))

    def deliver_some(self) -> None:
        """Deliver half of the messages, in any order."""
        self.source.shuffle(self.messages)
        for _ in range(len(self.messages) // 2):
            registry, change = self.messages.pop()
            if not change.after <= registry.revision < change.revision:
                continue
            for upstream in change.written:
                registry.put(upstream, change.revision, self.now_s)
            for identifier in change.removed:
                registry.remove(identifier, change.revision, self.now_s)

    def fetch(self, registry: UpstreamRegistry) -> None:
        """Let a daemon take the list of a random newer one."""
        peer = self.source.choice(self.daemons)
        if peer.revision > registry.revision:
            listed = peer.listed_upstreams()
            registry.replace(listed, peer.revision, self.now_s)

    def restart(self) -> None:
        """Replace a daemon by one that knows nothing."""
        number = self.source.randrange(DAEMONS)
        self.left.pop(id(self.daemons[number]), None)
        self.daemons[number] = UpstreamRegistry()

    def used_but_gone(self, registry: UpstreamRegistry) -> list[str]:
        """Return what a daemon uses though it knew that it has left.

        Its entry comes from a copy: it was not written since.
        """
        written = self.service.written[epoch_of(registry.revision)]
        left = self.left.setdefault(id(registry), set())
        gone: list[str] = []
        for upstream in registry.entries.values():
            if upstream in written:
                left.discard(upstream)
                continue
            if upstream in left:
                gone.append(upstream.identifier)
        return gone

    def remember_departures(self, registry: UpstreamRegistry) -> None:
        """Remember the upstreams that a daemon knows to have left.

        One whose entry only lapsed still runs.
        """
        left = self.left.setdefault(id(registry), set())
        for departure in registry.departures.values():
            upstream = departure.upstream._replace(is_draining=False)
            if upstream not in self.service.running.values():
                left.add(upstream)

    def tick(self) -> None:
        """Let some time pass at all daemons."""
        self.now_s += STEP_S
        for registry in self.daemons:
            registry.expire_vanished(self.now_s)
            registry.use_renewed(self.now_s)


@pytest.mark.parametrize("seed", range(8))
def test_hundreds_of_daemons_agree_after_restorations(seed: int) -> None:
    fleet = Fleet(seed)
    copies = [fleet.service.copy()]
    restored_at: int | None = None
    for step in range(STEPS):
        fleet.tick()
        if step == restored_at:
            fleet.service.catch_up()
        if fleet.source.random() < 0.3:
            fleet.change_an_upstream()
        copies.append(fleet.service.copy())
        if fleet.source.random() < 0.01:
            age = fleet.source.randrange(1, MAX_COPY_AGE_STEPS)
            fleet.service.restore(copies[max(0, len(copies) - age)])
            copies = [fleet.service.copy()]
            restored_at = step + CATCH_UP_STEPS
        if fleet.source.random() < 0.2:
            fleet.restart()
        for registry in fleet.daemons[:WATCHERS]:
            fleet.watch(registry)
        fleet.deliver_some()
        for registry in fleet.source.sample(fleet.daemons, FETCHES_PER_STEP):
            fleet.fetch(registry)
        for registry in fleet.daemons:
            assert fleet.used_but_gone(registry) == []
            fleet.remember_departures(registry)
    fleet.service.catch_up()
    for registry in fleet.daemons[:WATCHERS]:
        fleet.watch(registry)
    for registry in fleet.daemons[WATCHERS:]:
        listed = fleet.daemons[0].listed_upstreams()
        registry.replace(listed, fleet.daemons[0].revision, fleet.now_s)
    settle_s = max(ENTRY_LIFETIME_S, RETURN_GRACE_S)
    for _ in range(int(settle_s / STEP_S) + 2):
        fleet.tick()
    expected = {
        upstream
        for upstream in fleet.service.running.values()
        if not upstream.is_draining
    }
    for registry in fleet.daemons:
        assert set(registry.usable_upstreams("letters")) == expected
