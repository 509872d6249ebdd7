"""Ordering of one generation's chunks for one caller.

A relay tracks the next expected token position.  It drops chunks of
another request, generation or attempt, and chunks that it has already
relayed.  After a gap, a timeout or a broken connection the engine must
be asked to resume at that position, over a new connection and with a
new attempt number.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from plantainsail.results import Code, Failure, Outcome, outcome_of
from plantainsail.upstreams.protocols import Chunk

# The generation is given up after this many resumes in a row that
# brought no new token.
MAX_RESUMES_WITHOUT_PROGRESS = 3
# After these failures the engine is asked to resume the generation.
RESUMABLE_CODES = frozenset(
    {
        Code.UPSTREAM_TIMEOUT,
        Code.UPSTREAM_TRUNCATED,
        Code.UPSTREAM_GARBLED,
    }
)
# These failures may also be temporary once an engine has accepted the
# generation.
RESUMABLE_CODES_AFTER_START = RESUMABLE_CODES | {
    Code.UPSTREAM_UNREACHABLE,
    Code.UPSTREAM_ERROR,
    Code.UPSTREAM_DRAINING,
}


class ChunkVerdict(StrEnum):
    """Classification of a received chunk against the expected one.

    A `REPEAT` holds nothing that was not relayed before, and a `GAP`
    begins after the expected position.  An `OVERLAP` begins before the
    expected position and ends after it.  Its text can't be split at a
    token, so it is handled like a gap.
    """

    RELAY = "relay"
    REPEAT = "repeat"
    GAP = "gap"
    OVERLAP = "overlap"
    OTHER_REQUEST = "other_request"
    OTHER_GENERATION = "other_generation"
    OTHER_ATTEMPT = "other_attempt"


class Expected(NamedTuple):
    """Identifies the chunk that a relay expects next.

    `position` is the number of tokens relayed before that chunk, and
    `attempt` the attempt number that it must carry.
    """

    request: str
    generation: str
    attempt: int
    position: int


def classify_chunk(expected: Expected, chunk: Chunk) -> ChunkVerdict:
    """Return whether a chunk is relayed, or why it is dropped."""
    if chunk.request != expected.request:
        return ChunkVerdict.OTHER_REQUEST
    if chunk.generation != expected.generation:
        return ChunkVerdict.OTHER_GENERATION
    if chunk.attempt != expected.attempt:
        return ChunkVerdict.OTHER_ATTEMPT
    if chunk.position > expected.position:
        return ChunkVerdict.GAP
    if chunk.position == expected.position:
        if chunk.tokens or chunk.finish_reason is not None:
            return ChunkVerdict.RELAY
        return ChunkVerdict.REPEAT
    if chunk.position + chunk.tokens > expected.position:
        return ChunkVerdict.OVERLAP
    return ChunkVerdict.REPEAT


class NextAction(StrEnum):
    """What the code that drives a relay must do next.

    `READ` reads more chunks, and `RESUME` asks the engine to resume the
    generation.  `FINISHED` means that the last chunk was relayed, and
    `LOST` that the generation cannot be continued.
    """

    READ = "read"
    RESUME = "resume"
    FINISHED = "finished"
    LOST = "lost"


class RelayStep(NamedTuple):
    """The result of processing some chunks or a failure.

    The chunks in `relayed` must be passed to the caller before `next`
    is acted on.  `dropped` holds a reason for each dropped chunk, and
    `failure` is why the generation is resumed or lost.
    """

    next: NextAction
    relayed: Sequence[Chunk] = ()
    dropped: Sequence[ChunkVerdict] = ()
    failure: Failure | None = None


class Relay:
    """Tracks the progress of one generation on one engine.

    `position` is above 0 for a relay that takes over a stream after
    some tokens were relayed.  `is_known_to_engine` is set if the engine
    may have accepted the generation.  `resumes_without_progress` counts
    the resumes since the last relayed chunk.
    """

    def __init__(
        self,
        request: str,
        generation: str,
        max_tokens: int,
        position: int = 0,
        attempt: int = 0,
    ) -> None:
        self.expected = Expected(request, generation, attempt, position)
        self.max_tokens = max_tokens
        self.is_known_to_engine = position > 0 or attempt > 0
        self.resumes_without_progress = 0

    @property
    def position(self) -> int:
        """Return the number of tokens relayed so far."""
        return self.expected.position

    def process_chunks(self, chunks: Sequence[Chunk]) -> RelayStep:
        """Classify chunks that arrived together, in order.

        Stop at a gap, at a chunk that is too long and at the last one.
        """
        relayed: list[Chunk] = []
        dropped: list[ChunkVerdict] = []
        for chunk in chunks:
            verdict = classify_chunk(self.expected, chunk)
            if verdict is ChunkVerdict.RELAY:
                relayed.append(chunk)
                if not self._advance(chunk):
                    relayed.pop()
                    return self._overlong(relayed, dropped)
                if chunk.finish_reason is not None:
                    return RelayStep(NextAction.FINISHED, relayed, dropped)
                continue
            dropped.append(verdict)
            if verdict in (ChunkVerdict.GAP, ChunkVerdict.OVERLAP):
                step = self.fail(_gap_failure(self.expected, chunk))
                return step._replace(relayed=relayed, dropped=dropped)
        return RelayStep(NextAction.READ, relayed, dropped)

    def fail(self, failure: Failure) -> RelayStep:
        """Return whether to resume after a failure of this attempt."""
        resumable_codes = (
            RESUMABLE_CODES_AFTER_START
            if self.is_known_to_engine
            else RESUMABLE_CODES
        )
        if failure.code not in resumable_codes:
            return self._end_as_lost(failure)
        if self.resumes_without_progress >= MAX_RESUMES_WITHOUT_PROGRESS:
            return self._end_as_lost(failure)
        self.resumes_without_progress += 1
        self.is_known_to_engine = True
        self.expected = self.expected._replace(
            attempt=self.expected.attempt + 1
        )
        return RelayStep(NextAction.RESUME, failure=failure)

    def rewind(self, position: int) -> None:
        """Go back to an earlier position under a new attempt number."""
        self.expected = self.expected._replace(
            position=position, attempt=self.expected.attempt + 1
        )
        self.resumes_without_progress = 0

    def _end_as_lost(self, failure: Failure) -> RelayStep:
        """Return the step that ends the relay with a failure.

        A failure with the outcome "not run" is replaced if the engine
        may have accepted the generation in an earlier attempt, since
        that outcome holds only for the attempt that failed.
        """
        if self.is_known_to_engine and outcome_of(failure) is Outcome.NOT_RUN:
            failure = Failure(Code.GENERATION_LOST, failure.detail)
        return RelayStep(NextAction.LOST, failure=failure)

    def _advance(self, chunk: Chunk) -> bool:
        """Expect the position after a chunk next.

        Return False if the chunk exceeds the limit of tokens.
        """
        position = chunk.position + chunk.tokens
        if position > self.max_tokens:
            return False
        self.expected = Expected(
            chunk.request, chunk.generation, chunk.attempt, position
        )
        self.is_known_to_engine = True
        self.resumes_without_progress = 0
        return True

    def _overlong(
        self, relayed: Sequence[Chunk], dropped: Sequence[ChunkVerdict]
    ) -> RelayStep:
        failure = Failure(
            Code.UPSTREAM_OVERLONG,
            f"the engine wrote more than {self.max_tokens} tokens",
        )
        return RelayStep(NextAction.LOST, relayed, dropped, failure)


def _gap_failure(expected: Expected, chunk: Chunk) -> Failure:
    return Failure(
        Code.UPSTREAM_TRUNCATED,
        f"position {chunk.position} came in place of {expected.position}",
    )
