"""Compares the shares of several daemons with one central counter.

They differ if lost, repeated or reordered messages are counted wrongly,
or if a restarted daemon does not learn the fleet's usage.
"""

import random

import pytest

from plantainsail.identity import Incarnation
from plantainsail.policy.admission import DecayingSum
from plantainsail.policy.shares import DECAY_S, MAX_COUNTERS, ShareLedger

PEERS = [Incarnation(f"d{n}", n) for n in range(3)]
WEIGHTS = {"large": 30, "small": 5}


def exchange(ledgers: list[ShareLedger], now_s: float, loss: float) -> None:
    source = random.Random(now_s)
    for number, sender in enumerate(ledgers):
        counters = sender.counters(dict.fromkeys(WEIGHTS, 1), now_s)
        for receiver in ledgers:
            if receiver is not sender and source.random() >= loss:
                receiver.receive(PEERS[number], counters, now_s)


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_weighted_usage_matches_a_central_counter(loss: float) -> None:
    source = random.Random(3)
    ledgers = [ShareLedger(0.0) for _ in PEERS]
    central = {plan: DecayingSum(DECAY_S) for plan in WEIGHTS}
    for ledger in ledgers:
        ledger.weights = WEIGHTS
    now_s = 0.0
    for _ in range(400):
        now_s += 0.1
        plan = source.choice(sorted(WEIGHTS))
        tokens = source.randrange(1, 200)
        source.choice(ledgers).charge(plan, tokens, now_s)
        central[plan].add(tokens, now_s)
        exchange(ledgers, now_s, loss)
    exchange(ledgers, now_s, 0.0)
    for ledger in ledgers:
        for plan, weight in WEIGHTS.items():
            expected = central[plan].read(now_s) / weight
            assert ledger.weighted_usage(plan, now_s) == pytest.approx(
                expected, rel=0.02
            )


def test_a_restarted_daemon_recovers_usage_from_its_peers() -> None:
    ledgers = [ShareLedger(0.0) for _ in PEERS]
    for ledger in ledgers:
        ledger.weights = WEIGHTS
    ledgers[0].charge("large", 6_000, 1.0)
    exchange(ledgers, 1.0, 0.0)
    before = ledgers[1].weighted_usage("large", 1.5)
    ledgers[0] = ShareLedger(1.5)
    ledgers[0].weights = WEIGHTS
    counters = ledgers[1].counters({"large": 1}, 1.5)
    ledgers[0].receive(PEERS[1], counters, 1.5)
    ledgers[0].receive(PEERS[2], counters, 1.5)
    assert ledgers[0].weighted_usage("large", 1.5) == pytest.approx(
        before, rel=0.01
    )


def test_repeated_and_reordered_messages_count_once() -> None:
    ledger = ShareLedger(0.0)
    sender = ShareLedger(0.0)
    sender.charge("large", 100, 20.0)
    early = sender.counters({"large": 1}, 20.0)
    sender.charge("large", 100, 20.0)
    late = sender.counters({"large": 1}, 20.0)
    for counters in (early, late, early, late):
        ledger.receive(PEERS[0], counters, 20.0)
    assert ledger.weighted_usage("large", 20.0) == pytest.approx(200.0)


def test_only_names_in_use_are_sent_and_their_number_is_bounded() -> None:
    ledger = ShareLedger(0.0)
    for number in range(11_000):
        ledger.charge(f"org-{number}", 5, 1.0)
    assert ledger.counters({}, 1.0) == ()
    many = {f"org-{number}": number for number in range(500)}
    counters = ledger.counters(many, 1.0)
    assert len(counters) == MAX_COUNTERS
    assert counters[0].name == "org-499"


@pytest.mark.parametrize("waiting", [0, 1])
def test_starts_of_peers_are_estimated_between_messages(waiting: int) -> None:
    """Between messages, the usage must follow a central counter.

    Without an estimate of the peers' unreported starts, each daemon's
    sum falls behind until the next message.
    """
    ledgers = [ShareLedger(0.0) for _ in PEERS]
    central = DecayingSum(DECAY_S)
    worst = 0.0
    for step in range(1, 601):
        now_s = 0.05 * step
        for number, ledger in enumerate(ledgers):
            # The first daemon serves half of all tokens.
            tokens = 40 if number == 0 else 20
            ledger.start("large", tokens)
            ledger.adjust_outstanding("large", -tokens)
            ledger.charge("large", tokens, now_s)
            central.add(tokens, now_s)
        if now_s > 20.0:
            true = central.read(now_s)
            for ledger in ledgers:
                error = abs(ledger.weighted_usage("large", now_s) / true - 1.0)
                worst = max(worst, error)
        if step % 20:
            continue
        for number, sender in enumerate(ledgers):
            counters = sender.counters({"large": waiting}, now_s)
            for receiver in ledgers:
                if receiver is not sender:
                    receiver.receive(PEERS[number], counters, now_s)
    # What peers start in a second is up to 7 % of the decayed sum.
    # Tokens served before a peer's first message are not estimated.
    assert worst < 0.02 if waiting else worst > 0.05
