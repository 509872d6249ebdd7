"""Reading of callers' requests and writing of their answers."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from starlette.types import Receive, Scope, Send

from plantainsail.api.bounded_connection import (
    CONNECTION,
    BoundedConnection,
)
from plantainsail.api.responses import failure_response
from plantainsail.buffers import BufferShare
from plantainsail.results import Failure
from plantainsail.upstreams.single_use import (
    BODILESS_STATUSES,
    Headers,
    first_value,
)

T = TypeVar("T")

# Headers that concern one connection only and aren't forwarded.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
CLOSE = (b"connection", b"close")
ANSWER_PART_BYTES = 65_536


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class BodyTooLargeError(Exception):
    """The request's body is longer than the configured limit."""


class CallerExchange:
    """Reads one request of a caller and writes its answer.

    If `closes_connection` is set, the answer's head asks the caller to
    close the connection.  `buffers` counts the bytes that are held for
    the request: its body, and an answer that is read whole.
    """

    def __init__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        buffers: BufferShare,
    ) -> None:
        self.scope = scope
        self.receive = receive
        self.send = send
        self.buffers = buffers
        self.headers: Headers = [
            (bytes(name), bytes(value)) for name, value in scope["headers"]
        ]
        if self.get(b"host") is None:
            # A request of HTTP/1.0, which upstreams get as HTTP/1.1.
            self.headers.append((b"host", b""))
        self.is_answer_started = False
        self.closes_connection = False
        self.disconnect_task: asyncio.Task[None] | None = None
        state = scope.get("state") or {}
        self.connection: BoundedConnection | None = state.get(CONNECTION)

    @property
    def method(self) -> bytes:
        """Return the request's method."""
        return str(self.scope["method"]).encode()

    @property
    def path(self) -> str:
        """Return the path, undecoded and without the query."""
        return bytes(self.scope["raw_path"]).decode("latin-1")

    @property
    def target(self) -> bytes:
        """Return the request target: path and query, undecoded."""
        query = bytes(self.scope["query_string"])
        raw_path = bytes(self.scope["raw_path"])
        return raw_path + b"?" + query if query else raw_path

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, by lower-case name."""
        return first_value(self.headers, name)

    def end_to_end_headers(self) -> Headers:
        """Return the headers that may be forwarded to an upstream."""
        return remove_hop_by_hop(self.headers)

    async def read_body(self, limit_bytes: int) -> bytes:
        """Return the whole body.

        Raises `BodyTooLargeError` if it exceeds `limit_bytes`, and
        `OverQuotaError` if all bodies together are too large.
        """
        body = bytearray()
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnectedError
            # The piece is released before the next one is awaited.
            piece = message.pop("body", b"")
            body += piece
            piece_bytes = len(piece)
            del piece
            if len(body) > limit_bytes:
                raise BodyTooLargeError
            self.buffers.take(piece_bytes)
            if not message.get("more_body", False):
                return bytes(body)

    def hold_connection(self) -> None:
        """Count this request's bytes as held by its connection."""
        if self.connection is not None:
            self.connection.share = self.buffers

    def release_connection(self) -> None:
        """Stop counting, unless the next request is counted already."""
        if self.connection is None:
            return
        if self.connection.share is self.buffers:
            self.connection.share = None

    def protect_connection(self) -> None:
        """Keep the connection until an answer has begun.

        The request may not be repeated, so its run is not given up
        when its connection must yield.
        """
        if self.connection is not None:
            self.connection.is_unrepeatable = True

    def watch_for_disconnect(self) -> None:
        """Start to wait for the caller's disconnect.

        The body must have been read, since both read from `receive`.
        """
        self.disconnect_task = asyncio.create_task(self._wait_for_disconnect())

    async def cancel_on_disconnect(self, work: Awaitable[T]) -> T:
        """Return the result of `work`; cancel it on a disconnect.

        Raises `CallerDisconnectedError` if the caller disconnects
        before `work` is done.
        """
        assert self.disconnect_task is not None
        task = asyncio.ensure_future(work)
        try:
            await asyncio.wait(
                (task, self.disconnect_task),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not task.done():
                raise CallerDisconnectedError
            return task.result()
        finally:
            if not task.done():
                task.cancel()
                await asyncio.wait((task,))

    def stop_disconnect_watch(self) -> None:
        """Stop waiting for the caller's disconnect."""
        if self.disconnect_task is not None:
            self.disconnect_task.cancel()

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        self.is_answer_started = True
        sent_headers = [*headers, CLOSE] if self.closes_connection else headers
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": sent_headers,
            }
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body; more follows."""
        await self.send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self, data: bytes = b"") -> None:
        """Send the last part of the body."""
        await self.send({"type": "http.response.body", "body": data})

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send an upstream's complete answer."""
        forwarded = remove_hop_by_hop(headers)
        if self.method != b"HEAD" and status not in BODILESS_STATUSES:
            forwarded.append((b"content-length", b"%d" % len(body)))
        await self.start(status, forwarded)
        # Each part waits until the caller has taken most of the one
        # before, so that no second copy of a large body is made.
        start = 0
        while len(body) - start > ANSWER_PART_BYTES:
            await self.write(body[start : start + ANSWER_PART_BYTES])
            start += ANSWER_PART_BYTES
        await self.end(body[start:])

    async def refuse(self, failure: Failure) -> None:
        """Send a failure as the answer."""
        response = failure_response(failure._replace(retry_after_s=None))
        if failure.retry_after_s is not None:
            response.headers["Retry-After"] = f"{failure.retry_after_s:.2f}"
        headers = list(response.raw_headers)
        await self.start(response.status_code, headers)
        await self.end(bytes(response.body))

    async def _wait_for_disconnect(self) -> None:
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                return


def remove_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers without those that concern one connection.

    These are the standard ones and all that `connection` names.
    """
    connection_headers: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            for token in value.split(b","):
                connection_headers.add(token.strip().lower())
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in connection_headers
    ]
