"""A bounded buffer of chunks between an engine and a caller.

Chunks wait in `pending` until they are read for the caller.  They then
stay in `history` up to a limit, so that a caller whose connection broke
can continue after the last event that it received.
"""

from collections import deque
from collections.abc import Sequence

from plantainsail.upstreams.protocols import Chunk

# Limits of one stream's chunks that wait for the caller, and of those
# that are kept after they were read for the caller.
PENDING_LIMIT_BYTES = 32_768
HISTORY_LIMIT_BYTES = 32_768
# Memory of a chunk's Python objects, apart from its text.
CHUNK_OVERHEAD_BYTES = 320


def size_of(chunk: Chunk) -> int:
    """Return the bytes that a chunk counts as in a buffer's limits."""
    return CHUNK_OVERHEAD_BYTES + len(chunk.text)


class StreamBuffer:
    """Holds the chunks of one generation, in order and without gaps.

    `pending` holds the chunks not yet read for the caller, and
    `history` the latest that were.  Code that appends must check
    `is_full` first.  The memory is then bounded by the limits of the
    two plus the last batch that was appended.
    """

    def __init__(self) -> None:
        self.pending: list[Chunk] = []
        self.pending_bytes = 0
        self.history: deque[Chunk] = deque()
        self.history_bytes = 0

    @property
    def is_full(self) -> bool:
        """Return whether the pending chunks reach their limit."""
        return self.pending_bytes >= PENDING_LIMIT_BYTES

    def append(self, chunks: Sequence[Chunk]) -> None:
        """Add chunks that directly follow the last one held."""
        self.pending.extend(chunks)
        for chunk in chunks:
            self.pending_bytes += CHUNK_OVERHEAD_BYTES + len(chunk.text)

    def take(self) -> list[Chunk]:
        """Return the pending chunks and move them to the history."""
        taken = self.pending
        self.pending = []
        self.history.extend(taken)
        self.history_bytes += self.pending_bytes
        self.pending_bytes = 0
        while self.history_bytes > HISTORY_LIMIT_BYTES and self.history:
            self.history_bytes -= size_of(self.history.popleft())
        return taken

    def clear(self) -> None:
        """Drop all chunks, since the generation starts again."""
        self.pending.clear()
        self.history.clear()
        self.pending_bytes = 0
        self.history_bytes = 0

    def rewind(self, position: int, end: int) -> bool:
        """Make the chunks from a position on pending again.

        `end` is the position after the newest chunk.  If the position
        is no longer held or lies inside a chunk, return False and
        change nothing.
        """
        first = next(iter(self.history), None) or next(
            iter(self.pending), None
        )
        if first is None:
            return position == end
        if not first.position <= position <= end:
            return False
        chunks = [*self.history, *self.pending]
        rewound = [c for c in chunks if c.position >= position]
        if rewound and rewound[0].position != position:
            return False
        if not rewound and position != end:
            return False
        before = [c for c in chunks if c.position < position]
        self.history = deque(before)
        self.history_bytes = sum(size_of(c) for c in before)
        self.pending = rewound
        self.pending_bytes = sum(size_of(c) for c in rewound)
        return True
