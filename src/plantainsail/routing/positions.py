"""Detects repeated and missing events in a stream.

Events carry increasing identifiers, and the first two show the step
between them.  When a stream continues on a second connection, an event
with a smaller identifier than expected was already delivered, and one
with a larger identifier shows that events are missing.
"""

from enum import Enum, auto


class EventContinuity(Enum):
    """How an event relates to the events before it."""

    NEXT = auto()
    REPEATED = auto()
    GAP = auto()


# Python converts no number with very many digits.
MAX_ID_DIGITS = 20


def _is_number(event_id: bytes) -> bool:
    return event_id.isdigit() and len(event_id) <= MAX_ID_DIGITS


class EventPositions:
    """Tracks the event identifiers of one stream.

    `count` is the number of events that were accepted, `last_id` the
    identifier of the last of them, and `step` the difference between
    two identifiers, or None before it is known.
    """

    def __init__(self) -> None:
        self.count = 0
        self.last_id = b""
        self.step: int | None = None

    def classify(self, event_id: bytes) -> EventContinuity:
        """Classify an event, and count it if it is the next one.

        In a stream whose events have no numeric identifiers, each
        counts as the next one.  After a numeric identifier, an event
        without one does not belong to the stream.
        """
        if not _is_number(self.last_id):
            return self._accept(event_id)
        if not _is_number(event_id):
            return EventContinuity.GAP
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
