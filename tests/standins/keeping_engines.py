"""Stand-in engines that work on when a connection is closed.

A run of theirs ends only by its last event, or when a call for a final
copy stops it.  Several runs share one link, on which first copies wait
for each other.  A plan sets when connections break and what becomes of
each order to stop a run.
"""

import asyncio
import enum
from collections import Counter
from typing import NamedTuple

from plantainsail.entry.mover import NO_ANSWER, CopyResult, DepartureStatus
from plantainsail.routing.model import RoutedUpstream
from tests.standins.routed import (
    NOT_EXECUTED,
    STREAM_END,
    STREAM_HEAD,
    ReceivedRequest,
    StandInUpstream,
    chunk,
    event,
    reset,
)

EVENTS = 60
EVENT_S = 0.02
CONTINUE = "plantainsail-continue-from"
FIRST_COPY_S = 0.04
FINAL_COPY_S = 0.002
NOTICE_S = 1.5


class BreakAt(enum.Enum):
    """When the connection of a run is reset by its engine."""

    NEVER = enum.auto()
    BEFORE = enum.auto()
    FIRST_ASKED = enum.auto()
    FIRST_MADE = enum.auto()
    FINAL_ASKED = enum.auto()
    FINAL_MADE = enum.auto()


class OrderFault(enum.Enum):
    """What becomes of one order to stop a run."""

    NONE = enum.auto()
    # The engine resets the connection and does not read the order.
    RESET = enum.auto()
    LOST = enum.auto()
    ANSWER_LOST = enum.auto()
    # The engine refuses the order and does not stop the run.
    BUSY = enum.auto()
    OVERLOADED = enum.auto()
    # The run is stopped, but the target has no room.
    NO_ROOM = enum.auto()


class Plan(NamedTuple):
    """The faults of one test.

    `breaks` are those of the streams, in their order.  The engine
    answers no order before `unreachable_s` after the first one, and
    treats the ones after that by `orders` in turn.  With `is_silent`,
    connections go silent in place of a reset.
    """

    breaks: tuple[BreakAt, ...] = (BreakAt.NEVER,)
    orders: tuple[OrderFault, ...] = ()
    unreachable_s: float = 0.0
    is_silent: bool = False
    event_s: float = EVENT_S


class Work(NamedTuple):
    """What was seen of a run: when it began and made its last event."""

    engine: str
    request: str
    began_s: float
    worked_s: float


class KeptRun:
    """A run that goes on whatever becomes of its connection."""

    def __init__(self, request: str, made: int) -> None:
        self.request = request
        self.made = made
        self.is_stopped = False
        self.is_over = False
        self.is_muted = False
        self.began_s = self.worked_s = asyncio.get_running_loop().time()
        self.writer: asyncio.StreamWriter | None = None


class KeepingEngine:
    """One engine, which keeps at most one run of each request."""

    def __init__(self, name: str, fleet: "KeepingEngines") -> None:
        self.name = name
        self.fleet = fleet
        self.runs: dict[str, KeptRun] = {}
        self.all_runs: list[KeptRun] = []
        self.copies: dict[str, str] = {}
        self.server = StandInUpstream(name, self.serve)
        self.server.ignores_close = True

    async def serve(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request from where its headers say."""
        name = request.headers["plantainsail-request-id"]
        made = int(request.headers.get("last-event-id", "-1")) + 1
        value = request.headers.get(CONTINUE)
        if value is not None:
            handle = value.rpartition("/")[2]
            kept = self.runs.get(name)
            is_kept = kept is not None and kept.is_stopped
            if self.copies.pop(handle, None) != name and not is_kept:
                writer.write(NOT_EXECUTED)
                await writer.drain()
                return
        self.fleet.happened.append(f"{name} runs")
        run = KeptRun(name, made)
        run.writer = writer
        self.runs[name] = run
        self.all_runs.append(run)
        writer.write(STREAM_HEAD)
        try:
            await self._generate(run, writer)
        finally:
            run.is_over = True

    async def _generate(
        self, run: KeptRun, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        while run.made < EVENTS:
            await asyncio.sleep(self.fleet.plan.event_s)
            if run.is_stopped:
                return
            run.worked_s = loop.time()
            self._write(run, writer, chunk(event(run.made)))
            run.made += 1
        self._write(run, writer, STREAM_END)

    def _write(
        self, run: KeptRun, writer: asyncio.StreamWriter, data: bytes
    ) -> None:
        if not run.is_muted and not writer.is_closing():
            writer.write(data)

    def break_off(self, request: str, *, is_silent: bool) -> None:
        """End a run's connection, or let it go silent; work on."""
        run = self.runs[request]
        run.is_muted = True
        if not is_silent and run.writer is not None:
            reset(run.writer)


class KeepingEngines:
    """Three engines and the calls to them.

    `happened` lists the runs and the orders that engines got, in turn;
    `held` counts the copies that nobody used or freed.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.engines = [KeepingEngine(f"e{n}", self) for n in range(3)]
        self.by_address: dict[str, KeepingEngine] = {}
        self.links: dict[str, asyncio.Lock] = {}
        self.happened: list[str] = []
        self.orders: Counter[str] = Counter()
        self.broken_by_request: dict[str, BreakAt] = {}
        self.handles = 0
        self.reachable_s = 0.0

    @property
    def held(self) -> int:
        """Return how many copies occupy memory."""
        return sum(len(engine.copies) for engine in self.engines)

    async def start(self) -> tuple[RoutedUpstream, ...]:
        """Start all engines; return the entries to publish."""
        entries: list[RoutedUpstream] = []
        for engine in self.engines:
            entry = await engine.server.start()
            self.by_address[entry.address] = engine
            self.links[entry.address] = asyncio.Lock()
            entries.append(entry)
        return tuple(entries)

    def stop(self) -> None:
        """Stop all engines."""
        for engine in self.engines:
            engine.server.stop()

    def works_of(self, request: str) -> list[Work]:
        """Return the runs of a request in the order of their begin."""
        works: list[Work] = []
        for engine in self.engines:
            for run in engine.all_runs:
                if run.request == request:
                    works.append(
                        Work(engine.name, request, run.began_s, run.worked_s)
                    )
        return sorted(works, key=lambda work: work.began_s)

    def are_idle(self) -> bool:
        """Return whether no engine works on a request."""
        return all(
            run.is_over for engine in self.engines for run in engine.all_runs
        )

    def break_if_due(self, address: str, request: str, at: BreakAt) -> None:
        """Break a run's connection if the plan says so."""
        if self.broken_by_request.get(request) is not at:
            return
        del self.broken_by_request[request]
        self.by_address[address].break_off(
            request, is_silent=self.plan.is_silent
        )

    async def copy_run(
        self, source: str, request: str, target: str, *, is_final: bool
    ) -> CopyResult:
        """Copy a run, or stop it first, with the faults of the plan."""
        if is_final:
            return await self._stop_and_copy(source, request, target)
        self.break_if_due(source, request, BreakAt.FIRST_ASKED)
        async with self.links[source]:
            await asyncio.sleep(FIRST_COPY_S)
        result = self._copy(source, request, target)
        self.break_if_due(source, request, BreakAt.FIRST_MADE)
        return result

    async def _stop_and_copy(
        self, source: str, request: str, target: str
    ) -> CopyResult:
        loop = asyncio.get_running_loop()
        number = self.orders[request]
        self.orders[request] += 1
        self.happened.append(f"{request} is to stop")
        self.break_if_due(source, request, BreakAt.FINAL_ASKED)
        if not self.reachable_s:
            self.reachable_s = loop.time() + self.plan.unreachable_s
        if loop.time() < self.reachable_s:
            await asyncio.Event().wait()
        faults = self.plan.orders
        fault = faults[number] if number < len(faults) else OrderFault.NONE
        if fault is OrderFault.RESET:
            return NO_ANSWER
        if fault is OrderFault.LOST:
            await asyncio.Event().wait()
        if fault is OrderFault.BUSY:
            return CopyResult(409)
        if fault is OrderFault.OVERLOADED:
            return CopyResult(503)
        run = self.by_address[source].runs.get(request)
        if run is None or (run.is_over and not run.is_stopped):
            return CopyResult(404)
        if not run.made:
            return CopyResult(404)
        run.is_stopped = True
        if run.writer is not None and not run.is_muted:
            run.writer.close()
        if fault is OrderFault.ANSWER_LOST:
            await asyncio.Event().wait()
        if fault is OrderFault.NO_ROOM:
            return CopyResult(503, self._next_handle())
        await asyncio.sleep(FINAL_COPY_S)
        result = self._copy(source, request, target)
        self.break_if_due(source, request, BreakAt.FINAL_MADE)
        return result

    async def free_copy(self, source: str, handle: str) -> None:
        """Free a copy at its engine."""
        for engine in self.engines:
            engine.copies.pop(handle, None)

    async def departure_status(self, upstream: str) -> DepartureStatus | None:
        """Return that an engine leaves, and how soon."""
        return DepartureStatus(True, NOTICE_S)

    def continue_from_value(self, source: str, handle: str) -> bytes:
        """Return the header value that names a copy."""
        return f"{source}/{handle}".encode()

    def _copy(self, source: str, request: str, target: str) -> CopyResult:
        run = self.by_address[source].runs.get(request)
        if run is None or not run.made:
            return CopyResult(404)
        copies = self.by_address[target].copies
        for handle, copied in copies.items():
            if copied == request:
                return CopyResult(200, handle)
        handle = self._next_handle()
        copies[handle] = request
        return CopyResult(200, handle)

    def _next_handle(self) -> str:
        self.handles += 1
        return f"h{self.handles}"
