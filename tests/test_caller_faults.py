"""Guards against malformed or hostile requests that do harm.

Such a request must get an error response with its result code.  It
must not reach an engine, hold a connection beyond the time limit or
raise an exception in the daemon.
"""

import asyncio
import json
from collections.abc import Iterator, MutableMapping
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plantainsail.api.app import make_caller_app
from plantainsail.clock import ManualClock
from plantainsail.daemon import Daemon
from plantainsail.lists.parse import assemble_lists, parse_part
from plantainsail.lists.snapshot import Family
from plantainsail.runtime.node import Node
from tests.standins.platform import (
    DESK_KEY,
    MODEL,
    Platform,
    bare_settings,
    call,
    plan_part,
    start_daemon,
)
from tests.test_settings import JSON_VALUES

CHAT = "/v1/chat/completions"
USER = {"role": "user", "content": "hello"}


async def send_raw_bytes(daemon: Daemon, sent: bytes) -> bytes:
    """Send bytes unchanged and return the whole response."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", daemon.caller_listener.port
    )
    writer.write(sent)
    answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize(
    ("body", "code"),
    [
        (b"{", "malformed_body"),
        (b"\xff", "malformed_body"),
        (b"[" * 100_000, "malformed_body"),
        (b"[]", "invalid_field"),
        (b"{}", "invalid_field"),
        ({"messages": []}, "invalid_field"),
        ({"messages": [USER | {"role": "king"}]}, "invalid_field"),
        ({"messages": "hello"}, "invalid_field"),
        ({"stream": "yes"}, "invalid_field"),
        ({"max_tokens": 0}, "invalid_field"),
        ({"max_tokens": 1e300}, "invalid_field"),
        ({"n": 2}, "invalid_field"),
        ({"temperature": 9}, "invalid_field"),
        ({"tools": [{}]}, "invalid_field"),
        ({"stop": ["a", ""]}, "invalid_field"),
        ({"model": "nothing"}, "unknown_model"),
        (b"x" * 1_000_001, "body_too_large"),
    ],
)
async def test_invalid_body_is_refused_and_reaches_no_engine(
    address: str, platform: Platform, body: object, code: str
) -> None:
    if isinstance(body, dict):
        good = {"model": MODEL, "messages": [USER]}
        body = json.dumps(good | body).encode()
    assert isinstance(body, bytes)
    answer = await call(address, "POST", CHAT, body)
    error = json.loads(answer.body)["error"]
    assert error["code"] == code
    assert error["outcome"] == "not_run"
    assert answer.headers["plantainsail-outcome"] == "not_run"
    assert [engine.received for engine in platform.engines] == [[], []]


async def test_unknown_path_wrong_method_and_missing_key_have_codes(
    address: str,
) -> None:
    unknown = await call(address, "GET", "/nowhere")
    assert json.loads(unknown.body)["error"]["code"] == "unknown_path"
    method = await call(address, "GET", CHAT)
    assert json.loads(method.body)["error"]["code"] == "method_not_allowed"
    no_key = await call(address, "POST", CHAT, b"{}", key=None)
    assert json.loads(no_key.body)["error"]["code"] == "missing_key"


async def test_too_long_headers_are_refused_with_431(daemon: Daemon) -> None:
    flood = b"".join(b"x-%d: %s\r\n" % (n, b"y" * 90) for n in range(1_000))
    answer = await send_raw_bytes(daemon, b"GET / HTTP/1.1\r\n" + flood)
    assert answer.startswith(b"HTTP/1.1 431 ")
    assert b'"headers_too_large"' in answer


async def test_bytes_of_another_protocol_are_refused_with_400(
    daemon: Daemon,
) -> None:
    answer = await send_raw_bytes(daemon, b"\x16\x03\x01 hello \r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 400 ")


@pytest.mark.parametrize(
    "sent",
    [
        b"POST /v1/chat/completions HT",
        b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n"
        b"authorization: Bearer key-desk\r\ncontent-length: 9\r\n\r\n{",
    ],
)
async def test_incomplete_request_is_refused_with_408_after_time_limit(
    platform: Platform, sent: bytes
) -> None:
    usual = platform.settings()
    limits = usual.time_limits._replace(body_s=0.05)
    slow = await start_daemon(usual._replace(time_limits=limits))
    answer = await send_raw_bytes(slow, sent)
    assert answer.startswith(b"HTTP/1.1 408 ")
    assert b'"body_timeout"' in answer
    await slow.stop()


def post_to_app(runner: asyncio.Runner, node: Node, body: bytes) -> int:
    """Post a body to the application; return the response's status."""
    sent: list[MutableMapping[str, Any]] = []

    async def receive() -> MutableMapping[str, Any]:
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message: MutableMapping[str, Any]) -> None:
        sent.append(message)

    scope = {
        "type": "http",
        "method": "POST",
        "path": CHAT,
        "headers": [(b"authorization", f"Bearer {DESK_KEY}".encode())],
        "query_string": b"",
    }
    runner.run(make_caller_app(node)(scope, receive, send))
    return int(sent[0]["status"])


@pytest.fixture(scope="module")
def runner() -> Iterator[asyncio.Runner]:
    with asyncio.Runner() as shared:
        yield shared


@pytest.fixture(scope="module")
def node(runner: asyncio.Runner) -> Node:
    """Return a serving node that has lists but no upstreams."""

    async def make() -> Node:
        return Node(bare_settings(), ManualClock())

    made = runner.run(make())
    part = parse_part("plans/0", {"revision": 1} | plan_part())
    lists = part.bind(lambda p: assemble_lists(1, [p]))
    made.store.offer_lists(lists.ok)
    for family in Family:
        made.store.confirm(made.now_s(), family)
    made.life_cycle.record_peers_asked(made.life_cycle.pauses)
    made.life_cycle.refreshed()
    assert made.life_cycle.state == "serving"
    return made


@settings(max_examples=500)
@given(
    value=JSON_VALUES,
    field=st.sampled_from(["messages", "stop", "model", "seed", "stream"]),
)
def test_arbitrary_field_value_gets_an_expected_status(
    runner: asyncio.Runner, node: Node, value: object, field: str
) -> None:
    body = {"model": MODEL, "messages": [USER], field: value}
    status = post_to_app(runner, node, json.dumps(body).encode())
    # A valid request gets 503, because the node has no engine.
    assert status in (400, 404, 503)


@settings(max_examples=500)
@given(body=st.binary())
def test_arbitrary_bytes_are_refused_with_400(
    runner: asyncio.Runner, node: Node, body: bytes
) -> None:
    assert post_to_app(runner, node, body) == 400
