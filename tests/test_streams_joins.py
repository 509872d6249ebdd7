"""A request with an idempotency key is repeated at another daemon.

The repeat must join the running generation instead of starting another
one.
"""

import json
from collections.abc import AsyncIterator

import pytest

from plantainsail.daemon import Daemon
from plantainsail.runtime.joins import keyed_request_identifier
from plantainsail.runtime.live_streams import IdempotencyKey
from tests.standins.platform import Platform, call
from tests.standins.stream_client import StreamClient
from tests.test_streams_daemon import (
    CHAT,
    MIDDLE,
    STREAM_BODY,
    WHOLE_BODY,
    WORDS,
    address_of,
)

KEY = {"Idempotency-Key": "letter-7"}


def generation_count(platform: Platform) -> int:
    return sum(len(engine.received) for engine in platform.engines)


@pytest.fixture
async def first(
    platform: Platform, fleet: list[Daemon]
) -> AsyncIterator[StreamClient]:
    """Return a caller in the middle of a stream with such a key."""
    for engine in platform.engines:
        engine.hold_position = MIDDLE
    caller = StreamClient()
    await caller.post(address_of(fleet[0]), STREAM_BODY, KEY)
    await caller.read_to(MIDDLE)
    yield caller
    for engine in platform.engines:
        engine.hold_released.set()


async def test_stream_is_joined_at_another_daemon(
    platform: Platform, fleet: list[Daemon], first: StreamClient
) -> None:
    second = StreamClient()
    await second.post(address_of(fleet[1]), STREAM_BODY, KEY)
    await second.read_to(MIDDLE)
    assert second.name == first.name
    await second.leave()
    # The stream's name is complete, so the daemon that relays the
    # stream is not needed to resume it.
    await fleet[0].peer_server.stop(0.0)
    for engine in platform.engines:
        engine.hold_released.set()
    await second.resume(address_of(fleet[2]))
    await second.read_all()
    assert (second.text, second.is_done) == (WORDS, True)
    assert generation_count(platform) == 1
    counter = fleet[1].node.metrics.streams.labels("joined_at_peer")
    assert counter._value.get() == 1


async def test_unstreamed_request_joins_a_running_generation(
    platform: Platform, fleet: list[Daemon], first: StreamClient
) -> None:
    for engine in platform.engines:
        engine.hold_released.set()
    for daemon in fleet[1:]:
        answer = await call(
            address_of(daemon), "POST", CHAT, WHOLE_BODY, headers=KEY
        )
        value = json.loads(answer.body)
        assert value["choices"][0]["message"]["content"] == WORDS
    assert generation_count(platform) == 1


@pytest.mark.parametrize("key", ["key-desk", "key-store"])
async def test_different_request_or_organisation_is_not_joined(
    platform: Platform, fleet: list[Daemon], first: StreamClient, key: str
) -> None:
    for engine in platform.engines:
        engine.hold_released.set()
    body = WHOLE_BODY
    if key == "key-desk":
        body = WHOLE_BODY.replace(b"guide", b"letter")
    answer = await call(
        address_of(fleet[1]), "POST", CHAT, body, key, headers=KEY
    )
    assert answer.status == 200
    assert generation_count(platform) == 2


async def test_request_of_an_unreachable_daemon_runs_again(
    platform: Platform, fleet: list[Daemon], first: StreamClient
) -> None:
    await fleet[0].peer_server.stop(0.0)
    for engine in platform.engines:
        engine.hold_released.set()
    answer = await call(
        address_of(fleet[1]), "POST", CHAT, WHOLE_BODY, headers=KEY
    )
    value = json.loads(answer.body)
    assert value["choices"][0]["message"]["content"] == WORDS
    assert generation_count(platform) == 2


def test_request_numbers_keep_parts_of_a_key_apart() -> None:
    numbers = {
        keyed_request_identifier(IdempotencyKey("desk", "a"), b"b"),
        keyed_request_identifier(IdempotencyKey("des", "ka"), b"b"),
        keyed_request_identifier(IdempotencyKey("desk", "ab"), b""),
    }
    assert len(numbers) == 3
