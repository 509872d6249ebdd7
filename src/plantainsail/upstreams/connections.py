"""Connections that can't hand one request's answer to the next.

The HTTP library returns a connection to its pool although an answer is
still owed on it, takes a header block that was cut short for a whole
one, and sends some requests again by itself.  The connections here
close whatever was not read to its last byte, refuse heads and chunks
that are malformed or over the limits, and write one request once.
"""

import asyncio
from collections.abc import Callable
from contextvars import ContextVar
from types import TracebackType

from aiosonic.connection import Connection
from aiosonic.exceptions import ConnectionDisconnected, HttpParsingError

MAX_HEAD_BYTES = 65_536
MAX_HTTP_CHUNK_BYTES = 8_388_608
LINE_END = b"\r\n"
BLANK_LINES = (LINE_END, b"\n")


class OverlongError(Exception):
    """A part of an answer is longer than its limit."""


class ResendError(ConnectionError):
    """The library was about to send a request a second time."""


class WithheldError(ConnectionError):
    """A request may not be written any more."""


def _always_allow() -> bool:
    return True


class SendState:
    """Follows one request from its caller to its connection.

    `is_sent` turns true before the first byte is written, so a failure
    without it is surely a request that no upstream has seen.
    `may_write` is asked right before that, once the connection is open.
    """

    def __init__(self, may_write: Callable[[], bool] = _always_allow) -> None:
        self.may_write = may_write
        self.is_sent = False
        self.connection: Connection | None = None
        self.writer: asyncio.StreamWriter | None = None

    @property
    def is_reused(self) -> bool:
        """Return whether the connection served a request before."""
        return self.connection is not None and self.connection.reused

    def keep_out_of_pool(self) -> None:
        """Close the connection once the answer has been read."""
        if isinstance(self.connection, StrictConnection):
            self.connection.is_poolable = False


SEND_STATE: ContextVar[SendState | None] = ContextVar("sending", default=None)


class StrictConnection(Connection):  # type: ignore[misc]
    """A connection that knows whether an answer is still owed on it."""

    is_answer_pending = False
    is_poolable = True
    head_bytes = 0

    def write(self, data: bytes) -> None:
        """Send a part of a request."""
        self.is_answer_pending = True
        send_state = SEND_STATE.get()
        # The library may come back with this object, connected anew.
        if send_state is not None and send_state.writer is not self.writer:
            if send_state.is_sent:
                raise ResendError("a request is sent once")
            if not send_state.may_write():
                raise WithheldError("the request is withheld")
            send_state.is_sent = True
            send_state.connection = self
            send_state.writer = self.writer
            self.is_poolable = True
            self.head_bytes = 0
        super().write(data)

    async def readline(self) -> bytes:
        """Return a line of the head or of the chunk framing."""
        line: bytes = await super().readline()
        if not line.endswith(b"\n"):
            raise ConnectionDisconnected
        if self.blocked:
            return line
        self.head_bytes += len(line)
        if self.head_bytes > MAX_HEAD_BYTES:
            raise OverlongError("the head is too long")
        if b":" not in line and line not in BLANK_LINES:
            raise HttpParsingError("a header line has no colon")
        return line

    async def readexactly(self, size: int) -> bytes:
        """Return a chunk of the body with its line end."""
        if size > MAX_HTTP_CHUNK_BYTES:
            raise OverlongError("a chunk is too long")
        if size < 0:
            raise HttpParsingError("a length is negative")
        data: bytes = await super().readexactly(size)
        if self.blocked and not data.endswith(LINE_END):
            raise HttpParsingError("a chunk does not end where it should")
        return data

    def ensure_released(self, response_read: bool = True) -> None:
        """Note whether an answer was read to its last byte."""
        self.is_answer_pending = not response_read
        super().ensure_released(response_read)

    def release(self) -> None:
        """Return to the pool, closed if an answer is still owed."""
        if self.is_answer_pending or not self.is_poolable:
            self.keep = False
            self.close()
        super().release()

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close after any error, cancellation included."""
        if error_type is not None:
            self.keep = False
            self.close()
        await super().__aexit__(error_type, error, traceback)


class UnpooledConnection(StrictConnection):
    """A connection that serves one request."""

    def release(self) -> None:
        """Close, whatever was read."""
        self.is_poolable = False
        super().release()


def is_truncation(error: BaseException) -> bool:
    """Return whether an error means that an answer ended early."""
    return isinstance(
        error, asyncio.IncompleteReadError | ConnectionDisconnected | OSError
    )
