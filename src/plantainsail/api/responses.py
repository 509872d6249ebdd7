"""JSON and error responses in the format of the OpenAI API."""

from collections.abc import Mapping
from typing import Any

import msgspec
from starlette.responses import Response

from plantainsail.results import CODE_FACTS, Code, Failure, outcome_of

TICKET_HEADER = "Plantainsail-Ticket"
OUTCOME_HEADER = "Plantainsail-Outcome"
CODE_HEADER = "Plantainsail-Code"
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500


def json_response(
    value: object, status: int = 200, headers: Mapping[str, str] | None = None
) -> Response:
    """Return a JSON response."""
    return Response(
        msgspec.json.encode(value),
        status_code=status,
        media_type="application/json",
        headers=headers,
    )


def failure_body(failure: Failure) -> dict[str, Any]:
    """Return the JSON error object of a failure."""
    code = Code(failure.code)
    return {
        "error": {
            "message": failure.detail,
            "type": _error_type(CODE_FACTS[code].http_status),
            "param": None,
            "code": code.name.lower(),
            "number": int(code),
            "outcome": outcome_of(failure),
        }
    }


def failure_response(failure: Failure) -> Response:
    """Return the HTTP error response for a failure."""
    code = Code(failure.code)
    headers = {
        CODE_HEADER: str(int(code)),
        OUTCOME_HEADER: outcome_of(failure).value,
    }
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(failure.retry_after_s)))
    if failure.ticket is not None:
        headers[TICKET_HEADER] = failure.ticket
    return json_response(
        failure_body(failure), CODE_FACTS[code].http_status, headers
    )


def _error_type(status: int) -> str:
    if status == HTTP_TOO_MANY_REQUESTS:
        return "rate_limit_error"
    if status >= HTTP_SERVER_ERROR:
        return "server_error"
    return "invalid_request_error"
