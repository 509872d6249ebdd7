"""Splits a stream of server-sent events into complete events.

Only complete events are passed on, so that a stream which continues
from another engine switches between two events.
"""

import re
from typing import NamedTuple

# One search finds either form of the blank line that ends an event, so
# that each byte is read once.
EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
BLANK_LINES = re.compile(rb"(?:\r?\n)*")
MAX_EVENT_END_BYTES = 4
MAX_EVENT_BYTES = 262_144


class EventTooLongError(Exception):
    """More than `MAX_EVENT_BYTES` came without completing an event."""


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
    which the first `searched_bytes` contain no end.  `idle_bytes`
    counts the bytes of comments and empty lines since the last event.
    """

    def __init__(self) -> None:
        self.rest = bytearray()
        self.searched_bytes = 0
        self.idle_bytes = 0

    def feed(self, data: bytes) -> list[Frame]:
        """Add received data; return the events that it completes.

        Empty lines between events are left out.  Raises
        `EventTooLongError` if too much data completes no event.
        """
        self.rest += data
        frames: list[Frame] = []
        start = self._skip_blank_lines(0)
        search_from = max(start, self.searched_bytes)
        while True:
            end = EVENT_END.search(self.rest, search_from)
            if end is None:
                break
            frame = _make_frame(bytes(self.rest[start : end.end()]))
            frames.append(frame)
            self._count_idle(frame)
            start = self._skip_blank_lines(end.end())
            search_from = start
        del self.rest[:start]
        if self.idle_bytes + len(self.rest) > MAX_EVENT_BYTES:
            raise EventTooLongError
        self.searched_bytes = max(0, len(self.rest) - MAX_EVENT_END_BYTES)
        return frames

    def _skip_blank_lines(self, start: int) -> int:
        """Return where the next event starts."""
        lines = BLANK_LINES.match(self.rest, start)
        assert lines is not None
        self.idle_bytes += lines.end() - start
        return lines.end()

    def _count_idle(self, frame: Frame) -> None:
        if frame.is_comment:
            self.idle_bytes += len(frame.data)
            return
        self.idle_bytes = 0


def _make_frame(data: bytes) -> Frame:
    is_comment = True
    for line in data.splitlines():
        if line.startswith(b"id:"):
            return Frame(data, line[3:].strip())
        if line and not line.startswith(b":"):
            is_comment = False
    return Frame(data, b"", is_comment)
