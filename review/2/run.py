"""A leaving engine goes dark while its streams are being moved."""

import asyncio

from standins import caller
from standins.case import (
    Case,
    configuration,
    engine_service,
    main,
    prompt_headers,
    route,
)
from standins.http import Request
from standins.replica import Channel, Engine

SERVICE = "writers"
ENGINES = 6
STREAMS = 40
# One stream in twenty comes with neither a length nor chunks.
UNFRAMED_EVERY = 20
START_INTERVAL_S = 0.02
LEAVES_AFTER_S = 1.5
NOTICE_S = 2.0


class FailingEngine(Engine):
    """An engine that may go dark after the first copy of a stream."""

    goes_dark_after: str | None = None

    def is_unframed(self, request: Request) -> bool:
        """Return whether the answer ends with its channel."""
        number = int((request.get("x-attempt-id") or "").rpartition("-")[2])
        return number % UNFRAMED_EVERY == 0

    async def move(self, request: Request, channel: Channel) -> None:
        """Copy a run, and go dark after that of one stream."""
        await super().move(request, channel)
        if request.json()["Identifier"] == self.goes_dark_after:
            self.is_dark = True
            self.record.add(f"{self.name} goes dark")


def find_unframed(engines: list[FailingEngine]) -> FailingEngine:
    """Return an engine that runs a stream without a length."""
    for engine in engines:
        for run in engine.live.values():
            if run.is_unframed:
                engine.goes_dark_after = run.request
                return engine
    raise ValueError("no such stream runs")


async def play(case: Case) -> int:
    """Send streams, and let one engine leave and go dark."""
    fleet = await case.start_store()
    routes = [route("guide", "streaming", SERVICE, 39000, 1800)]
    state = configuration(1, routes, [engine_service(SERVICE)])
    await case.store.put("op/config", state)
    peers: dict[str, Engine] = {}
    engines: list[FailingEngine] = []
    for number in range(ENGINES):
        zone = f"zone-{'abc'[number % 3]}"
        engine = FailingEngine(
            f"i-{number}", SERVICE, zone, case.store, case.record, peers
        )
        await engine.start(case.replica_ip)
        engines.append(engine)
    await fleet.start_all()
    calls: list[asyncio.Task[caller.Reply]] = []
    for number in range(STREAMS):
        machine = fleet.machines[number % len(fleet.machines)]
        calls.append(
            asyncio.create_task(
                caller.send(
                    machine.frontend,
                    "POST",
                    "/guide/1",
                    prompt_headers(f"stream-{number}", 39000),
                    b"prompt",
                )
            )
        )
        await asyncio.sleep(START_INTERVAL_S)
    await asyncio.sleep(LEAVES_AFTER_S)
    if case.has_trouble:
        await find_unframed(engines).leave(NOTICE_S)
    replies = await asyncio.gather(*calls)
    cut_as_whole = 0
    for number, reply in enumerate(replies):
        ids = reply.event_ids
        expected = list(range(1, len(ids) + 1))
        last = ids[-1] if ids else 0
        case.record.add(
            f"stream-{number}: {reply.status}, {len(ids)} events, last {last},"
            f" in order {ids == expected}, ended {reply.ended}"
        )
        if reply.status == 200 and reply.is_whole and last < Engine.events:
            cut_as_whole += 1
    return case.finish(
        cut_as_whole > 0,
        f"{cut_as_whole} of {STREAMS} streams ended as complete before"
        f" their last event ({Engine.events})",
    )


main(__file__, play)
