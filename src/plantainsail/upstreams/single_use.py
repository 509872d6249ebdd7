"""HTTP connections to upstreams that carry one request each.

An answer on such a connection can't belong to another request, and a
request that was never written certainly did not run.  Answers are
parsed with `h11`, which, unlike the pooled client, distinguishes a
complete body from a truncated one.
"""

import asyncio
import socket
from enum import StrEnum
from typing import Any, NamedTuple

import h11

from plantainsail.buffers import BufferShare, OverQuotaError
from plantainsail.settings import split_address

# The most data that is parsed before other tasks run.
READ_BYTES = 8_192
# The most that is received at once; up to three times as much is held
# until it is read.
RECEIVE_BYTES = 16_384
CLOSED_EARLY = "connection closed early"
ABORTED_HERE = "connection aborted by this daemon"
MAX_HEAD_BYTES = 65_536
MAX_INTERIM_ANSWERS = 16
# Bounds the time to parse all heads of one answer.
MAX_HEADS_BYTES = 131_072
LAST_STATUS = 599
NO_CONTENT = 204
BODILESS_STATUSES = frozenset({NO_CONTENT, 304})
# TCP keepalive probes detect a peer that vanished without closing.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

Headers = list[tuple[bytes, bytes]]


class OutgoingRequest(NamedTuple):
    """The parts of one HTTP request."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """Return a header's first value; `name` is in lower case."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


class AnswerHead(NamedTuple):
    """An answer's status and headers, with names in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return first_value(self.headers, name)

    @property
    def contradicts_status(self) -> bool:
        """Return whether the head announces a body that can't follow.

        Of the statuses without a body, only 304 may tell the length of
        one, that of the answer which the caller has already.
        """
        if self.status != NO_CONTENT:
            return False
        if self.get(b"transfer-encoding") is not None:
            return True
        return self.get(b"content-length") not in (None, b"0")

    @property
    def ends_with_connection(self) -> bool:
        """Return whether the body has neither a length nor chunks.

        Such a body ends where its connection does, also where the
        upstream's process ends.
        """
        if self.status in BODILESS_STATUSES:
            return False
        if self.get(b"content-length") is not None:
            return False
        return self.get(b"transfer-encoding") is None


class ConnectProblem(StrEnum):
    """Why an upstream can't be reached."""

    NO_PROCESS = "no process"
    UNREACHABLE = "unreachable"


CONNECT_PROBLEMS = frozenset(ConnectProblem)


class ConnectError(ConnectionError):
    """The upstream can't be reached, so nothing was sent."""

    @property
    def is_refused(self) -> bool:
        """Return whether the host refused, as no process listens."""
        return isinstance(self.__cause__, ConnectionRefusedError)

    @property
    def problem(self) -> ConnectProblem:
        """Return why the connection failed."""
        if self.is_refused:
            return ConnectProblem.NO_PROCESS
        return ConnectProblem.UNREACHABLE


class CutShortError(ConnectionError):
    """The answer is incomplete or not valid HTTP."""


class SingleUseConnection:
    """A connection for one request and its answer."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.is_aborted = False
        self.received_bytes = 0
        self.may_hold_more = False

    @classmethod
    async def open(
        cls, address: str, connect_s: float
    ) -> "SingleUseConnection":
        """Connect within `connect_s`, or raise `ConnectError`."""
        ip, port = split_address(address)
        try:
            async with asyncio.timeout(connect_s):
                reader, writer = await asyncio.open_connection(
                    ip, port, limit=RECEIVE_BYTES
                )
        except (OSError, TimeoutError) as error:
            raise ConnectError(address) from error
        _enable_keepalive(writer)
        _limit_receive_size(writer)
        return cls(reader, writer)

    def send(self, request: OutgoingRequest) -> None:
        """Buffer a whole request for writing, without waiting."""
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
        """Return the head of the final answer, skipping 1xx answers.

        Raises `CutShortError` if there is none after
        `MAX_INTERIM_ANSWERS` or `MAX_HEADS_BYTES`.
        """
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                if self.received_bytes > MAX_HEADS_BYTES:
                    break
                continue
            if isinstance(event, h11.Response):
                if event.status_code > LAST_STATUS:
                    # No answer to the caller can have such a status.
                    raise CutShortError("unknown status")
                head = AnswerHead(event.status_code, list(event.headers))
                if head.contradicts_status:
                    raise CutShortError("a body where there can be none")
                return head
            break
        raise CutShortError("no answer")

    async def read_piece(self) -> bytes | None:
        """Return the next part of the body, or None at its end.

        Raises `CutShortError` if the answer ends before that.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise CutShortError("the answer was cut short")

    async def read_body(
        self, limit_bytes: int, share: BufferShare | None = None
    ) -> bytes:
        """Return the whole body of an answer.

        Raises `CutShortError` if it exceeds `limit_bytes`, or what is
        left of the quota of `share`.
        """
        body = bytearray()
        while True:
            piece = await self.read_piece()
            if piece is None:
                return bytes(body)
            body += piece
            if len(body) > limit_bytes:
                raise CutShortError("the answer is too long")
            if share is not None:
                _take(share, len(piece))

    async def _next_event(self) -> object:
        is_closed = False
        while True:
            try:
                event = self.http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self._read()
                is_closed = not data
                self.http.receive_data(data)
            except h11.ProtocolError as error:
                problem = CLOSED_EARLY if is_closed else "not HTTP"
                raise CutShortError(problem) from error

    async def _read(self) -> bytes:
        """Return the next bytes, or none at the end of the connection.

        Raises `CutShortError` if this daemon or a reset ended it.  The
        reader returns bytes that it holds without waiting, so an
        upstream that sends fast would keep all other tasks from
        running.
        """
        if self.may_hold_more:
            await asyncio.sleep(0)
        try:
            data = await self.reader.read(READ_BYTES)
        except OSError as error:
            raise CutShortError("connection reset") from error
        if not data and self.is_aborted:
            # The reader sees this daemon's own abort as the end of the
            # connection, which would end a body without a length as a
            # complete one.
            raise CutShortError(ABORTED_HERE)
        self.may_hold_more = len(data) == READ_BYTES
        self.received_bytes += len(data)
        return data

    def abort(self) -> None:
        """Close at once, so that the upstream stops its work.

        A pending read raises `CutShortError`.
        """
        self.is_aborted = True
        self.writer.transport.abort()

    async def close(self) -> None:
        """Close at once, and return when the socket is closed."""
        self.abort()
        try:
            await self.writer.wait_closed()
        except OSError:
            # The upstream had reset the connection before.
            return


def _take(share: BufferShare, count: int) -> None:
    try:
        share.take(count)
    except OverQuotaError as error:
        raise CutShortError(str(error)) from error


def _limit_receive_size(writer: asyncio.StreamWriter) -> None:
    """Receive little at once, so that unread bytes take little memory.

    A transport receives up to 256 KB at once by default.
    """
    transport: Any = writer.transport
    transport.max_size = RECEIVE_BYTES


def _enable_keepalive(writer: asyncio.StreamWriter) -> None:
    sock: socket.socket = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
