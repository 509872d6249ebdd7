"""A replica is killed while it sends an answer without a length."""

import asyncio
import sys

from standins import caller
from standins.case import (
    Case,
    caller_headers,
    configuration,
    main,
    plain_service,
    route,
)
from standins.separate import BODY

SERVICE = "office"
REPLICAS = 6
REQUESTS = 100
INTERVAL_S = 0.05
# One answer in twenty has neither a length nor chunks.
UNFRAMED_EVERY = 20
KILL_AFTER_REQUEST = 40


class Replicas:
    """Replicas in processes of their own; one may be killed."""

    def __init__(self, case: Case) -> None:
        """Set the attributes."""
        self.case = case
        self.processes: list[asyncio.subprocess.Process] = []
        self.readers: list[asyncio.Task[None]] = []
        self.has_killed = not case.has_trouble

    async def start(self) -> None:
        """Start all replicas and register them in the store."""
        for number in range(REPLICAS):
            name = f"i-{number}"
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "standins.separate",
                name,
                self.case.replica_ip,
                str(UNFRAMED_EVERY),
                stdout=asyncio.subprocess.PIPE,
            )
            self.processes.append(process)
            assert process.stdout is not None
            address = (await process.stdout.readline()).decode().strip()
            entry = {
                "Service": SERVICE,
                "Address": address,
                "Zone": f"zone-{'abc'[number % 3]}",
                "Version": "v1",
                "Slots": 6,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Sequence": 1,
                "born": 1_700_000_000_000,
            }
            await self.case.store.put(f"servers/{name}", entry)
            follow = self.follow(name, process)
            self.readers.append(asyncio.create_task(follow))

    async def follow(
        self, name: str, process: asyncio.subprocess.Process
    ) -> None:
        """Record what a replica does; kill the first that is due."""
        assert process.stdout is not None
        while line := (await process.stdout.readline()).decode().strip():
            self.case.record.add(f"{name} {line}")
            event, _, identifier = line.partition(" ")
            number = int(identifier.rpartition("-")[2])
            if self.has_killed or event != "half":
                continue
            if number >= KILL_AFTER_REQUEST:
                self.has_killed = True
                process.kill()
                self.case.record.add(f"{name} gets SIGKILL")

    async def stop(self) -> None:
        """End all replicas."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        await asyncio.gather(*self.readers)


async def play(case: Case) -> int:
    """Send requests while one replica is killed."""
    fleet = await case.start_store()
    routes = [route("book", "non_idempotent", SERVICE, 1500, 300)]
    state = configuration(1, routes, [plain_service(SERVICE)])
    await case.store.put("op/config", state)
    replicas = Replicas(case)
    try:
        await replicas.start()
        await fleet.start_all()
        calls: list[asyncio.Task[caller.Reply]] = []
        for number in range(REQUESTS):
            machine = fleet.machines[number % len(fleet.machines)]
            call = caller.send(
                machine.frontend,
                "POST",
                "/book/1",
                caller_headers(f"booking-{number}", 1500),
                b"{}",
            )
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(INTERVAL_S)
        replies = await asyncio.gather(*calls)
    finally:
        await replicas.stop()
    partial = 0
    for number, reply in enumerate(replies):
        is_signed = "x-response-signature" in reply.headers
        case.record.add(
            f"booking-{number}: {reply.status}, {len(reply.body)} of"
            f" {len(BODY)} bytes, length said"
            f" {reply.headers.get('content-length')}, signed {is_signed},"
            f" ended {reply.ended}"
        )
        is_success = reply.status == 200 and reply.is_whole
        partial += is_success and reply.body != BODY
    return case.finish(
        partial > 0,
        f"{partial} of {REQUESTS} callers got a success with a part of the"
        " replica's body",
    )


main(__file__, play)
