"""The HTTP response that sends a stream's events to its caller."""

import asyncio
from collections.abc import Coroutine, Mapping
from typing import Any, Protocol, TypeVar

from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from plantainsail.api.responses import failure_body
from plantainsail.results import Code, Failure
from plantainsail.runtime.live_streams import Batch
from plantainsail.runtime.node import Node
from plantainsail.streams.events import (
    DONE_EVENT,
    EventWriter,
    StreamFacts,
)

STREAM_HEADER = "Plantainsail-Stream"
REPEATED_BODY_INTERVAL_S = 0.05
EVENT_STREAM_MEDIA_TYPE = "text/event-stream"

T = TypeVar("T")


class BatchReader(Protocol):
    """A source of a stream's chunks for one response."""

    @property
    def name(self) -> str:
        """Return the stream's signed name."""

    async def next(self) -> Batch:
        """Wait for chunks or the end, and return them."""

    def close(self) -> None:
        """Stop to read; a caller may resume the stream later."""

    def discard(self) -> None:
        """Stop to read a stream that no caller can resume."""


async def wait_for_disconnect(receive: Receive) -> None:
    """Return once the caller has closed its connection."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
        # Some servers return an empty body at once on each call.
        await asyncio.sleep(REPEATED_BODY_INTERVAL_S)


async def result_unless_disconnected(
    request: Request, awaitable: Coroutine[Any, Any, T]
) -> T | None:
    """Return a result, or None if the caller disconnects first."""
    work = asyncio.ensure_future(awaitable)
    disconnected = asyncio.ensure_future(wait_for_disconnect(request.receive))
    try:
        await asyncio.wait({work, disconnected}, return_when="FIRST_COMPLETED")
        return work.result() if work.done() else None
    finally:
        work.cancel()
        disconnected.cancel()
        await asyncio.gather(work, disconnected, return_exceptions=True)


class EventStream(Response):
    """Sends a stream's events as its reader yields them.

    A caller that reads slowly delays only its own reader.  The
    response is aborted if the caller reads nothing for
    `caller_grace_s`.
    """

    def __init__(
        self,
        node: Node,
        reader: BatchReader,
        first: Batch,
        facts: StreamFacts,
    ) -> None:
        super().__init__(
            media_type=EVENT_STREAM_MEDIA_TYPE,
            headers=_headers(reader.name),
        )
        # The length of the stream is not known in advance.
        del self.headers["content-length"]
        self.node = node
        self.reader = reader
        self.first = first
        self.writer = EventWriter(facts)
        self.messages_sent = 0
        self.is_sending = False

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Send events until the stream ends or the caller leaves."""
        sender = asyncio.ensure_future(self._send_all(send))
        disconnected = asyncio.ensure_future(wait_for_disconnect(receive))
        try:
            await self._wait_for_end_or_stall(sender, disconnected)
            if sender.done():
                sender.result()
        finally:
            sender.cancel()
            disconnected.cancel()
            await asyncio.gather(sender, disconnected, return_exceptions=True)
            self.reader.close()

    async def _wait_for_end_or_stall(
        self, sender: asyncio.Future[None], disconnected: asyncio.Future[None]
    ) -> None:
        """Wait until the stream ends, or the caller leaves or stalls.

        A periodic check for stalls costs less than a timer for each
        event.
        """
        grace_s = self.node.settings.time_limits.caller_grace_s
        while True:
            messages_sent = self.messages_sent if self.is_sending else None
            done, _ = await asyncio.wait(
                {sender, disconnected},
                timeout=grace_s,
                return_when="FIRST_COMPLETED",
            )
            if done:
                return
            if self.is_sending and self.messages_sent == messages_sent:
                self.node.metrics.count_failure(
                    Failure(Code.CALLER_TOO_SLOW, "the caller reads nothing")
                )
                return

    async def _send_all(self, send: Send) -> None:
        await send(
            {
                "type": "http.response.start",
                "status": self.status_code,
                "headers": self.raw_headers,
            }
        )
        name = self.reader.name
        body = self.writer.name_comment(name)
        batch = self.first
        while True:
            body += self._events(batch)
            await self._send(send, body, batch.is_ended)
            if batch.is_ended:
                return
            batch = await self.reader.next()
            body = b""
            if self.reader.name != name:
                name = self.reader.name
                body = self.writer.name_comment(name)

    async def _send(self, send: Send, body: bytes, is_last: bool) -> None:
        self.is_sending = True
        await send(
            {
                "type": "http.response.body",
                "body": body,
                "more_body": not is_last,
            }
        )
        self.messages_sent += 1
        self.is_sending = False

    def _events(self, batch: Batch) -> bytes:
        events = self.writer.write(batch.chunks)
        if not batch.is_ended:
            return events
        if batch.failure is None:
            return events + DONE_EVENT
        self.node.metrics.count_failure(batch.failure)
        return events + self.writer.failure(failure_body(batch.failure))


def _headers(name: str) -> Mapping[str, str]:
    return {STREAM_HEADER: name, "cache-control": "no-store"}
