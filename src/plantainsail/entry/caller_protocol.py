"""HTTP connections of callers, with a time limit for request heads."""

import asyncio

from starlette.applications import Starlette

from plantainsail.api.draining_http import DrainingProtocol
from plantainsail.entry.node import EntryNode


class CallerProtocol(DrainingProtocol):
    """Closes connections whose request heads arrive too slowly.

    The time limit starts with the first bytes of a head, so that a
    connection may stay idle between two requests.
    """

    head_timer: asyncio.TimerHandle | None = None

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
        if not self.is_reading_head:
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
