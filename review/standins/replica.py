"""Stand-ins for replicas of plain services and of model engines."""

import asyncio
import json
from typing import Any, NamedTuple

from standins.http import (
    Request,
    answer,
    chunk,
    head,
    json_answer,
    read_request,
    reset,
)
from standins.record import Record
from standins.store import Store

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


class Channel(NamedTuple):
    """A channel of a caller to a replica."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Replica:
    """A sound replica of a plain service.

    Subclasses change `serve`.  `channels` are open now; `limit` is how
    many are accepted at most.
    """

    def __init__(
        self, name: str, service: str, zone: str, store: Store, record: Record
    ) -> None:
        """Set the attributes."""
        self.name = name
        self.service = service
        self.zone = zone
        self.store = store
        self.record = record
        self.address = ""
        self.state = "ready"
        self.born = 1_700_000_000_000
        self.slots = 24
        self.limit = 252
        self.channels: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.runs: list[str] = []

    async def start(self, ip: str) -> None:
        """Listen on a free port and register in the store."""
        self.server = await asyncio.start_server(self._accept, ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        await self.register()

    async def register(self) -> None:
        """Write the replica's entry."""
        await self.store.put(f"servers/{self.name}", self.entry())

    def entry(self) -> dict[str, Any]:
        """Return what the replica writes to the store."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": self.born,
        }

    def fields(self, request: Request) -> dict[str, str]:
        """Return the headers of every answer to a request."""
        fields = {
            "X-Attempt-Id": request.get("x-attempt-id") or "",
            "X-Response-Signature": SIGNATURE,
        }
        if self.state == "draining":
            fields["Server-Leaving"] = "1"
        return fields

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self.channels) >= self.limit:
            self.record.add(
                f"{self.name} resets a channel beyond its {self.limit}"
            )
            reset(writer)
            return
        self.channels.add(writer)
        try:
            while True:
                request = await read_request(reader)
                await self._dispatch(request, Channel(reader, writer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def _dispatch(self, request: Request, channel: Channel) -> None:
        writer = channel.writer
        expected = request.get("x-expected-replica")
        if request.path == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(answer(status, {"X-Replica-Id": self.name}))
            return
        if expected is not None and expected != self.name:
            writer.write(answer(421, {"X-Replica-Id": self.name}))
            return
        if request.path.startswith("/plantainsail/"):
            await self.call(request, channel)
            return
        await self.serve(request, channel)

    async def call(self, request: Request, channel: Channel) -> None:
        """Answer a call of the platform's own interface."""
        channel.writer.write(answer(404, {}))

    def note_run(self, request: Request) -> str:
        """Record that the replica begins to work on a request."""
        identifier = request.get("x-attempt-id") or ""
        self.runs.append(identifier)
        self.record.add(f"{self.name} runs {identifier}")
        return identifier

    async def serve(self, request: Request, channel: Channel) -> None:
        """Run a request."""
        self.note_run(request)
        await asyncio.sleep(0.02)
        channel.writer.write(answer(200, self.fields(request), b"done" * 200))


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: %b\n\n" % (number, b"token " * 44)


class Copy(NamedTuple):
    """The memory of a request at some event, at the copy's engine."""

    request: str
    events: int


class Run:
    """One request at one engine.

    `made` is the number of events so far.  `ends` lists when the run
    began and ended, for the record.
    """

    def __init__(self, request: str, made: int) -> None:
        """Set the attributes."""
        self.request = request
        self.made = made
        self.is_stopped = False
        self.is_over = False
        self.began_s = 0.0
        self.ended_s: float | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.is_unframed = False


class Engine(Replica):
    """A replica that streams events, and moves its runs on order.

    `events` and `event_s` give the length and pace of each stream.
    """

    events = 160
    event_s = 0.025
    drops_when_closed = True

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        fleet: "dict[str, Engine]",
    ) -> None:
        """Set the attributes."""
        super().__init__(name, service, zone, store, record)
        self.fleet = fleet
        self.live: dict[str, Run] = {}
        self.all_runs: list[Run] = []
        self.copies: dict[str, Copy] = {}
        self.handles = 0
        self.notice_s: float | None = None
        self.is_dark = False

    async def start(self, ip: str) -> None:
        """Listen, and be found by the other engines."""
        await super().start(ip)
        self.fleet[self.address] = self

    def is_unframed(self, request: Request) -> bool:
        """Return whether an answer has neither a length nor chunks."""
        return False

    async def leave(self, notice_s: float) -> None:
        """Report in the store that the replica drains."""
        self.state = "draining"
        self.notice_s = self.record.now_s() + notice_s
        await self.register()
        self.record.add(f"{self.name} leaves in {notice_s} s; confirmed")

    async def call(self, request: Request, channel: Channel) -> None:
        """Answer reports and orders to move a run."""
        if self.is_dark:
            await asyncio.Event().wait()
        name = request.path.removeprefix("/plantainsail/")
        if name == "report":
            self.record.add(f"{self.name} is asked for its report")
            channel.writer.write(json_answer(200, self._report(), {}))
            return
        if name == "kv-move":
            await self.move(request, channel)
            return
        if name.startswith("kv-handle/"):
            handle = name.rpartition("/")[2]
            for engine in self.fleet.values():
                engine.copies.pop(handle, None)
            channel.writer.write(json_answer(200, {}, {}))
            return
        channel.writer.write(answer(404, {}))

    def _report(self) -> dict[str, Any]:
        report: dict[str, Any] = {
            "Stage": "prefill_decode",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Busy": False,
            "Sequence": 1,
            "QueuedRequests": 0,
            "ActiveRequests": len(self.live),
            "KvUsedTokens": 0,
            "KvTotalTokens": 34236,
            "KvHandles": len(self.copies),
            "State": self.state,
        }
        if self.notice_s is not None:
            left_s = self.notice_s - self.record.now_s()
            report["leaves_ms"] = max(0, int(left_s * 1000))
        return report

    async def move(self, request: Request, channel: Channel) -> None:
        """Copy a run to another engine; stop it first if final."""
        order = json.loads(request.body)
        run = self.live.get(order["Identifier"])
        final = " final" if order["IsFinal"] else ""
        self.record.add(
            f"{self.name} is ordered to copy {order['Identifier']}{final}"
        )
        if run is None:
            channel.writer.write(json_answer(404, {}, {}))
            return
        if order["IsFinal"]:
            run.is_stopped = True
            if run.writer is not None:
                reset(run.writer)
        target = self.fleet[order["Target"]]
        await asyncio.sleep(0.005)
        handle = self._store_copy(run, target)
        value = {"KvHandle": handle, "CreatedAt": run.made}
        channel.writer.write(json_answer(200, value, {}))
        await channel.writer.drain()

    def _store_copy(self, run: Run, target: "Engine") -> str:
        for handle, copy in target.copies.items():
            if copy.request == run.request:
                target.copies[handle] = Copy(run.request, run.made)
                return handle
        self.handles += 1
        handle = f"{self.name}-{self.handles}"
        target.copies[handle] = Copy(run.request, run.made)
        return handle

    async def serve(self, request: Request, channel: Channel) -> None:
        """Run a request from its beginning, or go on from a copy."""
        if self.is_dark:
            await asyncio.Event().wait()
        made = 0
        source = request.get("kv-from")
        if source is not None:
            copy = self.copies.pop(source.rpartition("/")[2], None)
            if copy is None:
                fields = self.fields(request) | {"X-Not-Executed": "1"}
                channel.writer.write(answer(503, fields))
                return
            made = int(request.get("last-event-id") or 0)
        identifier = self.note_run(request)
        run = Run(identifier, made)
        run.began_s = self.record.now_s()
        run.writer = channel.writer
        run.is_unframed = self.is_unframed(request)
        self.live[identifier] = run
        self.all_runs.append(run)
        try:
            await self._stream(request, run, channel)
        finally:
            run.is_over = True
            run.ended_s = self.record.now_s()
            if self.live.get(identifier) is run:
                del self.live[identifier]
            self.record.add(
                f"{self.name} ends {identifier} after event {run.made}"
            )

    async def _stream(
        self, request: Request, run: Run, channel: Channel
    ) -> None:
        writer = channel.writer
        fields = self.fields(request) | {"Content-Type": "text/event-stream"}
        if run.is_unframed:
            fields["Connection"] = "close"
        else:
            fields["Transfer-Encoding"] = "chunked"
        writer.write(head(200, fields))
        closed = asyncio.create_task(channel.reader.read(1))
        try:
            while run.made < self.events and not run.is_stopped:
                await asyncio.sleep(self.event_s)
                if self.is_dark:
                    await asyncio.Event().wait()
                if closed.done():
                    self.channels.discard(writer)
                    if self.drops_when_closed:
                        return
                run.made += 1
                if not writer.is_closing():
                    data = event(run.made)
                    writer.write(data if run.is_unframed else chunk(data))
            if run.is_stopped or writer.is_closing():
                return
            if run.is_unframed:
                writer.close()
                return
            writer.write(b"0\r\n\r\n")
        finally:
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
