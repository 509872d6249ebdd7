"""A short run of the soak, and that its judge is not blind."""

import asyncio
import signal
import sys
from pathlib import Path

import pytest

from soak.caller import Attempt
from soak.fleet import SoakDaemon
from soak.run import Soak, run_seed
from soak.upstreams import stream_event, whole_stream

# Seeds that ever failed stay here, each with the cause.
# 1021: the soak sent SIGTERM to a stopped process, took it for running
# and never woke it, so that a quarter of the calls hung.
SEEDS = (1, 1021)
SECONDS = 5.0


@pytest.mark.parametrize("seed", SEEDS)
async def test_the_promises_hold_under_faults(seed: int) -> None:
    result = await run_seed(seed, SECONDS, daemons=3)
    assert result.problems == []
    assert result.answered > 0
    assert sum(result.faults.values()) > 0


async def test_only_some_signals_wake_a_stopped_process(
    tmp_path: Path,
) -> None:
    daemon = SoakDaemon(0, tmp_path, ["127.0.0.1:1"])
    daemon.process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", "import time; time.sleep(60)"
    )
    daemon.send(signal.SIGSTOP)
    daemon.send(signal.SIGTERM)
    assert daemon.is_stopped
    daemon.send(signal.SIGCONT)
    assert not daemon.is_stopped
    await daemon.end()


@pytest.fixture
def soak(tmp_path: Path) -> Soak:
    return Soak(1, 1, tmp_path)


def attempt(kind: str, status: int, answer: bytes, **fields: bool) -> Attempt:
    made = Attempt("r1", kind, "key-0", 100.0)
    made.status = status
    made.answer = answer
    made.is_complete = fields.get("is_complete", False)
    made.is_not_run = fields.get("is_not_run", False)
    return made


WHOLE = whole_stream("r1")
BROKEN = [
    (attempt("once", 200, b"r1", is_complete=True), 2, "ran 2 times"),
    (attempt("once", 503, b"", is_not_run=True), 1, "said not to have"),
    (attempt("once", 200, b"r2", is_complete=True), 1, "of another"),
    (attempt("safe", 200, b"x"), 1, "out of order"),
    (attempt("stream", 200, WHOLE[:-1], is_complete=True), 1, "of another"),
    (attempt("stream", 200, WHOLE + WHOLE, is_complete=True), 1, "of another"),
    (attempt("stream", 200, stream_event("r1", 1)), 1, "out of order"),
    (attempt("stream", 200, stream_event("r2", 0)), 1, "out of order"),
    (attempt("stream", 502, b""), 2, "ran 2 times"),
]


@pytest.mark.parametrize(("made", "runs", "said"), BROKEN)
def test_the_judge_sees_what_is_broken(
    soak: Soak, made: Attempt, runs: int, said: str
) -> None:
    (problem,) = soak.check_attempt(made, runs)
    assert said in problem


def test_the_judge_sees_a_key_that_was_revoked(soak: Soak) -> None:
    soak.revoked_s["key-0"] = 80.0
    made = attempt("once", 200, b"r1", is_complete=True)
    (problem,) = soak.check_attempt(made, 1)
    assert "key gone" in problem


@pytest.mark.parametrize(
    ("made", "runs"),
    [
        (attempt("once", 200, b"r1", is_complete=True), 1),
        (attempt("once", 0, b""), 1),
        (attempt("safe", 200, b"r1", is_complete=True), 2),
        (attempt("stream", 200, WHOLE, is_complete=True), 1),
        (attempt("stream", 200, stream_event("r1", 0)), 1),
    ],
)
def test_the_judge_allows_what_is_promised(
    soak: Soak, made: Attempt, runs: int
) -> None:
    assert soak.check_attempt(made, runs) == []
