"""Identifiers of daemon processes, requests and generations.

A restarted daemon is a new incarnation.  It has lost its state in
memory, so no commitment of an earlier incarnation applies to it.
"""

import random
from typing import NamedTuple

NONCE_BITS = 64
IDENTIFIER_BITS = 96


class Incarnation(NamedTuple):
    """One process of a daemon: its peer address and a random number.

    `address` is the `IP:port` of its gRPC listener for peers.
    """

    address: str
    nonce: int

    def __str__(self) -> str:
        """Return `address/nonce` with the nonce in hexadecimal."""
        return f"{self.address}/{self.nonce:016x}"


def draw_incarnation(address: str, rng: random.Random) -> Incarnation:
    """Return a new incarnation of the daemon at an address."""
    return Incarnation(address, rng.getrandbits(NONCE_BITS))


def draw_identifier(prefix: str, rng: random.Random) -> str:
    """Return a random identifier such as `gen-5f2a…`."""
    return f"{prefix}-{rng.getrandbits(IDENTIFIER_BITS):024x}"
