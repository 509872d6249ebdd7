"""The HTTP applications (routes and middleware) of both listeners."""

from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.routing import Route

from plantainsail.api import commands, operator_commands, queries
from plantainsail.api.running import RequestCountMiddleware
from plantainsail.api.streams import get_stream
from plantainsail.api.tickets import TicketMiddleware
from plantainsail.runtime.node import Node

EXCEPTION_HANDLERS = {
    404: queries.not_found,
    405: queries.not_allowed,
    500: queries.internal,
}


def make_caller_app(node: Node) -> Starlette:
    """Return the HTTP application for callers."""
    app = Starlette(
        routes=[
            Route(
                "/v1/chat/completions",
                commands.post_chat_completion,
                methods=["POST"],
            ),
            Route(
                "/v1/completions",
                commands.post_completion,
                methods=["POST"],
            ),
            Route(
                "/v1/services/{service}/{operation}",
                commands.post_service_call,
                methods=["POST"],
            ),
            Route("/v1/streams/{stream}", get_stream),
            Route("/v1/tickets", commands.post_ticket, methods=["POST"]),
            Route("/v1/tickets/{ticket}", commands.get_ticket),
            Route("/healthz", queries.get_healthz),
            Route("/readyz", queries.get_readyz),
        ],
        exception_handlers=EXCEPTION_HANDLERS,
        middleware=[
            Middleware(RequestCountMiddleware, node=node),
            Middleware(TicketMiddleware, node=node),
        ],
    )
    app.state.node = node
    return app


def make_operator_app(node: Node) -> Starlette:
    """Return the HTTP application for operators."""
    app = Starlette(
        routes=[
            Route("/healthz", queries.get_healthz),
            Route("/readyz", queries.get_readyz),
            Route("/metrics", queries.get_metrics),
            Route("/v1/operator/status", queries.get_status),
            Route("/v1/operator/peers", queries.get_peers),
            Route("/v1/operator/upstreams", queries.get_upstreams),
            Route("/v1/operator/organisations", queries.get_organisations),
            Route(
                "/v1/operator/drain",
                operator_commands.post_drain,
                methods=["POST"],
            ),
        ],
        exception_handlers=EXCEPTION_HANDLERS,
    )
    app.state.node = node
    return app
