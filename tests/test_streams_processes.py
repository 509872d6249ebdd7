"""A daemon in a separate process is killed, stopped or drained.

The stream that it relays must continue at another daemon, and must not
be cancelled by the first one.
"""

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from plantainsail.daemon import Daemon
from soak.fleet import free_address
from tests.standins.fleet import caller_address
from tests.standins.platform import Platform, start_daemon
from tests.standins.process import DaemonProcess
from tests.standins.stream_client import StreamClient
from tests.test_streams_daemon import MIDDLE, STREAM_BODY, WORDS

ABANDONED = 'plantainsail_streams_total{event="abandoned"}'


@pytest.fixture
async def relay(
    platform: Platform, tmp_path: Path
) -> AsyncIterator[DaemonProcess]:
    usual = platform.settings(1, free_address())
    limits = usual.time_limits._replace(silence_s=30.0, caller_grace_s=3.0)
    process = DaemonProcess(
        usual._replace(
            caller_address=free_address(),
            operator_address=free_address(),
            time_limits=limits,
        ),
        tmp_path,
    )
    await process.start()
    yield process
    await process.end()


@pytest.fixture
async def other(platform: Platform) -> AsyncIterator[Daemon]:
    daemon = await start_daemon(platform.settings(2, free_address()))
    yield daemon
    await daemon.stop()


@pytest.fixture
async def caller(
    platform: Platform, relay: DaemonProcess
) -> AsyncIterator[StreamClient]:
    """Return a caller that disconnected in the middle of a stream."""
    for engine in platform.engines:
        engine.hold_position = MIDDLE
    client = StreamClient()
    await client.post(relay.settings.caller_address, STREAM_BODY)
    await client.read_to(MIDDLE)
    await client.leave()
    yield client
    for engine in platform.engines:
        engine.hold_released.set()


async def resume_elsewhere(
    platform: Platform, other: Daemon, caller: StreamClient
) -> None:
    for engine in platform.engines:
        engine.hold_released.set()
    await caller.resume(caller_address(other))
    await caller.read_all()
    assert caller.text == WORDS
    assert caller.is_done
    assert sum(len(e.received) for e in platform.engines) == 1


async def test_stream_of_a_killed_daemon_continues(
    platform: Platform,
    relay: DaemonProcess,
    other: Daemon,
    caller: StreamClient,
) -> None:
    relay.signal(signal.SIGKILL)
    assert relay.process is not None
    await relay.process.wait()
    await resume_elsewhere(platform, other, caller)


async def test_stream_of_a_stopped_daemon_continues_uncancelled(
    platform: Platform,
    relay: DaemonProcess,
    other: Daemon,
    caller: StreamClient,
) -> None:
    relay.signal(signal.SIGSTOP)
    for engine in platform.engines:
        # The stream must still run when the first daemon continues.
        engine.hold_position = MIDDLE + 2
        engine.hold_released.set()
        engine.hold_released = asyncio.Event()
    await caller.resume(caller_address(other))
    await caller.read_to(MIDDLE + 2)
    relay.signal(signal.SIGCONT)
    while await relay.count(ABANDONED) < 1:
        assert [e.cancels for e in platform.engines] == [[], []]
        await asyncio.sleep(0.05)
    assert [e.cancels for e in platform.engines] == [[], []]
    for engine in platform.engines:
        engine.hold_released.set()
    await caller.read_all()
    assert caller.text == WORDS
    assert caller.is_done
    assert sum(len(e.received) for e in platform.engines) == 1


async def test_draining_daemon_hands_its_stream_over(
    platform: Platform,
    relay: DaemonProcess,
    other: Daemon,
    caller: StreamClient,
) -> None:
    relay.signal(signal.SIGTERM)
    await resume_elsewhere(platform, other, caller)
    assert other.node.metrics.streams.labels("resumed_at_peer")._value.get()
    assert relay.process is not None
    assert await relay.process.wait() == 0
