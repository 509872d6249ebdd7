"""HTTP connections that a planned stop closes without losing requests.

Closing a connection with unread bytes resets it, and the caller of the
request among them gets no answer.
"""

import select
import socket
from collections.abc import Iterable

from plantainsail.api.bounded_connection import BoundedConnection


def is_any_readable(sockets: Iterable[socket.socket]) -> bool:
    """Return whether bytes or connections wait in any socket."""
    poll = select.poll()
    for sock in sockets:
        poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


class DrainingProtocol(BoundedConnection):
    """Answers what callers have begun before a connection closes."""

    is_stopping = False

    @property
    def is_new(self) -> bool:
        """Return whether the caller has not sent any request yet."""
        return self.cycle is None

    @property
    def is_in_request(self) -> bool:
        """Return whether a request is being received or answered."""
        if self.is_answering or self.conn.trailing_data[0]:
            return True
        return is_any_readable([self.transport.get_extra_info("socket")])

    def shutdown(self) -> None:
        """Close the connection if it is idle, else after its request.

        A new connection was opened for a request, so it stays open for
        that.
        """
        self.is_stopping = True
        is_idle = not self.is_new and not self.is_in_request
        if self.is_answering or is_idle:
            super().shutdown()

    def on_response_complete(self) -> None:
        """Close the connection after its last answer."""
        super().on_response_complete()
        if self.is_stopping and not self.transport.is_closing():
            self.shutdown()
