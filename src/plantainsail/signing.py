"""Signed names of tickets and streams, which callers send back.

A signed name is `payload.signature`, both in URL-safe base64.  The
first fleet key signs and every key verifies, so that names signed
with the old or the new key stay valid while a key is replaced.
"""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence

SIGNATURE_BYTES = 16
SEPARATOR = "."


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode("ascii")


def _decode(text: str) -> bytes | None:
    padding = "=" * (-len(text) % 4)
    try:
        return base64.b64decode(text + padding, b"-_", validate=True)
    except (binascii.Error, ValueError):
        return None


def _signature(key: bytes, purpose: str, payload: bytes) -> bytes:
    message = purpose.encode("ascii") + b"\0" + payload
    digest = hmac.new(key, message, hashlib.sha256).digest()
    return digest[:SIGNATURE_BYTES]


class Signer:
    """Signs and verifies names with the fleet's keys.

    `purpose` is part of the signed message, so that a signed stream
    name is not accepted as a ticket, or a ticket as a stream name.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        if not keys:
            raise ValueError("at least one key is needed")
        self.keys = tuple(keys)

    def sign(self, purpose: str, payload: bytes) -> str:
        """Return the signed name of a payload."""
        signature = _signature(self.keys[0], purpose, payload)
        return _encode(payload) + SEPARATOR + _encode(signature)

    def verify(self, purpose: str, name: str) -> bytes | None:
        """Return the payload, or None if no key made the signature."""
        if not name.isascii():
            return None
        encoded_payload, separator, encoded_signature = name.partition(
            SEPARATOR
        )
        if not separator:
            return None
        payload = _decode(encoded_payload)
        signature = _decode(encoded_signature)
        if payload is None or signature is None:
            return None
        for key in self.keys:
            expected = _signature(key, purpose, payload)
            if hmac.compare_digest(expected, signature):
                return payload
        return None
