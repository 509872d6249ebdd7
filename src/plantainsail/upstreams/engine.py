"""The HTTP client for model engines."""

from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from typing import Annotated, Any, NotRequired, TypedDict

import aiosonic
import msgspec
from msgspec import Meta

from plantainsail.decoding import UndecodableError, decode
from plantainsail.lists.model import HostEntry
from plantainsail.policy.order_owners import ORDER_TIMEOUT_S
from plantainsail.policy.orders import AnswerKind, Order, OrderAnswer
from plantainsail.results import Code, Failure
from plantainsail.routing.event_frames import EventFrames, EventTooLongError
from plantainsail.settings import TimeLimits
from plantainsail.upstreams.connections import SendState
from plantainsail.upstreams.http import (
    UpstreamRequest,
    WholeAnswer,
    body_pieces,
    check_head,
    failure_from_error,
    fetch,
    send,
)
from plantainsail.upstreams.protocols import (
    Chunk,
    GenerationRequest,
    ReadResult,
)

MAX_CONTROL_ANSWER_BYTES = 65_536
MAX_COUNT = 2**31
MAX_FENCING_NUMBER = 2**63 - 1
DATA_PREFIX = b"data:"
COMMENT_PREFIX = b":"
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_DRAINING = 503
CANCELLED_STATUSES = frozenset({HTTP_OK, HTTP_NOT_FOUND, HTTP_CONFLICT})

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]


class ChunkMessage(TypedDict):
    """A chunk in the JSON form that engines send."""

    request: str
    generation: str
    attempt: Count
    position: Count
    tokens: Count
    text: str
    finish_reason: NotRequired[str | None]


class FencedMessage(TypedDict):
    """An engine's answer to an order with an old fencing number."""

    fencing_number: Annotated[int, Meta(ge=0, le=MAX_FENCING_NUMBER)]


FENCED_DECODER = msgspec.json.Decoder(FencedMessage)
CHUNK_DECODER = msgspec.json.Decoder(ChunkMessage)


class InvalidEventError(Exception):
    """A server-sent event does not hold a valid chunk."""


def decode_event(event: bytes) -> Chunk:
    """Return the chunk in one server-sent event.

    Raises `InvalidEventError`.  Text without tokens is invalid, since
    the chunk after it would have the same position.
    """
    data = event.strip()
    if not data.startswith(DATA_PREFIX):
        raise InvalidEventError
    try:
        message = decode(CHUNK_DECODER, data[len(DATA_PREFIX) :])
    except UndecodableError as error:
        raise InvalidEventError from error
    if message["text"] and not message["tokens"]:
        raise InvalidEventError
    return Chunk(
        message["request"],
        message["generation"],
        message["attempt"],
        message["position"],
        message["tokens"],
        message["text"],
        message.get("finish_reason"),
    )


class EventDecoder:
    """Splits the bytes of one answer into chunks."""

    def __init__(self) -> None:
        self.frames = EventFrames()

    def feed(self, piece: bytes) -> list[Chunk]:
        """Return the chunks whose events end in `piece`.

        Raises `InvalidEventError` for an invalid event, or if too much
        data completes no event.
        """
        try:
            frames = self.frames.feed(piece)
        except EventTooLongError as error:
            raise InvalidEventError from error
        return [
            decode_event(frame.data)
            for frame in frames
            if not frame.data.startswith(COMMENT_PREFIX)
        ]


class HttpEngineClient:
    """Calls engines over HTTP; chunks arrive as server-sent events.

    Each call opens its own connection.  The daemon's relay limits the
    time between chunks; for streams only connecting is limited here.
    """

    def __init__(
        self, client: aiosonic.HTTPClient, time_limits: TimeLimits
    ) -> None:
        self.client = client
        self.time_limits = time_limits

    def generate(
        self, engine: HostEntry, request: GenerationRequest
    ) -> AsyncGenerator[ReadResult, None]:
        """Start a generation; yield its chunks, or one failure."""
        body: dict[str, Any] = request._asdict() | {"stream": True}
        call = UpstreamRequest(
            method="POST",
            url=f"http://{engine.address}/v1/completions",
            upstream=engine.host,
            request=request.request,
            body=msgspec.json.encode(body),
            headers={"content-type": "application/json"},
        )
        return self._stream_chunks(call)

    def resume(
        self, engine: HostEntry, request: GenerationRequest, position: int
    ) -> AsyncGenerator[ReadResult, None]:
        """Yield a running generation's chunks from `position` on."""
        call = UpstreamRequest(
            method="GET",
            url=(
                f"http://{engine.address}/v1/generations/"
                f"{request.generation}/chunks?from={position}"
                f"&attempt={request.attempt}"
            ),
            upstream=engine.host,
            request=request.request,
        )
        return self._stream_chunks(call)

    async def cancel(
        self, engine: HostEntry, generation: str, attempt: int = 0
    ) -> bool:
        """End a generation; return whether it is certainly over here.

        It is if the engine confirmed it, does not know the generation,
        or was asked for it by a newer relay.
        """
        call = UpstreamRequest(
            method="DELETE",
            url=(
                f"http://{engine.address}/v1/generations/{generation}"
                f"?attempt={attempt}"
            ),
            upstream=engine.host,
            request=generation,
        )
        answer = await fetch(
            self.client,
            call,
            MAX_CONTROL_ANSWER_BYTES,
            self.time_limits.connect_s,
            self.time_limits.silence_s,
        )
        return answer.is_ok() and answer.ok.status in CANCELLED_STATUSES

    async def order(
        self, engine: HostEntry, order: Order, may_write: Callable[[], bool]
    ) -> OrderAnswer:
        """Send an order once and return the engine's answer."""
        message = {
            "order": order.kind.value,
            "subject": order.subject,
            "replaces": order.replaces,
            "incarnation": order.incarnation,
            "fencing_number": order.number,
        }
        call = UpstreamRequest(
            method="POST",
            url=f"http://{engine.address}/v1/orders",
            upstream=engine.host,
            request=f"order-{order.number}",
            body=msgspec.json.encode(message),
            headers={"content-type": "application/json"},
        )
        send_state = SendState(may_write)
        answer = await fetch(
            self.client,
            call,
            MAX_CONTROL_ANSWER_BYTES,
            min(self.time_limits.connect_s, ORDER_TIMEOUT_S),
            ORDER_TIMEOUT_S,
            send_state,
        )
        if answer.is_error():
            # An order that was not sent certainly had no effect.
            return OrderAnswer(
                AnswerKind.UNKNOWN
                if send_state.is_sent
                else AnswerKind.UNREACHABLE
            )
        return _order_answer(answer.ok)

    async def _stream_chunks(
        self, call: UpstreamRequest
    ) -> AsyncGenerator[ReadResult, None]:
        """Yield decoded chunks up to the last one, or one failure.

        All exceptions are caught here, since the library raises errors
        of many types for the same broken connection.
        """
        send_state = SendState()
        response = None
        try:
            response = await send(
                self.client, call, send_state, self.time_limits.connect_s
            )
            rejection = check_head(response, call, send_state)
            if response.status_code != HTTP_OK:
                rejection = _failure_of_status(call, int(response.status_code))
            if rejection is not None:
                yield ReadResult(failure=rejection)
                return
            decoder = EventDecoder()
            async with aclosing(body_pieces(response)) as pieces:
                async for piece in pieces:
                    chunks = decoder.feed(piece)
                    if chunks:
                        yield ReadResult(chunks)
                        if chunks[-1].finish_reason is not None:
                            return
        except Exception as error:
            yield ReadResult(
                failure=failure_from_error(error, call.upstream, send_state)
            )
            return
        finally:
            if response is not None:
                await response.aclose()
        yield ReadResult(
            failure=Failure(
                Code.UPSTREAM_TRUNCATED,
                f"{call.upstream} ended its answer without a last chunk",
            )
        )


def _order_answer(answer: WholeAnswer) -> OrderAnswer:
    if answer.status == HTTP_OK:
        return OrderAnswer(AnswerKind.ACCEPTED)
    if answer.status == HTTP_DRAINING:
        return OrderAnswer(AnswerKind.LEAVING)
    if answer.status != HTTP_CONFLICT:
        return OrderAnswer(AnswerKind.REFUSED)
    try:
        message = decode(FENCED_DECODER, answer.body)
    except UndecodableError:
        return OrderAnswer(AnswerKind.REFUSED)
    return OrderAnswer(AnswerKind.FENCED, message["fencing_number"])


def _failure_of_status(call: UpstreamRequest, status: int) -> Failure:
    if status == HTTP_DRAINING:
        return Failure(
            Code.UPSTREAM_DRAINING, f"{call.upstream} takes no new work"
        )
    if status == HTTP_NOT_FOUND:
        return Failure(
            Code.GENERATION_LOST,
            f"{call.upstream} does not know the generation",
        )
    if status == HTTP_CONFLICT:
        return Failure(
            Code.STREAM_SUPERSEDED,
            f"{call.upstream} was asked by a newer relay",
        )
    return Failure(
        Code.UPSTREAM_ERROR,
        f"{call.upstream} answered with status {status}",
    )
