"""The daemons' limits on an engine never add up to above its memory.

They would if a lease ended later for the borrower than for the lender,
or if a holder kept its whole slice while its peers took a part over.
Messages are lost, late or repeated, and daemons pause and restart.
"""

import random
from typing import NamedTuple

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from plantainsail.policy.slices import (
    HEADROOM_FRACTION,
    LEASE_S,
    SILENCE_S,
    Need,
    SliceBook,
    SliceMessage,
    divide,
)

MEMORY = {"e0": 1_000, "e1": 1_600, "e2": 700}
WHOLE = {
    host: int(tokens * (1.0 - HEADROOM_FRACTION))
    for host, tokens in MEMORY.items()
}
NAMES = tuple(f"d{n}" for n in range(5))
DAEMONS = st.integers(0, len(NAMES) - 1)


class PendingMessage(NamedTuple):
    """A message that may arrive late, or never."""

    sender: int
    receiver: int
    nonce: int
    message: SliceMessage


class Fleet(RuleBasedStateMachine):
    """Five daemons whose messages may be lost, late or repeated."""

    @initialize()
    def start(self) -> None:
        self.now_s = 1_000.0
        self.nonces = [0] * len(NAMES)
        self.books = [SliceBook(name, self.now_s) for name in NAMES]
        for book in self.books:
            book.configure(NAMES, MEMORY, self.now_s)
        self.used = [dict.fromkeys(MEMORY, 0) for _ in NAMES]
        self.known_nonces = [[0] * len(NAMES) for _ in NAMES]
        self.pending: list[PendingMessage] = []

    def send(self, sender: int, receiver: int, wanted: int) -> PendingMessage:
        book = self.books[sender]
        state = book.peers[NAMES[receiver]]
        leases = [
            book.grant(
                NAMES[receiver],
                need.host,
                need.tokens,
                self.used[sender][need.host],
                self.now_s,
            )
            for need in state.needs.values()
        ]
        message = SliceMessage(
            stamp_ms=int(self.now_s * 1_000),
            echo_ms=state.stamp_ms,
            silent=book.silent_peers(self.now_s),
            needs=tuple(Need(host, wanted) for host in MEMORY),
            leases=tuple(lease for lease in leases if lease is not None),
        )
        nonce = self.known_nonces[sender][receiver]
        return PendingMessage(sender, receiver, nonce, message)

    def deliver(self, pending_message: PendingMessage) -> None:
        receiver = pending_message.receiver
        message = pending_message.message
        if pending_message.nonce != self.nonces[receiver]:
            message = message._replace(echo_ms=0, leases=())
        name = NAMES[pending_message.sender]
        book = self.books[receiver]
        if (
            self.known_nonces[receiver][pending_message.sender]
            != self.nonces[pending_message.sender]
        ):
            self.known_nonces[receiver][pending_message.sender] = self.nonces[
                pending_message.sender
            ]
            book.restart_peer(name)
        book.receive(name, message, self.now_s)

    @rule(sender=DAEMONS, receiver=DAEMONS, wanted=st.integers(0, 900))
    def send_message(self, sender: int, receiver: int, wanted: int) -> None:
        if sender != receiver:
            pending_message = self.send(sender, receiver, wanted)
            self.pending = [*self.pending[-20:], pending_message]

    @rule(wanted=st.integers(0, 900), lost=st.sets(DAEMONS, max_size=3))
    def exchange_all(self, wanted: int, lost: set[int]) -> None:
        for sender in set(range(len(NAMES))) - lost:
            for receiver in set(range(len(NAMES))) - lost - {sender}:
                self.deliver(self.send(sender, receiver, wanted))

    @rule(index=st.integers(0, 20), is_kept=st.booleans())
    def arrive(self, index: int, is_kept: bool) -> None:
        if not self.pending:
            return
        pending_message = self.pending[index % len(self.pending)]
        if not is_kept:
            self.pending.remove(pending_message)
        self.deliver(pending_message)

    @rule(seconds=st.sampled_from([0.05, 0.5, 1.0, LEASE_S, SILENCE_S + 1]))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds

    @rule(number=DAEMONS, host=st.sampled_from(sorted(MEMORY)))
    def use_all(self, number: int, host: str) -> None:
        limit = self.books[number].limit(host, self.now_s)
        self.used[number][host] = limit

    @rule(number=DAEMONS, host=st.sampled_from(sorted(MEMORY)))
    def use_nothing(self, number: int, host: str) -> None:
        self.used[number][host] = 0

    @rule(number=DAEMONS)
    def restart(self, number: int) -> None:
        self.books[number] = SliceBook(NAMES[number], self.now_s)
        self.books[number].configure(NAMES, MEMORY, self.now_s)
        self.used[number] = dict.fromkeys(MEMORY, 0)
        self.nonces[number] += 1
        # Pending messages of the earlier incarnation are lost with its
        # connections.
        self.pending = [p for p in self.pending if p.sender != number]
        self.known_nonces[number] = [-1] * len(NAMES)

    @invariant()
    def limits_fit_the_memory(self) -> None:
        for host, tokens in WHOLE.items():
            limits = [book.limit(host, self.now_s) for book in self.books]
            assert sum(limits) <= tokens

    def teardown(self) -> None:
        """All memory is usable again once messages arrive again."""
        if not hasattr(self, "books"):
            return
        for _ in range(int(3 * SILENCE_S / 0.5)):
            self.exchange_all(0, set())
            self.now_s += 0.5
        for host, tokens in WHOLE.items():
            limits = [book.limit(host, self.now_s) for book in self.books]
            assert sum(limits) >= tokens - len(NAMES)


TestFleet = Fleet.TestCase


def test_slices_of_an_engine_never_exceed_its_memory() -> None:
    for count in range(1, 12):
        names = [f"d{n:02}" for n in range(count)]
        for host, host_slices in divide(names, MEMORY).items():
            assert (
                WHOLE[host] - count <= sum(host_slices.values()) <= WHOLE[host]
            )


def make_books(count: int, now_s: float) -> list[SliceBook]:
    books = [SliceBook(name, now_s) for name in NAMES[:count]]
    for book in books:
        book.configure(NAMES[:count], MEMORY, now_s)
    return books


def exchange(books: list[SliceBook], now_s: float) -> None:
    for source in books:
        for target in books:
            if source is target:
                continue
            state = source.peers[target.address]
            message = SliceMessage(
                int(now_s * 1_000),
                state.stamp_ms,
                source.silent_peers(now_s),
            )
            target.receive(source.address, message, now_s)


def test_peers_take_over_a_lost_daemons_slice_after_expiry() -> None:
    books = make_books(4, 0.0)
    for tick in range(20):
        exchange(books, tick * 0.5)
    whole = sum(book.limit("e0", 9.5) for book in books)
    assert whole == 4 * (WHOLE["e0"] // 4)
    now_s = 9.5
    while now_s < 9.5 + SILENCE_S + LEASE_S:
        now_s += 0.5
        exchange(books[:3], now_s)
    home = WHOLE["e0"] // 4
    taken_over = 3 * ((home - home // 2) // 3)
    left = sum(book.limit("e0", now_s) for book in books[:3])
    assert left == 3 * home + taken_over


def test_lent_tokens_match_a_central_account() -> None:
    """The lender must count each lease until it expires.

    Otherwise it lends or fills memory that a borrower still holds.
    """
    source = random.Random(7)
    books = make_books(2, 0.0)
    lender, borrower = books
    now_s = 10.0
    granted: list[tuple[float, int]] = []
    for _ in range(300):
        now_s += source.random()
        stamp_ms = int(now_s * 1_000)
        lender.receive(borrower.address, SliceMessage(stamp_ms), now_s)
        used = source.randrange(500)
        wanted = source.randrange(600)
        lease = lender.grant(borrower.address, "e0", wanted, used, now_s)
        if lease is not None:
            granted.append((now_s + LEASE_S, lease.tokens))
        expected_lent = max(
            (t for until, t in granted if until > now_s), default=0
        )
        assert lender.lent_tokens("e0", now_s) == expected_lent
        assert expected_lent <= 238
        assert lender.limit("e0", now_s) == 475 - expected_lent
