"""Hands streams over to the other daemons when this one must go."""

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
    """End the streams that callers can continue elsewhere.

    Their engines go on; whichever daemon is asked for the rest takes
    it from there.  Return how many there were, which is none while no
    other daemon could be asked.
    """
    if not _has_successor(node):
        return 0
    count = 0
    for stream in node.streams.running():
        if not _is_resumable(node, stream):
            continue
        count += 1
        # Nobody here may cancel it at its engine any more.
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
    """Return whether the caller can and will continue the stream."""
    if not stream.can_resume or stream.is_unstreamed:
        return False
    if not stream.is_delivered or stream.engine is None:
        return False
    entry = node.store.hosts.hosts.get(stream.engine.host)
    return entry is not None and entry.incarnation == stream.engine.incarnation
