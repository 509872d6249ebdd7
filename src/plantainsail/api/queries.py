"""HTTP handlers for health, readiness, metrics, views and errors."""

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response

from plantainsail.api import views
from plantainsail.api.commands import node_of, refuse
from plantainsail.api.responses import json_response
from plantainsail.results import Code, Failure
from plantainsail.runtime.list_freshness import REFUSAL_CODES

HTTP_UNAVAILABLE = 503


async def get_healthz(request: Request) -> Response:
    """Answer `GET /healthz`: 200 while the process runs."""
    return PlainTextResponse("ok\n")


async def get_readyz(request: Request) -> Response:
    """Answer `GET /readyz`: 200 if the daemon accepts new work."""
    node = node_of(request)
    state: str = node.life_cycle.state
    if state == "serving":
        verdict = node.freshness.verdict()
        if verdict not in REFUSAL_CODES:
            return PlainTextResponse("ready\n")
        state = f"lists {verdict}"
    return PlainTextResponse(f"{state}\n", HTTP_UNAVAILABLE)


async def get_metrics(request: Request) -> Response:
    """Answer `GET /metrics` in the text format of Prometheus."""
    node = node_of(request)
    node.metrics.slice_tokens.clear()
    for host, tokens in node.dispatcher.slice_tokens().items():
        node.metrics.slice_tokens.labels(host).set(tokens)
    node.metrics.lists_age.set(node.store.age_s(node.now_s()))
    return Response(
        generate_latest(node.metrics.registry),
        headers={"content-type": CONTENT_TYPE_LATEST},
    )


async def get_status(request: Request) -> Response:
    """Answer `GET /v1/operator/status`."""
    return json_response(views.view_status(node_of(request)))


async def get_peers(request: Request) -> Response:
    """Answer `GET /v1/operator/peers`."""
    return json_response(views.view_peers(node_of(request)))


async def get_upstreams(request: Request) -> Response:
    """Answer `GET /v1/operator/upstreams`."""
    return json_response(views.view_upstreams(node_of(request)))


async def get_organisations(request: Request) -> Response:
    """Answer `GET /v1/operator/organisations`."""
    return json_response(views.view_organisations(node_of(request)))


async def not_found(request: Request, error: Exception) -> Response:
    """Answer a request for an unknown path."""
    return refuse(
        node_of(request), Failure(Code.UNKNOWN_PATH, "there is no such path")
    )


async def not_allowed(request: Request, error: Exception) -> Response:
    """Answer a request whose method the path does not support."""
    return refuse(
        node_of(request),
        Failure(Code.METHOD_NOT_ALLOWED, f"not with {request.method}"),
    )


async def internal(request: Request, error: Exception) -> Response:
    """Answer a request whose handler raised an exception."""
    return refuse(
        node_of(request), Failure(Code.INTERNAL, type(error).__name__)
    )
