"""The bytes of a stream's server-sent events.

All that is the same in each event is encoded once.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec

from plantainsail.upstreams.protocols import Chunk

DONE_EVENT = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"
TEXT_MARK = "\x00text\x00"


class Shape(NamedTuple):
    """How one kind of completion writes its answers."""

    prefix: str
    object_name: str
    is_chat: bool


CHAT_SHAPE = Shape("chatcmpl", "chat.completion", True)
TEXT_SHAPE = Shape("cmpl", "text_completion", False)


def shape_of(is_chat: bool) -> Shape:
    """Return the shape of chat or plain completions."""
    return CHAT_SHAPE if is_chat else TEXT_SHAPE


class StreamFacts(NamedTuple):
    """What all events of one stream say."""

    request: str
    model: str
    prompt_tokens: int
    shape: Shape


class EventWriter:
    """Writes the events of one stream."""

    def __init__(self, facts: StreamFacts) -> None:
        self.facts = facts
        template = msgspec.json.encode(self._value(TEXT_MARK, None))
        mark = msgspec.json.encode(TEXT_MARK)
        head, _, tail = template.partition(mark)
        self.head = b"\ndata: " + head
        self.tail = tail + EVENT_END
        self.encoder = msgspec.json.Encoder()

    def name_comment(self, name: str) -> bytes:
        """Return the first bytes, a comment that names the stream.

        It belongs to the event that follows, so that readers that
        split at blank lines see no event without data.
        """
        return b": plantainsail-stream " + name.encode("ascii") + b"\n"

    def write(self, chunks: Sequence[Chunk]) -> bytes:
        """Return the events of some chunks, for one write."""
        parts: list[bytes] = []
        for chunk in chunks:
            if chunk.finish_reason is not None:
                parts.append(self._last(chunk))
                continue
            parts.append(
                b"id: %d%b%b%b"
                % (
                    chunk.position + chunk.tokens,
                    self.head,
                    self.encoder.encode(chunk.text),
                    self.tail,
                )
            )
        return b"".join(parts)

    def failure(self, body: object) -> bytes:
        """Return the event that ends a broken stream."""
        return b"data: " + self.encoder.encode(body) + EVENT_END

    def _last(self, chunk: Chunk) -> bytes:
        """Return the last event, with the count of tokens."""
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
    """Return the count of tokens of an answer."""
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    }


def unstreamed_body(
    facts: StreamFacts, text: str, tokens: int, finish_reason: str | None
) -> dict[str, Any]:
    """Return the body of an answer that is not streamed."""
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
