"""Streams through daemons while engines and callers fail.

A caller must get each token once and in order, a broken stream must
not look finished, and only the daemon that relays a stream may cancel
its generation.
"""

import asyncio
import json
from collections.abc import AsyncIterator

import pytest

from plantainsail.daemon import Daemon
from plantainsail.runtime import stream_sweep
from plantainsail.runtime.live_streams import LiveStream
from plantainsail.runtime.node import Node
from plantainsail.streams.relay import Relay
from soak.fleet import free_address
from tests.standins.engine import Fault
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
    default_settings = platform.settings(number, free_address())
    chosen = {"silence_s": 0.1, "caller_grace_s": 5.0} | limits
    limited = default_settings.time_limits._replace(**chosen)
    return await start_daemon(default_settings._replace(time_limits=limited))


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
        engine.hold_released.set()
    await daemon.stop()


def inject_fault(platform: Platform, fault: Fault, position: int) -> None:
    """Make each engine's next generation fail at a position."""
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
async def test_stream_is_complete_after_an_engine_fault(
    platform: Platform, relay: Daemon, fault: Fault, dropped: str | None
) -> None:
    inject_fault(platform, fault, MIDDLE)
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
async def test_stream_broken_in_the_middle_ends_with_a_failure(
    platform: Platform, relay: Daemon, fault: Fault
) -> None:
    inject_fault(platform, fault, MIDDLE)
    caller = StreamClient()
    await caller.post(address_of(relay), STREAM_BODY)
    await caller.read_all()
    assert not caller.is_done
    assert caller.usage is None
    assert caller.error is not None
    assert caller.error["code"] == "generation_lost"
    assert WORDS.startswith(caller.text)
    assert sum(len(e.received) for e in platform.engines) == 1


async def test_undelivered_generation_is_rerun_on_another_engine(
    platform: Platform, relay: Daemon
) -> None:
    inject_fault(platform, Fault.DIES, 0)
    platform.engines[1].fault = Fault.NONE
    earn_retries(relay, 1)
    for _ in range(2):
        # One of the two calls is sent to the engine that dies.
        caller = StreamClient()
        await caller.post(address_of(relay), STREAM_BODY)
        await caller.read_all()
        assert caller.is_done
        assert caller.text == WORDS
    (suspect,) = relay.node.quarantine.newest_suspects(relay.node.now_s())
    assert suspect.deaths == ("engine-1/0",)


async def test_unstreamed_generation_is_rerun_after_a_late_fault(
    platform: Platform, relay: Daemon
) -> None:
    inject_fault(platform, Fault.DIES, MIDDLE)
    platform.engines[1].fault = Fault.NONE
    earn_retries(relay, 1)
    for _ in range(2):
        answer = await call(address_of(relay), "POST", CHAT, WHOLE_BODY)
        value = json.loads(answer.body)
        assert value["choices"][0]["message"]["content"] == WORDS
        assert value["usage"]["completion_tokens"] == LENGTH


async def test_reruns_stop_when_the_retry_budget_is_spent(
    platform: Platform, relay: Daemon
) -> None:
    answers = []
    earn_retries(relay, 1)
    for number in range(4):
        inject_fault(platform, Fault.DIES, 0)
        # A repeated prompt would be quarantined.
        body = WHOLE_BODY.replace(b"guide", b"guide %d" % number)
        assert body != WHOLE_BODY
        answer = await call(address_of(relay), "POST", CHAT, body)
        answers.append(json.loads(answer.body)["error"])
    assert {a["code"] for a in answers[1:]} == {"retry_budget_exhausted"}
    assert {a["outcome"] for a in answers} == {"unknown"}
    assert sum(len(e.received) for e in platform.engines) == 5


async def test_failed_engine_is_avoided_without_a_rerun(
    platform: Platform, relay: Daemon
) -> None:
    inject_fault(platform, Fault.DIES, 0)
    answer = await call(address_of(relay), "POST", CHAT, WHOLE_BODY)
    error = json.loads(answer.body)["error"]
    assert error["code"] == "retry_budget_exhausted"
    used = {
        f"engine-{n}" for n, e in enumerate(platform.engines, 1) if e.received
    }
    assert used == relay.node.dispatcher.scheduler.slowness.failed_hosts
    assert len(used) == 1


async def test_refused_connections_give_not_run(
    platform: Platform, relay: Daemon
) -> None:
    for engine in platform.engines:
        await engine.listener.stop()
    answer = await call(address_of(relay), "POST", CHAT, WHOLE_BODY)
    assert json.loads(answer.body)["error"]["outcome"] == "not_run"


async def test_expired_deadline_cancels_the_generation(
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


@pytest.mark.parametrize("reread_tokens", [0, 2, MIDDLE])
async def test_caller_resumes_after_its_last_event(
    platform: Platform, relay: Daemon, reread_tokens: int
) -> None:
    for engine in platform.engines:
        engine.hold_position = MIDDLE
    caller = StreamClient()
    await caller.post(address_of(relay), STREAM_BODY)
    await caller.read_to(MIDDLE)
    await caller.leave()
    for engine in platform.engines:
        engine.hold_released.set()
    caller.position -= reread_tokens
    caller.text = "".join(f"w{n} " for n in range(caller.position))
    await caller.resume(address_of(relay))
    await caller.read_all()
    assert caller.text == WORDS
    assert caller.is_done
    assert sum(len(e.received) for e in platform.engines) == 1


async def test_last_event_can_be_fetched_again(
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


async def test_unread_stream_is_cancelled_once_after_the_grace_period(
    platform: Platform,
) -> None:
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


async def test_paused_daemon_does_not_cancel(
    platform: Platform,
) -> None:
    daemon = await start(platform, caller_grace_s=0.05, silence_s=5.0)
    for engine in platform.engines:
        engine.hold_position = MIDDLE
    caller = StreamClient()
    await caller.post(address_of(daemon), STREAM_BODY)
    await caller.read_to(MIDDLE)
    daemon.stream_sweep.last_sweep_s -= 60.0
    await until(lambda: only_stream(daemon).lifetime.was_paused)
    await caller.leave()
    await until(lambda: not daemon.node.streams.by_request)
    assert [e.cancels for e in platform.engines] == [[], []]
    await daemon.stop()


@pytest.mark.parametrize("condition", ["taken_over", "held_by_peer", "paused"])
async def test_daemon_that_lost_the_stream_does_not_cancel(
    platform: Platform, monkeypatch: pytest.MonkeyPatch, condition: str
) -> None:
    peer_queries: list[Relay] = []

    async def ask(node: Node, relay: Relay) -> bool:
        peer_queries.append(relay)
        if condition == "paused":
            # The daemon was paused between its decision and the cancel.
            node.pauses.last_tick_s -= 60.0
        return condition == "held_by_peer"

    monkeypatch.setattr(stream_sweep, "is_relayed_by_peer", ask)
    daemon = await start(platform, caller_grace_s=0.05, silence_s=5.0)
    for engine in platform.engines:
        engine.hold_position = MIDDLE
    caller = StreamClient()
    await caller.post(address_of(daemon), STREAM_BODY)
    await caller.read_to(MIDDLE)
    if condition == "taken_over":
        only_stream(daemon).mark_taken_over()
    await caller.leave()
    await until(lambda: not daemon.node.streams.by_request)
    await asyncio.gather(*daemon.node.background)
    assert [e.cancels for e in platform.engines] == [[], []]
    assert len(peer_queries) == (condition != "taken_over")
    await daemon.stop()


async def test_repeated_idempotency_key_joins_the_generation(
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
        engine.hold_released.set()
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


async def test_slow_caller_has_bounded_memory_and_delays_no_other(
    platform: Platform, relay: Daemon
) -> None:
    for engine in platform.engines:
        engine.length = 40_000
        engine.tokens_per_event = 80
        # The padding makes the stream exceed the socket buffers.
        engine.padding = "x" * 20_000
    body = json.dumps(BODY | {"max_tokens": 40_000}).encode()
    slow = StreamClient()
    await slow.post(address_of(relay), body)
    await slow.read_to(1)
    stream = only_stream(relay)
    await until(lambda: stream.buffer.is_full)
    generations_by_engine = [e.generations for e in platform.engines]
    quick = StreamClient()
    short = json.dumps(BODY | {"max_tokens": 200}).encode()
    await quick.post(address_of(relay), short)
    await quick.read_all()
    assert quick.position == 200
    held = stream.buffer.pending_bytes + stream.buffer.history_bytes
    assert held < 200_000
    assert (
        max(g.sent for p in generations_by_engine for g in p.values()) < 40_000
    )
    await slow.read_all()
    assert slow.position == 40_000
    assert slow.is_done


@pytest.mark.parametrize("relay_state", ["alive", "gone"])
async def test_another_daemon_continues_the_stream(
    platform: Platform, relay: Daemon, relay_state: str
) -> None:
    other = await start(platform, 2)
    for engine in platform.engines:
        engine.hold_position = MIDDLE
        engine.checks_fencing = True
    caller = StreamClient()
    await caller.post(address_of(relay), STREAM_BODY)
    await caller.read_to(MIDDLE)
    await caller.leave()
    if relay_state == "gone":
        await relay.peer_server.stop(0.0)
    for engine in platform.engines:
        engine.hold_released.set()
    await caller.resume(address_of(other))
    await caller.read_all()
    assert caller.text == WORDS
    assert caller.is_done
    assert sum(len(e.received) for e in platform.engines) == 1
    source = (
        "resumed_at_peer" if relay_state == "alive" else "resumed_at_engine"
    )
    assert other.node.metrics.streams.labels(source)._value.get() == 1
    await other.stop()


async def test_adopted_stream_keeps_its_deadline_and_is_accounted(
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
        engine.hold_released.set()
        engine.hold_released = asyncio.Event()
    await caller.resume(address_of(fleet[1]))
    await caller.read_to(MIDDLE + 2)
    stream = only_stream(fleet[1])
    accounts = fleet[1].node.dispatcher.scheduler.accounts
    (running,) = [r for a in accounts.values() for r in a.running.values()]
    assert running.work.plan == "large"
    assert running.held_tokens == stream.work.prompt_tokens + MIDDLE + 2
    # The daemon's own time limit is minutes away, so only the caller's
    # deadline can end the stream in this time.
    async with asyncio.timeout(30.0):
        await caller.read_all()
    assert not caller.is_done
    assert caller.error is not None
    assert caller.error["code"] == "deadline_expired"
    await until(lambda: not any(a.running for a in accounts.values()))
    assert sum(len(e.cancels) for e in platform.engines) == 1
    for engine in platform.engines:
        engine.hold_released.set()


async def test_invalid_stream_names_and_positions_are_refused(
    platform: Platform, relay: Daemon
) -> None:
    caller = StreamClient()
    await caller.post(address_of(relay), STREAM_BODY)
    await caller.read_all()
    path = f"/v1/streams/{caller.name}"
    other_organisation = await call(
        address_of(relay), "GET", path, key="key-store"
    )
    assert (
        json.loads(other_organisation.body)["error"]["code"]
        == "stream_invalid"
    )
    forged = await call(address_of(relay), "GET", path[:-1])
    assert json.loads(forged.body)["error"]["code"] == "stream_invalid"
    bad_position = await call(
        address_of(relay), "GET", path, headers={"last-event-id": "five"}
    )
    assert json.loads(bad_position.body)["error"]["code"] == "invalid_field"
