"""Streams through real daemons while engines and callers fail."""

import asyncio
import json
from collections.abc import AsyncIterator

import pytest

from plantainsail.daemon import Daemon
from plantainsail.runtime import stream_sweep
from plantainsail.runtime.live_streams import LiveStream
from plantainsail.runtime.node import Node
from plantainsail.streams.relay import Relay
from tests.standins.engine import Fault
from tests.standins.fleet import free_address
from tests.standins.platform import (
    MODEL,
    Platform,
    call,
    earn_retries,
    start_daemon,
)
from tests.standins.stream_client import StreamClient
from tests.standins.waiting import until

LENGTH = 12
WORDS = "".join(f"w{n} " for n in range(LENGTH))
BODY = {
    "model": MODEL,
    "messages": [{"role": "user", "content": "a long guide"}],
    "stream": True,
}
STREAM_BODY = json.dumps(BODY).encode()
WHOLE_BODY = json.dumps(BODY | {"stream": False}).encode()
CHAT = "/v1/chat/completions"
MIDDLE = 5


async def start(
    platform: Platform, number: int = 1, **limits: float
) -> Daemon:
    usual = platform.settings(number, free_address())
    chosen = {"silence_s": 0.1, "caller_grace_s": 5.0} | limits
    limited = usual.time_limits._replace(**chosen)
    return await start_daemon(usual._replace(time_limits=limited))


def address_of(daemon: Daemon) -> str:
    return f"127.0.0.1:{daemon.caller_listener.port}"


def only_stream(daemon: Daemon) -> LiveStream:
    (stream,) = daemon.node.streams.by_request.values()
    return stream


@pytest.fixture
async def relay(platform: Platform) -> AsyncIterator[Daemon]:
    daemon = await start(platform)
    yield daemon
    for engine in platform.engines:
        engine.go_on.set()
    await daemon.stop()


def spoil(platform: Platform, fault: Fault, position: int) -> None:
    """Make the first engine that is used fail at a position."""
    for engine in platform.engines:
        engine.fault = fault
        engine.fault_position = position


@pytest.mark.parametrize(
    ("fault", "dropped"),
    [
        (Fault.CUT, None),
        (Fault.SILENT, None),
        (Fault.GARBLED, None),
        (Fault.CROSSED, "other_request"),
        (Fault.REPEATED, "repeat"),
        (Fault.GAPPED, "gap"),
        (Fault.OVERLAPPED, "overlap"),
        (Fault.OLD_ATTEMPT, "other_attempt"),
    ],
)
async def test_a_stream_survives(
    platform: Platform, relay: Daemon, fault: Fault, dropped: str | None
) -> None:
    spoil(platform, fault, MIDDLE)
    caller = StreamClient()
    await caller.post(address_of(relay), STREAM_BODY)
    await caller.read_all()
    assert caller.text == WORDS
    assert caller.is_done
    assert caller.usage is not None
    assert caller.usage["completion_tokens"] == LENGTH
    assert sum(len(e.received) for e in platform.engines) == 1
    if dropped is not None:
        counter = relay.node.metrics.dropped_chunks.labels(dropped)
        assert counter._value.get() >= 1


@pytest.mark.parametrize("fault", [Fault.DIES, Fault.OVERLONG])
async def test_a_stream_broken_in_the_middle_never_looks_finished(
    platform: Platform, relay: Daemon, fault: Fault
) -> None:
    spoil(platform, fault, MIDDLE)
    caller = StreamClient()
    await caller.post(address_of(relay), STREAM_BODY)
    await caller.read_all()
    assert not caller.is_done
    assert caller.usage is None
    assert caller.error is not None
    assert caller.error["code"] == "generation_lost"
    assert WORDS.startswith(caller.text)
    assert sum(len(e.received) for e in platform.engines) == 1


async def test_nothing_delivered_is_run_again_elsewhere(
    platform: Platform, relay: Daemon
) -> None:
    spoil(platform, Fault.DIES, 0)
    platform.engines[1].fault = Fault.NONE
    earn_retries(relay, 1)
    for _ in range(2):
        # One of the two calls meets the engine that dies.
        caller = StreamClient()
        await caller.post(address_of(relay), STREAM_BODY)
        await caller.read_all()
        assert caller.is_done
        assert caller.text == WORDS
    (suspect,) = relay.node.quarantine.newest_suspects(relay.node.now_s())
    assert suspect.deaths == ("engine-1/0",)


async def test_a_whole_answer_is_run_again_in_the_middle(
    platform: Platform, relay: Daemon
) -> None:
    spoil(platform, Fault.DIES, MIDDLE)
    platform.engines[1].fault = Fault.NONE
    earn_retries(relay, 1)
    for _ in range(2):
        answer = await call(address_of(relay), "POST", CHAT, WHOLE_BODY)
        value = json.loads(answer.body)
        assert value["choices"][0]["message"]["content"] == WORDS
        assert value["usage"]["completion_tokens"] == LENGTH


async def test_reruns_stay_within_the_budget(
    platform: Platform, relay: Daemon
) -> None:
    answers = []
    earn_retries(relay, 1)
    for number in range(4):
        spoil(platform, Fault.DIES, 0)
        # The same prompt would be quarantined.
        body = WHOLE_BODY.replace(b"guide", b"guide %d" % number)
        assert body != WHOLE_BODY
        answer = await call(address_of(relay), "POST", CHAT, body)
        answers.append(json.loads(answer.body)["error"])
    assert {a["code"] for a in answers[1:]} == {"retry_budget_exhausted"}
    assert {a["outcome"] for a in answers} == {"unknown"}
    assert sum(len(e.received) for e in platform.engines) == 5


async def test_an_engine_that_failed_is_set_aside_without_a_rerun(
    platform: Platform, relay: Daemon
) -> None:
    spoil(platform, Fault.DIES, 0)
    answer = await call(address_of(relay), "POST", CHAT, WHOLE_BODY)
    error = json.loads(answer.body)["error"]
    assert error["code"] == "retry_budget_exhausted"
    used = {
        f"engine-{n}" for n, e in enumerate(platform.engines, 1) if e.received
    }
    assert used == relay.node.dispatcher.scheduler.slowness.failed_hosts
    assert len(used) == 1


async def test_refused_connections_are_not_run(
    platform: Platform, relay: Daemon
) -> None:
    for engine in platform.engines:
        await engine.listener.stop()
    answer = await call(address_of(relay), "POST", CHAT, WHOLE_BODY)
    assert json.loads(answer.body)["error"]["outcome"] == "not_run"


async def test_the_deadline_ends_a_generation(
    platform: Platform, relay: Daemon
) -> None:
    for engine in platform.engines:
        engine.hold_position = MIDDLE
    answer = await call(
        address_of(relay),
        "POST",
        CHAT,
        WHOLE_BODY,
        headers={"Plantainsail-Deadline-Ms": "80"},
    )
    error = json.loads(answer.body)["error"]
    assert (error["code"], error["outcome"]) == ("deadline_expired", "unknown")
    (engine,) = [e for e in platform.engines if e.received]
    assert engine.received[0]["deadline_ms"] <= 80
    assert len(engine.cancels) == 1


@pytest.mark.parametrize("back", [0, 2, MIDDLE])
async def test_a_caller_comes_back_for_the_rest(
    platform: Platform, relay: Daemon, back: int
) -> None:
    for engine in platform.engines:
        engine.hold_position = MIDDLE
    caller = StreamClient()
    await caller.post(address_of(relay), STREAM_BODY)
    await caller.read_to(MIDDLE)
    await caller.leave()
    for engine in platform.engines:
        engine.go_on.set()
    caller.position -= back
    caller.text = "".join(f"w{n} " for n in range(caller.position))
    await caller.resume(address_of(relay))
    await caller.read_all()
    assert caller.text == WORDS
    assert caller.is_done
    assert sum(len(e.received) for e in platform.engines) == 1


async def test_the_end_can_be_fetched_again(
    platform: Platform, relay: Daemon
) -> None:
    caller = StreamClient()
    await caller.post(address_of(relay), STREAM_BODY)
    await caller.read_to(LENGTH)
    await caller.leave()
    caller.is_done = False
    await caller.resume(address_of(relay))
    await caller.read_all()
    assert caller.text == WORDS
    assert caller.is_done


async def test_a_silent_caller_is_cancelled_once(platform: Platform) -> None:
    daemon = await start(platform, caller_grace_s=0.05, silence_s=5.0)
    for engine in platform.engines:
        engine.hold_position = MIDDLE
    caller = StreamClient()
    await caller.post(address_of(daemon), STREAM_BODY)
    await caller.read_to(MIDDLE)
    await caller.leave()
    cancels = [e.cancels for e in platform.engines]
    await until(lambda: any(cancels))
    await until(lambda: not daemon.node.streams.by_request)
    assert sum(len(c) for c in cancels) == 1
    caller.position = MIDDLE
    await caller.resume(address_of(daemon))
    assert caller.status == 502
    await daemon.stop()


async def test_a_daemon_that_was_paused_cancels_nothing(
    platform: Platform,
) -> None:
    daemon = await start(platform, caller_grace_s=0.05, silence_s=5.0)
    for engine in platform.engines:
        engine.hold_position = MIDDLE
    caller = StreamClient()
    await caller.post(address_of(daemon), STREAM_BODY)
    await caller.read_to(MIDDLE)
    daemon.sweep.last_sweep_s -= 60.0
    await until(lambda: only_stream(daemon).lifetime.was_paused)
    await caller.leave()
    await until(lambda: not daemon.node.streams.by_request)
    assert [e.cancels for e in platform.engines] == [[], []]
    await daemon.stop()


@pytest.mark.parametrize("event", ["relieved", "held_by_peer", "woken"])
async def test_a_daemon_that_is_not_in_charge_cancels_nothing(
    platform: Platform, monkeypatch: pytest.MonkeyPatch, event: str
) -> None:
    asked: list[Relay] = []

    async def ask(node: Node, relay: Relay) -> bool:
        asked.append(relay)
        if event == "woken":
            # It stood still between its decision and the act.
            node.pauses.last_tick_s -= 60.0
        return event == "held_by_peer"

    monkeypatch.setattr(stream_sweep, "is_relieved_by_peer", ask)
    daemon = await start(platform, caller_grace_s=0.05, silence_s=5.0)
    for engine in platform.engines:
        engine.hold_position = MIDDLE
    caller = StreamClient()
    await caller.post(address_of(daemon), STREAM_BODY)
    await caller.read_to(MIDDLE)
    if event == "relieved":
        only_stream(daemon).mark_taken_over()
    await caller.leave()
    await until(lambda: not daemon.node.streams.by_request)
    await asyncio.gather(*daemon.node.background)
    assert [e.cancels for e in platform.engines] == [[], []]
    assert len(asked) == (event != "relieved")
    await daemon.stop()


async def test_an_idempotency_key_joins(
    platform: Platform, relay: Daemon
) -> None:
    for engine in platform.engines:
        engine.hold_position = MIDDLE
    headers = {"Idempotency-Key": "letter-7"}
    first = StreamClient()
    await first.post(address_of(relay), STREAM_BODY, headers)
    await first.read_to(MIDDLE)
    second = StreamClient()
    await second.post(address_of(relay), STREAM_BODY, headers)
    await second.read_to(MIDDLE)
    for engine in platform.engines:
        engine.go_on.set()
    await second.read_all()
    assert second.text == WORDS
    await first.read_all()
    assert first.error is not None
    assert first.error["code"] == "stream_superseded"
    whole = await call(
        address_of(relay), "POST", CHAT, WHOLE_BODY, headers=headers
    )
    value = json.loads(whole.body)
    assert value["choices"][0]["message"]["content"] == WORDS
    assert sum(len(e.received) for e in platform.engines) == 1
    other = json.dumps(BODY | {"max_tokens": 3}).encode()
    refused = await call(
        address_of(relay), "POST", CHAT, other, headers=headers
    )
    assert refused.status == 400


async def test_a_slow_caller_is_bounded_and_slows_nobody(
    platform: Platform, relay: Daemon
) -> None:
    for engine in platform.engines:
        engine.length = 40_000
        engine.tokens_per_event = 80
        # More than the sockets between can hold.
        engine.padding = "x" * 20_000
    body = json.dumps(BODY | {"max_tokens": 40_000}).encode()
    slow = StreamClient()
    await slow.post(address_of(relay), body)
    await slow.read_to(1)
    stream = only_stream(relay)
    await until(lambda: stream.buffer.is_full)
    produced = [e.generations for e in platform.engines]
    quick = StreamClient()
    short = json.dumps(BODY | {"max_tokens": 200}).encode()
    await quick.post(address_of(relay), short)
    await quick.read_all()
    assert quick.position == 200
    held = stream.buffer.pending_bytes + stream.buffer.history_bytes
    assert held < 200_000
    assert max(g.sent for p in produced for g in p.values()) < 40_000
    await slow.read_all()
    assert slow.position == 40_000
    assert slow.is_done


@pytest.mark.parametrize("relaying", ["alive", "gone"])
async def test_another_daemon_continues(
    platform: Platform, relay: Daemon, relaying: str
) -> None:
    other = await start(platform, 2)
    for engine in platform.engines:
        engine.hold_position = MIDDLE
        engine.checks_fencing = True
    caller = StreamClient()
    await caller.post(address_of(relay), STREAM_BODY)
    await caller.read_to(MIDDLE)
    await caller.leave()
    if relaying == "gone":
        await relay.peer_server.stop(0.0)
    for engine in platform.engines:
        engine.go_on.set()
    await caller.resume(address_of(other))
    await caller.read_all()
    assert caller.text == WORDS
    assert caller.is_done
    assert sum(len(e.received) for e in platform.engines) == 1
    source = "resumed_at_peer" if relaying == "alive" else "resumed_at_engine"
    assert other.node.metrics.streams.labels(source)._value.get() == 1
    await other.stop()


async def test_an_adopted_stream_keeps_its_time_and_takes_room(
    platform: Platform, fleet: list[Daemon]
) -> None:
    for engine in platform.engines:
        engine.hold_position = MIDDLE
        engine.checks_fencing = True
    caller = StreamClient()
    limit = {"Plantainsail-Deadline-Ms": "2500"}
    await caller.post(address_of(fleet[0]), STREAM_BODY, limit)
    await caller.read_to(MIDDLE)
    await caller.leave()
    await fleet[0].peer_server.stop(0.0)
    for engine in platform.engines:
        engine.hold_position = MIDDLE + 2
        engine.go_on.set()
        engine.go_on = asyncio.Event()
    await caller.resume(address_of(fleet[1]))
    await caller.read_to(MIDDLE + 2)
    stream = only_stream(fleet[1])
    accounts = fleet[1].node.dispatcher.scheduler.accounts
    (running,) = [r for a in accounts.values() for r in a.running.values()]
    assert running.work.plan == "large"
    assert running.held_tokens == stream.work.prompt_tokens + MIDDLE + 2
    # The daemon's own limit is minutes away.
    async with asyncio.timeout(30.0):
        await caller.read_all()
    assert not caller.is_done
    assert caller.error is not None
    assert caller.error["code"] == "deadline_expired"
    await until(lambda: not any(a.running for a in accounts.values()))
    assert sum(len(e.cancels) for e in platform.engines) == 1
    for engine in platform.engines:
        engine.go_on.set()


async def test_stream_names_are_checked(
    platform: Platform, relay: Daemon
) -> None:
    caller = StreamClient()
    await caller.post(address_of(relay), STREAM_BODY)
    await caller.read_all()
    path = f"/v1/streams/{caller.name}"
    stranger = await call(address_of(relay), "GET", path, key="key-store")
    assert json.loads(stranger.body)["error"]["code"] == "stream_invalid"
    forged = await call(address_of(relay), "GET", path[:-1])
    assert json.loads(forged.body)["error"]["code"] == "stream_invalid"
    garbled = await call(
        address_of(relay), "GET", path, headers={"last-event-id": "five"}
    )
    assert json.loads(garbled.body)["error"]["code"] == "invalid_field"
