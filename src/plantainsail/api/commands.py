"""HTTP handlers for generations, service calls and tickets."""

from typing import NamedTuple

from expression import Error, Ok, Result
from starlette.requests import Request
from starlette.responses import Response

from plantainsail.api.auth import (
    Caller,
    check_model,
    check_operation,
    identify_caller,
)
from plantainsail.api.bodies import (
    GenerationBody,
    parse_chat,
    parse_completion,
    parse_json,
    read_body,
)
from plantainsail.api.completions import (
    CHAT_SHAPE,
    TEXT_SHAPE,
    Shape,
    complete,
    make_work,
    parse_deadline,
)
from plantainsail.api.responses import failure_response
from plantainsail.api.tickets import (
    call_with_ticket,
    describe_ticket,
    has_ticket,
    mint_ticket,
    with_unknown_outcome,
)
from plantainsail.results import Code, Failure, Outcome
from plantainsail.runtime.node import Node
from plantainsail.runtime.service_calls import ServiceRead, call_idempotent

REFUSAL_CODES_BY_STATE = {
    "starting": Code.STARTING,
    "unsure": Code.UNSURE,
    "draining": Code.DRAINING,
    "draining_unsure": Code.DRAINING,
    "left": Code.DRAINING,
}
RETRY_AFTER_S = 1.0


def node_of(request: Request) -> Node:
    """Return the node of the application that got the request."""
    node: Node = request.app.state.node
    return node


def refuse(node: Node, failure: Failure) -> Response:
    """Count a failure and return the error response for it."""
    node.metrics.count_failure(failure)
    return failure_response(failure)


def admit(request: Request) -> Result[Caller, Failure]:
    """Return the caller if the daemon accepts new work now."""
    node = node_of(request)
    node.is_sure()
    code = REFUSAL_CODES_BY_STATE.get(node.life_cycle.state)
    if code is not None:
        state = node.life_cycle.state
        return Error(Failure(code, f"the daemon is {state}", RETRY_AFTER_S))
    stale = node.freshness.find_failure()
    if stale is not None:
        return Error(stale)
    return identify_caller(request, node.store.lists)


async def post_chat_completion(request: Request) -> Response:
    """Answer `POST /v1/chat/completions`."""
    return await _post_generation(request, CHAT_SHAPE)


async def post_completion(request: Request) -> Response:
    """Answer `POST /v1/completions`."""
    return await _post_generation(request, TEXT_SHAPE)


async def _post_generation(request: Request, shape: Shape) -> Response:
    node = node_of(request)
    node.metrics.requests.labels("generation").inc()
    caller = admit(request)
    if caller.is_error():
        return refuse(node, caller.error)
    deadline = parse_deadline(
        request, node.now_s(), node.settings.time_limits.request_s
    )
    if deadline.is_error():
        return refuse(node, deadline.error)
    body = await _read_generation(request, caller.ok, shape)
    if body.is_error():
        return refuse(node, body.error)
    work = make_work(
        node,
        caller.ok.organisation,
        caller.ok.grant.plan,
        body.ok,
        deadline.ok,
    )
    return await complete(node, request, work, body.ok, shape)


async def _read_generation(
    request: Request, caller: Caller, shape: Shape
) -> Result[GenerationBody, Failure]:
    node = node_of(request)
    received = await read_body(request, node.settings, node.buffers)
    parse = parse_chat if shape.is_chat else parse_completion
    body = received.bind(parse_json).bind(parse)
    if body.is_error():
        return body
    granted = check_model(caller, body.ok.model, node.store.lists)
    if granted.is_error():
        return Error(granted.error)
    return Ok(body.ok)


async def post_service_call(request: Request) -> Response:
    """Answer `POST /v1/services/{service}/{operation}`."""
    node = node_of(request)
    node.metrics.requests.labels("service").inc()
    checked = await _read_service_call(request)
    if checked.is_error():
        return refuse(node, with_unknown_outcome(request, checked.error))
    caller, is_idempotent, body = checked.ok
    deadline = parse_deadline(
        request, node.now_s(), node.settings.time_limits.service_s
    )
    if deadline.is_error():
        return refuse(node, with_unknown_outcome(request, deadline.error))
    if is_idempotent:
        read = ServiceRead(
            caller.organisation,
            request.path_params["service"],
            request.path_params["operation"],
            body,
            deadline.ok,
        )
        answer = await call_idempotent(node, read)
    else:
        answer = await call_with_ticket(
            node, request, caller, body, deadline.ok
        )
    if answer.is_error():
        return refuse(node, answer.error)
    return Response(
        answer.ok.body, answer.ok.status, media_type="application/json"
    )


class CheckedCall(NamedTuple):
    """A service call that passed all checks."""

    caller: Caller
    is_idempotent: bool
    body: bytes


async def _read_service_call(
    request: Request,
) -> Result[CheckedCall, Failure]:
    node = node_of(request)
    caller = admit(request)
    if has_ticket(request) and node.life_cycle.state == "draining":
        # The call is forwarded to the ticket's executor, or the ticket
        # is burned here, so that its outcome does not stay unknown.
        caller = identify_caller(request, node.store.lists)
    if caller.is_error():
        return Error(caller.error)
    is_idempotent = check_operation(
        caller.ok,
        request.path_params["service"],
        request.path_params["operation"],
        node.store.lists,
    )
    if is_idempotent.is_error():
        return Error(is_idempotent.error)
    body = await read_body(request, node.settings, node.buffers)
    checked = body.bind(parse_json)
    if checked.is_error():
        return Error(checked.error)
    return Ok(CheckedCall(caller.ok, is_idempotent.ok, body.ok))


async def post_ticket(request: Request) -> Response:
    """Answer `POST /v1/tickets`."""
    node = node_of(request)
    node.metrics.requests.labels("ticket").inc()
    minted = admit(request).bind(lambda caller: mint_ticket(node, caller))
    if minted.is_error():
        return refuse(node, minted.error)
    return minted.ok


async def get_ticket(request: Request) -> Response:
    """Answer `GET /v1/tickets/{ticket}`.

    The query burns a ticket that was never used.  Otherwise the ticket
    could still run after this answer has said "not run".
    """
    node = node_of(request)
    node.metrics.requests.labels("ticket").inc()
    node.is_sure()
    caller = identify_caller(request, node.store.lists)
    if caller.is_error():
        failure = caller.error._replace(outcome=Outcome.UNKNOWN)
        return refuse(node, failure)
    signed_ticket = request.path_params["ticket"]
    described = await describe_ticket(node, caller.ok, signed_ticket)
    if described.is_error():
        return refuse(node, described.error)
    return described.ok
