"""HTTP handler that resumes a stream: `GET /v1/streams/{stream}`."""

from expression import Error, Ok, Result
from starlette.requests import Request
from starlette.responses import Response

from plantainsail.api.auth import identify_caller
from plantainsail.api.commands import node_of, refuse
from plantainsail.api.event_stream import (
    EventStream,
    result_unless_disconnected,
)
from plantainsail.results import Code, Failure
from plantainsail.runtime.life_cycle import SURE_STATES
from plantainsail.runtime.live_streams import Batch
from plantainsail.runtime.resumes import ResumedReader, stream_facts_of
from plantainsail.streams.naming import verify_name

POSITION_HEADER = "last-event-id"
MAX_POSITION_DIGITS = 10
RETRY_AFTER_S = 1.0


async def get_stream(request: Request) -> Response:
    """Resume a stream after the position in `last-event-id`."""
    node = node_of(request)
    node.metrics.requests.labels("resume").inc()
    node.is_sure()
    state = node.life_cycle.state
    if state not in SURE_STATES:
        return refuse(
            node,
            Failure(Code.UNSURE, f"the daemon is {state}", RETRY_AFTER_S),
        )
    if not node.accepts_streams:
        return refuse(
            node,
            Failure(Code.DRAINING, "the daemon hands its streams over", 1.0),
        )
    caller = identify_caller(request, node.store.lists)
    if caller.is_error():
        return refuse(node, caller.error)
    position = _parse_position(request)
    if position.is_error():
        return refuse(node, position.error)
    text = request.path_params["stream"]
    name = verify_name(text, caller.ok.organisation, node.signer)
    if name.is_error():
        return refuse(node, name.error)
    behind = node.freshness.find_work_failure(name.ok.lists_revision)
    if behind is not None:
        return refuse(node, behind)
    reader = ResumedReader(node, name.ok, text, position.ok)
    first = await result_unless_disconnected(request, _open_and_read(reader))
    if first is None:
        reader.close()
        return Response()
    if first.is_error():
        reader.close()
        return refuse(node, first.error)
    return EventStream(node, reader, first.ok, stream_facts_of(name.ok))


async def _open_and_read(reader: ResumedReader) -> Result[Batch, Failure]:
    failure = await reader.open()
    if failure is not None:
        return Error(failure)
    batch = await reader.next()
    if batch.failure is not None and not batch.chunks:
        return Error(batch.failure)
    return Ok(batch)


def _parse_position(request: Request) -> Result[int, Failure]:
    """Return the last position that the caller received, or 0."""
    text = request.headers.get(POSITION_HEADER, "0").strip()
    if not (text.isascii() and text.isdigit()):
        return Error(_invalid_position())
    if len(text) > MAX_POSITION_DIGITS:
        return Error(_invalid_position())
    return Ok(int(text))


def _invalid_position() -> Failure:
    return Failure(
        Code.INVALID_FIELD, f"{POSITION_HEADER}: expected a position"
    )
