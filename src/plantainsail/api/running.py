"""Middleware that counts the running requests of callers."""

from typing import Any

from starlette.types import ASGIApp, Message, Receive, Scope, Send

from plantainsail.runtime.node import Node

WORK_PATH_PREFIX = "/v1/"
CLOSE_HEADER = (b"connection", b"close")


class RequestCountMiddleware:
    """Counts each request below `/v1/` until its response has ended.

    Unless the daemon is serving, each response closes its connection,
    so that the load balancer sends the caller's next connection to
    another daemon.
    """

    def __init__(self, app: ASGIApp, node: Node) -> None:
        self.app = app
        self.node = node

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Forward one request to the application and count it."""
        is_work = scope["type"] == "http" and scope["path"].startswith(
            WORK_PATH_PREFIX
        )
        if not is_work:
            await self.app(scope, receive, send)
            return

        async def send_closing(message: Message) -> None:
            await send(self._add_close(message))

        with self.node.running.count(_work_kind(scope["path"])):
            await self.app(scope, receive, send_closing)

    def _add_close(self, message: Message) -> Message:
        is_start = message["type"] == "http.response.start"
        if not is_start or self.node.life_cycle.state == "serving":
            return message
        headers: list[Any] = list(message.get("headers", ()))
        return {**message, "headers": [*headers, CLOSE_HEADER]}


def _work_kind(path: str) -> str:
    return path.removeprefix(WORK_PATH_PREFIX).partition("/")[0]
