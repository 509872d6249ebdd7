"""The HTTP side of tickets: minting, ticketed calls and queries."""

from typing import Any

from expression import Error, Ok, Result
from starlette.datastructures import MutableHeaders
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from plantainsail.api.auth import Caller, identify_caller
from plantainsail.api.responses import (
    OUTCOME_HEADER,
    TICKET_HEADER,
    json_response,
)
from plantainsail.decoding import UndecodableError, decode_json
from plantainsail.lists.model import Grant, PublishedLists
from plantainsail.results import Code, Failure, Outcome, outcome_of
from plantainsail.runtime.node import Node
from plantainsail.runtime.tickets import TicketedCall
from plantainsail.tickets.executor import CallResult
from plantainsail.tickets.ticket import Ticket, check_owner

RETRY_AFTER_S = 1.0
RUNNING = "running"


def has_ticket(request: Request) -> bool:
    """Return whether a request has a ticket in its headers."""
    return TICKET_HEADER in request.headers


def with_unknown_outcome(request: Request, failure: Failure) -> Failure:
    """Adjust a failure that occurred before the ticket was checked.

    A call without a ticket keeps the outcome "not run".  With a
    ticket, an earlier attempt may have run elsewhere, so the outcome
    is unknown and the caller must send the same ticket again.
    """
    if not has_ticket(request):
        return failure
    return failure._replace(
        outcome=Outcome.UNKNOWN,
        detail=f"{failure.detail}; send the same ticket again",
    )


async def call_with_ticket(
    node: Node,
    request: Request,
    caller: Caller,
    body: bytes,
    deadline_s: float,
) -> CallResult:
    """Run a request's service call at most once, by its ticket."""
    if not has_ticket(request):
        return Error(Failure(Code.TICKET_REQUIRED, "a ticket is needed"))
    text = request.headers[TICKET_HEADER]
    opened = _open_ticket(node, text, caller)
    if opened.is_error():
        return Error(opened.error)
    call = TicketedCall(
        ticket=opened.ok,
        text=text,
        service=request.path_params["service"],
        operation=request.path_params["operation"],
        body=body,
        deadline_s=deadline_s,
        lists_revision=node.store.lists.revision,
    )
    result = await node.tickets.run(call)
    _count_outcome(node, result)
    return result


def _open_ticket(
    node: Node, text: str, caller: Caller
) -> Result[Ticket, Failure]:
    opened = node.tickets.verify_text(text).bind(
        lambda ticket: check_owner(ticket, caller.organisation)
    )
    if opened.is_error():
        return opened
    behind = node.freshness.find_work_failure(opened.ok.lists_revision)
    if behind is not None:
        return Error(behind._replace(outcome=Outcome.UNKNOWN))
    return opened


def _count_outcome(node: Node, result: CallResult) -> None:
    outcome = Outcome.RAN
    if result.is_error():
        outcome = outcome_of(result.error)
    node.metrics.tickets.labels(outcome.value).inc()


def mint_ticket(node: Node, caller: Caller) -> Result[Response, Failure]:
    """Return a response with a new ticket in its body and header."""
    text = node.tickets.mint.mint(caller.organisation)
    if text is None:
        return Error(
            Failure(
                Code.QUEUE_FULL,
                "no ticket can be minted here now",
                retry_after_s=RETRY_AFTER_S,
            )
        )
    return Ok(json_response({"ticket": text}, headers={TICKET_HEADER: text}))


async def describe_ticket(
    node: Node, caller: Caller, text: str
) -> Result[Response, Failure]:
    """Return a response with the outcome of a ticket's call."""
    opened = _open_ticket(node, text, caller)
    if opened.is_error():
        return Error(opened.error)
    deadline_s = node.now_s() + node.settings.time_limits.service_s
    result = await node.tickets.query(opened.ok, text, deadline_s)
    return Ok(_describe_result(result))


def _describe_result(result: CallResult) -> Response:
    value: dict[str, Any] = {"outcome": Outcome.RAN.value}
    if result.is_ok():
        value["status"] = result.ok.status
        value["answer"] = _decode_json_or_text(result.ok.body)
    else:
        failure = result.error
        code = Code(failure.code)
        value["outcome"] = outcome_of(failure).value
        if code is Code.TICKET_RUNNING:
            value["outcome"] = RUNNING
        value |= {
            "code": code.name.lower(),
            "number": int(code),
            "message": failure.detail,
        }
    return json_response(value, headers={OUTCOME_HEADER: value["outcome"]})


def _decode_json_or_text(body: bytes) -> object:
    try:
        return decode_json(body)
    except UndecodableError:
        return body.decode(errors="replace")


def needs_tickets(grant: Grant, lists: PublishedLists) -> bool:
    """Return whether a plan grants a non-idempotent operation."""
    granted = set(grant.operations)
    for service in lists.services.values():
        for operation in service.operations:
            if operation.is_idempotent:
                continue
            if f"{service.service}/{operation.operation}" in granted:
                return True
    return False


class TicketMiddleware:
    """Adds a new ticket to each response to a caller who needs tickets.

    A caller that calls regularly therefore needs no separate request
    for a ticket.
    """

    def __init__(self, app: ASGIApp, node: Node) -> None:
        self.app = app
        self.node = node

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Forward one request and add a ticket to its response."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return

        async def send_with_ticket(message: Message) -> None:
            if message["type"] == "http.response.start":
                self._add_ticket(scope, MutableHeaders(scope=message))
            await send(message)

        await self.app(scope, receive, send_with_ticket)

    def _add_ticket(self, scope: Scope, headers: MutableHeaders) -> None:
        if TICKET_HEADER in headers:
            return
        lists = self.node.store.lists
        caller = identify_caller(Request(scope), lists)
        if caller.is_error() or not needs_tickets(caller.ok.grant, lists):
            return
        text = self.node.tickets.mint.mint(caller.ok.organisation)
        if text is not None:
            headers[TICKET_HEADER] = text
