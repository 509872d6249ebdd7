"""Decodes what other processes wrote, with one error for all faults.

A decoder raises errors of several kinds: its own for malformed data,
`RecursionError` for values nested too deeply, and `ValueError` for text
and numbers that Python can't hold.  A reader that expects only some of
them ends on the others, and again on each further attempt:

    decode(msgspec.json.Decoder(), b"[" * 2_000)  # UndecodableError
"""

from typing import Any, Protocol, TypeVar

import msgspec

T_co = TypeVar("T_co", covariant=True)
T = TypeVar("T")

# Bounds the log lines that quote the decoder's message.
MAX_REASON_CHARACTERS = 200


class UndecodableError(ValueError):
    """Data of another process can't be decoded."""


class Decoder(Protocol[T_co]):
    """A decoder of one format and type, such as msgspec's."""

    def decode(self, data: bytes, /) -> T_co:
        """Return the decoded value."""


ANY_JSON: Decoder[Any] = msgspec.json.Decoder()


def decode(decoder: Decoder[T], data: bytes) -> T:
    """Return the decoded value.

    Raises `UndecodableError`, whatever is wrong with the data.
    """
    try:
        return decoder.decode(data)
    except (ValueError, RecursionError, OverflowError) as error:
        reason = str(error)[:MAX_REASON_CHARACTERS]
        raise UndecodableError(reason) from error


def decode_json(data: bytes) -> Any:
    """Return a JSON value, or raise `UndecodableError`."""
    return decode(ANY_JSON, data)
