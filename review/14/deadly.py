"""Requests that crash each replica that runs them, and come again."""

import asyncio
import time
from typing import NamedTuple

from bench3 import (
    BROKEN,
    HELD,
    NOT_RUN,
    ZONES,
    Answer,
    Fleet,
    Record,
    Request,
    Server,
    call,
    desired_state,
    engine_service,
    head_bytes,
    own_ip,
    replica_entry,
    route,
)

WRITERS = "guide-writers"
REPLICAS = 7
# A replica that crashed is back after so long.
DOWN_S = 3.0
# An entry is removed after three liveness reports were missed.
SILENCE_S = 3.6
PLAY_S = 20.0
GUIDE_PAUSE_S = 0.058
DEADLY_PAUSE_S = 2.0
EVENTS = 4
# Every so many guides one is long.
LONG_EVERY, LONG_EVENTS = 8, 100
EVENT_PAUSE_S = 0.04
# The rule's own figures.
STABLE_S = 3.0
FREE_CRASHES = 3
MOST_LATER = 3
KEY = "key-of-press"
DEADLY_PATH = "/planting-guide/deadly"
GUIDE_ROUTE = route(
    "planting-guide",
    "streaming",
    WRITERS,
    39_000,
    TargetLatencyMs=1_800,
    TargetGapMs=180,
)
STATE = desired_state(7, [GUIDE_ROUTE], [engine_service(WRITERS)], KEY)


class Crash(NamedTuple):
    """How the deadly request crashes a replica that runs it.

    It does so `after_s` after the first piece, or before any piece if
    that is 0.  A replica that `is_silent` says nothing more, nor to new
    channels, until it is back; any other one resets its channels and
    listens no more.
    """

    after_s: float
    is_silent: bool


class Log:
    """When the deadly request arrived, and when replicas crashed."""

    def __init__(self) -> None:
        """Begin with nothing."""
        self.arrivals_s: list[float] = []
        self.crashes_s: list[float] = []
        self.lost: set[str] = set()


class Engine:
    """A model replica; the deadly request crashes it."""

    def __init__(
        self, number: int, fleet: Fleet, log: Log, crash: Crash
    ) -> None:
        """Prepare the replica; it does not listen yet."""
        self.crash = crash
        self.is_dark = False
        self.number = number
        self.fleet = fleet
        self.log = log
        self.boots = 0
        self.port = 0
        self.identifier = ""
        self.server = Server(own_ip(40 + number), self._serve)
        self.running: dict[str, asyncio.StreamWriter] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen as a new boot, and write the entry to the store."""
        self.boots += 1
        self.identifier = f"i-{self.number:04x}{self.boots:04x}"
        address = await self.server.start(self.port)
        self.port = int(address.rpartition(":")[2])
        zone = ZONES[self.number % len(ZONES)]
        entry = replica_entry(WRITERS, address, zone, 24)
        self.fleet.store.write(f"servers/{self.identifier}", entry)

    async def _go_down(self) -> None:
        """Crash, and come back after a while as a new boot."""
        self.log.crashes_s.append(time.monotonic())
        name = self.identifier
        self.fleet.record.note(
            f"{name} crashes with {len(self.running)} runs, crash number "
            f"{len(self.log.crashes_s)}"
        )
        self.is_dark = self.crash.is_silent
        if self.is_dark:
            await asyncio.sleep(DOWN_S)
        self.server.stop()
        for attempt, writer in list(self.running.items()):
            self.log.lost.add(attempt)
            writer.transport.abort()
        if not self.is_dark:
            await asyncio.sleep(DOWN_S)
        self.is_dark = False
        await self.start()
        await asyncio.sleep(SILENCE_S - DOWN_S)
        self.fleet.store.write(f"servers/{name}", None)

    async def _serve(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        await self._wait_if_dark()
        expected = request.headers.get("x-expected-replica")
        if expected not in (None, self.identifier):
            headers = {"X-Replica-Id": self.identifier, "Content-Length": "0"}
            writer.write(head_bytes(421, headers))
            await writer.drain()
            return
        if not request.identifier:
            writer.write(head_bytes(404, {"Content-Length": "0"}))
            await writer.drain()
            return
        self.running[request.identifier] = writer
        try:
            await self._write(request, writer)
        finally:
            self.running.pop(request.identifier, None)

    async def _wait_if_dark(self) -> None:
        """Say nothing while the replica is dark; it resets the rest."""
        if self.is_dark:
            await asyncio.Event().wait()

    def _begin_crash(self) -> None:
        task = asyncio.create_task(self._go_down())
        self.tasks.add(task)

    async def _write(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        is_deadly = request.target == DEADLY_PATH
        if is_deadly:
            self.log.arrivals_s.append(time.monotonic())
        if is_deadly and not self.crash.after_s:
            self._begin_crash()
            await asyncio.Event().wait()
        headers = {
            "X-Attempt-Id": request.identifier,
            "X-Response-Signature": "3e1b.07.5a2.600.0.c9f2a4d1",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(head_bytes(200, headers))
        tokens = int(request.headers["x-token-usage"].partition(",")[2])
        events = tokens // 4
        begun_s = time.monotonic()
        for number in range(1, events + 1):
            await self._wait_if_dark()
            piece = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
            ran_s = time.monotonic() - begun_s
            if is_deadly and ran_s > self.crash.after_s:
                self._begin_crash()
                await asyncio.Event().wait()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def ask(fleet: Fleet, number: int, *, is_deadly: bool) -> Answer:
    """Ask for a guide; the deadly request is always the same."""
    daemon = fleet.daemons[number % len(fleet.daemons)]
    name = "deadly" if is_deadly else f"guide-{number}"
    is_long = is_deadly or number % LONG_EVERY == 0
    events = LONG_EVENTS if is_long else EVENTS
    answer = await call(
        daemon.address,
        "POST",
        f"/planting-guide/{name.removeprefix('guide-')}",
        {
            "X-Attempt-Id": f"{name}-{number}",
            "Authorization": f"Token {KEY}",
            "X-Deadline-Ms": "39000",
            "X-Model": "m",
            "X-Token-Usage": f"300,{4 * events}",
            "X-Prompt-Prefix": f"{'dead' if is_deadly else number:}:300",
        },
        b"x" * 300,
    )
    if is_deadly or not answer.is_whole:
        fleet.record.note(
            f"{name}-{number}: status {answer.status}, {answer.events} "
            f"pieces, whole: {answer.is_whole}"
        )
    return answer


async def play_deadly(
    fleet: Fleet, record: Record, crash: Crash, has_trouble: bool
) -> int:
    """Send guides, and the deadly request again and again."""
    log = Log()
    engines = [Engine(n, fleet, log, crash) for n in range(REPLICAS)]
    fleet.store.write("op/config", STATE)
    for engine in engines:
        await engine.start()
    await fleet.start(3)
    await asyncio.sleep(STABLE_S)
    begun_s = time.monotonic()
    next_deadly_s = begun_s + 0.5
    guides: list[asyncio.Task[Answer]] = []
    deadly: list[asyncio.Task[Answer]] = []
    number = 0
    while time.monotonic() - begun_s < PLAY_S:
        number += 1
        one = ask(fleet, number, is_deadly=False)
        guides.append(asyncio.create_task(one))
        if has_trouble and time.monotonic() >= next_deadly_s:
            next_deadly_s += DEADLY_PAUSE_S
            one = ask(fleet, len(deadly), is_deadly=True)
            deadly.append(asyncio.create_task(one))
        await asyncio.sleep(GUIDE_PAUSE_S)
    answers = await asyncio.gather(*guides)
    await asyncio.gather(*deadly)
    whole = sum(answer.is_whole for answer in answers)
    later = 0
    if len(log.crashes_s) >= FREE_CRASHES:
        bound_s = log.crashes_s[FREE_CRASHES - 1] + STABLE_S
        later = sum(at_s > bound_s for at_s in log.arrivals_s)
    record.note(
        f"{len(guides)} guides sent, {whole} whole; the deadly request was "
        f"sent {len(deadly)} times and reached replicas "
        f"{len(log.arrivals_s)} times, {later} of them later than "
        f"{STABLE_S:g} s after the third crash; {len(log.crashes_s)} crashes "
        f"cut {len(log.lost)} runs, {len(guides) - whole} of them sound"
    )
    for engine in engines:
        for task in engine.tasks:
            task.cancel()
        engine.server.stop()
    if has_trouble and not log.crashes_s:
        return NOT_RUN
    if not has_trouble and whole < len(guides):
        return NOT_RUN
    return BROKEN if later > MOST_LATER else HELD
