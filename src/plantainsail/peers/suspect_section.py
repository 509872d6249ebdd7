"""The heartbeat section for requests suspected of crashing engines."""

from plantainsail.identity import Incarnation
from plantainsail.peers.wire import suspects_pb2
from plantainsail.peers.wire.fleet_pb2 import HeartbeatMessage
from plantainsail.policy.quarantine import Quarantine, Suspect

MAX_DEATHS = 8
REPEAT_AGE_S = 10.0


class SuspectSection:
    """Exchanges suspects by heartbeats.

    A suspect is repeated while its last death is younger than
    `REPEAT_AGE_S`, so that a lost heartbeat does no harm and a fleet
    without recent deaths sends nothing.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self.quarantine = quarantine

    def fill(
        self,
        message: HeartbeatMessage,
        peer: Incarnation | None,
        now_s: float,
    ) -> None:
        """Write the suspects that the peer may not have received."""
        for suspect in self.quarantine.newest_suspects(now_s):
            age_s = now_s - suspect.last_death_s
            if peer is not None and age_s > REPEAT_AGE_S:
                continue
            message.suspects.suspects.append(
                suspects_pb2.Suspect(
                    fingerprint=suspect.fingerprint,
                    deaths=suspect.deaths,
                    age_s=int(age_s),
                )
            )

    def absorb(
        self, message: HeartbeatMessage, peer: Incarnation, now_s: float
    ) -> None:
        """Merge the suspects that the peer sent."""
        for reported in message.suspects.suspects:
            suspect = Suspect(
                reported.fingerprint,
                tuple(reported.deaths)[:MAX_DEATHS],
                now_s - reported.age_s,
            )
            self.quarantine.merge(suspect, now_s)
