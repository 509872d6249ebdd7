"""Counts and logs what the pool of callers' connections does."""

from plantainsail.entry.node import EntryNode
from plantainsail.policy.caller_budget import CloseReason, ConnectionUse


class CallerObserver:
    """Writes metrics and log lines on callers' connections."""

    def __init__(self, node: EntryNode) -> None:
        self.node = node

    def record_closed(
        self, reason: CloseReason, client: str, use: ConnectionUse
    ) -> None:
        """Record that a connection is closed by a limit."""
        self.node.metrics.caller_closes.labels(reason.name.lower()).inc()
        self.node.log.warning(
            "caller connection closed",
            client=client,
            reason=reason.value,
            held_bytes=use.held_bytes,
            stalled_ms=int(use.stalled_s * 1000),
            after_answer=use.is_protected,
        )

    def record_refused(self, client: str, connections: int) -> None:
        """Record that a new connection is refused."""
        self.node.metrics.caller_refusals.inc()
        self.node.log.warning(
            "caller connection refused",
            client=client,
            connections=connections,
        )

    def record_use(self, connections: int, held_bytes: int) -> None:
        """Show how many connections there are, and what they hold."""
        self.node.metrics.caller_connections.set(connections)
        self.node.metrics.caller_held_bytes.set(held_bytes)
