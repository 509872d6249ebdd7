"""A daemon process gets a second drain request while work runs.

It must hand over the streams that callers can continue at another
daemon, run everything else to its end, and say so in its exit status.
"""

import asyncio
import json
import signal

import pytest

from plantainsail.cli.main import main
from plantainsail.signing import Signer
from plantainsail.tickets.ticket import verify_ticket
from tests.standins.platform import FLEET_KEY, Answer, Platform, call
from tests.standins.stream_client import StreamClient
from tests.test_drain_rolling_restart import (
    CHAT_BODY,
    DISPATCH,
    LIMIT_S,
    STEP_S,
    TICKET,
    Process,
    processes,
)
from tests.test_streams_daemon import MIDDLE, STREAM_BODY, WORDS

__all__ = ["processes"]

REQUESTS = "plantainsail_drain_requests_total"
HANDED_OVER = 3
SIGNER = Signer([bytes.fromhex(FLEET_KEY)])
RESUMES = {"plantainsail-resumes": "true"}

Headers = dict[str, str] | None


async def count(process: Process, series: str) -> float:
    """Return the value of a metric series of a process."""
    answer = await call(process.operator, "GET", "/metrics")
    for line in answer.body.decode().splitlines():
        if line.startswith(series + " "):
            return float(line.split()[-1])
    return 0.0


async def until_count(process: Process, series: str, value: float) -> None:
    async with asyncio.timeout(LIMIT_S):
        while await count(process, series) < value:  # noqa: ASYNC110
            await asyncio.sleep(STEP_S)


async def signal_twice(process: Process) -> None:
    """Send SIGTERM twice, the second once the first was counted."""
    process.signal(signal.SIGTERM)
    await until_count(process, REQUESTS, 1)
    process.signal(signal.SIGTERM)
    await until_count(process, REQUESTS, 2)


async def held_stream(
    platform: Platform, process: Process, headers: Headers = RESUMES
) -> StreamClient:
    """Return a caller whose stream is held after half its events."""
    for engine in platform.engines:
        engine.hold_position = MIDDLE
    caller = StreamClient()
    await caller.post(process.caller, STREAM_BODY, headers)
    await caller.read_to(MIDDLE)
    return caller


async def ticket_with_witness(process: Process) -> str:
    """Ask for tickets until one names a witness.

    A daemon that has just started may not know a peer yet, and then
    only the executor would know the result.
    """
    while True:
        refused = await call(process.caller, "POST", DISPATCH, b"{}")
        text = refused.headers.get(TICKET)
        if text is not None and verify_ticket(text, SIGNER).ok.witness:
            return text
        await asyncio.sleep(STEP_S)


def release_engines(platform: Platform) -> None:
    for engine in platform.engines:
        engine.hold_released.set()


def check_one_generation(platform: Platform, count: int = 1) -> None:
    assert sum(len(e.received) for e in platform.engines) == count
    assert [e.cancels for e in platform.engines] == [[], []]


async def test_second_request_hands_over_resumable_streams(
    processes: list[Process], platform: Platform
) -> None:
    leaving, other, _ = processes
    caller = await held_stream(platform, leaving)
    await signal_twice(leaving)
    await caller.read_all()
    assert not caller.is_done
    assert caller.error is not None
    assert caller.error["code"] == "stream_handed_over"
    assert "Last-Event-ID" in caller.error["message"]
    assert await leaving.finish() == HANDED_OVER
    release_engines(platform)
    await caller.resume(other.caller)
    await caller.read_all()
    assert caller.is_done
    assert caller.text == WORDS
    check_one_generation(platform)


async def test_stream_of_a_caller_without_resumes_is_not_cut_off(
    processes: list[Process], platform: Platform
) -> None:
    leaving = processes[0]
    caller = await held_stream(platform, leaving, headers=None)
    await signal_twice(leaving)
    release_engines(platform)
    await caller.read_all()
    assert caller.is_done
    assert caller.text == WORDS
    assert await leaving.finish() == 0


async def test_stream_relayed_by_another_daemon_continues(
    processes: list[Process], platform: Platform
) -> None:
    """The relaying daemon continues the stream for the caller."""
    leaving, other, _ = processes
    caller = await held_stream(platform, leaving)
    await caller.leave()
    for engine in platform.engines:
        engine.hold_position = MIDDLE + 2
        engine.hold_released.set()
        engine.hold_released = asyncio.Event()
    await caller.resume(other.caller)
    await caller.read_to(MIDDLE + 2)
    resumed = 'plantainsail_streams_total{event="resumed_at_peer"}'
    await until_count(other, resumed, 1)
    await signal_twice(leaving)
    assert await leaving.finish() == HANDED_OVER
    release_engines(platform)
    await caller.read_all()
    assert caller.is_done
    assert caller.text == WORDS
    check_one_generation(platform)


async def test_work_that_cannot_be_handed_over_completes(
    processes: list[Process], platform: Platform
) -> None:
    leaving, other, _ = processes
    caller = await held_stream(platform, leaving)
    service = platform.services[0]
    service.is_silent = True
    headers = {TICKET: await ticket_with_witness(leaving)}
    dispatch = asyncio.create_task(
        call(leaving.caller, "POST", DISPATCH, b"{}", headers=headers)
    )
    chat_call = asyncio.create_task(
        call(leaving.caller, "POST", "/v1/chat/completions", CHAT_BODY)
    )
    async with asyncio.timeout(LIMIT_S):
        while sum(len(e.received) for e in platform.engines) < 2:  # noqa: ASYNC110
            await asyncio.sleep(STEP_S)
        while not service.executions:  # noqa: ASYNC110
            await asyncio.sleep(STEP_S)
    await signal_twice(leaving)
    await caller.read_all()
    assert caller.error is not None
    refused_resume = StreamClient()
    refused_resume.name = caller.name
    await refused_resume.resume(leaving.caller)
    assert refused_resume.status == 503
    assert not chat_call.done()
    assert not dispatch.done()
    service.resumed.set()
    release_engines(platform)
    first = await dispatch
    assert first.status == (await chat_call).status == 200
    assert await leaving.finish() == HANDED_OVER
    # The witness has the result from the daemon that exited.
    again = await call(other.caller, "POST", DISPATCH, b"{}", headers=headers)
    assert again.body == first.body
    assert len(service.executions) == 1
    check_one_generation(platform, 2)


async def test_without_a_successor_nothing_is_handed_over(
    processes: list[Process], platform: Platform
) -> None:
    leaving, *others = processes
    for process in others:
        process.signal(signal.SIGTERM)
    for process in others:
        assert await process.finish() == 0
    caller = await held_stream(platform, leaving)
    await until_count(leaving, 'plantainsail_peers{state="alive"}', 0)
    await signal_twice(leaving)
    release_engines(platform)
    await caller.read_all()
    assert caller.is_done
    assert caller.text == WORDS
    assert await leaving.finish() == 0


async def test_drain_command_prints_the_remaining_work(
    processes: list[Process],
    platform: Platform,
    capsys: pytest.CaptureFixture[str],
) -> None:
    leaving = processes[0]
    for engine in platform.engines:
        engine.hold_position = MIDDLE
    chat_call: asyncio.Task[Answer] = asyncio.create_task(
        call(leaving.caller, "POST", "/v1/chat/completions", CHAT_BODY)
    )
    async with asyncio.timeout(LIMIT_S):
        while not any(e.received for e in platform.engines):  # noqa: ASYNC110
            await asyncio.sleep(STEP_S)
    arguments = ["drain", "--address", leaving.operator]
    assert await asyncio.to_thread(main, arguments) == 0
    assert await asyncio.to_thread(main, arguments) == 0
    left = "left: chat 1\nleft: generation 1\n"
    assert capsys.readouterr().out == f"draining\ndraining\n{left}"
    release_engines(platform)
    assert (
        json.loads((await chat_call).body)["usage"]["completion_tokens"] == 12
    )
    assert await leaving.finish() == 0
