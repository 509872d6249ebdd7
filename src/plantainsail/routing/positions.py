"""Whether an event of a stream is the next one.

Events carry increasing identifiers.  The step between two of them is
learned from the first pair; after a join of two connections a smaller
one was delivered already, and a larger one shows that some are
missing.
"""

from enum import Enum, auto


class EventContinuity(Enum):
    """What an event is to its stream."""

    NEXT = auto()
    REPEATED = auto()
    GAP = auto()


class EventPositions:
    """Follows the identifiers of one stream."""

    def __init__(self) -> None:
        self.count = 0
        self.last_id = b""
        self.step: int | None = None

    def classify(self, event_id: bytes) -> EventContinuity:
        """Return what an event is, and count it if it is the next."""
        if not event_id.isdigit() or not self.last_id.isdigit():
            return self._accept(event_id)
        step = int(event_id) - int(self.last_id)
        if step <= 0:
            return EventContinuity.REPEATED
        if self.step is None:
            self.step = step
        if step != self.step:
            return EventContinuity.GAP
        return self._accept(event_id)

    def _accept(self, event_id: bytes) -> EventContinuity:
        self.count += 1
        if event_id:
            self.last_id = event_id
        return EventContinuity.NEXT
