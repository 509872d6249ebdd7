"""Detects repeated and missing events in a stream.

Events carry increasing identifiers, and the first two show the step
between them.  When a stream continues on a second connection, an event
with a smaller identifier than expected was already delivered, and one
with a larger identifier shows that events are missing.

If a stream is joined before its step is known, the first event of the
second connection may come after missing ones.  It is then unproven
until the event after it shows the same step.
"""

from enum import Enum, auto


class EventContinuity(Enum):
    """How an event relates to the events before it."""

    NEXT = auto()
    REPEATED = auto()
    GAP = auto()
    UNPROVEN = auto()


# Python converts no number with very many digits.
MAX_ID_DIGITS = 20


def _is_number(event_id: bytes) -> bool:
    return event_id.isdigit() and len(event_id) <= MAX_ID_DIGITS


class EventPositions:
    """Tracks the event identifiers of one stream.

    `count` is the number of events that were accepted, `last_id` the
    identifier of the last of them, and `step` the difference between
    two identifiers, or None before it is known.  `unproven_id` is the
    identifier of an event after a join whose step is not known yet.

    A stream that continues one which the caller read before starts
    after that one's `last_id`.
    """

    def __init__(self, last_id: bytes = b"") -> None:
        self.count = 0
        self.last_id = last_id if _is_number(last_id) else b""
        self.step: int | None = None
        self.unproven_id = b""
        self.is_join_unproven = _is_number(self.last_id)

    @property
    def can_resume(self) -> bool:
        """Return whether another connection can go on from here.

        Without numeric identifiers, a repeated or missing event would
        not be noticed.
        """
        return not self.count or _is_number(self.last_id)

    def join(self) -> None:
        """Prepare for the events of another connection."""
        self.unproven_id = b""
        self.is_join_unproven = self.step is None and _is_number(self.last_id)

    def accept_unproven(self) -> None:
        """Count an unproven event that was the stream's last one."""
        if self.unproven_id:
            self._accept(self.unproven_id)
            self.unproven_id = b""

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
        if self.is_join_unproven:
            return self._prove_step(event_id)
        if self.step is None:
            self.step = step
        if step != self.step:
            return EventContinuity.GAP
        return self._accept(event_id)

    def _prove_step(self, event_id: bytes) -> EventContinuity:
        """Classify one of the first two new events after a join."""
        if not self.unproven_id:
            self.unproven_id = event_id
            return EventContinuity.UNPROVEN
        step = int(self.unproven_id) - int(self.last_id)
        new_step = int(event_id) - int(self.unproven_id)
        if new_step <= 0:
            return EventContinuity.REPEATED
        if new_step != step:
            return EventContinuity.GAP
        self.accept_unproven()
        self.step = step
        self.is_join_unproven = False
        return self._accept(event_id)

    def _accept(self, event_id: bytes) -> EventContinuity:
        self.count += 1
        if event_id:
            self.last_id = event_id
        return EventContinuity.NEXT
