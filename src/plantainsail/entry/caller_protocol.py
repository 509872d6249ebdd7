"""HTTP connections of callers, with a time limit for request heads."""

import asyncio
import select

import h11
from starlette.applications import Starlette
from uvicorn.protocols.http.h11_impl import H11Protocol

from plantainsail.entry.node import EntryNode


class CallerProtocol(H11Protocol):
    """Closes connections whose request heads arrive too slowly.

    The time limit starts with the first bytes of a head, so that a
    connection may stay idle between two requests.
    """

    head_timer: asyncio.TimerHandle | None = None

    @property
    def is_new(self) -> bool:
        """Return whether the caller has not sent any request yet."""
        return self.cycle is None

    @property
    def is_in_request(self) -> bool:
        """Return whether a request is being received or answered."""
        if self.cycle is not None and not self.cycle.response_complete:
            return True
        return self.head_timer is not None or self._has_unread_bytes()

    def shutdown(self) -> None:
        """Close the connection if it is idle, else after its request.

        Closing it with unread bytes would reset it, and the caller of
        the request among them would get no answer.  A new connection
        was opened for a request, so it stays open for that.
        """
        if not self.is_new and not self.is_in_request:
            super().shutdown()
        elif self.cycle is not None and not self.cycle.response_complete:
            self.cycle.keep_alive = False

    def _has_unread_bytes(self) -> bool:
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return bool(poll.poll(0))

    @property
    def node(self) -> EntryNode:
        """Return the shared state of this daemon."""
        app = self.config.app
        assert isinstance(app, Starlette)
        node: EntryNode = app.state.node
        return node

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the head's timer."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse bytes; stop the timer once a head is complete."""
        super().data_received(data)
        if self.conn.their_state is not h11.IDLE:
            self._stop_head_timer()
        elif self.head_timer is None:
            self.head_timer = self.loop.call_later(
                self.node.caller_limits().header_s, self._close_slow_connection
            )

    def _stop_head_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _close_slow_connection(self) -> None:
        self.node.log.info("request head timed out", client=str(self.client))
        self.transport.close()
