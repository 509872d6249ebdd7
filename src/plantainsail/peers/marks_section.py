"""The heartbeat section for leaving marks.

Each side sends the marks that the other has not acknowledged, so that
each mark crosses a connection once and a starting daemon learns all
marks.
"""

from plantainsail.identity import Incarnation
from plantainsail.membership.marks import (
    LeavingMark,
    LeavingMarks,
    MarkProgress,
)
from plantainsail.peers.wire.fleet_pb2 import HeartbeatMessage

LOW_32_BITS = 0xFFFF_FFFF


class MarksSection:
    """Sends and receives leaving marks in heartbeats."""

    def __init__(self, marks: LeavingMarks, own: Incarnation) -> None:
        self.marks = marks
        self.own = own
        self.progress: dict[Incarnation, MarkProgress] = {}

    def fill(
        self,
        message: HeartbeatMessage,
        peer: Incarnation | None,
        now_s: float,
    ) -> None:
        """Write the marks that the peer has not acknowledged."""
        progress = self._progress(peer)
        batch = self.marks.next_batch(progress.acknowledged)
        for numbered in batch:
            message.marks.add(
                host=numbered.mark.host,
                incarnation=numbered.mark.incarnation,
            )
        if self.marks.latest:
            message.mark_progress.sent = self.marks.last_covered_number(batch)
            message.mark_progress.latest = self.marks.latest
        if peer is not None and (self.marks.latest or progress.absorbed):
            message.mark_progress.acknowledged = progress.absorbed
            message.mark_progress.acknowledged_nonce = _low_nonce_bits(peer)

    def absorb(
        self, message: HeartbeatMessage, peer: Incarnation, now_s: float
    ) -> None:
        """Add the peer's marks and record its acknowledgements.

        A message for an earlier incarnation of this daemon may omit
        marks that the earlier one knew, so only its marks are used.
        """
        latest_before = self.marks.latest
        for mark in message.marks:
            self.marks.add_mark(
                LeavingMark(mark.host, mark.incarnation), now_s
            )
        progress = self._progress(peer)
        peer_progress = message.mark_progress
        if progress.acknowledged == latest_before:
            progress = progress._replace(acknowledged=self.marks.latest)
        receiver_nonce = peer_progress.acknowledged_nonce
        if receiver_nonce == _low_nonce_bits(self.own):
            acknowledged = max(
                progress.acknowledged, peer_progress.acknowledged
            )
            progress = progress._replace(acknowledged=acknowledged)
        if receiver_nonce in (0, _low_nonce_bits(self.own)):
            progress = progress._replace(
                absorbed=max(progress.absorbed, peer_progress.sent),
                latest=max(progress.latest, peer_progress.latest),
            )
        self.progress[peer] = progress

    def has_marks_for(self, peer: Incarnation | None) -> bool:
        """Return whether a peer may lack a mark of this daemon."""
        return self._progress(peer).acknowledged < self.marks.latest

    def has_all_marks_of(self, peer: Incarnation) -> bool:
        """Return whether this daemon has all marks of a peer."""
        progress = self._progress(peer)
        return progress.absorbed >= progress.latest

    def retain(self, peers: set[Incarnation]) -> None:
        """Drop the progress of all incarnations but `peers`."""
        for peer in list(self.progress):
            if peer not in peers:
                del self.progress[peer]

    def _progress(self, peer: Incarnation | None) -> MarkProgress:
        if peer is None:
            return MarkProgress()
        return self.progress.get(peer, MarkProgress())


def _low_nonce_bits(incarnation: Incarnation) -> int:
    return incarnation.nonce & LOW_32_BITS
