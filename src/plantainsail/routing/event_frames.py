"""Cuts a stream of server-sent events into whole events.

Only whole events are passed on, so that a stream that goes on from
another engine joins between two events.
"""

from typing import NamedTuple

BLANK_LINES = (b"\n\n", b"\r\n\r\n")


class Frame(NamedTuple):
    """One whole event with its blank line; `event_id` may be empty."""

    data: bytes
    event_id: bytes


class EventFrames:
    """Takes bytes as they come and gives back whole events."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Frame]:
        """Return the events that are whole now."""
        self.rest += data
        frames: list[Frame] = []
        while True:
            end = _end_of_event(self.rest)
            if end < 0:
                return frames
            frames.append(_make_frame(self.rest[:end]))
            self.rest = self.rest[end:]


def _end_of_event(data: bytes) -> int:
    ends: list[int] = []
    for blank in BLANK_LINES:
        at = data.find(blank)
        if at >= 0:
            ends.append(at + len(blank))
    return min(ends) if ends else -1


def _make_frame(data: bytes) -> Frame:
    for line in data.splitlines():
        if line.startswith(b"id:"):
            return Frame(data, line[3:].strip())
    return Frame(data, b"")
