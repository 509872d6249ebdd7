"""HTTP connections that hold a limited number of their client's bytes.

The HTTP library reads again whenever a request's body is awaited or a
request ends, also while other requests wait to be parsed.  A client
that sends ahead and takes no answers would thus fill the memory.  Here
a connection is not read while enough bytes wait to be parsed, and the
next request is not begun while answers wait to be taken.
"""

import asyncio
import random
import socket
import struct
from typing import Any, NamedTuple

import h11
from starlette.applications import Starlette
from starlette.responses import Response
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.h11_impl import H11Protocol

from plantainsail.api.connection_pool import ConnectionPool
from plantainsail.api.responses import failure_response
from plantainsail.buffers import BufferShare
from plantainsail.policy.caller_budget import CallerBudget, ConnectionUse
from plantainsail.results import Code, Failure

# The key of the connection in the state of a request's scope.
CONNECTION = "plantainsail.connection"
MIN_RETRY_AFTER_S = 1.0
RETRY_AFTER_SPREAD_S = 4.0
# What a client sends after its last answer is dropped for so long.
REFUSAL_READ_S = 1.0
HTTP_BAD_REQUEST = 400
PLAIN_TEXT = "text/plain"
# The client's state once it may send nothing more.
ENDED_STATES = (h11.MUST_CLOSE, h11.CLOSED, h11.ERROR)
# The position of `tcpi_bytes_acked` in the kernel's `tcp_info`.
TCP_INFO_BYTES = 128
BYTES_ACKED = struct.Struct("=120xQ")


class ReadingControl(FlowControl):
    """Flow control that can hold the reading of a connection."""

    is_held = False

    def pause_reading(self) -> None:
        """Stop reading, whatever the transport was told directly."""
        self.read_paused = True
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again unless reading is held."""
        if self.is_held:
            return
        self.read_paused = False
        self._transport.resume_reading()

    def hold(self) -> None:
        """Stop reading until `release`."""
        self.is_held = True
        self.pause_reading()

    def release(self) -> None:
        """End a hold; a request that is read to its end resumes."""
        if self.is_held:
            self.is_held = False
            self.resume_reading()


class Progress(NamedTuple):
    """How many bytes a client had taken, and since when."""

    taken_bytes: int
    since_s: float


class BoundedConnection(H11Protocol):
    """Holds a limited number of bytes that are not parsed or taken."""

    pool: ConnectionPool
    flow: ReadingControl
    is_deferred = False
    is_ending = False
    is_refused = False
    refusal_timer: asyncio.TimerHandle | None = None
    # Set while a request that may not be repeated may be run.
    is_unrepeatable = False
    unparsed_bytes = 0
    active_s = 0.0
    progress: Progress | None = None
    share: BufferShare | None = None

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.app_state = {**self.app_state, CONNECTION: self}

    @property
    def client_address(self) -> str:
        """Return the client's IP number."""
        return self.client[0] if self.client else ""

    @property
    def budget(self) -> CallerBudget:
        """Return the limits in force."""
        return self.pool.budget

    @property
    def is_answering(self) -> bool:
        """Return whether the answer to a request is in progress."""
        return self.cycle is not None and not self.cycle.response_complete

    @property
    def is_reading_head(self) -> bool:
        """Return whether the head of a request is awaited."""
        return self.conn.their_state is h11.IDLE and not self.is_deferred

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Admit the connection or refuse it."""
        super().connection_made(transport)
        app = self.config.app
        assert isinstance(app, Starlette)
        self.pool = app.state.pool
        self.flow = ReadingControl(transport)
        self.active_s = self.loop.time()
        # The transport of asyncio reads up to 256 KB at once.
        transport.max_size = self.budget.read_bytes  # type: ignore[attr-defined]
        if self.pool.admit(self):
            return
        if self.pool.may_refuse(self):
            self.refuse_and_close(_refusal())
        else:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds."""
        self.pool.remove(self)
        super().connection_lost(exc)
        self.app_state = {}
        if self.refusal_timer is not None:
            self.refusal_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse bytes, or drop those after the last request."""
        self.active_s = self.loop.time()
        if self.is_refused or self.conn.their_state in ENDED_STATES:
            return
        super().data_received(data)
        self.pool.note_bytes(len(data))

    def handle_events(self) -> None:
        """Parse what was read, unless answers wait to be taken."""
        self.is_deferred = self._is_between_requests() and (
            self.flow.write_paused
        )
        if not self.is_deferred:
            super().handle_events()
        self._limit_reading()

    def resume_writing(self) -> None:
        """Parse the next request once the answers were taken."""
        super().resume_writing()
        if self.is_deferred and not self.transport.is_closing():
            self.handle_events()

    def on_response_complete(self) -> None:
        """Count an answer that was not taken at once."""
        self.active_s = self.loop.time()
        self.is_unrepeatable = False
        super().on_response_complete()
        unwritten_bytes = self.transport.get_write_buffer_size()
        if unwritten_bytes:
            self.pool.note_bytes(unwritten_bytes)

    def send_400_response(self, msg: str) -> None:
        """Refuse a malformed request, or close during an answer."""
        if self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response = Response(msg, HTTP_BAD_REQUEST, media_type=PLAIN_TEXT)
            self.refuse_and_close(encode_refusal(response))
        else:
            self.transport.close()

    def refuse_and_close(self, answer: bytes) -> None:
        """Send a last answer, and drop what the client still sends.

        Closing at once with unread bytes would reset the connection,
        and the client would not get the answer.
        """
        if self.is_refused or self.transport.is_closing():
            return
        self.is_refused = True
        self.transport.write(answer)
        self.transport.write_eof()
        self.flow.release()
        self.flow.resume_reading()
        self.refusal_timer = self.loop.call_later(
            REFUSAL_READ_S, self.transport.close
        )

    def measure(self, now_s: float) -> ConnectionUse:
        """Return what the connection holds."""
        unwritten_bytes = self.transport.get_write_buffer_size()
        held_bytes = self.unparsed_bytes + unwritten_bytes
        if self.is_answering:
            held_bytes += len(self.cycle.body)
        if self.share is not None:
            held_bytes += self.share.held_bytes
        is_idle = not self.is_answering and not unwritten_bytes
        return ConnectionUse(
            held_bytes,
            self._stalled_s(unwritten_bytes, now_s),
            now_s - self.active_s if is_idle else 0.0,
            self.client_address,
            self.is_deferred
            or (self.is_answering and self.unparsed_bytes > 0),
            self._is_protected(),
        )

    def end(self) -> None:
        """Close the connection at once."""
        self.transport.abort()

    def end_after_answer(self) -> bool:
        """Close after the present request; return if that is new."""
        is_new = not self.is_ending
        self.is_ending = True
        self.cycle.keep_alive = False
        return is_new

    def _is_between_requests(self) -> bool:
        return self.conn.their_state is h11.IDLE

    def _is_protected(self) -> bool:
        if not self.is_unrepeatable or not self.is_answering:
            return False
        return not self.cycle.response_started

    def _limit_reading(self) -> None:
        """Stop reading while enough bytes wait for another request.

        An incomplete head or body is read on.
        """
        self.unparsed_bytes = len(self.conn.trailing_data[0])
        is_ahead = self.is_deferred or self.conn.their_state is h11.DONE
        if is_ahead and self.unparsed_bytes >= self.budget.ahead_bytes:
            self.flow.hold()
        else:
            self.flow.release()

    def _stalled_s(self, unwritten_bytes: int, now_s: float) -> float:
        """Return the time since the client took any byte."""
        if not unwritten_bytes:
            self.progress = None
            return 0.0
        sock = self.transport.get_extra_info("socket")
        taken_bytes = acknowledged_bytes(sock, -unwritten_bytes)
        if self.progress is None or self.progress.taken_bytes != taken_bytes:
            self.progress = Progress(taken_bytes, now_s)
        return now_s - self.progress.since_s


def acknowledged_bytes(sock: socket.socket, default: int) -> int:
    """Return how many bytes the peer's kernel has acknowledged.

    `default` is returned where the kernel does not tell.
    """
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except OSError:
        return default
    if len(info) < BYTES_ACKED.size:
        return default
    count: int = BYTES_ACKED.unpack_from(info)[0]
    return count


def encode_refusal(response: Response) -> bytes:
    """Return the bytes of an answer that closes its connection."""
    head = [f"HTTP/1.1 {response.status_code} Refused\r\n".encode()]
    for name, value in response.raw_headers:
        head.append(name + b": " + value + b"\r\n")
    head.append(b"connection: close\r\n\r\n")
    return b"".join(head) + bytes(response.body)


def _refusal() -> bytes:
    retry_after_s = MIN_RETRY_AFTER_S + RETRY_AFTER_SPREAD_S * random.random()
    failure = Failure(
        Code.TOO_MANY_CONNECTIONS, "too many connections", retry_after_s
    )
    return encode_refusal(failure_response(failure))
