"""Checks the first reads of a restored configuration service.

A read proves that a configuration is the newest one, unless the service
was just restored from an older copy.  A daemon that has read nothing in
this epoch of the service before can't tell, so it compares its first
read with the versions of its peers.
"""

from typing import NamedTuple

# A daemon waits at most this long for all of its live peers to send a
# heartbeat after the read, and for any peer at all.
ALL_HEARD_LIMIT_S = 0.3
NONE_HEARD_LIMIT_S = 1.0


class ReadProof(NamedTuple):
    """A version that the service named as the newest at `as_of_s`.

    `epoch` rises with each restoration of the service, and is 0 for a
    service that names none.
    """

    version: int
    as_of_s: float
    epoch: int


class PeerVersions(NamedTuple):
    """What the heartbeats of the live peers tell of their versions.

    `heard` of `live` peers sent a heartbeat after the read, and
    `newest` is the highest version of any of them, or -1.
    """

    live: int
    heard: int
    newest: int


class FirstProofs:
    """Holds the first proof of each epoch back until it is checked.

    `epoch` is the newest one in which a proof passed.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.pending: ReadProof | None = None

    def may_use(self, proof: ReadProof) -> bool:
        """Return whether a proof needs no check, else hold it back."""
        if proof.epoch <= self.epoch:
            return True
        if self.pending is None or self.pending.epoch < proof.epoch:
            self.pending = proof
        return False

    def check(self, peers: PeerVersions, now_s: float) -> ReadProof | None:
        """Return the proof that was held back, once it has passed.

        One that is older than a peer's version is dropped.
        """
        proof = self.pending
        if proof is None:
            return None
        if peers.newest > proof.version:
            self.pending = None
            return None
        waited_s = now_s - proof.as_of_s
        if waited_s < self._limit_s(peers):
            return None
        self.pending = None
        self.epoch = proof.epoch
        return proof

    @staticmethod
    def _limit_s(peers: PeerVersions) -> float:
        if not peers.heard:
            return NONE_HEARD_LIMIT_S
        if peers.heard < peers.live:
            return ALL_HEARD_LIMIT_S
        return 0.0
