"""The HTTP clients that all upstream calls share.

Each non-idempotent call, generation and cancel opens its own
connection; only idempotent reads use the connection pool.
`docs/design/streams.md` explains why.
"""

import asyncio
from collections.abc import AsyncGenerator, Mapping
from contextlib import aclosing
from typing import NamedTuple

import aiosonic
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts
from expression import Error, Ok, Result

from plantainsail.buffers import (
    BufferQuota,
    BufferShare,
    OverQuotaError,
)
from plantainsail.results import Code, Failure
from plantainsail.upstreams.cancellation import CancellationGuard
from plantainsail.upstreams.connections import (
    SEND_STATE,
    OverlongError,
    SendState,
    StrictConnection,
    UnpooledConnection,
    is_truncation,
)

MAX_UNPOOLED_CONNECTIONS = 4_096
MAX_POOLED_CONNECTIONS = 512
MAX_POOLED_IDLE_MS = 1_000
REQUEST_HEADER = "x-request-id"
DEADLINE_HEADER = "plantainsail-deadline-ms"
HTTP_FIRST_FINAL_STATUS = 200
# So many pieces of a body are read before other tasks run.
MAX_UNBROKEN_PIECES = 64


class UpstreamRequest(NamedTuple):
    """One HTTP request to an upstream.

    `request` is the identifier that the answer should echo.
    """

    method: str
    url: str
    upstream: str
    request: str
    body: bytes | None = None
    headers: Mapping[str, str] = {}


def make_client() -> aiosonic.HTTPClient:
    """Return a client that opens a connection for each request."""
    pool = PoolConfig(size=MAX_UNPOOLED_CONNECTIONS)
    return aiosonic.HTTPClient(
        TCPConnector(
            pool_configs={":default": pool},
            connection_cls=UnpooledConnection,
        )
    )


def make_pooled_client() -> aiosonic.HTTPClient:
    """Return a client that reuses connections.

    It reuses a connection only after an answer read to its last byte.
    """
    pool = PoolConfig(
        size=MAX_POOLED_CONNECTIONS,
        max_conn_requests=None,
        max_conn_idle_ms=MAX_POOLED_IDLE_MS,
    )
    return aiosonic.HTTPClient(
        TCPConnector(
            pool_configs={":default": pool},
            connection_cls=StrictConnection,
        )
    )


def connect_timeouts(connect_s: float) -> Timeouts:
    """Return timeouts that limit only the time to connect.

    The library's read timeout covers only the status line, so callers
    limit the time to read by themselves.
    """
    return Timeouts(
        sock_connect=connect_s, sock_read=None, request_timeout=None
    )


def call_timeouts(connect_s: float, total_s: float) -> Timeouts:
    """Return timeouts for a call that must end within `total_s`."""
    return Timeouts(
        sock_connect=min(connect_s, total_s),
        sock_read=total_s,
        request_timeout=total_s,
    )


async def send(
    client: aiosonic.HTTPClient,
    request: UpstreamRequest,
    send_state: SendState,
    connect_s: float,
) -> aiosonic.HttpResponse:
    """Send a request once and return its answer, with the head read.

    Raises the library's errors, which `failure_from_error` turns into
    a `Failure`.
    """
    token = SEND_STATE.set(send_state)
    try:
        with CancellationGuard() as guard:
            response = await client.request(
                request.url,
                request.method,
                data=request.body,
                headers=dict(request.headers)
                | {REQUEST_HEADER: request.request},
                timeouts=connect_timeouts(connect_s),
                stream=True,
            )
            if guard.is_cancelled:
                await response.aclose()
            return response
    finally:
        SEND_STATE.reset(token)


def check_head(
    response: aiosonic.HttpResponse,
    request: UpstreamRequest,
    send_state: SendState,
) -> Failure | None:
    """Return why an answer's head is rejected, or None.

    An answer that echoes no request identifier is accepted only on a
    new connection, which is then not reused.
    """
    echoed = response.headers.get(REQUEST_HEADER)
    if echoed is None:
        send_state.keep_out_of_pool()
    if echoed != request.request and (echoed or send_state.is_reused):
        send_state.keep_out_of_pool()
        return _garbled_failure(request, "answered another request")
    if int(response.status_code) < HTTP_FIRST_FINAL_STATUS:
        return _garbled_failure(request, "gave no final status")
    if response.headers.get("content-encoding", "identity") != "identity":
        return _garbled_failure(
            request, "used an encoding that was not asked for"
        )
    if response.chunked or "content-length" in response.headers:
        return None
    send_state.keep_out_of_pool()
    return _garbled_failure(request, "did not say how long its answer is")


def _garbled_failure(request: UpstreamRequest, problem: str) -> Failure:
    return Failure(Code.UPSTREAM_GARBLED, f"{request.upstream} {problem}")


def failure_from_error(
    error: BaseException, upstream: str, send_state: SendState
) -> Failure:
    """Return the failure that describes an error of the client.

    `UPSTREAM_UNREACHABLE` is returned only if no byte of the request
    was written.
    """
    if not send_state.is_sent:
        return Failure(
            Code.UPSTREAM_UNREACHABLE, f"{upstream} could not be reached"
        )
    if isinstance(error, TimeoutError | aiosonic.exceptions.BaseTimeout):
        return Failure(
            Code.UPSTREAM_TIMEOUT, f"{upstream} did not answer in time"
        )
    if isinstance(
        error, OverlongError | OverQuotaError | asyncio.LimitOverrunError
    ):
        return Failure(
            Code.UPSTREAM_OVERLONG, f"{upstream} answered over a limit"
        )
    if is_truncation(error):
        return Failure(
            Code.UPSTREAM_TRUNCATED, f"{upstream} closed the connection"
        )
    return Failure(
        Code.UPSTREAM_GARBLED, f"{upstream} answered something malformed"
    )


def body_pieces(
    response: aiosonic.HttpResponse,
) -> AsyncGenerator[bytes, None]:
    """Return a generator of a body's bytes as they arrive."""
    return _pieces_of(response)


async def _pieces_of(
    response: aiosonic.HttpResponse,
) -> AsyncGenerator[bytes, None]:
    if not response.chunked and not int(response.headers["content-length"]):
        return
    unbroken_pieces = 0
    async with aclosing(response.read_chunks()) as pieces:
        async for piece in pieces:
            yield piece
            unbroken_pieces += 1
            if unbroken_pieces >= MAX_UNBROKEN_PIECES:
                # Small pieces that are there already would keep all
                # other tasks from running.
                unbroken_pieces = 0
                await asyncio.sleep(0)


async def read_bounded(
    response: aiosonic.HttpResponse,
    limit_bytes: int,
    upstream: str,
    share: BufferShare,
) -> Result[bytes, Failure]:
    """Return a whole body, or a failure once it exceeds the limit.

    Raises `OverQuotaError` if all bodies together are too large.
    """
    body = bytearray()
    async with aclosing(body_pieces(response)) as pieces:
        async for piece in pieces:
            body += piece
            share.take(len(piece))
            if len(body) > limit_bytes:
                return Error(
                    Failure(
                        Code.UPSTREAM_OVERLONG,
                        f"{upstream} answered over {limit_bytes} bytes",
                    )
                )
    return Ok(bytes(body))


async def fetch(
    client: aiosonic.HTTPClient,
    request: UpstreamRequest,
    limit_bytes: int,
    connect_s: float,
    total_s: float,
    send_state: SendState | None = None,
    quota: BufferQuota | None = None,
) -> Result["WholeAnswer", Failure]:
    """Send a request once and return the whole answer.

    `quota` limits what all answers together may hold.

    All exceptions are caught here, since the library raises errors of
    many types for the same broken connection.
    """
    send_state = send_state or SendState()
    response = None
    try:
        async with asyncio.timeout(total_s):
            response = await send(client, request, send_state, connect_s)
            rejection = check_head(response, request, send_state)
            if rejection is not None:
                return Error(rejection)
            with (quota or BufferQuota()).open_share() as share:
                body = await read_bounded(
                    response, limit_bytes, request.upstream, share
                )
    except Exception as error:
        return Error(failure_from_error(error, request.upstream, send_state))
    finally:
        if response is not None:
            await response.aclose()
    if body.is_error():
        return Error(body.error)
    return Ok(WholeAnswer(int(response.status_code), body.ok))


class WholeAnswer(NamedTuple):
    """An answer that was read to its last byte."""

    status: int
    body: bytes
