"""HTTP connections to upstreams that carry one request each.

Answers can't cross on such a connection, and a request that was never
written surely did not run.  `h11` parses; it tells a body that ended
from one that was cut, which the pooled client does not.
"""

import asyncio
import socket
from typing import NamedTuple

import h11

from plantainsail.settings import split_address

READ_BYTES = 65_536
CLOSED_EARLY = "connection closed early"
MAX_HEAD_BYTES = 65_536
# Keep-alive probes show a connection that went silent for good.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

Headers = list[tuple[bytes, bytes]]


class OutgoingRequest(NamedTuple):
    """One request as it is written."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, by lower-case name."""
    for found, value in headers:
        if found == name:
            return value
    return None


class AnswerHead(NamedTuple):
    """Status and headers of an answer; names are in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return first_value(self.headers, name)


class ConnectError(ConnectionError):
    """The upstream can't be reached; nothing was sent."""

    @property
    def is_refused(self) -> bool:
        """Return whether its host answered that nothing listens."""
        return isinstance(self.__cause__, ConnectionRefusedError)


class CutShortError(ConnectionError):
    """The answer ended before its end, or is not HTTP."""


class SingleUseConnection:
    """One connection that carries one request and its answer."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    @classmethod
    async def open(
        cls, address: str, connect_s: float
    ) -> "SingleUseConnection":
        """Connect, or raise `ConnectError`."""
        ip, port = split_address(address)
        try:
            async with asyncio.timeout(connect_s):
                reader, writer = await asyncio.open_connection(ip, port)
        except (OSError, TimeoutError) as error:
            raise ConnectError(address) from error
        _keep_alive(writer)
        return cls(reader, writer)

    def send(self, request: OutgoingRequest) -> None:
        """Write a whole request; it is buffered, not awaited."""
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=request.headers,
        )
        data = self.http.send(head) or b""
        if request.body:
            data += self.http.send(h11.Data(data=request.body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        self.writer.write(data)

    async def read_head(self) -> AnswerHead:
        """Return the final head, or raise `CutShortError`."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                return AnswerHead(event.status_code, list(event.headers))
            raise CutShortError("no answer")

    async def read_piece(self) -> bytes | None:
        """Return the next part of the body, None at its true end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise CutShortError("the answer was cut short")

    async def _next_event(self) -> object:
        is_closed = False
        while True:
            try:
                event = self.http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self.reader.read(READ_BYTES)
                is_closed = not data
                self.http.receive_data(data)
            except h11.ProtocolError as error:
                problem = CLOSED_EARLY if is_closed else "not HTTP"
                raise CutShortError(problem) from error
            except OSError as error:
                raise CutShortError("connection reset") from error

    def abort(self) -> None:
        """Close at once; the upstream stops working on it."""
        self.writer.transport.abort()


def _keep_alive(writer: asyncio.StreamWriter) -> None:
    sock: socket.socket = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
