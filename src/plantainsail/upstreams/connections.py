"""Connections that never return one request's answer to another.

The HTTP library aiosonic returns a connection to its pool although the
answer on it is still incomplete, accepts a truncated header block as a
complete one, and resends some requests by itself.  The connections
here are closed unless the answer was read to its last byte, reject
heads and chunks that are malformed or over the limits, and write each
request once.
"""

import asyncio
import re
from collections.abc import Callable
from contextvars import ContextVar
from types import TracebackType

from aiosonic.connection import Connection
from aiosonic.exceptions import ConnectionDisconnected, HttpParsingError

MAX_HEAD_BYTES = 65_536
MAX_HTTP_CHUNK_BYTES = 8_388_608
LINE_END = b"\r\n"
BLANK_LINES = (LINE_END, b"\n")
# The statuses of HTTP have three digits and begin with 1 to 5.
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\r\n]*)?\r?\n")


class OverlongError(Exception):
    """The head or a chunk of an answer is longer than its limit."""


class ResendError(ConnectionError):
    """The library was about to send a request a second time."""


class WithheldError(ConnectionError):
    """The caller's `may_write` forbade writing the request."""


def _always_allow() -> bool:
    return True


class SendState:
    """Records whether and on which connection a request was written.

    `is_sent` becomes true before the first byte is written, so a
    request that failed without it has certainly reached no upstream.
    `may_write` is called right before that, with the connection open.
    """

    def __init__(self, may_write: Callable[[], bool] = _always_allow) -> None:
        self.may_write = may_write
        self.is_sent = False
        self.connection: Connection | None = None
        self.writer: asyncio.StreamWriter | None = None

    @property
    def is_reused(self) -> bool:
        """Return whether the connection served an earlier request."""
        return self.connection is not None and self.connection.reused

    def keep_out_of_pool(self) -> None:
        """Have the connection closed after the answer, not reused."""
        if isinstance(self.connection, StrictConnection):
            self.connection.is_poolable = False


# Passes the state of a request through the library to its connection.
SEND_STATE: ContextVar[SendState | None] = ContextVar("sending", default=None)


class StrictConnection(Connection):  # type: ignore[misc]
    """A connection that is reused only after a complete answer."""

    is_answer_pending = False
    is_poolable = True
    head_bytes = 0

    def write(self, data: bytes) -> None:
        """Write a part of a request."""
        self.is_answer_pending = True
        send_state = SEND_STATE.get()
        # The library may reconnect this object, which gives it a new
        # writer, to resend a request.
        if send_state is not None and send_state.writer is not self.writer:
            if send_state.is_sent:
                raise ResendError("the library tried to resend a request")
            if not send_state.may_write():
                raise WithheldError("may_write forbade the request")
            send_state.is_sent = True
            send_state.connection = self
            send_state.writer = self.writer
            self.is_poolable = True
            self.head_bytes = 0
        super().write(data)

    async def readuntil(self) -> bytes:
        """Return the status line of an answer.

        The library takes the leading digits of any script for a status,
        however many they are.
        """
        line: bytes = await super().readuntil()
        if not STATUS_LINE.fullmatch(line):
            raise HttpParsingError("the status line is not that of HTTP")
        return line

    async def readline(self) -> bytes:
        """Return a line of the head or of the chunk framing."""
        line: bytes = await super().readline()
        if not line.endswith(b"\n"):
            raise ConnectionDisconnected
        if self.blocked:
            return line
        self.head_bytes += len(line)
        if self.head_bytes > MAX_HEAD_BYTES:
            raise OverlongError("the head is over its size limit")
        if b":" not in line and line not in BLANK_LINES:
            raise HttpParsingError("a header line has no colon")
        return line

    async def readexactly(self, size: int) -> bytes:
        """Return `size` bytes of the body, with a chunk's line end."""
        if size > MAX_HTTP_CHUNK_BYTES:
            raise OverlongError("a part of the body is over its size limit")
        if size < 0:
            raise HttpParsingError("the length of a body or chunk is negative")
        data: bytes = await super().readexactly(size)
        if self.blocked and not data.endswith(LINE_END):
            raise HttpParsingError(
                "a chunk does not end at its declared length"
            )
        return data

    def ensure_released(self, response_read: bool = True) -> None:
        """Record whether the answer was read to its last byte."""
        self.is_answer_pending = not response_read
        super().ensure_released(response_read)

    def release(self) -> None:
        """Return to the pool, closed if the answer is incomplete."""
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
        """Close the connection after any error or cancellation."""
        if error_type is not None:
            self.keep = False
            self.close()
        await super().__aexit__(error_type, error, traceback)


class UnpooledConnection(StrictConnection):
    """A connection that serves one request."""

    def release(self) -> None:
        """Close the connection, even after a complete answer."""
        self.is_poolable = False
        super().release()


def is_truncation(error: BaseException) -> bool:
    """Return whether an error means that an answer was truncated."""
    return isinstance(
        error, asyncio.IncompleteReadError | ConnectionDisconnected | OSError
    )
