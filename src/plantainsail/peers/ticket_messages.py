"""Converts results of ticketed calls to and from gRPC messages."""

from expression import Error, Ok, Result

from plantainsail.peers.wire.tickets_pb2 import IntendReply, RunReply
from plantainsail.results import Code, Failure, Outcome
from plantainsail.tickets.executor import CallResult
from plantainsail.upstreams.protocols import ServiceAnswer

MS_PER_S = 1_000


def encode_result(result: CallResult) -> RunReply:
    """Return the message for the result of a call."""
    if result.is_ok():
        return RunReply(status=result.ok.status, body=result.ok.body)
    failure = result.error
    return RunReply(
        code=int(failure.code),
        detail=failure.detail,
        outcome="" if failure.outcome is None else failure.outcome.value,
        retry_after_ms=int((failure.retry_after_s or 0.0) * MS_PER_S),
    )


def decode_result(reply: RunReply) -> CallResult:
    """Return the result of a call.

    A code or outcome that this daemon doesn't know was sent by a newer
    version and becomes `TICKET_OUTCOME_UNKNOWN`.
    """
    if reply.code == 0:
        return Ok(ServiceAnswer(reply.status, reply.body))
    try:
        code = Code(reply.code)
        outcome = Outcome(reply.outcome) if reply.outcome else None
    except ValueError:
        return Error(Failure(Code.TICKET_OUTCOME_UNKNOWN, reply.detail))
    retry_after_s = reply.retry_after_ms / MS_PER_S or None
    return Error(Failure(code, reply.detail, retry_after_s, None, outcome))


def encode_grant(grant: Result[None, Failure]) -> IntendReply:
    """Return the message for the witness's acknowledgement."""
    if grant.is_ok():
        return IntendReply(is_granted=True)
    return IntendReply(code=int(grant.error.code), detail=grant.error.detail)


def decode_grant(reply: IntendReply) -> Result[None, Failure]:
    """Return the witness's acknowledgement, or why it was refused."""
    if reply.is_granted:
        return Ok(None)
    try:
        code = Code(reply.code)
    except ValueError:
        code = Code.TICKET_BURNED
    return Error(Failure(code, reply.detail))
