"""Reads the events of one connection until it ends or stalls."""

import asyncio

from plantainsail.routing.event_frames import EventFrames, Frame
from plantainsail.upstreams.single_use import (
    CutShortError,
    SingleUseConnection,
)

# An engine that resumes a stream repeats less than this.
MAX_UNUSED_BYTES = 1_048_576


class StalledError(CutShortError):
    """No new event came for too long; reading may be continued."""


class EventReader:
    """Reads events, and ends a stream without new ones.

    It ends after `limit_s` or `MAX_UNUSED_BYTES` without progress.
    Bytes that complete no event are no progress, nor are repeated
    events, so the user of the reader tells it of each new event.  Time
    before that, in which the caller takes the events before, does not
    count as a stall.
    """

    def __init__(
        self, connection: SingleUseConnection, limit_s: float
    ) -> None:
        self.connection = connection
        self.limit_s = limit_s
        self.frames = EventFrames()
        self.progress_at_s = 0.0
        self.stalled_at_s = 0.0
        self.unused_bytes = 0
        self.note_progress()

    def note_progress(self) -> None:
        """Record that a new event has been passed on."""
        self.progress_at_s = asyncio.get_running_loop().time()
        self.stalled_at_s = self.progress_at_s + self.limit_s
        self.unused_bytes = 0

    @property
    def silent_s(self) -> float:
        """Return the time since the last new event was passed on."""
        return asyncio.get_running_loop().time() - self.progress_at_s

    def extend(self, for_s: float) -> None:
        """Go on after a stall, for at most so long."""
        now_s = asyncio.get_running_loop().time()
        self.stalled_at_s = now_s + for_s

    async def read(self) -> list[Frame] | None:
        """Return the events of the next piece, None at the end.

        Raises `CutShortError` if the stream breaks off or stalls, and
        `EventTooLongError` for data that completes no event.
        """
        piece = await self._read_piece()
        if piece is not None:
            self._count_unused(piece)
            return self.frames.feed(piece)
        if self.frames.rest:
            raise CutShortError("ended within an event")
        return None

    def _count_unused(self, piece: bytes) -> None:
        self.unused_bytes += len(piece)
        if self.unused_bytes > MAX_UNUSED_BYTES:
            raise CutShortError("no new event in too much data")

    async def _read_piece(self) -> bytes | None:
        try:
            async with asyncio.timeout_at(self.stalled_at_s) as timeout:
                return await self.connection.read_piece()
        except TimeoutError as error:
            if not timeout.expired():
                raise
            raise StalledError("stalled") from error
