"""HTTP handlers of operators' calls that change the daemon's state."""

from starlette.requests import Request
from starlette.responses import Response

from plantainsail.api.commands import node_of
from plantainsail.api.responses import json_response

HTTP_ACCEPTED = 202


async def post_drain(request: Request) -> Response:
    """Answer `POST /v1/operator/drain`: start to drain the daemon.

    A repeated call makes the daemon skip its settle time and hand over
    the streams that callers can resume at other daemons.
    """
    node = node_of(request)
    node.request_drain()
    return json_response(
        {
            "state": node.life_cycle.state,
            "running": node.running.by_kind(),
            "is_hurried": not node.accepts_streams,
        },
        HTTP_ACCEPTED,
    )
