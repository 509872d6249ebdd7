"""The heartbeat section for requests suspected of crashing engines."""

from plantainsail.identity import Incarnation
from plantainsail.peers.wire import suspects_pb2
from plantainsail.peers.wire.fleet_pb2 import HeartbeatMessage
from plantainsail.policy.part_quarantine import (
    NEVER_S,
    EngineDeath,
    PartQuarantine,
    PartRecord,
)
from plantainsail.policy.quarantine import Quarantine, Suspect

MAX_DEATHS = 8
MAX_PARTS = 64
REPEAT_AGE_S = 10.0


class SuspectSection:
    """Exchanges suspects by heartbeats.

    A suspect is repeated while its last death is younger than
    `REPEAT_AGE_S`, so that a lost heartbeat does no harm and a fleet
    without recent deaths sends nothing.  Suspect parts of prompts are
    also repeated for as long as they are quarantined.
    """

    def __init__(self, quarantine: Quarantine, parts: PartQuarantine) -> None:
        self.quarantine = quarantine
        self.parts = parts

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
        for record in self.parts.records_to_repeat(now_s, MAX_PARTS):
            message.suspects.parts.append(_encode_part(record, now_s))

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
        for part in message.suspects.parts[:MAX_PARTS]:
            self.parts.merge(_decode_part(part, now_s), now_s)


def _encode_part(record: PartRecord, now_s: float) -> suspects_pb2.SuspectPart:
    part = suspects_pb2.SuspectPart(part=record.part)
    if record.sound_s != NEVER_S:
        part.sound_age_s = now_s - record.sound_s
    for death in record.deaths:
        part.deaths.append(
            suspects_pb2.EngineDeath(
                upstream=death.upstream,
                started_age_s=now_s - death.started_s,
                died_age_s=now_s - death.died_s,
                had_begun=death.had_begun,
            )
        )
    return part


def _decode_part(part: suspects_pb2.SuspectPart, now_s: float) -> PartRecord:
    sound_s = NEVER_S
    if part.HasField("sound_age_s"):
        sound_s = now_s - part.sound_age_s
    deaths: list[EngineDeath] = []
    for death in part.deaths[:MAX_DEATHS]:
        deaths.append(
            EngineDeath(
                death.upstream,
                now_s - death.started_age_s,
                now_s - death.died_age_s,
                death.had_begun,
            )
        )
    return PartRecord(part.part, tuple(deaths), sound_s)
