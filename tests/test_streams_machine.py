"""Streams over several daemons, compared with a simple model.

A state machine loses, repeats, delays and misdirects chunks, and
kills, pauses and resumes daemons and engines.  The caller's text must
always be the beginning of one generation, and all of it once the
stream has ended without a failure.
"""

from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import NamedTuple

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from plantainsail.identity import Incarnation
from plantainsail.lists.model import HostEntry, Role
from plantainsail.policy.work import Work
from plantainsail.results import Code, Failure
from plantainsail.runtime.adoptions import ATTEMPTS_PER_EPOCH
from plantainsail.runtime.live_streams import LiveStream, Reader
from plantainsail.streams import relay as relay_module
from plantainsail.streams.events import CHAT_SHAPE, StreamFacts
from plantainsail.streams.lifetime import SweepAction, choose_sweep_action
from plantainsail.streams.naming import StreamName
from plantainsail.streams.relay import (
    ChunkVerdict,
    Expected,
    NextAction,
    Relay,
    RelayStep,
)
from plantainsail.upstreams.protocols import Chunk
from tests.standins.machine import run_machine

REQUEST = "req-1"
DAEMONS = 3
LENGTH = 7
GRACE_S = 5.0
ENGINE = HostEntry("engine-1", Role.ENGINE, "", "", checks_fencing=True)
FACTS = StreamFacts(REQUEST, "m", 1, CHAT_SHAPE)
WORK = Work(REQUEST, "desk", "large", "m", 1, 1, 100, 0.0, 1e9)
TRUNCATED = Failure(Code.UPSTREAM_TRUNCATED, "cut")


class Generation:
    """The simple model: a generation with all of its tokens."""

    def __init__(self, number: int) -> None:
        self.name = f"gen-{number}"
        self.tokens = [f"{number}.{n} " for n in range(LENGTH)]
        self.newest_attempt = 0
        self.is_gone = False

    def chunks(
        self, attempt: int, position: int, sizes: list[int]
    ) -> Iterator[Chunk]:
        """Yield chunks of the given sizes from a position on."""
        for size in sizes:
            tokens = self.tokens[position : position + size]
            is_last = position + len(tokens) == LENGTH
            yield Chunk(
                REQUEST, self.name, attempt, position, len(tokens),
                "".join(tokens), "stop" if is_last else None,
            )  # fmt: skip
            position += len(tokens)
            if is_last:
                return


class Delivery(StrEnum):
    """How the network delivers a batch of chunks."""

    WHOLE = "whole"
    NOTHING = "nothing"
    FIRST = "first"
    LATER = "later"
    REVERSED = "reversed"
    TWICE = "twice"


DELIVERIES: dict[Delivery, Callable[[list[Chunk]], list[Chunk]]] = {
    Delivery.WHOLE: lambda chunks: chunks,
    Delivery.NOTHING: lambda chunks: [],
    Delivery.FIRST: lambda chunks: chunks[:1],
    Delivery.LATER: lambda chunks: chunks[1:],
    Delivery.REVERSED: lambda chunks: chunks[::-1],
    Delivery.TWICE: lambda chunks: [c for c in chunks for _ in range(2)],
}


class InjectedFault(StrEnum):
    """A fault of a daemon or of an engine.

    `WEAR_OUT` fails the relay until it stops resuming.
    """

    KILL_DAEMON = "kill_daemon"
    PAUSE_OR_WAKE = "pause_or_wake"
    KILL_ENGINE = "kill_engine"
    WEAR_OUT = "wear_out"


class Connection(NamedTuple):
    """A connection on which an engine streams a generation."""

    generation: Generation
    attempt: int
    position: int
    daemon: int


class StreamMachine(RuleBasedStateMachine):
    """Daemons, an engine, a caller and an unreliable network."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.generations: list[Generation] = []
        self.streams: list[LiveStream | None] = [None] * DAEMONS
        self.paused = [False] * DAEMONS
        self.reader: Reader | None = None
        self.reader_daemon = 0
        self.name: StreamName | None = None
        self.received_texts: list[str] = []
        self.position = 0
        self.is_done = False
        self.is_broken = False
        self.open: list[Connection] = []
        self.written: list[Chunk] = []
        stream = self.streams[0] = LiveStream(WORK, FACTS, 0.0)
        self.reader = stream.attach(0)
        self._start(0)

    def _start(self, daemon: int) -> None:
        stream = self.streams[daemon]
        assert stream is not None
        generation = Generation(len(self.generations))
        self.generations.append(generation)
        relay = Relay(REQUEST, generation.name, 100)
        name = StreamName(
            "desk", "m", REQUEST, generation.name, "engine-1", "0",
            Incarnation(str(daemon), 0), 0, 100, 1, True, 1, 0,
        )  # fmt: skip
        stream.begin(relay, ENGINE, name)
        self.open.append(Connection(generation, 0, 0, daemon))

    def _find(self, name: str) -> Generation:
        return next(g for g in self.generations if g.name == name)

    def _follow(self, daemon: int, step: RelayStep) -> None:
        """Act on a step as the daemon's runner does."""
        stream = self.streams[daemon]
        assert stream is not None
        assert stream.relay is not None
        if step.relayed:
            stream.append(step.relayed)
        if step.next is NextAction.FINISHED:
            stream.end(None, self.now_s)
        if step.next is NextAction.RESUME:
            self._resume_at_engine(daemon, stream.relay)
        if step.next is not NextAction.LOST:
            return
        if stream.is_delivered:
            stream.end(Failure(Code.GENERATION_LOST, ""), self.now_s)
            return
        stream.restart()
        self._start(daemon)

    def _resume_at_engine(self, daemon: int, relay: Relay) -> None:
        generation = self._find(relay.expected.generation)
        if generation.is_gone:
            gone = Failure(Code.GENERATION_LOST, "")
            self._follow(daemon, relay.fail(gone))
            return
        attempt = relay.expected.attempt
        if attempt < generation.newest_attempt:
            newer = Failure(Code.STREAM_SUPERSEDED, "")
            self._follow(daemon, relay.fail(newer))
            return
        generation.newest_attempt = attempt
        self.open.append(
            Connection(generation, attempt, relay.position, daemon)
        )

    @rule(
        back=st.sampled_from([0, 0, 0, 1, 2]),
        sizes=st.lists(st.integers(1, 3), min_size=1, max_size=4),
        order=st.sampled_from(Delivery),
        reads=st.booleans(),
    )
    def write(
        self, back: int, sizes: list[int], order: Delivery, reads: bool
    ) -> None:
        """Let an engine write chunks, and deliver some of them."""
        connection = self.open[-1 - back % len(self.open)]
        generation, attempt, position, daemon = connection
        if generation.is_gone:
            return
        chunks = list(generation.chunks(attempt, position, sizes))
        self.written += chunks
        for chunk in DELIVERIES[order](chunks):
            self._deliver(chunk, daemon)
        if reads:
            self.read()

    @rule(rounds=st.integers(1, 3), tokens=st.integers(1, 2))
    def flow(self, rounds: int, tokens: int) -> None:
        """Write, deliver and read some chunks without faults."""
        for _ in range(rounds):
            last = self.open[-1]
            self.write(0, [tokens], Delivery.WHOLE, True)
            if self.open[-1] is last:
                position = min(LENGTH, last.position + tokens)
                self.open[-1] = last._replace(position=position)

    @rule(
        back=st.integers(0, 15),
        daemon=st.integers(0, DAEMONS - 1),
        is_crossed=st.booleans(),
    )
    def deliver(self, back: int, daemon: int, is_crossed: bool) -> None:
        """Deliver any chunk written so far to any daemon."""
        if not self.written:
            return
        chunk = self.written[-1 - back % len(self.written)]
        if is_crossed:
            chunk = chunk._replace(request="req-2", text="WRONG ")
        self._deliver(chunk, daemon)

    def _deliver(self, chunk: Chunk, daemon: int) -> None:
        stream = self.streams[daemon]
        if stream is None or self.paused[daemon] or stream.is_ended:
            return
        if stream.relay is not None:
            self._follow(daemon, stream.relay.process_chunks([chunk]))

    @rule(daemon=st.integers(0, DAEMONS - 1))
    def cut(self, daemon: int) -> None:
        stream = self.streams[daemon]
        if stream is None or self.paused[daemon] or stream.is_ended:
            return
        if stream.relay is not None:
            self._follow(daemon, stream.relay.fail(TRUNCATED))

    @rule()
    def read(self) -> None:
        if self.reader is None or self.paused[self.reader_daemon]:
            return
        batch = self.reader.poll()
        if batch is None:
            return
        self.name = self.reader.stream.name or self.name
        for chunk in batch.chunks:
            self.received_texts.append(chunk.text)
            self.position = chunk.position + chunk.tokens
        if not batch.is_ended:
            return
        self.is_done = self.is_done or batch.failure is None
        self.is_broken = self.is_broken or batch.failure is not None
        self.reader = None

    @precondition(lambda self: self.name is not None)
    @rule(daemon=st.integers(0, DAEMONS - 1), back=st.integers(0, 3))
    def resume(self, daemon: int, back: int) -> None:
        """Resume at any daemon, with the last `back` chunks lost."""
        if self.paused[daemon] or self.is_done:
            return
        if self.reader is not None:
            self.reader.close(self.now_s)
        while back and self.received_texts:
            removed_text = self.received_texts.pop()
            self.position -= removed_text.count(" ")
            back -= 1
        assert self.name is not None
        for candidate in (daemon, int(self.name.relay.address)):
            stream = self.streams[candidate]
            if stream is None or self.paused[candidate]:
                continue
            if stream.relay is None:
                continue
            if stream.relay.expected.generation != self.name.generation:
                continue
            attempt = stream.relay.expected.attempt
            self.reader = stream.reattach(self.position)
            self.reader_daemon = candidate
            if self.reader is None:
                continue
            if stream.relay.expected.attempt != attempt:
                self._resume_at_engine(candidate, stream.relay)
            return
        self._adopt(daemon, self.name)

    def _adopt(self, daemon: int, name: StreamName) -> None:
        newest = self._find(name.generation).newest_attempt
        attempt = newest + ATTEMPTS_PER_EPOCH
        stream = LiveStream(WORK, FACTS, self.now_s)
        stream.is_delivered = True
        relay = Relay(REQUEST, name.generation, 100, self.position, attempt)
        adopted = name._replace(
            relay=Incarnation(str(daemon), 0), attempt=attempt
        )
        stream.begin(relay, ENGINE, adopted)
        self.streams[daemon] = stream
        self.reader = stream.attach(self.position)
        self.reader_daemon = daemon
        assert self.reader is not None
        self._resume_at_engine(daemon, relay)

    @rule(
        disaster=st.sampled_from(InjectedFault),
        daemon=st.integers(0, DAEMONS - 1),
        is_near=st.booleans(),
        late=st.integers(0, 3),
    )
    def suffer(
        self, disaster: InjectedFault, daemon: int, is_near: bool, late: int
    ) -> None:
        """Apply a fault, and deliver some old chunks after it."""
        daemon = self.reader_daemon if is_near else daemon
        self._apply_fault(disaster, daemon)
        for chunk in self.written[:late]:
            self._deliver(chunk, daemon)

    def _apply_fault(self, disaster: InjectedFault, daemon: int) -> None:
        stream = self.streams[daemon]
        if disaster is InjectedFault.KILL_DAEMON:
            self.streams[daemon] = None
            self.paused[daemon] = False
        if disaster is InjectedFault.PAUSE_OR_WAKE:
            self.paused[daemon] = not self.paused[daemon]
            if stream is not None:
                stream.lifetime = stream.lifetime._replace(was_paused=True)
        is_reached = self.streams[daemon] is not None
        if self.reader_daemon == daemon and not is_reached:
            self.reader = None
        if self.paused[daemon] or stream is None or not is_reached:
            return
        if stream.relay is None or stream.is_ended:
            return
        if disaster is InjectedFault.KILL_ENGINE:
            self._find(stream.relay.expected.generation).is_gone = True
            self._follow(daemon, stream.relay.fail(TRUNCATED))
        if disaster is InjectedFault.WEAR_OUT:
            relay = stream.relay
            while not stream.is_ended and stream.relay is relay:
                self._follow(daemon, relay.fail(TRUNCATED))

    @rule(seconds=st.sampled_from([1.0, GRACE_S]))
    def sweep(self, seconds: float) -> None:
        self.now_s += seconds
        for daemon, stream in enumerate(self.streams):
            if stream is None or self.paused[daemon]:
                continue
            action = choose_sweep_action(
                stream.lifetime, self.now_s, GRACE_S, True, True
            )
            if action is SweepAction.KEEP:
                continue
            self.streams[daemon] = None
            if action is SweepAction.CANCEL and stream.relay is not None:
                self._cancel(stream.relay.expected)

    def _cancel(self, expected: Expected) -> None:
        generation = self._find(expected.generation)
        if expected.attempt < generation.newest_attempt:
            return
        assert self.reader is None or self._reads_another_generation(expected)
        generation.is_gone = True

    def _reads_another_generation(self, expected: Expected) -> bool:
        """Return whether the caller does not read this generation."""
        if self.reader is None or self.reader.stream.relay is None:
            return True
        reading = self.reader.stream.relay.expected
        return reading.generation != expected.generation

    @invariant()
    def holds_the_beginning_of_one_generation(self) -> None:
        held = "".join(self.received_texts)
        full_texts = ["".join(g.tokens) for g in self.generations]
        assert any(full_text.startswith(held) for full_text in full_texts)
        if self.is_done:
            assert held in full_texts


def test_caller_text_matches_the_model() -> None:
    run_machine(StreamMachine, examples=200, steps=30)


def _classify_without(reason: ChunkVerdict) -> object:
    classify = relay_module.classify_chunk

    def classify_loosely(expected: Expected, chunk: Chunk) -> ChunkVerdict:
        verdict = classify(expected, chunk)
        return ChunkVerdict.RELAY if verdict is reason else verdict

    return classify_loosely


@pytest.mark.parametrize(
    "reason",
    [
        ChunkVerdict.OTHER_REQUEST,
        ChunkVerdict.OTHER_GENERATION,
        ChunkVerdict.GAP,
        ChunkVerdict.OVERLAP,
        ChunkVerdict.REPEAT,
    ],
)
def test_missing_chunk_check_is_detected(
    reason: ChunkVerdict, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        relay_module, "classify_chunk", _classify_without(reason)
    )
    with pytest.raises(AssertionError):
        run_machine(StreamMachine, examples=2_000, steps=30)


def test_mixing_of_two_generations_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        LiveStream,
        "is_delivered",
        property(lambda self: False, lambda self, value: None),
        raising=False,
    )
    with pytest.raises(AssertionError):
        run_machine(StreamMachine, examples=2_000, steps=30)
