"""The connections of one listener, within a budget that they share.

`policy.caller_budget` decides which connections are closed.
"""

import asyncio
from typing import Protocol

from plantainsail.policy.caller_budget import (
    CallerBudget,
    CloseReason,
    ConnectionUse,
    choose_closings,
    choose_idle,
)

SWEEP_INTERVAL_S = 0.25
# The pool is swept early once this part of its bytes was received.
SWEEP_PART = 8


class PoolObserver(Protocol):
    """Counts and logs what a pool does."""

    def record_closed(
        self, reason: CloseReason, client: str, use: ConnectionUse
    ) -> None:
        """Record that a connection was closed by the pool."""

    def record_refused(self, client: str, connections: int) -> None:
        """Record that a new connection was refused."""

    def record_use(self, connections: int, held_bytes: int) -> None:
        """Record how many connections there are, and what they hold."""


class SilentObserver:
    """Records nothing, for a listener that callers do not use."""

    def record_closed(
        self, reason: CloseReason, client: str, use: ConnectionUse
    ) -> None:
        """Ignore a closed connection."""

    def record_refused(self, client: str, connections: int) -> None:
        """Ignore a refused connection."""

    def record_use(self, connections: int, held_bytes: int) -> None:
        """Ignore the connections and bytes in use."""


class PooledConnection(Protocol):
    """A connection as its pool sees it."""

    @property
    def client_address(self) -> str:
        """Return the client's IP number."""

    def measure(self, now_s: float) -> ConnectionUse:
        """Return what the connection holds."""

    def end(self) -> None:
        """Close the connection at once."""

    def end_after_answer(self) -> bool:
        """Close after the present request; return if that is new."""


class ConnectionPool:
    """Admits connections and closes those that hold too much.

    All connections are measured at intervals, and as soon as much was
    received since, so that the bytes held exceed the budget by at most
    a small part.
    """

    def __init__(
        self, budget: CallerBudget, observer: PoolObserver | None = None
    ) -> None:
        self.budget = budget
        self.observer: PoolObserver = observer or SilentObserver()
        self.connections: dict[PooledConnection, None] = {}
        self.refusing: set[PooledConnection] = set()
        self.received_bytes = 0
        self.sweep_bytes = budget.held_bytes // SWEEP_PART
        self.timer: asyncio.TimerHandle | None = None

    def admit(self, connection: PooledConnection) -> bool:
        """Add a connection; return whether it may stay.

        At the limit another one yields to it, or it is refused.
        """
        if len(self.connections) >= self.budget.max_connections:
            self._make_room(connection.client_address)
        if len(self.connections) >= self.budget.max_connections:
            self.observer.record_refused(
                connection.client_address, len(self.connections)
            )
            return False
        self.connections[connection] = None
        if self.timer is None:
            self._start_timer()
        return True

    def may_refuse(self, connection: PooledConnection) -> bool:
        """Return whether a connection stays open for its refusal."""
        if len(self.refusing) >= self.budget.max_refusing:
            return False
        self.refusing.add(connection)
        return True

    def remove(self, connection: PooledConnection) -> None:
        """Remove a connection that is lost."""
        self.connections.pop(connection, None)
        self.refusing.discard(connection)

    def note_bytes(self, count: int) -> None:
        """Count bytes that were received or are still to be taken."""
        self.received_bytes += count
        if self.received_bytes >= self.sweep_bytes:
            self.sweep()

    def sweep(self) -> None:
        """Measure all connections and close those that must yield."""
        self.received_bytes = 0
        connections = list(self.connections)
        uses = self._measure(connections)
        held_bytes = sum(use.held_bytes for use in uses)
        self.observer.record_use(len(uses), held_bytes)
        for closing in choose_closings(uses, self.budget):
            self._close(
                connections[closing.position],
                uses[closing.position],
                closing.reason,
            )

    def _measure(
        self, connections: list[PooledConnection]
    ) -> list[ConnectionUse]:
        now_s = asyncio.get_running_loop().time()
        return [connection.measure(now_s) for connection in connections]

    def _make_room(self, newcomer: str) -> None:
        connections = list(self.connections)
        uses = self._measure(connections)
        index = choose_idle(uses, self.budget, newcomer)
        if index is not None:
            reason = CloseReason.CONNECTIONS
            self._close(connections[index], uses[index], reason)

    def _close(
        self,
        connection: PooledConnection,
        use: ConnectionUse,
        reason: CloseReason,
    ) -> None:
        if use.is_protected:
            if connection.end_after_answer():
                client = connection.client_address
                self.observer.record_closed(reason, client, use)
            return
        self.observer.record_closed(reason, connection.client_address, use)
        self.remove(connection)
        connection.end()

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep_on_timer)

    def _sweep_on_timer(self) -> None:
        self.timer = None
        self.sweep()
        if self.connections:
            self._start_timer()
