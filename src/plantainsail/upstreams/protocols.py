"""What the daemon asks of model engines and plain services."""

from collections.abc import AsyncGenerator, Callable, Sequence
from typing import NamedTuple, Protocol

from expression import Result

from plantainsail.lists.model import HostEntry
from plantainsail.policy.orders import Order, OrderAnswer
from plantainsail.results import Failure


class GenerationRequest(NamedTuple):
    """One request to an engine.

    `request` and `generation` are echoed in every message, by which
    an answer is known to belong to this request.  `attempt` tells
    connections of one generation apart.  `priority` is 0 for the most
    urgent work.  `deadline_ms` is what remains to the caller's
    deadline.
    """

    request: str
    generation: str
    model: str
    prompt: str
    max_tokens: int
    priority: int = 0
    attempt: int = 0
    stop: tuple[str, ...] = ()
    temperature: float | None = None
    seed: int | None = None
    deadline_ms: int | None = None


class Chunk(NamedTuple):
    """Some tokens of one generation.

    `position` counts the tokens before this chunk.  A chunk with a
    finish reason is the last; it may hold no tokens.
    """

    request: str
    generation: str
    attempt: int
    position: int
    tokens: int
    text: str
    finish_reason: str | None = None


class ReadResult(NamedTuple):
    """What one read of an engine's answer brought.

    A plain tuple, since it is made for each read: chunks, or the
    failure that ended the answer.
    """

    chunks: Sequence[Chunk] = ()
    failure: Failure | None = None


class ServiceCall(NamedTuple):
    """One call of a plain service.

    Only an idempotent call may use a connection that served others.
    """

    request: str
    service: str
    operation: str
    body: bytes
    ticket: str | None = None
    is_idempotent: bool = False


class ServiceAnswer(NamedTuple):
    """A plain service's whole answer."""

    status: int
    body: bytes


class EngineClient(Protocol):
    """Speaks to model engines."""

    def generate(
        self, engine: HostEntry, request: GenerationRequest
    ) -> AsyncGenerator[ReadResult, None]:
        """Start a generation; yield what arrives, or one failure.

        Chunks that arrived together come together.
        """

    def resume(
        self, engine: HostEntry, request: GenerationRequest, position: int
    ) -> AsyncGenerator[ReadResult, None]:
        """Yield a running generation's chunks from a position on."""

    async def cancel(
        self, engine: HostEntry, generation: str, attempt: int = 0
    ) -> bool:
        """End a generation; return whether the engine confirmed.

        An engine that checks fencing refuses an attempt older than
        the newest that it has seen.
        """

    async def order(
        self, engine: HostEntry, order: Order, may_write: Callable[[], bool]
    ) -> OrderAnswer:
        """Give an order once and return what became of it.

        `may_write` is asked right before the first byte is written.
        """


class ServiceClient(Protocol):
    """Speaks to plain services."""

    async def call(
        self, service: HostEntry, call: ServiceCall, timeout_s: float
    ) -> Result[ServiceAnswer, Failure]:
        """Return the whole answer to a call sent once."""
