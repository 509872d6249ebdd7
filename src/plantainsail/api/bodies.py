"""Reads, parses and validates the bodies of callers' requests."""

import asyncio
from enum import StrEnum
from typing import NamedTuple

import xxhash
from expression import Error, Ok, Result
from starlette.requests import ClientDisconnect, Request

from plantainsail.buffers import BufferQuota, OverQuotaError
from plantainsail.decoding import UndecodableError, decode_json
from plantainsail.records import RecordError, decode_record
from plantainsail.results import Code, Failure
from plantainsail.settings import Settings

# Of longer chats only the first messages are compared with others.
LARGE_BODIES_RETRY_AFTER_S = 1.0
MAX_PROMPT_PARTS = 64
DEFAULT_MAX_TOKENS = 1_024
MAX_MAX_TOKENS = 131_072
MAX_TEMPERATURE = 2.0
MAX_STOP_STRINGS = 4
# These OpenAI fields would change the answer, but engines are not sent
# them, so a request that sets one is refused.
UNSUPPORTED_FIELDS = (
    "audio",
    "best_of",
    "echo",
    "function_call",
    "functions",
    "logit_bias",
    "logprobs",
    "modalities",
    "prediction",
    "response_format",
    "suffix",
    "tool_choice",
    "tools",
    "top_logprobs",
)


class Role(StrEnum):
    """The author of a chat message."""

    ASSISTANT = "assistant"
    DEVELOPER = "developer"
    SYSTEM = "system"
    USER = "user"


class ContentType(StrEnum):
    """The content types that engines accept."""

    TEXT = "text"


class ContentPart(NamedTuple):
    """One part of a chat message's content."""

    type: ContentType
    text: str


class Message(NamedTuple):
    """One message of a chat."""

    role: Role
    content: str | tuple[ContentPart, ...]


class StreamOptions(NamedTuple):
    """Options for what a stream contains besides its chunks."""

    include_usage: bool = False


class ChatBody(NamedTuple):
    """The request body of a chat completion."""

    model: str
    messages: tuple[Message, ...]
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    temperature: float | None = None
    seed: int | None = None
    stop: str | tuple[str, ...] | None = None
    n: int | None = None


class CompletionBody(NamedTuple):
    """The request body of a plain completion."""

    model: str
    prompt: str
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    temperature: float | None = None
    seed: int | None = None
    stop: str | tuple[str, ...] | None = None
    n: int | None = None


class GenerationBody(NamedTuple):
    """The checked parameters of a chat or plain completion.

    `parts` are the hashes of a chat's messages but the last, which
    other chats may share.
    """

    model: str
    prompt: str
    is_stream: bool
    include_usage: bool
    max_tokens: int
    temperature: float | None
    seed: int | None
    stop: tuple[str, ...]
    parts: tuple[str, ...] = ()


async def read_body(
    request: Request, settings: Settings, quota: BufferQuota
) -> Result[bytes, Failure]:
    """Return the whole body, within the limits of size and time.

    `quota` limits what the bodies that arrive at one time may hold.
    """
    limit = settings.limits.body_bytes
    share = quota.open_share()
    body = bytearray()
    try:
        async with asyncio.timeout(settings.time_limits.body_s):
            async for chunk in request.stream():
                body += chunk
                share.take(len(chunk))
                if len(body) > limit:
                    return Error(
                        Failure(
                            Code.BODY_TOO_LARGE,
                            f"the body is over {limit} bytes",
                        )
                    )
    except OverQuotaError as error:
        retry_after_s = LARGE_BODIES_RETRY_AFTER_S
        return Error(Failure(Code.QUEUE_FULL, str(error), retry_after_s))
    except TimeoutError:
        return Error(Failure(Code.BODY_TIMEOUT, "the body came too slowly"))
    except ClientDisconnect:
        return Error(Failure(Code.BODY_TIMEOUT, "the caller left"))
    finally:
        share.release_to(0)
    return Ok(bytes(body))


def parse_json(body: bytes) -> Result[object, Failure]:
    """Return the decoded JSON value of a body."""
    try:
        return Ok(decode_json(body))
    except UndecodableError as error:
        return Error(Failure(Code.MALFORMED_BODY, f"not JSON: {error}"))


def parse_chat(value: object) -> Result[GenerationBody, Failure]:
    """Return the checked parameters of a chat completion."""
    record = decode_record(ChatBody, value, "$", allow_unknown=True)
    if record.is_error():
        return Error(_invalid_field(record.error))
    body = record.ok
    if not body.messages:
        return Error(
            _invalid_field(
                RecordError("$.messages", "at least one message", "none")
            )
        )
    lines = [f"{m.role}: {_content_text(m.content)}" for m in body.messages]
    if body.max_completion_tokens is not None:
        body = body._replace(max_tokens=body.max_completion_tokens)
    checked = _validate(value, body, "\n".join(lines))
    return checked.map(lambda chat: chat._replace(parts=_part_hashes(lines)))


def _part_hashes(messages: list[str]) -> tuple[str, ...]:
    """Return the hashes of all messages but the last."""
    hashes: list[str] = []
    for message in messages[:-1][:MAX_PROMPT_PARTS]:
        digest = xxhash.xxh3_64_hexdigest(message.encode(errors="replace"))
        hashes.append(f"message:{digest}")
    return tuple(hashes)


def parse_completion(value: object) -> Result[GenerationBody, Failure]:
    """Return the checked parameters of a plain completion."""
    record = decode_record(CompletionBody, value, "$", allow_unknown=True)
    if record.is_error():
        return Error(_invalid_field(record.error))
    return _validate(value, record.ok, record.ok.prompt)


def _content_text(content: str | tuple[ContentPart, ...]) -> str:
    if isinstance(content, str):
        return content
    return "".join(part.text for part in content)


def _stops(stop: str | tuple[str, ...] | None) -> tuple[str, ...]:
    if stop is None:
        return ()
    return (stop,) if isinstance(stop, str) else stop


def _validate(
    value: object, body: ChatBody | CompletionBody, prompt: str
) -> Result[GenerationBody, Failure]:
    max_tokens = body.max_tokens
    if max_tokens is None:
        max_tokens = DEFAULT_MAX_TOKENS
    stops = _stops(body.stop)
    problem = (
        _find_unsupported(value)
        or _find_range_problem(body, max_tokens)
        or _find_stop_problem(stops)
        or _find_text_problem(prompt, body.model)
    )
    if problem is not None:
        return Error(_invalid_field(problem))
    options = body.stream_options
    return Ok(
        GenerationBody(
            model=body.model,
            prompt=prompt,
            is_stream=bool(body.stream),
            include_usage=options is not None and options.include_usage,
            max_tokens=max_tokens,
            temperature=body.temperature,
            seed=body.seed,
            stop=stops,
        )
    )


def _find_unsupported(value: object) -> RecordError | None:
    if not isinstance(value, dict):
        return None
    for name in UNSUPPORTED_FIELDS:
        if value.get(name) not in (None, False):
            return RecordError(f"$.{name}", "no such field", "a value")
    return None


def _find_range_problem(
    body: ChatBody | CompletionBody, max_tokens: int
) -> RecordError | None:
    if body.n not in (None, 1):
        return RecordError("$.n", "1", str(body.n))
    if not 1 <= max_tokens <= MAX_MAX_TOKENS:
        expected = f"a number from 1 to {MAX_MAX_TOKENS}"
        return RecordError("$.max_tokens", expected, str(max_tokens))
    temperature = body.temperature
    if temperature is not None and not 0 <= temperature <= MAX_TEMPERATURE:
        expected = f"a number from 0 to {MAX_TEMPERATURE}"
        return RecordError("$.temperature", expected, str(temperature))
    return None


def _find_stop_problem(stops: tuple[str, ...]) -> RecordError | None:
    if len(stops) > MAX_STOP_STRINGS:
        return RecordError(
            "$.stop", f"at most {MAX_STOP_STRINGS} strings", str(len(stops))
        )
    if not all(stops):
        return RecordError("$.stop", "strings that are not empty", "''")
    return None


def _find_text_problem(prompt: str, model: str) -> RecordError | None:
    """Return an error for a lone surrogate, which UTF-8 can't encode.

    JSON escapes can contain one, so it passes the JSON parser.
    """
    try:
        (prompt + model).encode()
    except UnicodeEncodeError:
        return RecordError("$", "text in UTF-8", "a lone surrogate")
    return None


def _invalid_field(error: RecordError) -> Failure:
    return Failure(Code.INVALID_FIELD, str(error))
