"""All daemons together keep the rate limit of an upstream in need.

Each knows of the others only by messages, which take time and may be
lost.  If each kept the limit for itself, the upstream would get a
multiple of it; if each kept a fixed share, most of the limit would stay
unused where requests are unevenly spread.
"""

import random
from collections import deque
from typing import NamedTuple

import pytest

from plantainsail.routing.rate_limits import (
    LIMIT_LIFETIME_S,
    NamedLimit,
    PeerReport,
    RateLimits,
    SentCount,
)

UPSTREAM = "u1"
WINDOW_S = 4.0


def most_in_window(per_s: float) -> float:
    """Return what an upstream may get within the window."""
    return 1.5 * per_s * WINDOW_S + 5


def report(
    per_s: float | None,
    named_s: float,
    sent: int = 0,
    nonce: int = 1,
    tokens: float = 9.0,
) -> PeerReport:
    limit = NamedLimit(per_s, named_s)
    count = SentCount(nonce, sent)
    return PeerReport(UPSTREAM, limit, "peer", count, tokens)


@pytest.fixture
def limits() -> RateLimits:
    rate_limits = RateLimits()
    assert rate_limits.note_answer(UPSTREAM, 2.0, 10.0)
    return rate_limits


def test_an_upstream_without_a_limit_takes_any_number() -> None:
    limits = RateLimits()
    for _ in range(100):
        assert limits.may_send(UPSTREAM, 1.0)
        limits.note_sent(UPSTREAM, 1.0)
    assert limits.pop_unsent() == []


def test_tokens_come_at_the_rate_that_was_named(limits: RateLimits) -> None:
    assert not limits.may_send(UPSTREAM, 10.0)
    assert limits.wait_s(UPSTREAM, 10.0) == pytest.approx(0.5)
    assert limits.may_send(UPSTREAM, 10.5)
    limits.note_sent(UPSTREAM, 10.5)
    assert not limits.may_send(UPSTREAM, 10.5)
    assert limits.pop_unsent() == [UPSTREAM]


def test_requests_of_peers_count(limits: RateLimits) -> None:
    limits.merge(report(2.0, 10.0, sent=5), 10.0)
    limits.merge(report(2.0, 11.0, sent=7), 11.0)
    # 2 tokens in a second, less one of the first report, of which the
    # number before is not known, and two of the second one.
    assert limits.tokens(UPSTREAM, 11.0) == pytest.approx(-1.0)


def test_the_lower_of_two_copies_counts(limits: RateLimits) -> None:
    """A peer knows of requests whose reports did not arrive here."""
    limits.merge(report(2.0, 10.1, tokens=-1.0), 10.5)
    assert limits.tokens(UPSTREAM, 10.5) == pytest.approx(-1.0)
    limits.merge(report(2.0, 10.2, tokens=4.0), 10.5)
    assert limits.tokens(UPSTREAM, 10.5) == pytest.approx(-1.0)


def test_counts_of_another_run_of_a_peer_are_not_compared(
    limits: RateLimits,
) -> None:
    limits.merge(report(2.0, 10.0, sent=500, nonce=1), 10.0)
    limits.merge(report(2.0, 10.1, sent=2, nonce=2), 11.0)
    limits.merge(report(2.0, 10.2, sent=2, nonce=2), 11.0)
    assert limits.tokens(UPSTREAM, 11.0) == pytest.approx(0.0)


def test_a_repeated_report_of_an_unknown_peer_takes_nothing(
    limits: RateLimits,
) -> None:
    """What the peer sent may be long past."""
    repeated = report(2.0, 10.0, sent=5)
    count = repeated.sent._replace(is_news=False)
    limits.merge(repeated._replace(sent=count), 11.0)
    assert limits.tokens(UPSTREAM, 11.0) == pytest.approx(2.0)


def test_an_answer_that_names_no_limit_lifts_it(limits: RateLimits) -> None:
    assert limits.note_answer(UPSTREAM, None, 11.0)
    assert limits.may_send(UPSTREAM, 11.0)
    assert not limits.is_limited(UPSTREAM, 11.0)


def test_the_newest_word_of_an_upstream_holds(limits: RateLimits) -> None:
    assert not limits.merge(report(None, 9.0), 10.1)
    assert limits.is_limited(UPSTREAM, 10.1)
    assert limits.merge(report(None, 10.2), 10.3)
    assert not limits.is_limited(UPSTREAM, 10.3)


def test_a_limit_named_again_starts_with_an_empty_bucket(
    limits: RateLimits,
) -> None:
    limits.note_answer(UPSTREAM, None, 11.0)
    limits.note_answer(UPSTREAM, 2.0, 30.0)
    assert not limits.may_send(UPSTREAM, 30.0)


def test_a_limit_of_zero_lets_a_request_through_now_and_then() -> None:
    """Only an answer can show that the upstream has recovered."""
    limits = RateLimits()
    limits.note_answer(UPSTREAM, 0.0, 10.0)
    assert not limits.may_send(UPSTREAM, 15.0)
    assert limits.may_send(UPSTREAM, 20.1)


def test_a_limit_of_which_nobody_hears_lapses(limits: RateLimits) -> None:
    assert limits.is_limited(UPSTREAM, 10.0 + LIMIT_LIFETIME_S)
    assert not limits.is_limited(UPSTREAM, 10.1 + LIMIT_LIFETIME_S)


def test_departed_upstreams_are_forgotten(limits: RateLimits) -> None:
    limits.note_sent(UPSTREAM, 10.0)
    limits.forget_except({"u2"})
    assert limits.upstreams == {}
    assert limits.pop_unsent() == []


class Message(NamedTuple):
    """A report on its way to one daemon."""

    arrives_s: float
    receiver: int
    report: PeerReport


class Fleet(NamedTuple):
    """How many daemons there are, and how their messages fare."""

    daemons: int
    delay_s: float
    loss: float


def play(fleet: Fleet, per_s: float, offered_s: float, seed: int) -> list[int]:
    """Offer requests for 40 s; return the counts in windows of 4 s.

    The first 4 s, in which the daemons learn of the limit, are left
    out.  Requests that find no token go elsewhere.
    """
    source = random.Random(seed)
    daemons = [RateLimits() for _ in range(fleet.daemons)]
    messages: deque[Message] = deque()
    sent_s: list[float] = []
    now_s = 0.0
    while now_s < 40.0:
        now_s += source.expovariate(offered_s)
        while messages and messages[0].arrives_s <= now_s:
            message = messages.popleft()
            daemons[message.receiver].merge(message.report, message.arrives_s)
        sender = source.randrange(fleet.daemons)
        limits = daemons[sender]
        if not limits.may_send(UPSTREAM, now_s):
            continue
        limits.note_sent(UPSTREAM, now_s)
        limits.note_answer(UPSTREAM, per_s, now_s)
        sent_s.append(now_s)
        if not limits.pop_unsent():
            continue
        limited = limits.upstreams[UPSTREAM]
        news = PeerReport(
            UPSTREAM,
            limited.limit,
            f"d{sender}",
            SentCount(1, limited.sent),
            limits.tokens(UPSTREAM, now_s),
        )
        for receiver in range(fleet.daemons):
            if receiver != sender and source.random() >= fleet.loss:
                arrives_s = now_s + fleet.delay_s
                messages.append(Message(arrives_s, receiver, news))
    return windows_of(sent_s)


def windows_of(sent_s: list[float]) -> list[int]:
    counts: list[int] = []
    for start_s in sent_s:
        if not 4.0 <= start_s <= 36.0:
            continue
        in_window = [
            at_s for at_s in sent_s if start_s <= at_s < start_s + WINDOW_S
        ]
        counts.append(len(in_window))
    return counts


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("per_s", [1.0, 2.2, 6.0])
@pytest.mark.parametrize(
    ("fleet", "offered_s"),
    [
        (Fleet(9, 0.01, 0.03), 10.0),
        (Fleet(9, 0.02, 0.1), 60.0),
        (Fleet(195, 0.02, 0.03), 100.0),
    ],
)
def test_all_daemons_together_keep_a_limit_and_use_it(
    fleet: Fleet, offered_s: float, per_s: float, seed: int
) -> None:
    counts = play(fleet, per_s, offered_s, seed)
    assert max(counts) <= most_in_window(per_s)
    assert sum(counts) / len(counts) >= 0.7 * per_s * WINDOW_S
