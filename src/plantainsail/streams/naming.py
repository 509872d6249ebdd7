"""Signed names of streams.

A stream's name contains everything that a daemon needs to continue a
stream that another daemon relayed: the engine, the generation on that
engine, the relaying daemon and the format of the events.  So no daemon
has to store it.
"""

from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from plantainsail.decoding import UndecodableError, decode
from plantainsail.identity import Incarnation
from plantainsail.results import Code, Failure
from plantainsail.signing import Signer

# Signed into each name, so that no other signed text passes for one.
PURPOSE = "stream"
MS_PER_S = 1_000


class StreamName(NamedTuple):
    """The contents of a stream's name.

    `request` and `generation` are identifiers, and `host` and
    `host_incarnation` name the engine.  `relay` is the daemon that
    relayed the stream when the name was made, and `attempt` is the
    attempt number that it used.  The generation, the host and its
    incarnation are empty if only that daemon is known.  `max_tokens`
    limits the length of the answer.
    `deadline_unix_ms` is the caller's deadline on the wall clock, the
    only clock that daemons share.
    """

    organisation: str
    model: str
    request: str
    generation: str
    host: str
    host_incarnation: str
    relay: Incarnation
    attempt: int
    max_tokens: int
    prompt_tokens: int
    is_chat: bool
    lists_revision: int
    deadline_unix_ms: int


DECODER = msgspec.msgpack.Decoder(StreamName)


def remaining_s(name: StreamName, unix_s: float, limit_s: float) -> float:
    """Return the time until the caller's deadline, at most a limit.

    Without the limit, a daemon whose wall clock is slow could grant
    more time than any request gets.
    """
    left_s = name.deadline_unix_ms / MS_PER_S - unix_s
    return min(limit_s, max(0.0, left_s))


def sign_name(name: StreamName, signer: Signer) -> str:
    """Return the signed text of a name, which callers receive."""
    return signer.sign(PURPOSE, msgspec.msgpack.encode(name))


def verify_name(
    text: str, organisation: str, signer: Signer
) -> Result[StreamName, Failure]:
    """Return the contents of a signed name, or why it is refused.

    The calling code must check that this daemon's lists are at least
    as new as the `lists_revision` of the name.
    """
    payload = signer.verify(PURPOSE, text)
    if payload is None:
        return Error(Failure(Code.STREAM_INVALID, "no such stream name"))
    try:
        name = decode(DECODER, payload)
    except UndecodableError:
        return Error(Failure(Code.STREAM_INVALID, "no such stream name"))
    if name.organisation != organisation:
        return Error(Failure(Code.STREAM_INVALID, "the stream is another's"))
    return Ok(name)
