"""Chat and plain completions, streamed or as one response."""

import hashlib
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result
from starlette.requests import Request
from starlette.responses import Response

from plantainsail.api.bodies import GenerationBody
from plantainsail.api.event_stream import (
    BatchReader,
    EventStream,
    result_unless_disconnected,
)
from plantainsail.api.responses import failure_response, json_response
from plantainsail.identity import draw_identifier
from plantainsail.policy.prefixes import prefix_hashes
from plantainsail.policy.work import Work
from plantainsail.results import Code, Failure
from plantainsail.runtime.generation_messages import Prompt
from plantainsail.runtime.generations import run_generation
from plantainsail.runtime.joins import join_at_peer, keyed_request_identifier
from plantainsail.runtime.live_streams import (
    IdempotencyKey,
    Joinable,
    LiveStream,
)
from plantainsail.runtime.node import Node
from plantainsail.runtime.resumes import LocalReader
from plantainsail.streams.events import (
    CHAT_SHAPE,
    TEXT_SHAPE,
    Shape,
    StreamFacts,
    unstreamed_body,
)

__all__ = ["CHAT_SHAPE", "TEXT_SHAPE", "Shape", "complete", "make_work"]

BYTES_PER_TOKEN = 4
MS_PER_S = 1_000
MAX_KEY_LENGTH = 255
DEADLINE_HEADER = "plantainsail-deadline-ms"
IDEMPOTENCY_HEADER = "idempotency-key"
RESUMES_HEADER = "plantainsail-resumes"
# The response is not read, because the caller has disconnected.
CALLER_DISCONNECTED = Failure(Code.STREAM_NOT_FOUND, "the caller left")


class CompletedText(NamedTuple):
    """The whole text of a generation that ended without a failure."""

    text: str
    tokens: int
    finish_reason: str | None


def parse_deadline(
    request: Request, now_s: float, limit_s: float
) -> Result[float, Failure]:
    """Return the deadline of a call, on the daemon's clock.

    A caller's header may shorten the time in milliseconds, but can't
    extend it beyond the daemon's own limit.
    """
    header = request.headers.get(DEADLINE_HEADER)
    if header is None:
        return Ok(now_s + limit_s)
    if not (header.isascii() and header.isdigit() and len(header) <= 12):
        return Error(
            Failure(
                Code.INVALID_FIELD,
                f"{DEADLINE_HEADER}: expected milliseconds",
            )
        )
    return Ok(now_s + min(limit_s, int(header) / MS_PER_S))


def make_work(
    node: Node,
    organisation: str,
    plan: str,
    body: GenerationBody,
    deadline_s: float,
) -> Work:
    """Return what the scheduling policy needs to know of a request."""
    prompt = body.prompt.encode()
    return Work(
        request=draw_identifier("req", node.random),
        organisation=organisation,
        plan=plan,
        model=body.model,
        prompt_tokens=len(prompt) // BYTES_PER_TOKEN + 1,
        prompt_bytes=len(prompt),
        max_tokens=body.max_tokens,
        arrived_s=node.now_s(),
        deadline_s=deadline_s,
        prefixes=prefix_hashes(prompt),
    )


async def complete(
    node: Node,
    request: Request,
    work: Work,
    body: GenerationBody,
    shape: Shape,
) -> Response:
    """Run a generation or join a running one; return the response."""
    opened = await _attach_or_run(node, request, work, body, shape)
    if opened.is_error():
        return _refuse(node, opened.error)
    reader = opened.ok
    facts = StreamFacts(work.request, work.model, work.prompt_tokens, shape)
    if isinstance(reader, LocalReader):
        stream = reader.reader.stream
        stream.can_resume |= request.headers.get(RESUMES_HEADER) == "true"
        facts = stream.facts
    if not body.is_stream:
        return await _answer_unstreamed(node, request, reader, facts)
    first = await result_unless_disconnected(request, reader.next())
    if first is None:
        reader.close()
        return failure_response(CALLER_DISCONNECTED)
    if first.failure is not None and not first.chunks:
        reader.discard()
        return _refuse(node, first.failure)
    return EventStream(node, reader, first, facts)


def _refuse(node: Node, failure: Failure) -> Response:
    node.metrics.count_failure(failure)
    return failure_response(failure)


async def _attach_or_run(
    node: Node,
    request: Request,
    work: Work,
    body: GenerationBody,
    shape: Shape,
) -> Result[BatchReader, Failure]:
    header = request.headers.get(IDEMPOTENCY_HEADER)
    if header is None:
        return _start_generation(node, work, body, shape).bind(
            lambda stream: _open_reader(node, stream, body)
        )
    if not 0 < len(header) <= MAX_KEY_LENGTH:
        return Error(
            Failure(
                Code.INVALID_FIELD,
                f"{IDEMPOTENCY_HEADER}: expected 1 to 255 characters",
            )
        )
    key = IdempotencyKey(work.organisation, header)
    fingerprint = _fingerprint(body, shape)
    work = work._replace(request=keyed_request_identifier(key, fingerprint))
    if not _is_held_locally(node, key, work.request):
        joined = await join_at_peer(node, work, shape.is_chat)
        if isinstance(joined, Failure):
            return Error(joined)
        if joined is not None:
            return Ok(joined)
    # Another call with this key may have started the generation since.
    return _join_or_run(node, work, body, shape, key, fingerprint).bind(
        lambda stream: _open_reader(node, stream, body)
    )


def _is_held_locally(node: Node, key: IdempotencyKey, request: str) -> bool:
    joinable = node.streams.by_key.get(key)
    if joinable is not None and not joinable.stream.is_unusable:
        return True
    return node.streams.find_generation(request, "") is not None


def _join_or_run(
    node: Node,
    work: Work,
    body: GenerationBody,
    shape: Shape,
    key: IdempotencyKey,
    fingerprint: bytes,
) -> Result[LiveStream, Failure]:
    joinable = node.streams.by_key.get(key)
    if joinable is not None and not joinable.stream.is_unusable:
        if joinable.fingerprint != fingerprint:
            return Error(
                Failure(
                    Code.INVALID_FIELD,
                    f"{IDEMPOTENCY_HEADER}: used with another body",
                )
            )
        node.metrics.streams.labels("joined").inc()
        return Ok(joinable.stream)
    adopted = node.streams.find_generation(work.request, "")
    if adopted is not None:
        # This daemon took the stream over from the daemon with the key.
        return Ok(adopted)
    if work.request in node.streams.by_request:
        # An earlier run with this identifier is still registered.
        request = draw_identifier("req", node.random)
        work = work._replace(request=request)
    stream = _start_generation(node, work, body, shape)
    if stream.is_ok():
        node.streams.by_key[key] = Joinable(stream.ok, fingerprint)
    return stream


def _open_reader(
    node: Node, stream: LiveStream, body: GenerationBody
) -> Result[BatchReader, Failure]:
    reader = stream.attach(0, not body.is_stream) or stream.reattach(0)
    if reader is None:
        return Error(
            Failure(Code.STREAM_POSITION_GONE, "the answer is not held")
        )
    return Ok(LocalReader(node, reader))


def _fingerprint(body: GenerationBody, shape: Shape) -> bytes:
    value = msgspec.msgpack.encode((body._replace(is_stream=False), shape))
    return hashlib.sha256(value).digest()


def _start_generation(
    node: Node, work: Work, body: GenerationBody, shape: Shape
) -> Result[LiveStream, Failure]:
    if len(node.streams.by_request) >= node.settings.limits.streams:
        return Error(
            Failure(Code.QUEUE_FULL, "too many streams are open", 1.0)
        )
    prompt = Prompt(
        text=body.prompt,
        max_tokens=body.max_tokens,
        stop=body.stop,
        temperature=body.temperature,
        seed=body.seed,
        parts=body.parts,
    )
    facts = StreamFacts(work.request, work.model, work.prompt_tokens, shape)
    return Ok(run_generation(node, work, prompt, facts))


async def _answer_unstreamed(
    node: Node, request: Request, reader: BatchReader, facts: StreamFacts
) -> Response:
    """Return the whole text in one response.

    No text is sent before the end, so that the generation can be
    restarted until then.
    """
    limit_bytes = node.settings.limits.answer_bytes
    collected = await result_unless_disconnected(
        request, _collect_text(reader, limit_bytes)
    )
    reader.close()
    if collected is None:
        return failure_response(CALLER_DISCONNECTED)
    can_rejoin = IDEMPOTENCY_HEADER in request.headers
    if collected.is_error() or not can_rejoin:
        reader.discard()
    if collected.is_error():
        return _refuse(node, collected.error)
    completed = collected.ok
    return json_response(
        unstreamed_body(
            facts, completed.text, completed.tokens, completed.finish_reason
        )
    )


async def _collect_text(
    reader: BatchReader, limit_bytes: int
) -> Result[CompletedText, Failure]:
    texts: list[str] = []
    size = 0
    tokens = 0
    restarts = 0
    finish_reason = None
    while True:
        batch = await reader.next()
        if batch.restarts != restarts:
            restarts = batch.restarts
            texts.clear()
            size = 0
        for chunk in batch.chunks:
            texts.append(chunk.text)
            size += len(chunk.text)
            tokens = chunk.position + chunk.tokens
            finish_reason = chunk.finish_reason
        if size > limit_bytes:
            return Error(
                Failure(
                    Code.UPSTREAM_OVERLONG,
                    f"the answer is over {limit_bytes} characters",
                )
            )
        if not batch.is_ended:
            continue
        if batch.failure is not None:
            return Error(batch.failure)
        return Ok(CompletedText("".join(texts), tokens, finish_reason))
