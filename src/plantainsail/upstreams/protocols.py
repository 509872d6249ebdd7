"""Requests, answers and client protocols for upstreams."""

from collections.abc import AsyncGenerator, Callable, Sequence
from typing import NamedTuple, Protocol

from expression import Result

from plantainsail.lists.model import HostEntry
from plantainsail.policy.orders import Order, OrderAnswer
from plantainsail.results import Failure


class GenerationRequest(NamedTuple):
    """One request to an engine.

    The engine repeats `request` and `generation` in every message, so
    that an answer can be matched to its request.  `attempt` tells the
    connections of one generation apart.  `priority` is 0 for the most
    urgent work.  `deadline_ms` is the time left until the caller's
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
    """Consecutive tokens of one generation.

    `position` counts the tokens before this chunk.  Only the last
    chunk has a finish reason; it may hold no tokens.
    """

    request: str
    generation: str
    attempt: int
    position: int
    tokens: int
    text: str
    finish_reason: str | None = None


class ReadResult(NamedTuple):
    """The result of one read of an engine's answer.

    It holds chunks, or the failure that ended the answer.  It is a
    plain tuple to be cheap, since one is made for each read.
    """

    chunks: Sequence[Chunk] = ()
    failure: Failure | None = None


class ServiceCall(NamedTuple):
    """One call of a plain service.

    Only an idempotent call may reuse the connection of an earlier one.
    """

    request: str
    service: str
    operation: str
    body: bytes
    ticket: str | None = None
    is_idempotent: bool = False


class ServiceAnswer(NamedTuple):
    """A plain service's complete answer."""

    status: int
    body: bytes


class EngineClient(Protocol):
    """Sends requests to model engines."""

    def generate(
        self, engine: HostEntry, request: GenerationRequest
    ) -> AsyncGenerator[ReadResult, None]:
        """Start a generation; yield its chunks, or one failure.

        Chunks that arrive in one read are yielded together.
        """

    def resume(
        self, engine: HostEntry, request: GenerationRequest, position: int
    ) -> AsyncGenerator[ReadResult, None]:
        """Yield a running generation's chunks from `position` on."""

    async def cancel(
        self, engine: HostEntry, generation: str, attempt: int = 0
    ) -> bool:
        """End a generation; return whether it is certainly over here.

        An engine that checks fencing refuses an attempt that is older
        than the newest that it has seen.
        """

    async def order(
        self, engine: HostEntry, order: Order, may_write: Callable[[], bool]
    ) -> OrderAnswer:
        """Send an order once and return the engine's answer.

        `may_write` is called right before the first byte is written;
        the order isn't sent if it returns False.
        """


class ServiceClient(Protocol):
    """Calls plain services."""

    async def call(
        self, service: HostEntry, call: ServiceCall, timeout_s: float
    ) -> Result[ServiceAnswer, Failure]:
        """Send a call once and return its complete answer."""
