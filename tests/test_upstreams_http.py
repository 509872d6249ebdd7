"""Upstream calls whose answers are late, truncated or malformed.

An answer that arrives after its call was cancelled or timed out must
not be returned to the next call on the same connection, and no request
may be sent twice.
"""

import asyncio
from collections.abc import AsyncIterator

import aiosonic
import pytest
from aiosonic.pools import PoolConfig
from expression import Result
from hypothesis import given
from hypothesis import strategies as st

from plantainsail.results import Code, Failure
from plantainsail.upstreams.http import (
    UpstreamRequest,
    WholeAnswer,
    fetch,
    make_client,
    make_pooled_client,
)
from tests.standins.raw_upstream import RawRequest, RawUpstream, framed

LIMIT_BYTES = 200_000
LONG_TIMEOUT_S = 20.0
SHORT_TIMEOUT_S = 0.004
FURTHER_CALLS = 100


def echo(request: RawRequest) -> bytes:
    return framed(request, f"for {request.number}".encode(), False)


def echo_in_chunks(request: RawRequest) -> bytes:
    return framed(request, f"for {request.number}".encode(), True)


def echo_without_number(request: RawRequest) -> bytes:
    return echo(request).replace(b"x-request-id", b"x-other")


@pytest.fixture
async def upstream() -> AsyncIterator[RawUpstream]:
    server = RawUpstream(echo)
    yield server
    server.stop()


class Caller:
    """Makes numbered calls to one upstream."""

    def __init__(self, client: aiosonic.HTTPClient, address: str) -> None:
        self.client = client
        self.url = f"http://{address}/read"
        self.number = 0

    async def call(
        self, total_s: float = LONG_TIMEOUT_S, method: str = "POST"
    ) -> Result[WholeAnswer, Failure]:
        self.number += 1
        request = UpstreamRequest(
            method, self.url, "ledger-1", f"req-{self.number:04d}", b"{}"
        )
        return await fetch(self.client, request, LIMIT_BYTES, 1.0, total_s)

    async def call_and_check(self) -> None:
        answer = await self.call()
        assert answer.is_ok()
        assert answer.ok.body == f"for req-{self.number:04d}".encode()


async def test_unmodified_library_returns_late_answer_to_next_request(
    upstream: RawUpstream,
) -> None:
    url = f"http://{await upstream.start()}/read"
    client = aiosonic.HTTPClient()

    async def ask(number: str) -> bytes:
        response = await client.post(
            url, data=b"{}", headers={"x-request-id": number}
        )
        return bytes(await response.content())

    assert await ask("first") == b"for first"
    upstream.stall(0)
    slow = asyncio.create_task(ask("slow"))
    await upstream.stalled.wait()
    slow.cancel()
    await asyncio.gather(slow, return_exceptions=True)
    upstream.released.set()
    assert await ask("next") == b"for slow"


async def test_unmodified_library_reuses_connection_despite_limit_of_one(
    upstream: RawUpstream,
) -> None:
    url = f"http://{await upstream.start()}/read"
    connector = aiosonic.TCPConnector(
        pool_configs={":default": PoolConfig(max_conn_requests=1)}
    )
    client = aiosonic.HTTPClient(connector)
    for _ in range(2):
        await client.post(url, data=b"{}", headers={"x-request-id": "n"})
    assert upstream.connections == 1


@pytest.mark.parametrize("answer", [echo, echo_in_chunks, echo_without_number])
@pytest.mark.parametrize("is_pooled", [False, True])
async def test_call_after_cancel_at_any_byte_gets_its_own_answer(
    upstream: RawUpstream, answer: object, is_pooled: bool
) -> None:
    upstream.answer = answer  # type: ignore[assignment]
    make_caller_client = make_pooled_client if is_pooled else make_client
    caller = Caller(make_caller_client(), await upstream.start())
    await caller.call_and_check()
    answer_bytes = len(upstream.answer(upstream.requests[-1]))
    for at in range(answer_bytes):
        upstream.stall(at)
        slow = asyncio.create_task(caller.call())
        await upstream.stalled.wait()
        await asyncio.sleep(0)
        slow.cancel()
        await asyncio.gather(slow, return_exceptions=True)
        upstream.released.set()
        await caller.call_and_check()
    for _ in range(FURTHER_CALLS):
        await caller.call_and_check()


async def test_call_after_timeout_at_any_byte_gets_its_own_answer(
    upstream: RawUpstream,
) -> None:
    caller = Caller(make_pooled_client(), await upstream.start())
    await caller.call_and_check()
    for at in range(len(echo(upstream.requests[-1]))):
        upstream.stall(at)
        slow = await caller.call(SHORT_TIMEOUT_S)
        assert slow.is_error()
        assert slow.error.code == Code.UPSTREAM_TIMEOUT
        upstream.released.set()
        await caller.call_and_check()
    for _ in range(FURTHER_CALLS):
        await caller.call_and_check()


async def test_only_pooled_client_reuses_connection_after_whole_answer(
    upstream: RawUpstream,
) -> None:
    address = await upstream.start()
    pooled = Caller(make_pooled_client(), address)
    for _ in range(5):
        await pooled.call_and_check()
    assert upstream.connections == 1
    fresh = Caller(make_client(), address)
    for _ in range(5):
        await fresh.call_and_check()
    assert upstream.connections == 6


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_request_is_not_resent_after_connection_closes(
    upstream: RawUpstream, method: str
) -> None:
    caller = Caller(make_pooled_client(), await upstream.start())
    await caller.call_and_check()
    upstream.answer = lambda request: b""
    upstream.closes = True
    failed = await caller.call(method=method)
    assert failed.is_error()
    assert failed.error.code == Code.UPSTREAM_TRUNCATED
    assert len(upstream.requests) == 2


async def test_answer_without_identifier_on_reused_connection_is_garbled(
    upstream: RawUpstream,
) -> None:
    caller = Caller(make_pooled_client(), await upstream.start())
    await caller.call_and_check()
    upstream.answer = echo_without_number
    failed = await caller.call()
    assert failed.is_error()
    assert failed.error.code == Code.UPSTREAM_GARBLED
    await caller.call_and_check()


@pytest.mark.parametrize("answer", [echo, echo_in_chunks])
async def test_answer_cut_at_any_byte_is_truncated(
    upstream: RawUpstream, answer: object
) -> None:
    caller = Caller(make_client(), await upstream.start())
    upstream.closes = True
    sample = answer(RawRequest("POST", "/", "req-0001", b""))  # type: ignore[operator]
    for at in range(len(sample)):
        upstream.answer = lambda request, at=at: answer(request)[:at]  # type: ignore[operator,misc]
        failed = await caller.call()
        assert failed.is_error()
        assert failed.error.code == Code.UPSTREAM_TRUNCATED


OK_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK_LINE + b"transfer-encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        (b"nonsense\r\n\r\n", Code.UPSTREAM_GARBLED),
        (b"\xff\xfe\r\n\r\n", Code.UPSTREAM_GARBLED),
        (OK_LINE + b"no colon\r\n\r\n", Code.UPSTREAM_GARBLED),
        (OK_LINE + b"content-length: -4\r\n\r\n", Code.UPSTREAM_GARBLED),
        (OK_LINE + b"content-length: four\r\n\r\n", Code.UPSTREAM_GARBLED),
        (OK_LINE + b"server: x\r\n\r\nbody", Code.UPSTREAM_GARBLED),
        (
            OK_LINE + b"content-encoding: gzip\r\ncontent-length: 1\r\n\r\nx",
            Code.UPSTREAM_GARBLED,
        ),
        (b"HTTP/1.1 100 Continue\r\n\r\n", Code.UPSTREAM_GARBLED),
        (
            OK_LINE + b"x-request-id: req-9\r\ncontent-length: 1\r\n\r\nx",
            Code.UPSTREAM_GARBLED,
        ),
        (CHUNKED + b"zz\r\nab\r\n0\r\n\r\n", Code.UPSTREAM_GARBLED),
        (CHUNKED + b"-5\r\nab\r\n0\r\n\r\n", Code.UPSTREAM_GARBLED),
        (CHUNKED + b"1\r\nabc\r\n0\r\n\r\n", Code.UPSTREAM_GARBLED),
        (CHUNKED + b"fffffff\r\nab", Code.UPSTREAM_OVERLONG),
        (b"HTTP/1.1 200 " + b"O" * 100_000, Code.UPSTREAM_OVERLONG),
        (OK_LINE + b"x: y\r\n" * 20_000 + b"\r\n", Code.UPSTREAM_OVERLONG),
        (
            OK_LINE + b"content-length: 300000\r\n\r\n" + b"x" * 300_000,
            Code.UPSTREAM_OVERLONG,
        ),
    ],
)
async def test_malformed_answer_fails_with_its_code(
    upstream: RawUpstream, answer: bytes, code: Code
) -> None:
    upstream.answer = lambda request: answer
    upstream.closes = True
    caller = Caller(make_client(), await upstream.start())
    failed = await caller.call()
    assert failed.is_error()
    assert failed.error.code == code


async def test_refused_connection_is_unreachable(
    upstream: RawUpstream,
) -> None:
    address = await upstream.start()
    upstream.stop()
    failed = await Caller(make_client(), address).call()
    assert failed.is_error()
    assert failed.error.code == Code.UPSTREAM_UNREACHABLE


@given(st.integers(0, 200), st.binary(min_size=1, max_size=6), st.booleans())
def test_garbled_answer_never_raises_nor_affects_later_calls(
    at: int, noise: bytes, is_chunked: bool
) -> None:
    async def run() -> None:
        answer = echo_in_chunks if is_chunked else echo

        def garbled(request: RawRequest) -> bytes:
            data = answer(request)
            place = at % len(data)
            return data[:place] + noise + data[place + len(noise) :]

        upstream = RawUpstream(garbled)
        upstream.closes = True
        client = make_pooled_client()
        caller = Caller(client, await upstream.start())
        result = await caller.call()
        if result.is_error():
            assert 4000 < result.error.code < 5000
        upstream.answer = echo
        upstream.closes = False
        # The upstream may have closed the pooled connection, so the
        # first of these calls may fail.
        results = [await caller.call() for _ in range(2)]
        for number, further in enumerate(results, 2):
            if further.is_ok():
                assert further.ok.body == b"for req-%04d" % number
        assert results[-1].is_ok()
        upstream.stop()
        await client.aclose()

    asyncio.run(run())


async def test_empty_answer_closed_at_any_byte_of_its_head_is_not_whole(
    upstream: RawUpstream,
) -> None:
    """Its head said already that no body follows."""
    caller = Caller(make_client(), await upstream.start())
    upstream.closes = True
    sample = OK_LINE + b"content-length: 0\r\nx-later: yes\r\n\r\n"
    for at in range(len(sample)):
        upstream.answer = lambda _, at=at: sample[:at]  # type: ignore[misc]
        assert (await caller.call()).is_error()
