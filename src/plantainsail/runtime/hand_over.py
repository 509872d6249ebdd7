"""Hands streams over to other daemons before this one stops."""

from plantainsail.membership.view import PeerState
from plantainsail.results import Code, Failure
from plantainsail.runtime.live_streams import LiveStream
from plantainsail.runtime.node import Node

HANDED_OVER = Failure(
    Code.STREAM_HANDED_OVER,
    "the daemon leaves; continue the stream with Last-Event-ID on another",
    1.0,
)


def hand_over_streams(node: Node) -> int:
    """End the streams that callers can resume at another daemon.

    Their generations continue on the engines, where the daemon that a
    caller asks next takes them over.  Returns the number of streams,
    which is 0 if no other daemon could take over.
    """
    if not _has_successor(node):
        return 0
    count = 0
    for stream in node.streams.running():
        if not _is_resumable(node, stream):
            continue
        count += 1
        # From here on this daemon must not cancel it at its engine.
        stream.mark_taken_over()
        stream.end(HANDED_OVER, node.now_s())
        if stream.task is not None:
            stream.task.cancel()
        node.streams.forget(stream)
        node.metrics.streams.labels("handed_over").inc()
    return count


def _has_successor(node: Node) -> bool:
    return any(
        peer.state is PeerState.ALIVE and not peer.is_draining
        for peer in node.peers.peers(node.now_s())
    )


def _is_resumable(node: Node, stream: LiveStream) -> bool:
    """Return whether the caller can and will resume the stream."""
    if not stream.can_resume or stream.is_unstreamed:
        return False
    if not stream.is_delivered or stream.engine is None:
        return False
    entry = node.store.hosts.hosts.get(stream.engine.host)
    return entry is not None and entry.incarnation == stream.engine.incarnation
