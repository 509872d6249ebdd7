"""Numbered result codes, outcomes and the error type.

Every refusal and failure that a caller or an operator can see has one
`Code`.  `CODE_FACTS` gives the outcome of the work, the HTTP status
of the response and whether the same call may safely be sent again.
The table in `docs/RESULT-CODES.md` repeats these facts for operators.
"""

from enum import IntEnum, StrEnum
from typing import NamedTuple


class Outcome(StrEnum):
    """Whether the work of a request was executed.

    `NOT_RUN` is reported only when no process can execute the work any
    more.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Code(IntEnum):
    """The numbers of all result codes, grouped by thousands.

    1xxx: the request is invalid; 2xxx: authentication and grants;
    3xxx: overload and capacity; 4xxx: upstreams; 5xxx: tickets;
    6xxx: streams; 7xxx: the state of the daemon; 9xxx: internal faults
    of the daemon.
    """

    MALFORMED_BODY = 1001
    INVALID_FIELD = 1002
    BODY_TOO_LARGE = 1003
    HEADERS_TOO_LARGE = 1004
    BODY_TIMEOUT = 1005
    UNKNOWN_PATH = 1006
    METHOD_NOT_ALLOWED = 1007
    MISSING_KEY = 2001
    UNKNOWN_KEY = 2002
    UNKNOWN_MODEL = 2003
    MODEL_NOT_GRANTED = 2004
    UNKNOWN_OPERATION = 2005
    OPERATION_NOT_GRANTED = 2006
    QUEUE_FULL = 3001
    ORGANISATION_QUEUE_FULL = 3002
    DEADLINE_UNREACHABLE = 3003
    DEADLINE_EXPIRED = 3004
    TOO_LARGE_FOR_MODEL = 3005
    RETRY_BUDGET_EXHAUSTED = 3006
    QUARANTINED = 3007
    TOO_MANY_CONNECTIONS = 3008
    NO_UPSTREAM = 4001
    UPSTREAM_UNREACHABLE = 4002
    UPSTREAM_TIMEOUT = 4003
    UPSTREAM_TRUNCATED = 4004
    UPSTREAM_GARBLED = 4005
    UPSTREAM_ERROR = 4006
    GENERATION_LOST = 4007
    UPSTREAM_OVERLONG = 4008
    UPSTREAM_DRAINING = 4009
    TICKET_REQUIRED = 5001
    TICKET_INVALID = 5002
    TICKET_BURNED = 5003
    TICKET_EXPIRED = 5004
    TICKET_OUTCOME_UNKNOWN = 5005
    TICKET_MISMATCH = 5006
    TICKET_RUNNING = 5007
    WITNESS_UNREACHABLE = 5008
    TICKET_ABANDONED = 5009
    TICKET_ANSWER_LOST = 5010
    STREAM_NOT_FOUND = 6001
    STREAM_INVALID = 6002
    STREAM_POSITION_GONE = 6003
    CALLER_TOO_SLOW = 6004
    STREAM_SUPERSEDED = 6005
    STREAM_HANDED_OVER = 6006
    STARTING = 7001
    DRAINING = 7002
    UNSURE = 7003
    LISTS_BEHIND = 7004
    LISTS_STALE = 7005
    INTERNAL = 9001


class CodeFacts(NamedTuple):
    """The outcome, HTTP status and retry safety of one result code."""

    outcome: Outcome
    http_status: int
    is_retry_safe: bool
    meaning: str


class Failure(NamedTuple):
    """A refusal or failure that is returned to the caller.

    `detail` is one human-readable sentence.  `retry_after_s` is None
    if waiting does not help.  `ticket` is an unused ticket that the
    caller may send with its next attempt.  `outcome` overrides the
    code's own outcome when the daemon knows it more precisely.
    """

    code: Code
    detail: str
    retry_after_s: float | None = None
    ticket: str | None = None
    outcome: Outcome | None = None


def _not_run(status: int, is_retry_safe: bool, meaning: str) -> CodeFacts:
    return CodeFacts(Outcome.NOT_RUN, status, is_retry_safe, meaning)


def _unknown(status: int, meaning: str) -> CodeFacts:
    return CodeFacts(Outcome.UNKNOWN, status, False, meaning)


CODE_FACTS: dict[Code, CodeFacts] = {
    Code.MALFORMED_BODY: _not_run(400, False, "The body is not valid JSON."),
    Code.INVALID_FIELD: _not_run(
        400, False, "A field is missing, of a wrong type or out of range."
    ),
    Code.BODY_TOO_LARGE: _not_run(
        413, False, "The body is longer than the limit."
    ),
    Code.HEADERS_TOO_LARGE: _not_run(
        431, False, "The headers are longer than the limit."
    ),
    Code.BODY_TIMEOUT: _not_run(
        408, True, "The body did not arrive within the time limit."
    ),
    Code.UNKNOWN_PATH: _not_run(404, False, "There is no such path."),
    Code.METHOD_NOT_ALLOWED: _not_run(
        405, False, "The path does not take this method."
    ),
    Code.MISSING_KEY: _not_run(401, False, "The call carries no API key."),
    Code.UNKNOWN_KEY: _not_run(
        401, False, "No organisation holds this API key."
    ),
    Code.UNKNOWN_MODEL: _not_run(404, False, "There is no such model."),
    Code.MODEL_NOT_GRANTED: _not_run(
        403, False, "The organisation's plan does not grant the model."
    ),
    Code.UNKNOWN_OPERATION: _not_run(
        404, False, "There is no such service or operation."
    ),
    Code.OPERATION_NOT_GRANTED: _not_run(
        403, False, "The organisation's plan does not grant the operation."
    ),
    Code.QUEUE_FULL: _not_run(429, True, "Too much work waits already."),
    Code.ORGANISATION_QUEUE_FULL: _not_run(
        429, True, "Too much work of this organisation waits already."
    ),
    Code.DEADLINE_UNREACHABLE: _not_run(
        503, True, "The work could not end before its deadline."
    ),
    Code.DEADLINE_EXPIRED: _not_run(
        504, True, "The deadline passed before the work was started."
    ),
    Code.TOO_LARGE_FOR_MODEL: _not_run(
        400, False, "No engine of the model has memory for the request."
    ),
    Code.RETRY_BUDGET_EXHAUSTED: _not_run(
        503, True, "The work failed and the retry budget is used up."
    ),
    Code.QUARANTINED: _not_run(
        503, True, "Engines died while running this request or a part of it."
    ),
    Code.TOO_MANY_CONNECTIONS: _not_run(
        503, True, "The daemon has as many connections as it may have."
    ),
    Code.NO_UPSTREAM: _not_run(
        503, True, "No upstream is ready for this work."
    ),
    Code.UPSTREAM_UNREACHABLE: _not_run(
        502, True, "The upstream refused the connection."
    ),
    Code.UPSTREAM_TIMEOUT: _unknown(
        504, "The upstream did not answer in time."
    ),
    Code.UPSTREAM_TRUNCATED: _unknown(
        502, "The upstream's answer ended too early."
    ),
    Code.UPSTREAM_GARBLED: _unknown(
        502, "The upstream's answer could not be understood."
    ),
    Code.UPSTREAM_ERROR: _unknown(502, "The upstream answered with an error."),
    Code.GENERATION_LOST: _unknown(
        502, "The engine died after part of the answer was delivered."
    ),
    Code.UPSTREAM_OVERLONG: _unknown(
        502, "The upstream's answer is longer than the limit."
    ),
    Code.UPSTREAM_DRAINING: _not_run(
        503, True, "The upstream is leaving and took no new work."
    ),
    Code.TICKET_REQUIRED: _not_run(
        428, True, "The operation needs a ticket; a fresh one is enclosed."
    ),
    Code.TICKET_INVALID: _not_run(
        400, False, "The ticket is malformed, forged or of another caller."
    ),
    Code.TICKET_BURNED: _not_run(
        409, True, "The ticket can never run; a fresh one is enclosed."
    ),
    Code.TICKET_EXPIRED: _unknown(
        410, "The ticket is too old to tell what became of it."
    ),
    Code.TICKET_OUTCOME_UNKNOWN: _unknown(
        504, "The work may have run; nothing better can be known."
    ),
    Code.TICKET_MISMATCH: _not_run(
        422, False, "The ticket belongs to another operation or body."
    ),
    Code.TICKET_RUNNING: _unknown(409, "The work is still running."),
    Code.WITNESS_UNREACHABLE: _not_run(
        503, True, "The witness of the ticket could not be reached."
    ),
    Code.TICKET_ABANDONED: _not_run(
        409, True, "The work was given up before it was sent."
    ),
    Code.TICKET_ANSWER_LOST: CodeFacts(
        Outcome.RAN, 410, False, "The work ran; its answer was not kept."
    ),
    Code.STREAM_NOT_FOUND: _unknown(404, "The stream is not known any more."),
    Code.STREAM_INVALID: _not_run(
        400, False, "The stream name is malformed, forged or another's."
    ),
    Code.STREAM_POSITION_GONE: _unknown(
        410, "The stream is known, but not from this position on."
    ),
    Code.CALLER_TOO_SLOW: _unknown(
        408, "The caller read too slowly and the stream was given up."
    ),
    Code.STREAM_SUPERSEDED: _unknown(
        409, "The stream was continued by another call."
    ),
    Code.STREAM_HANDED_OVER: _unknown(
        503, "The daemon leaves; the stream goes on at any other."
    ),
    Code.STARTING: _not_run(503, True, "The daemon is starting."),
    Code.DRAINING: _not_run(503, True, "The daemon is leaving."),
    Code.UNSURE: _not_run(
        503, True, "The daemon was paused and is refreshing its state."
    ),
    Code.LISTS_BEHIND: _not_run(
        503, True, "A newer revision of the lists exists than this daemon's."
    ),
    Code.LISTS_STALE: _not_run(
        503, True, "The lists in force were not confirmed for too long."
    ),
    Code.INTERNAL: _unknown(500, "The daemon failed."),
}


def outcome_of(failure: Failure) -> Outcome:
    """Return a failure's own outcome, or else that of its code."""
    if failure.outcome is not None:
        return failure.outcome
    return CODE_FACTS[failure.code].outcome
