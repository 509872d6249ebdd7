"""Daemon processes are restarted one by one under load.

A drain must not lose, repeat or cut off a call, neither during the
settle time nor after a second signal.
"""

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiosonic
import pytest

from soak.fleet import free_address
from tests.standins.platform import FLEET_KEY, MODEL, Answer, Platform, call

DAEMONS = 3
CALLERS = 4
LIMIT_S = 60.0
STEP_S = 0.02
WORDS = "".join(f"w{n} " for n in range(12))
CHAT_BODY = json.dumps(
    {"model": MODEL, "messages": [{"role": "user", "content": "a letter"}]}
).encode()
DISPATCH = "/v1/services/ledger/dispatch"
TICKET = "plantainsail-ticket"


class Process:
    """A daemon process and its settings file."""

    def __init__(self, platform: Platform, number: int, folder: Path) -> None:
        self.caller = free_address()
        self.operator = free_address()
        self.peer = free_address()
        self.host = f"entry-{number}"
        self.file = folder / f"{number}.json"
        self.process: asyncio.subprocess.Process | None = None
        settings: dict[str, Any] = {
            "host": self.host,
            "availability_zone": f"zone-{number}",
            "caller_address": self.caller,
            "operator_address": self.operator,
            "peer_address": self.peer,
            "configuration_url": platform.config.url,
            "fleet_keys": [FLEET_KEY],
            # Some tests hold the engines on purpose, so silence_s is
            # long.
            "time_limits": {"settle_s": 0.5, "silence_s": 30.0},
        }
        self.file.write_text(json.dumps(settings), encoding="utf-8")

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "plantainsail.daemon",
            "--settings",
            str(self.file),
            env=os.environ | {"PYTHONPATH": "src"},
            stderr=asyncio.subprocess.PIPE,
        )
        async with asyncio.timeout(LIMIT_S):
            while not await self.is_ready():
                assert self.process.returncode is None, "ended at its start"
                await asyncio.sleep(STEP_S)

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            answer = await call(self.operator, "GET", "/readyz")
        except (OSError, aiosonic.exceptions.ConnectionDisconnected):
            return False
        return answer.status == 200

    async def finish(self) -> int:
        """Wait for the process to end; return its exit status."""
        assert self.process is not None
        async with asyncio.timeout(LIMIT_S):
            await self.process.communicate()
        assert self.process.returncode is not None
        return self.process.returncode

    def signal(self, number: int) -> None:
        """Send a signal, if the process still runs."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)


class Balancer:
    """Distributes calls over the daemons that are ready."""

    def __init__(self, processes: list[Process]) -> None:
        self.processes = processes
        self.ready: list[Process] = list(processes)
        self.turn = 0

    async def run(self) -> None:
        """Poll the readiness of all daemons until cancelled."""
        while True:
            self.ready = [p for p in self.processes if await p.is_ready()]
            await asyncio.sleep(STEP_S)

    async def call(
        self, path: str, body: bytes, headers: dict[str, str]
    ) -> Answer | None:
        """Call a ready daemon; None if it refused the connection."""
        if not self.ready:
            return None
        self.turn += 1
        chosen = self.ready[self.turn % len(self.ready)]
        try:
            return await call(
                chosen.caller, "POST", path, body, headers=headers
            )
        except ConnectionRefusedError:
            return None


async def deliver(balancer: Balancer, path: str, body: bytes) -> Answer:
    """Send a call until it succeeds; retry only after "not_run"."""
    headers: dict[str, str] = {}
    async with asyncio.timeout(LIMIT_S):
        while True:
            answer = await balancer.call(path, body, headers)
            if answer is not None and answer.status == 200:
                return answer
            if answer is not None:
                outcome = answer.headers["plantainsail-outcome"]
                assert outcome == "not_run", answer.body
                if TICKET in answer.headers:
                    headers = {TICKET: answer.headers[TICKET]}
            await asyncio.sleep(STEP_S)


@pytest.fixture
async def processes(
    platform: Platform, tmp_path: Path
) -> AsyncIterator[list[Process]]:
    for engine in platform.engines:
        engine.step_s = STEP_S
    running = [Process(platform, n, tmp_path) for n in range(1, DAEMONS + 1)]
    for process in running:
        platform.hosts[process.host] = {
            "role": "entry",
            "address": process.peer,
            "availability_zone": f"zone-{process.host[-1]}",
        }
    platform.publish_hosts()
    await asyncio.gather(*(process.start() for process in running))
    yield running
    for process in running:
        process.signal(signal.SIGKILL)
    await asyncio.gather(*(process.finish() for process in running))


async def test_rolling_restart_neither_loses_nor_repeats_calls(
    processes: list[Process], platform: Platform
) -> None:
    balancer = Balancer(processes)
    watching = asyncio.create_task(balancer.run())
    is_over = asyncio.Event()
    chat_texts: list[str] = []
    dispatches: list[int] = []

    async def send_chats() -> None:
        while not is_over.is_set():
            answer = await deliver(balancer, "/v1/chat/completions", CHAT_BODY)
            value = json.loads(answer.body)
            chat_texts.append(value["choices"][0]["message"]["content"])

    async def send_dispatches() -> None:
        while not is_over.is_set():
            answer = await deliver(balancer, DISPATCH, b'{"pallets": 2}')
            dispatches.append(json.loads(answer.body)["number"])

    load = [asyncio.create_task(send_chats()) for _ in range(CALLERS)]
    load.append(asyncio.create_task(send_dispatches()))
    statuses = []
    for process in processes:
        sent = len(chat_texts) + CALLERS
        process.signal(signal.SIGTERM)
        statuses.append(await process.finish())
        await process.start()
        async with asyncio.timeout(LIMIT_S):
            while len(chat_texts) < sent:  # noqa: ASYNC110
                await asyncio.sleep(STEP_S)
    is_over.set()
    await asyncio.gather(*load)
    watching.cancel()
    assert statuses == [0] * DAEMONS
    assert set(chat_texts) == {WORDS}
    started = sum(len(engine.received) for engine in platform.engines)
    assert started == len(chat_texts)
    executed = platform.services[0].executions
    assert len(executed) == len(dispatches) == len(set(dispatches))
    assert len({e.ticket for e in executed}) == len(executed)


async def test_second_signal_does_not_cut_off_running_work(
    processes: list[Process], platform: Platform
) -> None:
    process = processes[0]
    chat_call = asyncio.create_task(
        call(process.caller, "POST", "/v1/chat/completions", CHAT_BODY)
    )
    async with asyncio.timeout(LIMIT_S):
        while not any(engine.received for engine in platform.engines):  # noqa: ASYNC110
            await asyncio.sleep(STEP_S)
    process.signal(signal.SIGTERM)
    process.signal(signal.SIGTERM)
    async with asyncio.timeout(LIMIT_S):
        while await process.is_ready():  # noqa: ASYNC110
            await asyncio.sleep(STEP_S)
    answer = await chat_call
    assert answer.status == 200
    assert json.loads(answer.body)["usage"]["completion_tokens"] == 12
    assert await process.finish() == 0


async def test_operator_drain_fails_readiness_then_exits(
    processes: list[Process],
) -> None:
    process = processes[0]
    answer = await call(process.operator, "POST", "/v1/operator/drain", b"")
    assert answer.status == 202
    assert json.loads(answer.body)["state"] == "settling"
    assert not await process.is_ready()
    assert await process.finish() == 0
