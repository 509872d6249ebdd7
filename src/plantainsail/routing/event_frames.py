"""Splits a stream of server-sent events into complete events.

Only complete events are passed on, so that a stream which continues
from another engine switches between two events.
"""

from typing import NamedTuple

# The byte sequences that end a server-sent event.
BLANK_LINES = (b"\n\n", b"\r\n\r\n")
MAX_BLANK_LINE_BYTES = 4
MAX_EVENT_BYTES = 262_144


class EventTooLongError(Exception):
    """An event is longer than `MAX_EVENT_BYTES`."""


class Frame(NamedTuple):
    """One complete event with the blank line that ends it.

    `event_id` is empty if the event has no `id:` line.  A comment has
    no other lines than those that start with a colon.
    """

    data: bytes
    event_id: bytes
    is_comment: bool = False


class EventFrames:
    """Parses complete events from data that arrives in pieces.

    `rest` holds the bytes of the event that is still incomplete, of
    which the first `searched_bytes` contain no end.
    """

    def __init__(self) -> None:
        self.rest = bytearray()
        self.searched_bytes = 0

    def feed(self, data: bytes) -> list[Frame]:
        """Add received data; return the events that it completes.

        Raises `EventTooLongError` if the incomplete event is too long.
        """
        self.rest += data
        frames: list[Frame] = []
        while True:
            end = _end_of_event(self.rest, self.searched_bytes)
            if end < 0:
                break
            frames.append(_make_frame(bytes(self.rest[:end])))
            del self.rest[:end]
            self.searched_bytes = 0
        if len(self.rest) > MAX_EVENT_BYTES:
            raise EventTooLongError
        self.searched_bytes = max(0, len(self.rest) - MAX_BLANK_LINE_BYTES)
        return frames


def _end_of_event(data: bytearray, searched_bytes: int) -> int:
    """Return where the first event ends, -1 if it is incomplete."""
    ends: list[int] = []
    for blank in BLANK_LINES:
        start = data.find(blank, searched_bytes)
        if start >= 0:
            ends.append(start + len(blank))
    return min(ends) if ends else -1


def _make_frame(data: bytes) -> Frame:
    is_comment = True
    for line in data.splitlines():
        if line.startswith(b"id:"):
            return Frame(data, line[3:].strip())
        if line and not line.startswith(b":"):
            is_comment = False
    return Frame(data, b"", is_comment)
