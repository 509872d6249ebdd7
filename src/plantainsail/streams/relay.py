"""The order of one generation's chunks towards one caller.

A relay knows the position that it waits for.  What belongs to another
request, generation or attempt goes nowhere; what was relayed before is
dropped; a gap, a silence or a broken connection makes it ask the engine
to go on from its position, over a new connection and under a new
attempt number.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from plantainsail.results import Code, Failure, Outcome, outcome_of
from plantainsail.upstreams.protocols import Chunk

MAX_RESUMES_WITHOUT_PROGRESS = 3
RESUMABLE_CODES = frozenset(
    {
        Code.UPSTREAM_TIMEOUT,
        Code.UPSTREAM_TRUNCATED,
        Code.UPSTREAM_GARBLED,
    }
)
# After an engine has taken a generation, these may pass as well.
RESUMABLE_CODES_AFTER_START = RESUMABLE_CODES | {
    Code.UPSTREAM_UNREACHABLE,
    Code.UPSTREAM_ERROR,
    Code.UPSTREAM_DRAINING,
}


class ChunkVerdict(StrEnum):
    """What to do with a chunk that arrived.

    An `OVERLAP` begins before the expected position and ends after it.
    Its text can't be cut at a token, so it counts as a gap.
    """

    RELAY = "relay"
    REPEAT = "repeat"
    GAP = "gap"
    OVERLAP = "overlap"
    OTHER_REQUEST = "other_request"
    OTHER_GENERATION = "other_generation"
    OTHER_ATTEMPT = "other_attempt"


class Expected(NamedTuple):
    """The chunk that a relay waits for."""

    request: str
    generation: str
    attempt: int
    position: int


def classify_chunk(expected: Expected, chunk: Chunk) -> ChunkVerdict:
    """Return what to do with a chunk."""
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
    """What a relay does next."""

    READ = "read"
    RESUME = "resume"
    FINISHED = "finished"
    LOST = "lost"


class RelayStep(NamedTuple):
    """What came of some chunks or of a failure.

    `relayed` goes to the caller before anything else is done.
    `dropped` holds one reason for each chunk that went nowhere.
    """

    next: NextAction
    relayed: Sequence[Chunk] = ()
    dropped: Sequence[ChunkVerdict] = ()
    failure: Failure | None = None


class Relay:
    """Follows one generation of one engine to its end.

    `position` may be above 0 for a relay that takes over from another.
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
        """Return the number of tokens relayed."""
        return self.expected.position

    def process_chunks(self, chunks: Sequence[Chunk]) -> RelayStep:
        """Sort chunks that arrived together."""
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
        """Return what to do after the current attempt ended early."""
        resumable = (
            RESUMABLE_CODES_AFTER_START
            if self.is_known_to_engine
            else RESUMABLE_CODES
        )
        if failure.code not in resumable:
            return self._lose(failure)
        if self.resumes_without_progress >= MAX_RESUMES_WITHOUT_PROGRESS:
            return self._lose(failure)
        self.resumes_without_progress += 1
        self.is_known_to_engine = True
        self.expected = self.expected._replace(
            attempt=self.expected.attempt + 1
        )
        return RelayStep(NextAction.RESUME, failure=failure)

    def rewind(self, position: int) -> None:
        """Expect an earlier position again, under a new attempt."""
        self.expected = self.expected._replace(
            position=position, attempt=self.expected.attempt + 1
        )
        self.resumes_without_progress = 0

    def _lose(self, failure: Failure) -> RelayStep:
        """Return the end of the relay.

        "Not run" is true of the attempt that failed, but not of a
        generation that the engine may have taken before.
        """
        if self.is_known_to_engine and outcome_of(failure) is Outcome.NOT_RUN:
            failure = Failure(Code.GENERATION_LOST, failure.detail)
        return RelayStep(NextAction.LOST, failure=failure)

    def _advance(self, chunk: Chunk) -> bool:
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
