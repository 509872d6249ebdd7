"""The age of lists that daemons exchange is never underestimated.

Otherwise a daemon would act on lists that are too old.  It could come
about when messages are delayed, repeated, reordered or lost, between
daemons that restart and whose clocks start at different values.  The
test exchanges real heartbeat sections.
"""

from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from plantainsail.clock import ManualClock
from plantainsail.identity import Incarnation
from plantainsail.lists.model import HostEntry, HostList, PublishedLists, Role
from plantainsail.lists.snapshot import Family
from plantainsail.lists.store import ListStore
from plantainsail.peers.list_section import ListSection
from plantainsail.peers.wire.fleet_pb2 import HeartbeatMessage
from plantainsail.runtime.list_freshness import NodeFreshness
from tests.standins.platform import bare_settings

DAEMONS = 4
ROUNDING_S = 0.01
NUMBERS = st.integers(0, DAEMONS - 1)
HOSTS = HostList(
    1,
    {
        f"entry-{n}": HostEntry(
            f"entry-{n}", Role.ENTRY, f"10.0.0.{n}:1", f"zone-{n}"
        )
        for n in range(DAEMONS)
    },
)


class Flying(NamedTuple):
    """A heartbeat that was sent and may still be delivered."""

    sender: Incarnation
    receiver: int
    wire: bytes


class TimedDaemon:
    """One daemon incarnation with its own clock."""

    def __init__(self, number: int, nonce: int, clock_s: float) -> None:
        self.number = number
        self.incarnation = Incarnation(f"10.0.0.{number}:1", nonce)
        self.clock = ManualClock(clock_s)
        store = ListStore()
        store.offer_hosts(HOSTS)
        store.offer_lists(PublishedLists(1, {}, {}, {}, {}))
        self.freshness = NodeFreshness(
            bare_settings()._replace(
                host=f"entry-{number}", availability_zone=f"zone-{number}"
            ),
            self.clock,
            store,
            self.incarnation,
        )
        self.section = ListSection(self.freshness, lambda address: None)


class FreshnessMachine(RuleBasedStateMachine):
    @initialize(clocks=st.lists(st.floats(0, 1e6), min_size=4, max_size=4))
    def start(self, clocks: list[float]) -> None:
        self.nonces = 0
        self.true_s = 0.0
        self.confirmed_s = float("-inf")
        self.stopped_s: dict[int, float] = {}
        self.flying: list[Flying] = []
        self.daemons = [
            self.make_daemon(number, clock_s)
            for number, clock_s in enumerate(clocks)
        ]

    def make_daemon(self, number: int, clock_s: float) -> TimedDaemon:
        self.nonces += 1
        return TimedDaemon(number, self.nonces, clock_s)

    @rule(seconds=st.floats(0.0, 5.0))
    def advance(self, seconds: float) -> None:
        self.true_s += seconds
        for daemon in self.daemons:
            daemon.clock.advance(seconds)

    @rule(number=NUMBERS)
    def confirm(self, number: int) -> None:
        daemon = self.daemons[number]
        self.confirmed_s = self.true_s
        daemon.freshness.store.confirm(daemon.clock.now_s(), Family.LISTS, 1)

    @rule(sender=NUMBERS, receiver=NUMBERS)
    def send(self, sender: int, receiver: int) -> None:
        if sender == receiver or sender in self.stopped_s:
            return
        daemon = self.daemons[sender]
        message = HeartbeatMessage()
        daemon.section.fill(
            message,
            self.daemons[receiver].incarnation,
            daemon.clock.now_s(),
        )
        self.flying.append(
            Flying(daemon.incarnation, receiver, message.SerializeToString())
        )

    @rule(choice=st.integers(0, 99), is_kept=st.booleans())
    def deliver(self, choice: int, is_kept: bool) -> None:
        if not self.flying:
            return
        index = choice % len(self.flying)
        flying = self.flying[index]
        if not is_kept:
            del self.flying[index]
        daemon = self.daemons[flying.receiver]
        daemon.section.absorb(
            HeartbeatMessage.FromString(flying.wire),
            flying.sender,
            daemon.clock.now_s(),
        )

    @rule(sender=NUMBERS, receiver=NUMBERS, delay_s=st.floats(0.0, 3.0))
    def exchange(self, sender: int, receiver: int, delay_s: float) -> None:
        """Send there and back, so that echoes are common."""
        for pair in ((sender, receiver), (receiver, sender)):
            before = len(self.flying)
            self.send(*pair)
            self.advance(delay_s)
            if len(self.flying) > before:
                self.deliver(before, is_kept=False)

    @rule(number=NUMBERS, clock_s=st.floats(0, 1e6))
    def restart(self, number: int, clock_s: float) -> None:
        if number not in self.stopped_s:
            self.daemons[number] = self.make_daemon(number, clock_s)

    @rule(number=NUMBERS)
    def stop(self, number: int) -> None:
        self.stopped_s.setdefault(number, self.true_s)

    @invariant()
    def no_age_is_too_young(self) -> None:
        true_age_s = self.true_s - self.confirmed_s
        for daemon in self.daemons:
            now_s = daemon.clock.now_s()
            age_s = daemon.freshness.store.age_s(now_s)
            assert age_s >= true_age_s - ROUNDING_S

    @invariant()
    def no_zone_is_heard_after_its_end(self) -> None:
        for daemon in self.daemons:
            ages_s = daemon.freshness.zone_contacts.ages_s(
                daemon.clock.now_s()
            )
            for number, stopped_s in self.stopped_s.items():
                age_s = ages_s.get(f"zone-{number}", float("inf"))
                assert age_s >= self.true_s - stopped_s - ROUNDING_S


FreshnessMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=50
)
test_freshness_machine = FreshnessMachine.TestCase


def test_age_grows_by_one_round_trip_at_each_hop() -> None:
    daemons = [TimedDaemon(n, n, 100.0 * n) for n in range(DAEMONS)]
    daemons[0].freshness.store.confirm(0.0)
    for sender, receiver in zip(daemons, daemons[1:], strict=False):
        for source, target in ((receiver, sender), (sender, receiver)):
            message = HeartbeatMessage()
            source.section.fill(
                message, target.incarnation, source.clock.now_s()
            )
            for daemon in daemons:
                daemon.clock.advance(0.5)
            target.section.absorb(
                message, source.incarnation, target.clock.now_s()
            )
    last_daemon = daemons[-1]
    age_s = last_daemon.freshness.store.age_s(last_daemon.clock.now_s())
    # At each of the three hops the bound is the round trip of 1 s.
    assert 3.0 <= age_s <= 4.5 + 3 * ROUNDING_S
    zone_ages_s = last_daemon.freshness.zone_contacts.ages_s(
        last_daemon.clock.now_s()
    )
    assert set(zone_ages_s) == {"zone-0", "zone-1", "zone-2"}
