"""Splits a stream of server-sent events into complete events.

Only complete events are passed on, so that a stream which continues
from another engine switches between two events.
"""

from typing import NamedTuple

# The byte sequences that end a server-sent event.
BLANK_LINES = (b"\n\n", b"\r\n\r\n")


class Frame(NamedTuple):
    """One complete event with the blank line that ends it.

    `event_id` is empty if the event has no `id:` line.
    """

    data: bytes
    event_id: bytes


class EventFrames:
    """Parses complete events from data that arrives in pieces.

    `rest` holds the bytes of the event that is still incomplete.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Frame]:
        """Add received data; return the events that it completes."""
        self.rest += data
        frames: list[Frame] = []
        while True:
            end = _end_of_event(self.rest)
            if end < 0:
                return frames
            frames.append(_make_frame(self.rest[:end]))
            self.rest = self.rest[end:]


def _end_of_event(data: bytes) -> int:
    """Return where the first event ends, -1 if it is incomplete."""
    ends: list[int] = []
    for blank in BLANK_LINES:
        start = data.find(blank)
        if start >= 0:
            ends.append(start + len(blank))
    return min(ends) if ends else -1


def _make_frame(data: bytes) -> Frame:
    for line in data.splitlines():
        if line.startswith(b"id:"):
            return Frame(data, line[3:].strip())
    return Frame(data, b"")
