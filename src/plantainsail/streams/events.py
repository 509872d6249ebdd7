"""Encoding of a stream's server-sent events.

The bytes that all events of a stream share are encoded only once.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec

from plantainsail.upstreams.protocols import Chunk

# Sent after the last chunk of a finished stream.
DONE_EVENT = b"data: [DONE]\n\n"
# The blank line that ends each event.
EVENT_END = b"\n\n"
# Stands for the chunk's text while the bytes around it are encoded.
TEXT_PLACEHOLDER = "\x00text\x00"


class Shape(NamedTuple):
    """The answer format of chat completions or of text completions.

    `prefix` begins the identifier of an answer, and `object_name` is
    the value of its `object` field.
    """

    prefix: str
    object_name: str
    is_chat: bool


CHAT_SHAPE = Shape("chatcmpl", "chat.completion", True)
TEXT_SHAPE = Shape("cmpl", "text_completion", False)


def shape_of(is_chat: bool) -> Shape:
    """Return the answer format of chat or of text completions."""
    return CHAT_SHAPE if is_chat else TEXT_SHAPE


class StreamFacts(NamedTuple):
    """The values that all events of one stream contain.

    `request` is the request's identifier, and `prompt_tokens` the
    length of its prompt.
    """

    request: str
    model: str
    prompt_tokens: int
    shape: Shape


class EventWriter:
    """Encodes the events of one stream.

    `event_head` and `event_tail` are the bytes before and after the
    text of each event but the last.
    """

    def __init__(self, facts: StreamFacts) -> None:
        self.facts = facts
        template = msgspec.json.encode(self._value(TEXT_PLACEHOLDER, None))
        placeholder = msgspec.json.encode(TEXT_PLACEHOLDER)
        head, _, tail = template.partition(placeholder)
        self.event_head = b"\ndata: " + head
        self.event_tail = tail + EVENT_END
        self.encoder = msgspec.json.Encoder()

    def name_comment(self, name: str) -> bytes:
        """Return a comment line with the stream's name.

        No blank line follows, so the comment is part of the next event.
        A client that splits at blank lines would otherwise see an
        event without data.
        """
        return b": plantainsail-stream " + name.encode("ascii") + b"\n"

    def write(self, chunks: Sequence[Chunk]) -> bytes:
        """Return the encoded events of some chunks as one string."""
        parts: list[bytes] = []
        for chunk in chunks:
            if chunk.finish_reason is not None:
                parts.append(self._last_event(chunk))
                continue
            parts.append(
                b"id: %d%b%b%b"
                % (
                    chunk.position + chunk.tokens,
                    self.event_head,
                    self.encoder.encode(chunk.text),
                    self.event_tail,
                )
            )
        return b"".join(parts)

    def failure(self, body: object) -> bytes:
        """Return the event that reports a failure as the last event."""
        return b"data: " + self.encoder.encode(body) + EVENT_END

    def _last_event(self, chunk: Chunk) -> bytes:
        """Return the last event, which includes the token usage."""
        tokens = chunk.position + chunk.tokens
        value = self._value(chunk.text, chunk.finish_reason)
        value["usage"] = usage(self.facts.prompt_tokens, tokens)
        data = self.encoder.encode(value)
        return b"id: %d\ndata: %b\n\n" % (tokens, data)

    def _value(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        shape = self.facts.shape
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": finish_reason,
        }
        if shape.is_chat:
            choice["delta"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            "id": f"{shape.prefix}-{self.facts.request}",
            "object": shape.object_name + (".chunk" if shape.is_chat else ""),
            "created": 0,
            "model": self.facts.model,
            "choices": [choice],
        }


def usage(prompt_tokens: int, tokens: int) -> dict[str, int]:
    """Return the token usage of an answer of `tokens` tokens."""
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    }


def unstreamed_body(
    facts: StreamFacts, text: str, tokens: int, finish_reason: str | None
) -> dict[str, Any]:
    """Return the body of a complete answer that is not streamed."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if facts.shape.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": f"{facts.shape.prefix}-{facts.request}",
        "object": facts.shape.object_name,
        "created": 0,
        "model": facts.model,
        "choices": [choice],
        "usage": usage(facts.prompt_tokens, tokens),
    }
