"""The order endpoint of a stand-in engine."""

import json
from typing import Any, NamedTuple

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route


class TakenOrder(NamedTuple):
    """A received order and whether it took effect."""

    order: str
    subject: str
    number: int
    is_accepted: bool


class OrderBook:
    """Accepts or refuses orders, and records all of them.

    With `checks_fencing`, an order is refused if its fencing number is
    below the highest one received; otherwise every order is accepted.
    """

    def __init__(self, *, checks_fencing: bool) -> None:
        self.checks_fencing = checks_fencing
        self.highest = 0
        self.taken: list[TakenOrder] = []
        self.route = Route("/v1/orders", self.post, methods=["POST"])

    def take(self, order: str, subject: str, number: int) -> bool:
        """Record an order; return whether it takes effect."""
        is_accepted = number >= self.highest or not self.checks_fencing
        self.taken.append(TakenOrder(order, subject, number, is_accepted))
        self.highest = max(self.highest, number)
        return is_accepted

    def accepted(self) -> list[TakenOrder]:
        """Return the orders that took effect, in order of arrival."""
        return [taken for taken in self.taken if taken.is_accepted]

    async def post(self, request: Request) -> Response:
        """Answer `POST /v1/orders`; a refused order gets a 409."""
        body: dict[str, Any] = json.loads(await request.body())
        if self.take(body["order"], body["subject"], body["fencing_number"]):
            return JSONResponse({"accepted": True})
        return JSONResponse({"fencing_number": self.highest}, 409)
