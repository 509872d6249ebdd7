"""One request of a caller, from its head to the end of its answer."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from starlette.types import Receive, Scope, Send

from plantainsail.api.responses import failure_response
from plantainsail.results import Failure
from plantainsail.upstreams.single_use import Headers, first_value

T = TypeVar("T")

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
BODILESS_STATUSES = frozenset({204, 304})
CLOSE = (b"connection", b"close")


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class BodyTooLargeError(Exception):
    """The body is longer than callers may send."""


class CallerExchange:
    """Reads a request and writes its answer."""

    def __init__(self, scope: Scope, receive: Receive, send: Send) -> None:
        self.scope = scope
        self.receive = receive
        self.send = send
        self.headers: Headers = [
            (bytes(name), bytes(value)) for name, value in scope["headers"]
        ]
        self.is_answer_started = False
        self.closes_connection = False
        self.disconnect_task: asyncio.Task[None] | None = None

    @property
    def method(self) -> bytes:
        """Return the request's method."""
        return str(self.scope["method"]).encode()

    @property
    def path(self) -> str:
        """Return the path as it was sent, without the query."""
        return bytes(self.scope["raw_path"]).decode("latin-1")

    @property
    def target(self) -> bytes:
        """Return path and query as they were sent."""
        query = bytes(self.scope["query_string"])
        raw_path = bytes(self.scope["raw_path"])
        return raw_path + b"?" + query if query else raw_path

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, by lower-case name."""
        return first_value(self.headers, name)

    def end_to_end_headers(self) -> Headers:
        """Return the headers that don't concern one connection only."""
        return remove_hop_by_hop(self.headers)

    async def read_body(self, limit_bytes: int) -> bytes:
        """Return the whole body."""
        body = bytearray()
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnectedError
            body += message.get("body", b"")
            if len(body) > limit_bytes:
                raise BodyTooLargeError
            if not message.get("more_body", False):
                return bytes(body)

    def watch_for_disconnect(self) -> None:
        """Begin to notice the caller's leaving; the body was read."""
        self.disconnect_task = asyncio.create_task(self._wait_for_disconnect())

    async def cancel_on_disconnect(self, work: Awaitable[T]) -> T:
        """Return what work returns, or cancel it if the caller goes."""
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
        """End the watch."""
        if self.disconnect_task is not None:
            self.disconnect_task.cancel()

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        self.is_answer_started = True
        sent = [*headers, CLOSE] if self.closes_connection else headers
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": sent,
            }
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self.send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self, data: bytes = b"") -> None:
        """Send the last part of the body."""
        await self.send({"type": "http.response.body", "body": data})

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send an upstream's answer that was read whole."""
        sent = remove_hop_by_hop(headers)
        if self.method != b"HEAD" and status not in BODILESS_STATUSES:
            sent.append((b"content-length", b"%d" % len(body)))
        await self.start(status, sent)
        await self.end(body)

    async def refuse(self, failure: Failure) -> None:
        """Answer with a failure of the daemon's own."""
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
    """Return headers without those that concern one connection."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            for token in value.split(b","):
                named.add(token.strip().lower())
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in named
    ]
