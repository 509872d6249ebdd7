"""Limits on the time and size of a request's head.

A head is the request line and the headers.  The HTTP library limits
its size; this module adds a time limit and answers a head that breaks
a limit with the result codes of this project.
"""

import asyncio
import sys

from starlette.applications import Starlette

from plantainsail.api.bounded_connection import encode_refusal
from plantainsail.api.draining_http import DrainingProtocol
from plantainsail.api.responses import failure_response
from plantainsail.results import Code, Failure
from plantainsail.runtime.node import Node

HTTP_HEADERS_TOO_LARGE = 431


class BoundedHttpProtocol(DrainingProtocol):
    """Closes connections whose request heads are late or too large.

    The time limit is `body_s`, as for bodies.  It starts when the
    connection opens, or with the first byte after a response.
    """

    head_timer: asyncio.TimerHandle | None = None

    @property
    def node(self) -> Node:
        """Return the node of the application that is served."""
        app = self.config.app
        assert isinstance(app, Starlette)
        node: Node = app.state.node
        return node

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Start the timer for the first head of the connection."""
        super().connection_made(transport)
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; a complete head stops the timer."""
        self._start_timer()
        super().data_received(data)
        if not self.is_reading_head:
            self._stop_timer()

    def send_400_response(self, msg: str) -> None:
        """Refuse a head that is too large or could not be parsed."""
        error = sys.exc_info()[1]
        hint = getattr(error, "error_status_hint", None)
        if hint == HTTP_HEADERS_TOO_LARGE:
            self._refuse(Failure(Code.HEADERS_TOO_LARGE, "headers too long"))
            return
        self._refuse(Failure(Code.MALFORMED_BODY, "not a request of HTTP"))

    def _start_timer(self) -> None:
        if self.head_timer is not None:
            return
        self.head_timer = self.loop.call_later(
            self.node.settings.time_limits.body_s, self._refuse_late_head
        )

    def _stop_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _refuse_late_head(self) -> None:
        self._refuse(Failure(Code.BODY_TIMEOUT, "the request came too late"))

    def _refuse(self, failure: Failure) -> None:
        self.node.metrics.count_failure(failure)
        self.refuse_and_close(encode_refusal(failure_response(failure)))
