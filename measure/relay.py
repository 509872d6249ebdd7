"""Measure the processor time of relaying tokens.

    python -m measure.relay

prints one JSON line with tokens a second of process time, first for the
decisions alone (decode an engine's bytes, check, buffer and encode
them), then for a whole daemon on loopback.  The daemon has a process of
its own; engines and callers run in this one and are not counted.
"""

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from plantainsail.policy.work import Work
from plantainsail.runtime.live_streams import LiveStream
from plantainsail.streams.events import CHAT_SHAPE, EventWriter, StreamFacts
from plantainsail.streams.relay import Relay
from plantainsail.upstreams.engine import EventDecoder
from soak.fleet import free_address
from tests.standins.platform import MODEL, Platform
from tests.standins.process import DaemonProcess
from tests.standins.stream_client import StreamClient

TOKENS_PER_EVENT = (1, 4, 16)
EVENT_COUNT = 20_000
EVENTS_PER_STREAM = 500
STREAMS = 40
STEP_S = 0.02
CLOCK_TICKS_PER_S = 100
# User and system time in /proc/PID/stat, after the process name.
CPU_TIME_FIELDS = slice(11, 13)


class Cost(NamedTuple):
    """Tokens a second of process time for one size of event."""

    tokens_per_event: int
    decisions: int
    daemon: int


def engine_events(tokens: int, count: int) -> list[bytes]:
    """Return the events that an engine sends for one generation."""
    text = "word " * tokens
    return [
        b"data: %b\n\n"
        % json.dumps(
            {
                "request": "req-1",
                "generation": "gen-1",
                "attempt": 0,
                "position": number * tokens,
                "tokens": tokens,
                "text": text,
            }
        ).encode()
        for number in range(count)
    ]


def measure_decisions(tokens: int) -> int:
    """Return tokens a second through the decisions alone."""
    events = engine_events(tokens, EVENT_COUNT)
    work = Work("req-1", "desk", "large", "m", 1, 1, 2**30, 0.0, 1e9)
    facts = StreamFacts("req-1", "m", 1, CHAT_SHAPE)
    stream = LiveStream(work, facts, 0.0)
    reader = stream.attach(0)
    if reader is None:
        raise RuntimeError("a new stream has no reader")
    relay = Relay("req-1", "gen-1", 2**30)
    decoder = EventDecoder()
    writer = EventWriter(facts)
    started_s = time.process_time()
    for event in events:
        stream.append(relay.process_chunks(decoder.feed(event)).relayed)
        batch = reader.poll()
        if batch is not None:
            writer.write(batch.chunks)
    used_s = time.process_time() - started_s
    return round(tokens * EVENT_COUNT / used_s)


def process_time_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    return sum(int(f) for f in fields[CPU_TIME_FIELDS]) / CLOCK_TICKS_PER_S


async def measure_daemon(tokens: int) -> int:
    """Return tokens a second through a daemon on loopback."""
    platform = Platform(engines=2)
    await platform.start()
    length = tokens * EVENTS_PER_STREAM
    for engine in platform.engines:
        engine.step_s = STEP_S
        engine.length = length
        engine.tokens_per_event = tokens
    for entry in platform.hosts.values():
        if entry["role"] == "engine":
            entry["kv_tokens"] = 100_000_000
    platform.publish_hosts()
    base_settings = platform.settings(1, free_address())
    with tempfile.TemporaryDirectory() as directory:
        process = DaemonProcess(
            base_settings._replace(
                caller_address=free_address(),
                operator_address=free_address(),
                time_limits=base_settings.time_limits._replace(silence_s=30.0),
            ),
            Path(directory),
        )
        await process.start()
        used_s = await _relay_streams(process, length)
        await process.end()
    await platform.stop()
    return round(STREAMS * length / used_s)


async def _relay_streams(process: DaemonProcess, length: int) -> float:
    if process.process is None:
        raise RuntimeError("the daemon does not run")
    body = json.dumps(
        {
            "model": MODEL,
            "stream": True,
            "max_tokens": length,
            "messages": [{"role": "user", "content": "a long guide"}],
        }
    ).encode()
    cpu_before_s = process_time_s(process.process.pid)
    await asyncio.gather(
        *(_read_stream(process, body, length) for _ in range(STREAMS))
    )
    return process_time_s(process.process.pid) - cpu_before_s


async def _read_stream(
    process: DaemonProcess, body: bytes, length: int
) -> None:
    caller = StreamClient()
    await caller.post(process.settings.caller_address, body)
    await caller.read_all()
    if not caller.is_done or caller.position != length:
        raise RuntimeError(f"a stream ended early: {caller.error}")


def main() -> int:
    """Measure all event sizes and print one JSON line."""
    costs = [
        Cost(
            tokens,
            measure_decisions(tokens),
            asyncio.run(measure_daemon(tokens)),
        )
        for tokens in TOKENS_PER_EVENT
    ]
    print(
        json.dumps(
            {
                "measure": "relay",
                "unit": "tokens/s of process time",
                "costs": [cost._asdict() for cost in costs],
            }
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
