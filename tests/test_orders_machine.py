"""No sequence of events lets an older order take effect after a newer.

It would happen if two daemons ordered as owners of one engine, for
instance after a pause or a restart, or if the fencing numbers of an
earlier owner were not lower.  The loads that all daemons start in a
window must also stay within the limit.
"""

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from plantainsail.policy.order_owners import (
    REVISION_SHIFT_BITS,
    FencingNumbers,
    Ownership,
)
from plantainsail.policy.orders import OrderPlanner
from tests.standins.machine import run_machine
from tests.standins.order_fleet import OrderFleet
from tests.standins.orders import OrderBook

DAEMONS = 4
any_daemon = st.integers(0, DAEMONS - 1)


class OrderMachine(RuleBasedStateMachine):
    """Publications, faults and waits in any order."""

    are_checking = True

    def __init__(self) -> None:
        super().__init__()
        self.live = set(range(DAEMONS))

    @initialize(seed=st.integers(0, 2**16), engines=st.integers(2, 6))
    def start(self, seed: int, engines: int) -> None:
        self.fleet = OrderFleet(
            seed, DAEMONS, engines, are_checking=self.are_checking
        )
        self.random = random.Random(seed)
        self.fleet.pass_time(50.0)

    @rule(index=any_daemon, is_cut_off=st.booleans())
    def publish(self, index: int, is_cut_off: bool) -> None:
        """Take a daemon off the host list, or bring it back."""
        if is_cut_off:
            self.fleet.daemons[index].is_connected = False
        self.live ^= {index}
        self.live = self.live or {index}
        self.fleet.publish(self.live)

    @rule(index=any_daemon)
    def toggle_connection(self, index: int) -> None:
        daemon = self.fleet.daemons[index]
        daemon.is_connected = not daemon.is_connected

    @rule(index=any_daemon)
    def toggle_sleep(self, index: int) -> None:
        """Pause a daemon right before it writes, or resume it."""
        daemon = self.fleet.daemons[index]
        self.fleet.pass_time_until_decided(daemon)
        daemon.is_asleep = not daemon.is_asleep

    @rule(index=any_daemon)
    def restart(self, index: int) -> None:
        self.fleet.restart(index)

    @precondition(lambda self: self.random.random() < 0.5)
    @rule()
    def reconnect_and_wake_all(self) -> None:
        for daemon in self.fleet.daemons:
            daemon.is_connected = True
            daemon.is_asleep = False

    @rule(seconds=st.sampled_from([1.0, 4.0, 12.0, 30.0]))
    def pass_time(self, seconds: float) -> None:
        self.fleet.pass_time(seconds)

    @invariant()
    def guarantees_hold(self) -> None:
        if hasattr(self, "fleet"):
            self.fleet.check()


class UnfencedOrderMachine(OrderMachine):
    """The same with engines that ignore the fencing number."""

    are_checking = False


@pytest.mark.parametrize("machine", [OrderMachine, UnfencedOrderMachine])
def test_no_sequence_of_events_breaks_a_guarantee(
    machine: type[OrderMachine],
) -> None:
    run_machine(machine, examples=150, steps=40)


def accept_all(book: OrderBook, order: str, subject: str, number: int) -> bool:
    return True


def number_without_clock(
    source: FencingNumbers, revision: int, now_s: float
) -> int:
    source.last += 1
    return (revision << REVISION_SHIFT_BITS) + source.last


@pytest.mark.parametrize(
    ("machine", "owner", "method", "replacement", "words"),
    [
        (OrderMachine, OrderBook, "take", accept_all, "older order"),
        (
            UnfencedOrderMachine,
            Ownership,
            "is_settled",
            lambda ownership, engine, now_s: engine in ownership.engines,
            "older order",
        ),
        (
            UnfencedOrderMachine,
            OrderPlanner,
            "reason_to_withhold",
            lambda orders, order, view, now_s: None,
            "older order|too many loads",
        ),
        (
            UnfencedOrderMachine,
            FencingNumbers,
            "draw",
            number_without_clock,
            "older order",
        ),
        (
            UnfencedOrderMachine,
            Ownership,
            "loads",
            lambda ownership, now_s: ownership.load_shares[-1].loads,
            "too many loads",
        ),
    ],
)
def test_faults_appear_without_each_safeguard(
    monkeypatch: pytest.MonkeyPatch,
    machine: type[OrderMachine],
    owner: type,
    method: str,
    replacement: object,
    words: str,
) -> None:
    monkeypatch.setattr(owner, method, replacement)
    with pytest.raises(AssertionError, match=words):
        run_machine(machine, examples=3_000, steps=40)
