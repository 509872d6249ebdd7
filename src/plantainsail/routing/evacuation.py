"""Orders the memory copies off an engine that is leaving.

This is designed for an engine full of long streams that gives notice
some two seconds before it is gone.  A first copy of a stream's memory
is made while the stream goes on; the stream is then stopped, and a
final copy transfers only what is new.  The final copy is short only if
no first copy of another stream is ahead of it on the engine's link, so
every daemon makes its final copies once no daemon has a first copy in
progress.  If the time is up before that, a stream is cut over: it
continues from its first copy, and the target reads the few missing
tokens again.
"""

from typing import NamedTuple

# Engines may be gone this soon after they give notice.
DEFAULT_NOTICE_S = 1.5
# A stream that still waits for its final copy is cut over this long
# before its engine is gone.
CUT_OVER_RESERVE_S = 0.3
# A copy must be expected to end this long before the engine is gone.
COPY_TIME_MARGIN_S = 0.02
# A copy to another availability zone takes this many times as long.
OTHER_ZONE_FACTOR = 2.0
# An engine that refused a copy is asked again after this time, as its
# memory may have become free.  A run without a first token yet can't be
# copied, and is asked for again as well.
COPY_RETRY_S = 0.15
# Engines generate more slowly while they read prompts, by this factor.
TOKEN_TIME_FACTOR = 1.4


class EvacuationStep(NamedTuple):
    """The next step of a stream whose memory was copied a first time.

    `is_final_copy` tells that the stream is stopped for its final copy,
    and `is_cut_over` that it continues from its first copy.  If both
    are false, the stream goes on and waits.
    """

    is_final_copy: bool
    is_cut_over: bool


WAIT = EvacuationStep(False, False)
FINAL_COPY = EvacuationStep(True, False)
CUT_OVER = EvacuationStep(False, True)


def next_step(
    first_copies: int, gone_s: float, now_s: float
) -> EvacuationStep:
    """Return the next step of a stream whose first copy is made.

    `first_copies` is the number of first copies that all daemons have
    in progress off the same engine.  `gone_s` is when the engine is
    expected to be gone.
    """
    if now_s >= gone_s - CUT_OVER_RESERVE_S:
        return CUT_OVER
    if first_copies <= 0:
        return FINAL_COPY
    return WAIT


def copy_time_s(
    memory_tokens: int,
    token_bytes: int,
    link_bytes_s: float,
    *,
    is_same_zone: bool,
) -> float:
    """Return how long a copy of memory takes on an idle link.

    `token_bytes` is the memory of one token, and `link_bytes_s` the
    speed of the link, or 0 if it is unknown.
    """
    if link_bytes_s <= 0:
        return 0.0
    factor = 1.0 if is_same_zone else OTHER_ZONE_FACTOR
    return factor * memory_tokens * token_bytes / link_bytes_s


def can_copy_finish(copy_s: float, gone_s: float, now_s: float) -> bool:
    """Return whether a copy can finish before the engine is gone."""
    return now_s + copy_s + COPY_TIME_MARGIN_S <= gone_s


def will_end_before_engine(
    tokens_left: int, token_s: float, gone_s: float, now_s: float
) -> bool:
    """Return whether a stream surely ends before its engine is gone.

    `tokens_left` is the most that the stream may still generate, by its
    limit, and `token_s` the time for each token.  The hinted length is
    not used: hints are often wrong, and an unneeded move costs little.
    """
    return now_s + tokens_left * token_s * TOKEN_TIME_FACTOR < gone_s


class RefusedTargets:
    """The engines that lately refused a copy of one run."""

    def __init__(self) -> None:
        self.retry_at_s: dict[str, float] = {}

    def note_refusal(self, identifier: str, now_s: float) -> None:
        """Record that an engine refused a copy."""
        self.retry_at_s[identifier] = now_s + COPY_RETRY_S

    def is_avoided(self, identifier: str, now_s: float) -> bool:
        """Return whether it is too early to ask an engine again."""
        return self.retry_at_s.get(identifier, 0.0) > now_s
