"""Stand-in engines that copy running streams to each other.

A request should run at one engine at a time.  A copy holds the memory
of a run up to some event and takes room at its engine until it is used
or freed.  A scenario sets how each call fails.
"""

import asyncio
import enum
from typing import NamedTuple

from plantainsail.entry.mover import CopyResult, DepartureStatus
from plantainsail.routing.model import RoutedUpstream
from tests.standins.routed import (
    NOT_EXECUTED,
    STREAM_END,
    STREAM_HEAD,
    UNFRAMED_HEAD,
    ReceivedRequest,
    StandInUpstream,
    chunk,
    event,
    reset,
)

EVENTS = 30
EVENT_S = 0.006
CONTINUE = "plantainsail-continue-from"
# A call without an answer ends after this time.
SILENT_S = 0.12
LATE_S = 0.05
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503


class CallFault(enum.Enum):
    """The fault of one call that copies a run."""

    NONE = enum.auto()
    LOST = enum.auto()
    ANSWER_LOST = enum.auto()
    LATE = enum.auto()
    REPEATED = enum.auto()
    REFUSED = enum.auto()
    GONE = enum.auto()


class ContinueFault(enum.Enum):
    """The fault of the request that continues from a copy."""

    NONE = enum.auto()
    REFUSED = enum.auto()
    CLOSED = enum.auto()
    CUT = enum.auto()


class Step(enum.Enum):
    """The step of a move at which an engine dies."""

    NEVER = enum.auto()
    FIRST_ASKED = enum.auto()
    FIRST_MADE = enum.auto()
    FINAL_ASKED = enum.auto()
    FINAL_MADE = enum.auto()
    CONTINUED = enum.auto()


class Scenario(NamedTuple):
    """All faults of one simulated move."""

    first: CallFault = CallFault.NONE
    final: CallFault = CallFault.NONE
    continue_fault: ContinueFault = ContinueFault.NONE
    source_dies: Step = Step.NEVER
    target_dies: Step = Step.NEVER
    ignores_close: bool = False
    # The answers have neither a length nor chunks.
    is_unframed: bool = False
    leaves_at: int = 5
    leaves_in_s: float = 2.0

    @property
    def is_harmless(self) -> bool:
        """Return whether the stream must still be complete."""
        is_final_known = self.final in (CallFault.NONE, CallFault.LATE)
        return (
            self.first is CallFault.NONE
            and is_final_known
            and self.continue_fault
            in (ContinueFault.NONE, ContinueFault.REFUSED)
            and self.source_dies is Step.NEVER
            and self.target_dies is Step.NEVER
        )


class Run:
    """The state of one request at one engine."""

    def __init__(self, made: int) -> None:
        self.made = made
        self.is_stopped = False
        self.is_over = False
        self.writer: asyncio.StreamWriter | None = None


class Copy(NamedTuple):
    """The memory of a run after its first `made` events."""

    request: str
    made: int


class Leg:
    """A part of a request's generation that ran at one engine.

    `overlap_events` counts the events made after the next leg began.
    """

    def __init__(self) -> None:
        self.overlap_events = 0
        self.is_over = False


class MovingEngine:
    """An engine that holds at most `room` runs and copies."""

    def __init__(self, name: str, fleet: "MovingEngines") -> None:
        self.name = name
        self.fleet = fleet
        self.room = 4
        self.runs: dict[str, Run] = {}
        self.copies: dict[str, Copy] = {}
        self.server = StandInUpstream(name, self.serve)
        self.server.ignores_close = fleet.scenario.ignores_close
        self.is_dead = False

    def has_room(self) -> bool:
        """Return whether another run or copy fits."""
        running = sum(not run.is_over for run in self.runs.values())
        return running + len(self.copies) < self.room

    def die(self) -> None:
        """Reset all running connections and drop all copies."""
        self.is_dead = True
        self.server.stop()
        for run in self.runs.values():
            run.is_stopped = True
            if run.writer is not None and not run.is_over:
                reset(run.writer)
        self.copies.clear()

    async def serve(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request from its beginning or from a copy."""
        name = request.headers["plantainsail-request-id"]
        value = request.headers.get(CONTINUE)
        if self.is_dead:
            reset(writer)
            return
        if value is None:
            self.fleet.fresh_runs += 1
            await self._run(name, 0, writer)
            return
        first = int(request.headers["last-event-id"]) + 1
        if not await self._use_copy(name, value, writer):
            return
        await self._run(name, first, writer)

    async def _use_copy(
        self, name: str, value: str, writer: asyncio.StreamWriter
    ) -> bool:
        """Return whether a run can continue from the named memory.

        That memory is a copy, which is used up, or that of a run that
        was stopped at this engine.
        """
        fleet = self.fleet
        handle = value.rpartition("/")[2]
        kept = self.runs.get(name)
        if self.copies.pop(handle, None) is None:
            if kept is None or not kept.is_stopped or handle in fleet.used:
                await _write(writer, NOT_EXECUTED)
                return False
        elif fleet.scenario.continue_fault is ContinueFault.REFUSED:
            await _write(writer, NOT_EXECUTED)
            return False
        elif fleet.scenario.continue_fault is ContinueFault.CLOSED:
            writer.close()
            return False
        fleet.used.add(handle)
        return True

    async def _run(
        self, name: str, first: int, writer: asyncio.StreamWriter
    ) -> None:
        run = Run(first)
        run.writer = writer
        self.runs[name] = run
        fleet = self.fleet
        leg = Leg()
        fleet.legs.append(leg)
        try:
            is_unframed = fleet.scenario.is_unframed
            writer.write(UNFRAMED_HEAD if is_unframed else STREAM_HEAD)
            if len(fleet.legs) > 1:
                self._apply_continue_faults(run)
            await self._generate(run, leg, writer)
        finally:
            run.is_over = leg.is_over = True

    def _apply_continue_faults(self, run: Run) -> None:
        fleet = self.fleet
        fleet.reach(Step.CONTINUED)
        if (
            fleet.scenario.continue_fault is ContinueFault.CUT
            and run.writer is not None
        ):
            run.is_stopped = True
            reset(run.writer)

    async def _generate(
        self, run: Run, leg: Leg, writer: asyncio.StreamWriter
    ) -> None:
        is_unframed = self.fleet.scenario.is_unframed
        while run.made < EVENTS and not run.is_stopped:
            data = event(run.made)
            if not is_unframed:
                data = chunk(data)
            run.made += 1
            leg.overlap_events += leg is not self.fleet.legs[-1]
            await self._write_if_open(writer, data)
            await asyncio.sleep(EVENT_S)
        if not run.is_stopped and not is_unframed:
            await self._write_if_open(writer, STREAM_END)

    async def _write_if_open(
        self, writer: asyncio.StreamWriter, data: bytes
    ) -> None:
        try:
            await _write(writer, data)
        except ConnectionError:
            if not self.fleet.scenario.ignores_close:
                raise


class MovingEngines:
    """Three engines and the mover's calls that copy runs."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.engines = [MovingEngine(f"e{n}", self) for n in range(3)]
        self.by_address: dict[str, MovingEngine] = {}
        self.legs: list[Leg] = []
        self.used: set[str] = set()
        self.fresh_runs = 0
        self.handles = 0
        self.source = ""
        self.target = ""

    async def start(self) -> tuple[RoutedUpstream, ...]:
        """Start all engines; return the entries to publish."""
        entries: list[RoutedUpstream] = []
        for engine in self.engines:
            entry = await engine.server.start()
            self.by_address[entry.address] = engine
            entries.append(entry)
        return tuple(entries)

    def stop(self) -> None:
        """Stop all engines."""
        for engine in self.engines:
            engine.server.stop()

    def reach(self, step: Step) -> None:
        """Kill the engines that the scenario ends at this step."""
        if self.scenario.source_dies is step:
            self.by_address[self.source].die()
        if self.scenario.target_dies is step:
            self.by_address[self.target].die()

    async def copy_run(
        self, source: str, request: str, target: str, *, is_final: bool
    ) -> CopyResult:
        """Copy a run with the fault that the scenario sets."""
        if not is_final:
            # Orders to stop other runs name other engines.
            self.source, self.target = source, target
        self.reach(Step.FINAL_ASKED if is_final else Step.FIRST_ASKED)
        fault = self.scenario.final if is_final else self.scenario.first
        if fault is CallFault.REFUSED:
            return CopyResult(HTTP_UNAVAILABLE)
        if fault is CallFault.GONE:
            return CopyResult(HTTP_NOT_FOUND)
        if fault is CallFault.LOST:
            await asyncio.sleep(SILENT_S)
            return CopyResult(0)
        made = self._copy(source, request, target, is_final=is_final)
        if fault is CallFault.REPEATED:
            made = self._copy(source, request, target, is_final=is_final)
        self.reach(Step.FINAL_MADE if is_final else Step.FIRST_MADE)
        if fault is CallFault.LATE:
            await asyncio.sleep(LATE_S)
        if fault is CallFault.ANSWER_LOST:
            await asyncio.sleep(SILENT_S)
            return CopyResult(0)
        return made

    async def departure_status(self, upstream: str) -> DepartureStatus | None:
        """Return that an engine leaves, and how soon."""
        return DepartureStatus(True, self.scenario.leaves_in_s)

    async def free_copy(self, source: str, handle: str) -> None:
        """Free a copy that nobody will use."""
        for engine in self.engines:
            engine.copies.pop(handle, None)

    def continue_from_value(self, source: str, handle: str) -> bytes:
        """Return the header value that names a copy."""
        return f"{source}/{handle}".encode()

    def _copy(
        self, source: str, request: str, target: str, *, is_final: bool
    ) -> CopyResult:
        source_engine, target_engine = (
            self.by_address[source],
            self.by_address[target],
        )
        run = source_engine.runs.get(request)
        if source_engine.is_dead:
            return CopyResult(0, has_process_ended=True)
        if run is None or (run.is_over and not run.is_stopped):
            return CopyResult(HTTP_NOT_FOUND)
        if is_final:
            run.is_stopped = True
        request_handles = [
            handle
            for handle, copy in target_engine.copies.items()
            if copy.request == request
        ]
        if target_engine.is_dead or not (
            request_handles or target_engine.has_room()
        ):
            return CopyResult(HTTP_UNAVAILABLE, self._next_handle())
        handle = request_handles[0] if request_handles else self._next_handle()
        target_engine.copies[handle] = Copy(request, run.made)
        return CopyResult(HTTP_OK, handle)

    def _next_handle(self) -> str:
        self.handles += 1
        return f"h{self.handles}"


async def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(data)
    await writer.drain()
