"""Decides when it is certain that an engine has ended a run.

A connection that broke off, or an order to stop that got no answer,
proves nothing: most engines drop a run with its connection, but not
all do, and an order may be lost on its way.  A run that continues
elsewhere is therefore ordered to stop until a proof comes.
"""

from enum import StrEnum
from typing import NamedTuple

from plantainsail.routing.model import RoutedUpstream

HTTP_OK = 200
HTTP_NOT_FOUND = 404
ORDER_PAUSE_S = 0.05
# After this many orders, an engine that is not listed any more is
# probably gone, and is asked more seldom.
QUICK_ORDERS = 20
UNLISTED_ORDER_PAUSE_S = 1.0
# An engine does not know a run without a first token, and may still
# begin it.  The pause doubles with each such answer, up to this many.
MAX_UNKNOWN_ANSWERS = 7


class EndProof(StrEnum):
    """Why a run certainly does not go on."""

    STOPPED = "stopped"
    UNKNOWN = "no such run"
    PROCESS_ENDED = "process ended"
    RESTARTED = "process restarted"
    DEADLINE = "deadline passed"


class StopAnswer(NamedTuple):
    """An engine's answer to the order to stop a run.

    `status` is 0 without an answer.  `keeps_memory` says that the
    answer names the memory of the run, which is kept only if the run
    was stopped.
    """

    status: int
    keeps_memory: bool = False
    has_process_ended: bool = False


class OrderedRun(NamedTuple):
    """A run that is ordered to stop at its engine.

    Engines stop work on a request at its deadline.  `has_begun` says
    that the engine has sent an event of it.
    """

    request: str
    upstream: RoutedUpstream
    deadline_s: float
    has_begun: bool = True


class StopProgress(NamedTuple):
    """The orders to stop one run so far.

    `orders` counts them, and `unknown_answers` those that were answered
    by an engine that did not know the run.
    """

    orders: int = 0
    unknown_answers: int = 0

    def add(self, answer: StopAnswer) -> "StopProgress":
        """Return the progress after one more order."""
        is_unknown = answer.status == HTTP_NOT_FOUND
        return StopProgress(self.orders + 1, self.unknown_answers + is_unknown)


def proof_in_answer(
    answer: StopAnswer, progress: StopProgress, *, has_begun: bool
) -> EndProof | None:
    """Return what an answer proves of the run's end, None if nothing.

    `progress` includes the order that was answered.
    """
    if answer.has_process_ended:
        return EndProof.PROCESS_ENDED
    if answer.status == HTTP_OK or answer.keeps_memory:
        return EndProof.STOPPED
    if answer.status != HTTP_NOT_FOUND:
        return None
    if has_begun or progress.unknown_answers >= MAX_UNKNOWN_ANSWERS:
        return EndProof.UNKNOWN
    return None


def proof_in_list(
    run: OrderedRun, listed: RoutedUpstream | None, now_s: float
) -> EndProof | None:
    """Return whether the lists or the time prove the run's end.

    `listed` is the entry that its engine has now, if any.
    """
    if listed is not None and listed.born_ms != run.upstream.born_ms:
        return EndProof.RESTARTED
    if now_s >= run.deadline_s:
        return EndProof.DEADLINE
    return None


def pause_s(progress: StopProgress, *, is_listed: bool) -> float:
    """Return how long to wait before the next order."""
    if not is_listed and progress.orders >= QUICK_ORDERS:
        return UNLISTED_ORDER_PAUSE_S
    return float(ORDER_PAUSE_S * 2 ** max(0, progress.unknown_answers - 1))
