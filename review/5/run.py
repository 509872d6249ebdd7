"""An engine whose failures begin and never end."""

import asyncio
import itertools

from standins import caller
from standins.case import (
    Case,
    configuration,
    engine_service,
    main,
    prompt_headers,
    route,
)
from standins.http import Request, chunk, head
from standins.replica import Channel, Engine

SERVICE = "writers"
ENGINES = 6
STREAMS = 1200
START_INTERVAL_S = 0.03
TIMEOUT_MS = 5000
AIM_MS = 1800
DEADLINE_MS = 39000
# Callers abandon a stream after a gap of four times the objective.
PATIENCE_S = 7.2
# A request is late half a second after its route's timeout.
SLACK_S = 0.5
FAILED_SHARE = 0.4
JUNK_INTERVAL_S = 0.2


class ShortEngine(Engine):
    """An engine whose streams take half a second."""

    events = 20


class GreyEngine(ShortEngine):
    """An engine that fails a share of its requests without an end.

    Its health check and its report are good.
    """

    def __init__(self, *arguments: object, is_grey: bool) -> None:
        """Set the attributes."""
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.is_grey = is_grey
        self.requests = itertools.count()

    async def serve(self, request: Request, channel: Channel) -> None:
        """Answer, or fail with a body that goes on and on."""
        number = next(self.requests)
        share = int((number + 1) * FAILED_SHARE) - int(number * FAILED_SHARE)
        if not (self.is_grey and share):
            await super().serve(request, channel)
            return
        identifier = self.note_run(request)
        fields = self.fields(request) | {"Transfer-Encoding": "chunked"}
        writer = channel.writer
        writer.write(head(500, fields))
        self.record.add(f"{self.name} fails {identifier} without an end")
        while not writer.is_closing():
            writer.write(chunk(b"\x00" * 16))
            await writer.drain()
            await asyncio.sleep(JUNK_INTERVAL_S)


async def play(case: Case) -> int:
    """Send streams while one engine fails some of its requests."""
    fleet = await case.start_store()
    routes = [route("check", "streaming", SERVICE, TIMEOUT_MS, AIM_MS)]
    state = configuration(1, routes, [engine_service(SERVICE)])
    await case.store.put("op/config", state)
    peers: dict[str, Engine] = {}
    for number in range(ENGINES):
        engine = GreyEngine(
            f"i-{number}",
            SERVICE,
            f"zone-{'abc'[number % 3]}",
            case.store,
            case.record,
            peers,
            is_grey=case.has_trouble and number == 0,
        )
        await engine.start(case.replica_ip)
    await fleet.start_all()
    calls: list[asyncio.Task[caller.Reply]] = []
    for number in range(STREAMS):
        machine = fleet.machines[number % len(fleet.machines)]
        calls.append(
            asyncio.create_task(
                caller.send(
                    machine.frontend,
                    "POST",
                    "/check/1",
                    prompt_headers(f"stream-{number}", DEADLINE_MS),
                    b"prompt",
                    PATIENCE_S,
                )
            )
        )
        await asyncio.sleep(START_INTERVAL_S)
    unanswered = 0
    late = 0
    for number, reply in enumerate(await asyncio.gather(*calls)):
        case.record.add(
            f"stream-{number}: {reply.status} after {reply.after_s:.2f} s,"
            f" ended {reply.ended}"
        )
        unanswered += reply.after_s >= TIMEOUT_MS / 1000
        late += reply.after_s >= TIMEOUT_MS / 1000 + SLACK_S
    is_broken = late >= 8 and late * 2 > unanswered
    return case.finish(
        is_broken,
        f"of {STREAMS} requests {unanswered} had no final answer at their"
        f" route's timeout, {late} none {SLACK_S} s later",
    )


main(__file__, play)
