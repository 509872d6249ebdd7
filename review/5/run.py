"""A planned stop while callers on slow lines receive their answers."""

import asyncio
import signal

from standins import caller
from standins.case import (
    Case,
    caller_headers,
    configuration,
    main,
    plain_service,
    route,
)
from standins.http import Request, answer
from standins.replica import Channel, Replica

SERVICE = "ledger"
CALLERS = 6
TIMEOUT_MS = 15000
# The answer takes 6 s on its caller's line, less than the grace period.
ANSWER_BYTES = 3_000_000
LINE_BYTES_S = 500_000
STOP_AFTER_S = 1.0


class LedgerReplica(Replica):
    """A replica that answers with a long list."""

    async def serve(self, request: Request, channel: Channel) -> None:
        """Run a request, and answer it whole and at once."""
        self.note_run(request)
        body = b"line of the ledger\n" * (ANSWER_BYTES // 19)
        channel.writer.write(answer(200, self.fields(request), body))


async def play(case: Case) -> int:
    """Stop the daemon while it still sends answers."""
    fleet = await case.start_store()
    routes = [route("export", "non_idempotent", SERVICE, TIMEOUT_MS, 5000)]
    state = configuration(1, routes, [plain_service(SERVICE)])
    await case.store.put("op/config", state)
    for number, zone in enumerate("abc", 1):
        replica = LedgerReplica(
            f"i-{number}", SERVICE, f"zone-{zone}", case.store, case.record
        )
        await replica.start(case.replica_ip)
    await fleet.start_all()
    # The fleet has been calm for a while.
    await asyncio.sleep(3.5)
    machine = fleet.machines[0]
    options = caller.CallerOptions(line_bytes_s=LINE_BYTES_S)
    calls: list[asyncio.Task[caller.Reply]] = []
    for number in range(CALLERS):
        calls.append(
            asyncio.create_task(
                caller.send(
                    machine.frontend,
                    "POST",
                    "/export/all",
                    caller_headers(f"export-{number}", TIMEOUT_MS),
                    b"{}",
                    options,
                )
            )
        )
    await asyncio.sleep(STOP_AFTER_S)
    if case.has_trouble:
        fleet.signal(machine, signal.SIGTERM)
    cut = 0
    for number, reply in enumerate(await asyncio.gather(*calls)):
        case.record.add(
            f"export-{number}: {reply.status}, {len(reply.body)} of"
            f" {reply.headers.get('content-length')} bytes after"
            f" {reply.after_s:.2f} s, ended {reply.ended}"
        )
        cut += not reply.is_whole
    if case.has_trouble:
        process = fleet.processes[machine.name]
        status = await process.wait()
        case.record.add(f"{machine.name} has ended with status {status}")
    return case.finish(
        cut > 0,
        f"{cut} of {CALLERS} requests that had run got no complete answer",
    )


main(__file__, play)
