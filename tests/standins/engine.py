"""A stand-in for a model engine.

It streams the words `w0 w1 w2 …`, one per token and one token in each
step, and keeps every generation so that a stream can be resumed.  Tests
set the faults with which it answers.
"""

import asyncio
import json
from collections.abc import AsyncIterator
from enum import StrEnum
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from tests.standins.batching import Batch, Generation
from tests.standins.listener import StandInListener
from tests.standins.orders import OrderBook

DEFAULT_TOKENS = 12


class Fault(StrEnum):
    """The fault that the engine shows once, at `fault_position`."""

    NONE = "none"
    CUT = "cut"
    SILENT = "silent"
    GARBLED = "garbled"
    CROSSED = "crossed"
    REPEATED = "repeated"
    GAPPED = "gapped"
    OVERLAPPED = "overlapped"
    OLD_ATTEMPT = "old_attempt"
    DIES = "dies"
    OVERLONG = "overlong"


class Engine:
    """Runs generations and streams them over HTTP."""

    def __init__(self, step_s: float = 0.0) -> None:
        self.step_s = step_s
        self.batch = Batch(self)
        self.length = DEFAULT_TOKENS
        self.generations: dict[str, Generation] = {}
        self.received: list[dict[str, Any]] = []
        self.is_draining = False
        self.poison: str | None = None
        self.deaths = 0
        self.fault = Fault.NONE
        self.fault_position = 0
        self.tokens_per_event = 1
        self.padding = ""
        self.checks_fencing = False
        self.cancels: list[str] = []
        # So many requests to cancel fail and change nothing.
        self.lost_cancels = 0
        # Streams stop at this position until the event is set.
        self.hold_position: int | None = None
        self.hold_released = asyncio.Event()
        self.orders = OrderBook(checks_fencing=True)
        self.app = Starlette(
            routes=[
                self.orders.route,
                Route(
                    "/v1/completions", self.post_completion, methods=["POST"]
                ),
                Route("/v1/generations/{generation}/chunks", self.get_chunks),
                Route(
                    "/v1/generations/{generation}",
                    self.delete_generation,
                    methods=["DELETE"],
                ),
                Route("/v1/load", self.get_load),
                Route("/v1/cache/events", self.get_cache_events),
            ]
        )
        self.listener = StandInListener(self.app)

    async def post_completion(self, request: Request) -> Response:
        """Start a generation and stream its events."""
        body = json.loads(await request.body())
        if self.is_draining:
            return Response(status_code=503)
        self.received.append(body)
        length = min(self.length, body["max_tokens"])
        generation = Generation(body, length)
        self.generations[body["generation"]] = generation
        self.batch.submit(generation)
        return self._stream(generation, 0, body["attempt"])

    async def get_chunks(self, request: Request) -> Response:
        """Stream an existing generation from the requested position."""
        generation = self.generations.get(request.path_params["generation"])
        if generation is None or generation.is_cancelled:
            return Response(status_code=404)
        attempt = int(request.query_params["attempt"])
        if self.checks_fencing and attempt < generation.newest_attempt:
            return Response(status_code=409)
        generation.newest_attempt = attempt
        return self._stream(
            generation, int(request.query_params["from"]), attempt
        )

    async def delete_generation(self, request: Request) -> Response:
        """Cancel a generation, unless a newer attempt has read it."""
        if self.lost_cancels:
            self.lost_cancels -= 1
            return Response(status_code=500)
        generation = self.generations.get(request.path_params["generation"])
        if generation is None:
            return Response(status_code=404)
        attempt = int(request.query_params.get("attempt", "0"))
        if self.checks_fencing and attempt < generation.newest_attempt:
            return Response(status_code=409)
        self.cancels.append(request.path_params["generation"])
        generation.is_cancelled = True
        return JSONResponse({"cancelled": True})

    async def get_load(self, request: Request) -> Response:
        """Return a load report, `report_lag` steps old."""
        load = self.batch.load()
        age_s = (self.batch.steps - load.taken_step) * self.step_s
        return JSONResponse(
            {
                "running": load.running,
                "waiting": load.waiting,
                "kv_tokens_used": load.kv_tokens_used,
                "age_s": age_s,
            }
        )

    async def get_cache_events(self, request: Request) -> Response:
        """Return the prefix cache events above the number `after`."""
        cache = self.batch.cache
        after = int(request.query_params["after"])
        return JSONResponse(
            {"latest": len(cache.events), "events": cache.events_after(after)}
        )

    def die(self) -> None:
        """Drop all generations, as a restart of the engine does."""
        self.generations.clear()
        self.batch.drop_all()

    def _fault_events(
        self, fault: Fault, generation: Generation, attempt: int
    ) -> list[bytes]:
        """Apply a fault; return the faulty events to send."""
        at = self.fault_position
        if fault is Fault.DIES:
            self.die()
        if fault is Fault.GARBLED:
            return [b"data: {nonsense\n\n"]
        if fault is Fault.CROSSED:
            return [_event(generation, at, attempt, request="req-other")]
        if fault is Fault.REPEATED:
            return [_event(generation, n, attempt) for n in range(at)]
        if fault is Fault.GAPPED:
            return [_event(generation, at + 1, attempt)]
        if fault is Fault.OVERLAPPED:
            return [_event(generation, at - 1, attempt, 2)]
        if fault is Fault.OLD_ATTEMPT:
            return [_event(generation, at, attempt + 1, text="WRONG ")]
        if fault is Fault.OVERLONG:
            return [_event(generation, at, attempt, 1_000_000)]
        return []

    def _stream(
        self, generation: Generation, position: int, attempt: int
    ) -> Response:
        return StreamingResponse(
            self._events(generation, position, attempt),
            media_type="text/event-stream",
        )

    async def _events(
        self, generation: Generation, position: int, attempt: int
    ) -> AsyncIterator[bytes]:
        while position < generation.length and not generation.is_cancelled:
            await self.batch.reach(generation, position + 1)
            # Yields to the server so that it sends each chunk alone.
            await asyncio.sleep(0)
            if position == self.hold_position:
                await self.hold_released.wait()
            if self.poison is not None and self.poison in _prompt(generation):
                # The request crashes the engine, whose memory is lost.
                self.deaths += 1
                self.die()
                raise ConnectionError("the request crashed the engine")
            if position == self.fault_position:
                fault, self.fault = self.fault, Fault.NONE
                for event in self._fault_events(fault, generation, attempt):
                    yield event
                if fault is Fault.SILENT:
                    await asyncio.Event().wait()
                if fault in (Fault.CUT, Fault.DIES):
                    raise ConnectionError("cut by the test")
            if generation.is_cancelled:
                return
            decoded = generation.produced - position
            tokens = min(self.tokens_per_event, decoded)
            yield _event(
                generation, position, attempt, tokens, padding=self.padding
            )
            position += tokens
            generation.sent = max(generation.sent, position)
        if not generation.is_cancelled:
            yield _last_event(generation, attempt)


def _prompt(generation: Generation) -> str:
    prompt: str = generation.body["prompt"]
    return prompt


def _event(
    generation: Generation,
    position: int,
    attempt: int,
    tokens: int = 1,
    padding: str = "",
    **changes: Any,
) -> bytes:
    value = {
        "request": generation.body["request"],
        "generation": generation.body["generation"],
        "attempt": attempt,
        "position": position,
        "tokens": tokens,
        "text": padding
        + "".join(f"w{position + n} " for n in range(min(tokens, 99))),
    } | changes
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def _last_event(generation: Generation, attempt: int) -> bytes:
    return _event(
        generation,
        generation.length,
        attempt,
        tokens=0,
        finish_reason="stop",
    )
