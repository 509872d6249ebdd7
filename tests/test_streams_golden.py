"""Compares whole stream sessions, byte for byte, with golden files.

`UPDATE_GOLDEN=1` rewrites the files; review the difference before
committing it.
"""

import asyncio
import json
import os
import re
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from plantainsail.daemon import Daemon
from tests.standins.engine import Fault
from tests.standins.platform import (
    DESK_KEY,
    MODEL,
    Platform,
    earn_retries,
    start_daemon,
)
from tests.standins.recorder import (
    Recorder,
    exchange,
    join_chunks,
    normalise,
)

GOLDEN = Path("tests/golden/streams")
NAME_LINE = re.compile(rb": plantainsail-stream (\S+)\n")
MIDDLE = 5
BODY = json.dumps(
    {
        "model": MODEL,
        "stream": True,
        "messages": [{"role": "user", "content": "a planting guide"}],
    }
).encode()


class Session:
    """Records the bytes that a caller and the engines exchange."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.parts: list[bytes] = []

    async def ask(
        self, first_line: str, headers: str, body: bytes, until: bytes = b""
    ) -> bytes:
        """Make one call and record the request and the answer."""
        request = (
            f"{first_line} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n"
            f"authorization: Bearer {DESK_KEY}\r\n{headers}"
            f"content-length: {len(body)}\r\n\r\n"
        ).encode() + body
        answer = await exchange(self.address, request, until)
        if not until:
            answer = join_chunks(answer)
        self.parts += [b"--- caller sends\n" + request]
        self.parts += [b"--- caller receives\n" + answer]
        return answer

    def check(self, name: str, recorders: list[Recorder]) -> None:
        """Compare the recorded session with its golden file."""
        for number, recorder in enumerate(recorders, 1):
            title = b"--- engine used as number %d receives\n" % number
            self.parts.append(title + recorder.received)
        text = normalise(b"\n\n".join(self.parts) + b"\n")
        file = GOLDEN / f"{name}.txt"
        if os.environ.get("UPDATE_GOLDEN"):
            file.parent.mkdir(parents=True, exist_ok=True)
            file.write_bytes(text)
        assert text == file.read_bytes()


@pytest.fixture
async def recorders(platform: Platform) -> AsyncIterator[list[Recorder]]:
    recorders_in_use: list[Recorder] = []
    started = []
    for number, engine in enumerate(platform.engines, 1):
        recorder = Recorder(engine.listener.address, recorders_in_use)
        address = await recorder.start()
        platform.hosts[f"engine-{number}"]["address"] = address
        started.append(recorder)
    platform.publish_hosts()
    yield recorders_in_use
    for recorder in started:
        recorder.stop()


@pytest.fixture
async def session(
    platform: Platform, recorders: list[Recorder]
) -> AsyncIterator[Session]:
    daemon: Daemon = await start_daemon(platform.settings())
    earn_retries(daemon, 1)
    yield Session(f"127.0.0.1:{daemon.caller_listener.port}")
    for engine in platform.engines:
        engine.hold_released.set()
    await daemon.stop()


async def test_whole_stream_matches_golden_file(
    session: Session, recorders: list[Recorder]
) -> None:
    await session.ask("POST /v1/chat/completions", "", BODY)
    session.check("whole", recorders)


async def test_resumed_stream_matches_golden_file(
    platform: Platform, session: Session, recorders: list[Recorder]
) -> None:
    for engine in platform.engines:
        engine.hold_position = MIDDLE
    last_event = b"id: %d\n" % MIDDLE
    answer = await session.ask(
        "POST /v1/chat/completions", "", BODY, last_event
    )
    session.parts[-1] = b"--- caller leaves after event %d\n" % MIDDLE
    for engine in platform.engines:
        engine.hold_released.set()
    name = NAME_LINE.search(answer)
    assert name is not None
    await session.ask(
        f"GET /v1/streams/{name[1].decode()}",
        f"last-event-id: {MIDDLE}\r\n",
        b"",
    )
    session.check("resumed", recorders)


async def clear_fault_of_second_engine(platform: Platform) -> None:
    """Clear the fault of the engine that is not used first."""
    while not any(e.received for e in platform.engines):  # noqa: ASYNC110
        await asyncio.sleep(0)
    for engine in platform.engines:
        if not engine.received:
            engine.fault = Fault.NONE


@pytest.mark.parametrize(
    ("name", "position"), [("died_before", 0), ("died_after", MIDDLE)]
)
async def test_stream_of_a_failed_engine_matches_golden_file(
    platform: Platform,
    session: Session,
    recorders: list[Recorder],
    name: str,
    position: int,
) -> None:
    for engine in platform.engines:
        engine.fault = Fault.DIES
        engine.fault_position = position
    fault_clearing = asyncio.create_task(
        clear_fault_of_second_engine(platform)
    )
    await session.ask("POST /v1/chat/completions", "", BODY)
    await fault_clearing
    session.check(name, recorders)
