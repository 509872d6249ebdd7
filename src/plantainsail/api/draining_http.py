"""HTTP connections that a planned stop closes without losing requests.

Closing a connection with unread bytes resets it, and the caller of the
request among them gets no answer.
"""

import select

from uvicorn.protocols.http.h11_impl import H11Protocol


class DrainingProtocol(H11Protocol):
    """Answers what callers have begun before a connection closes."""

    is_stopping = False

    @property
    def is_new(self) -> bool:
        """Return whether the caller has not sent any request yet."""
        return self.cycle is None

    @property
    def is_in_request(self) -> bool:
        """Return whether a request is being received or answered."""
        if self.cycle is not None and not self.cycle.response_complete:
            return True
        return bool(self.conn.trailing_data[0]) or self._has_unread_bytes()

    def shutdown(self) -> None:
        """Close the connection if it is idle, else after its request.

        A new connection was opened for a request, so it stays open for
        that.
        """
        self.is_stopping = True
        if not self.is_new and not self.is_in_request:
            super().shutdown()
        elif self.cycle is not None and not self.cycle.response_complete:
            self.cycle.keep_alive = False

    def on_response_complete(self) -> None:
        """Close the connection after its last answer."""
        super().on_response_complete()
        if self.is_stopping and not self.transport.is_closing():
            self.shutdown()

    def _has_unread_bytes(self) -> bool:
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return bool(poll.poll(0))
