"""An engine that answers some requests with newlines without end."""

import asyncio
import itertools

from standins import caller
from standins.case import (
    Case,
    caller_headers,
    configuration,
    engine_service,
    main,
    plain_service,
    prompt_headers,
    route,
)
from standins.http import Request, chunk, head
from standins.replica import Channel, Engine, Replica

ENGINE_SERVICE = "writers"
PLAIN_SERVICE = "stock"
ENGINES = 6
REPLICAS = 3
PAIRS = 300
START_INTERVAL_S = 0.1
STREAM_TIMEOUT_MS = 6000
STREAM_DEADLINE_MS = 39_000
# Callers abandon a stream after a gap of four times the objective, or
# of two seconds.
STREAM_AIM_MS = 1800
STREAM_PATIENCE_S = 7.2
LOOKUP_TIMEOUT_MS = 800
LOOKUP_DEADLINE_MS = 1500
# A request is late half a second after its route's timeout.
SLACK_S = 0.5
FAILED_SHARE = 0.4
BLOCK = chunk(b"\n" * 32_768)


class ShortEngine(Engine):
    """An engine whose streams take half a second."""

    events = 20


class SickEngine(ShortEngine):
    """An engine that answers a share of its requests with newlines.

    They come until the caller closes.  The engine's health check and
    its report are good.
    """

    def __init__(self, *arguments: object, is_sick: bool) -> None:
        """Set the attributes."""
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.is_sick = is_sick
        self.requests = itertools.count()

    async def serve(self, request: Request, channel: Channel) -> None:
        """Answer, or send newlines without end."""
        number = next(self.requests)
        share = int((number + 1) * FAILED_SHARE) - int(number * FAILED_SHARE)
        if not (self.is_sick and share):
            await super().serve(request, channel)
            return
        identifier = self.note_run(request)
        fields = self.fields(request) | {
            "Transfer-Encoding": "chunked",
            "Content-Type": "text/event-stream",
        }
        writer = channel.writer
        writer.write(head(200, fields))
        self.record.add(f"{self.name} sends newlines for {identifier}")
        sent = 0
        try:
            while True:
                writer.write(BLOCK)
                sent += len(BLOCK)
                await writer.drain()
        finally:
            self.record.add(
                f"{self.name} is closed for {identifier}; {sent} bytes"
            )


class Tally:
    """Counts the requests without an answer in time."""

    def __init__(self, case: Case) -> None:
        """Set the attributes."""
        self.case = case
        self.unanswered = 0
        self.late = 0

    def add(self, name: str, reply: caller.Reply, timeout_s: float) -> None:
        """Record and count one request."""
        self.case.record.add(
            f"{name}: {reply.status} after {reply.after_s:.2f} s,"
            f" ended {reply.ended}"
        )
        self.unanswered += reply.after_s >= timeout_s
        self.late += reply.after_s >= timeout_s + SLACK_S


async def start_services(case: Case) -> None:
    """Start the engines and the replicas of the plain service."""
    peers: dict[str, Engine] = {}
    for number in range(ENGINES):
        engine = SickEngine(
            f"i-{number}",
            ENGINE_SERVICE,
            f"zone-{'abc'[number % 3]}",
            case.store,
            case.record,
            peers,
            is_sick=case.has_trouble and number == 0,
        )
        await engine.start(case.replica_ip)
    for number in range(REPLICAS):
        replica = Replica(
            f"p-{number}",
            PLAIN_SERVICE,
            f"zone-{'abc'[number % 3]}",
            case.store,
            case.record,
        )
        await replica.start(case.replica_ip)


async def play(case: Case) -> int:
    """Send streams and lookups while one engine is sick."""
    fleet = await case.start_store()
    routes = [
        route(
            "check",
            "streaming",
            ENGINE_SERVICE,
            STREAM_TIMEOUT_MS,
            STREAM_AIM_MS,
        ),
        route("lookup", "idempotent", PLAIN_SERVICE, LOOKUP_TIMEOUT_MS, 300),
    ]
    services = [engine_service(ENGINE_SERVICE), plain_service(PLAIN_SERVICE)]
    await case.store.put("op/config", configuration(1, routes, services))
    await start_services(case)
    await fleet.start_all()
    streams: list[asyncio.Task[caller.Reply]] = []
    lookups: list[asyncio.Task[caller.Reply]] = []
    for number in range(PAIRS):
        machine = fleet.machines[number % len(fleet.machines)]
        stream = caller.send(
            machine.frontend,
            "POST",
            "/check/1",
            prompt_headers(f"stream-{number}", STREAM_DEADLINE_MS),
            b"prompt",
            STREAM_PATIENCE_S,
        )
        lookup = caller.send(
            machine.frontend,
            "GET",
            "/lookup/1",
            caller_headers(f"lookup-{number}", LOOKUP_DEADLINE_MS),
            b"",
            LOOKUP_DEADLINE_MS / 1000,
        )
        streams.append(asyncio.create_task(stream))
        lookups.append(asyncio.create_task(lookup))
        await asyncio.sleep(START_INTERVAL_S)
    tally = Tally(case)
    for number, reply in enumerate(await asyncio.gather(*streams)):
        tally.add(f"stream-{number}", reply, STREAM_TIMEOUT_MS / 1000)
    streams_late = tally.late
    for number, reply in enumerate(await asyncio.gather(*lookups)):
        tally.add(f"lookup-{number}", reply, LOOKUP_TIMEOUT_MS / 1000)
    is_broken = tally.late >= 8 and tally.late * 2 > tally.unanswered
    return case.finish(
        is_broken,
        f"of {2 * PAIRS} requests {tally.unanswered} had no final answer at"
        f" their route's timeout, {tally.late} none {SLACK_S} s later, of"
        f" them {tally.late - streams_late} at a sound service",
    )


main(__file__, play)
