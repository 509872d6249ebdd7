"""An entry that can't be read, and daemons that start afterwards."""

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
from standins.fleet import BOUNDS, Fleet
from standins.replica import Replica

SERVICE = "stock"
ADDED_SERVICE = "prices"
REQUESTS = 60
INTERVAL_S = 0.1
DOWN_S = 0.55
# Bytes of another writer that are no entry: brackets that never close.
UNREADABLE = b"[" * 2000
# An entry names a replica to use only if it can be read.
OTHER_KEY = "servers/i-other-writer"


async def send_requests(
    case: Case, fleet: Fleet, name: str, prefix: str = "lookup"
) -> int:
    """Send requests to all daemons in turn; return how many succeed."""
    served = 0
    statuses: dict[int, int] = {}
    for number in range(REQUESTS):
        machine = fleet.machines[number % len(fleet.machines)]
        identifier = f"{name}-{number}"
        reply = await caller.send(
            machine.frontend,
            "GET",
            f"/{prefix}/item",
            caller_headers(identifier, 1500),
        )
        statuses[reply.status] = statuses.get(reply.status, 0) + 1
        served += reply.status == 200 and reply.is_whole
        await asyncio.sleep(INTERVAL_S)
    case.record.add(f"{name}: {served} of {REQUESTS} served, {statuses}")
    return served


async def start_replicas(case: Case, service: str) -> None:
    """Start a replica of a service in each zone."""
    for zone in "abc":
        replica = Replica(
            f"i-{service}-{zone}",
            service,
            f"zone-{zone}",
            case.store,
            case.record,
        )
        await replica.start(case.replica_ip)


async def play(case: Case) -> int:
    """Kill all daemons while an unreadable entry lies in the store."""
    fleet = await case.start_store()
    routes = [route("lookup", "idempotent", SERVICE, 1500, 300)]
    state = configuration(1, routes, [plain_service(SERVICE)])
    await case.store.put("op/config", state)
    await start_replicas(case, SERVICE)
    await fleet.start_all()
    before = await send_requests(case, fleet, "before")
    if case.has_trouble:
        await case.store.put(OTHER_KEY, UNREADABLE)
        case.record.add(f"{OTHER_KEY} holds {len(UNREADABLE)} brackets")
    await start_replicas(case, ADDED_SERVICE)
    routes.append(route("price", "idempotent", ADDED_SERVICE, 1500, 300))
    services = [plain_service(SERVICE), plain_service(ADDED_SERVICE)]
    await case.store.put("op/config", configuration(2, routes, services))
    await asyncio.sleep(BOUNDS["ConfigApplyMs"] / 1000)
    first = await send_requests(case, fleet, "first route")
    added = await send_requests(case, fleet, "added route", "price")
    for machine in fleet.machines:
        fleet.signal(machine, signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    for machine in fleet.machines:
        await fleet.start(machine)
    await asyncio.sleep(BOUNDS["RecoveryTimeS"] + 1.0)
    for machine in fleet.machines:
        is_ready = await fleet.is_ready(machine)
        case.record.add(f"{machine.name} is ready: {is_ready}")
    after = await send_requests(case, fleet, "after")
    is_broken = before * 4 >= REQUESTS and after * 4 < REQUESTS
    return case.finish(
        is_broken,
        f"{before} of {REQUESTS} served before the fault, and {after}"
        f" later than {BOUNDS['RecoveryTimeS']} s after it; before it {first}"
        f" on the first route and {added} on a route added later",
    )


main(__file__, play)
