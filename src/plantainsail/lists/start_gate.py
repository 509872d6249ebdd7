"""Whether a daemon may trust its lists after a start or a pause.

The configuration service may be stale, so its answer alone is not
enough while other daemons are up.  One serving peer without a newer
revision is enough.  Peers that are starting themselves know no more
than this daemon, and a refused connection shows that no daemon runs
there.  A peer that does not answer may hold a newer revision.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

# The time after which answers from more than half of the peers are
# enough, if no peer is serving.
COLD_START_WAIT_S = 30.0


class PeerAnswer(StrEnum):
    """The outcome of asking a peer for its revisions.

    `SURE` means that the peer is serving and trusts its own lists,
    `STARTING` that it does not trust them yet, `REFUSED` that it
    refused the connection, and `SILENT` that it did not answer.
    """

    SURE = "sure"
    STARTING = "starting"
    REFUSED = "refused"
    SILENT = "silent"


class PeerReport(NamedTuple):
    """What a peer answered, and the highest revisions it knows of."""

    answer: PeerAnswer
    lists_revision: int = 0
    hosts_revision: int = 0


class OwnListState(NamedTuple):
    """The state of a daemon that does not trust its lists yet.

    The revisions are those in force on the daemon.  `service_answered`
    tells whether the configuration service has answered it, and
    `waited_s` is how long it has been waiting to trust its lists.
    """

    lists_revision: int
    hosts_revision: int
    service_answered: bool
    waited_s: float


def may_trust(own: OwnListState, reports: Sequence[PeerReport]) -> bool:
    """Return whether a starting daemon may act on its lists now.

    It may not if a peer knows a newer revision.  Otherwise one peer
    that trusts its own lists (`PeerAnswer.SURE`) is enough.  Without
    one, the configuration service and all peers must have answered.
    After `COLD_START_WAIT_S` more than half of the peers are enough, so
    that one silent host cannot keep a whole fleet from starting.
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
    not_silent = [r for r in reports if r.answer is not PeerAnswer.SILENT]
    if len(not_silent) == len(reports):
        return True
    return own.waited_s >= COLD_START_WAIT_S and len(not_silent) * 2 > len(
        reports
    )
