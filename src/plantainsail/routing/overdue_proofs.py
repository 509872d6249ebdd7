"""Decides when a daemon reads the service as its peers seem unable to.

In a large fleet few daemons read the configuration service for all, and
the others learn from them how fresh their lists are.  If such proofs
are overdue, the reading daemons can't reach the service, or can't reach
this daemon.  Orders may then go unnoticed, so this daemon reads itself.
"""

from plantainsail.routing.in_force import READER_INTERVAL_S
from plantainsail.routing.members import (
    contact_interval_s,
    distributor_interval_s,
)

# Proofs may be this much older than the intervals at which they are
# made and sent.
PROOF_DELAY_S = 0.5
# A daemon has read the service itself before its proof is so old, as an
# order must be obeyed within 5 s.
MAX_UNREAD_S = 4.6
# While the service answers nobody, all daemons together try to read it
# this many times a second.
MAX_READS_PER_S = 10.0
# A process that did not run for so long has missed messages.
PAUSE_S = 1.0


class OverdueProofs:
    """Spreads the reads of all daemons whose proofs are overdue."""

    def __init__(self) -> None:
        self.read_at_s: float | None = None
        self.checked_s: float | None = None
        self.failures = 0

    def is_read_due(
        self, age_s: float | None, peers: int, draw: float, now_s: float
    ) -> bool:
        """Return whether this daemon reads the service now.

        `age_s` is the age of its proof, `peers` the number of live
        peers, and `draw` a random number between 0 and 1.  This is
        called several times a second.
        """
        has_paused = (
            self.checked_s is not None and now_s - self.checked_s > PAUSE_S
        )
        self.note_checked(now_s)
        if has_paused:
            self.read_at_s = now_s
        elif age_s is None or age_s <= usual_proof_age_s(peers):
            self.read_at_s = None
            self.failures = 0
            return False
        if self.read_at_s is None:
            self.read_at_s = now_s + draw * self._spread_s(peers)
        if now_s < self.read_at_s:
            return False
        self.read_at_s = None
        return True

    def note_checked(self, now_s: float) -> None:
        """Record that the process runs, also while it reads."""
        self.checked_s = now_s

    def note_failure(self) -> None:
        """Wait longer until the next read, as one has failed."""
        self.failures += 1

    def _spread_s(self, peers: int) -> float:
        first_s = max(0.0, MAX_UNREAD_S - usual_proof_age_s(peers))
        limit_s = max(first_s, (peers + 1) / MAX_READS_PER_S)
        return min(limit_s, first_s * 2.0 ** min(self.failures, 10))


def usual_proof_age_s(peers: int) -> float:
    """Return up to which age a proof of freshness is not overdue."""
    interval_s = contact_interval_s(peers) + distributor_interval_s(peers)
    return READER_INTERVAL_S + interval_s + PROOF_DELAY_S
