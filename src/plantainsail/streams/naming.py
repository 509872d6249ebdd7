"""The signed names of streams.

A name holds all that a daemon needs to go on with a stream that
another one relayed: the engine and the generation on it, the relaying
daemon, and what the events look like.  No daemon has to remember it.
"""

from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from plantainsail.identity import Incarnation
from plantainsail.results import Code, Failure
from plantainsail.signing import Signer

PURPOSE = "stream"
MS_PER_S = 1_000


class StreamName(NamedTuple):
    """What a stream's name says.

    `relay` is the daemon that relayed it when the name was made.
    `attempt` is the attempt under which it did.  `deadline_unix_ms` is
    when the caller's time is up, on the wall clock, since daemons have
    no other clock in common.
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
    """Return what is left of a caller's time, at most a limit.

    The limit keeps a wall clock that is behind from granting more
    than any request gets.
    """
    left_s = name.deadline_unix_ms / MS_PER_S - unix_s
    return min(limit_s, max(0.0, left_s))


def sign_name(name: StreamName, signer: Signer) -> str:
    """Return a name as callers see it."""
    return signer.sign(PURPOSE, msgspec.msgpack.encode(name))


def verify_name(
    text: str, organisation: str, signer: Signer
) -> Result[StreamName, Failure]:
    """Return what a name says, or why it is refused.

    Whether this daemon's lists are as new as the name's is for the
    caller to ask.
    """
    payload = signer.verify(PURPOSE, text)
    if payload is None:
        return Error(Failure(Code.STREAM_INVALID, "no such stream name"))
    try:
        name = DECODER.decode(payload)
    except msgspec.DecodeError:
        return Error(Failure(Code.STREAM_INVALID, "no such stream name"))
    if name.organisation != organisation:
        return Error(Failure(Code.STREAM_INVALID, "the stream is another's"))
    return Ok(name)
