"""When a daemon that starts or wakes up may trust its lists.

The service may be stale, so its word alone is not enough while other
daemons are up.  One peer that serves and has nothing newer is enough.
Peers that are starting themselves know no more than this daemon; a
refused connection shows that no daemon runs there.  Silence tells
nothing: a silent peer may hold a newer revision.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

COLD_START_WAIT_S = 30.0


class PeerAnswer(StrEnum):
    """What came of asking a peer for its revisions."""

    SURE = "sure"
    STARTING = "starting"
    REFUSED = "refused"
    SILENT = "silent"


class PeerReport(NamedTuple):
    """A peer's answer and the highest revisions that it knows of."""

    answer: PeerAnswer
    lists_revision: int = 0
    hosts_revision: int = 0


class OwnListState(NamedTuple):
    """What a daemon has before it trusts its lists.

    `waited_s` is for how long it has been trying.
    """

    lists_revision: int
    hosts_revision: int
    service_answered: bool
    waited_s: float


def may_trust(own: OwnListState, reports: Sequence[PeerReport]) -> bool:
    """Return whether the lists may be acted on now.

    With no sure peer all others must have answered.  After
    `COLD_START_WAIT_S` more than half of them are enough, so that one
    silent host cannot keep a whole fleet from starting.
    """
    if own.lists_revision == 0 or own.hosts_revision == 0:
        return False
    for report in reports:
        if report.lists_revision > own.lists_revision:
            return False
        if report.hosts_revision > own.hosts_revision:
            return False
    if any(report.answer is PeerAnswer.SURE for report in reports):
        return True
    if not own.service_answered:
        return False
    known = [r for r in reports if r.answer is not PeerAnswer.SILENT]
    if len(known) == len(reports):
        return True
    return own.waited_s >= COLD_START_WAIT_S and len(known) * 2 > len(reports)
