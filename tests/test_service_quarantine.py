"""A call that crashes replicas of a plain service is refused.

Its caller repeats it, at any daemon, and each daemon sends a read to
further replicas.  Without a quarantine it takes down all replicas of
the service again and again.
"""

import json
from collections.abc import AsyncIterator

import pytest

from plantainsail.daemon import Daemon
from tests.standins.fleet import caller_address
from tests.standins.platform import (
    Answer,
    Platform,
    call,
    earn_retries,
    start_fleet,
)
from tests.standins.raw_upstream import RawRequest, RawUpstream, framed
from tests.standins.suspects import carry_suspects
from tests.standins.waiting import until

READ = "/v1/services/ledger/stock.read"
DISPATCH = "/v1/services/ledger/dispatch"
CRASHING = b'{"item": "poison"}'
SOUND = b'{"item": "pallet"}'
REPLICAS = 3
# What three crashes and three further calls may cost at the most.
MAX_CRASHES = 6


class CrashingService:
    """Replicas of a service that end as they run the crashing call."""

    def __init__(self) -> None:
        self.crashes = 0
        self.replicas: list[RawUpstream] = []
        self.ended: list[RawUpstream] = []

    async def start(self, platform: Platform) -> None:
        """Start the replicas in place of the platform's service."""
        platform.hosts.pop("service-1")
        for number in range(REPLICAS):
            replica = RawUpstream(self._answer)
            self.replicas.append(replica)
            platform.hosts[f"ledger-{number}"] = {
                "role": "service",
                "address": await replica.start(),
                "availability_zone": "zone-1",
                "services": ["ledger"],
            }
        platform.publish_hosts()

    async def restart_ended(self) -> None:
        """Start the replicas again that crashed."""
        for replica in self.ended:
            await replica.restart()
        self.ended.clear()

    def _answer(self, request: RawRequest) -> bytes:
        for replica in self.replicas:
            replica.closes = False
        if request.body == SOUND:
            return framed(request, b'{"stock": 4}', False)
        self.crashes += 1
        for replica in self.replicas:
            if request in replica.requests:
                replica.stop()
                replica.closes = True
                self.ended.append(replica)
        return b""


@pytest.fixture
async def service(platform: Platform) -> AsyncIterator[CrashingService]:
    crashing_service = CrashingService()
    await crashing_service.start(platform)
    yield crashing_service
    for replica in crashing_service.replicas:
        replica.stop()


@pytest.fixture
async def daemons(
    platform: Platform, service: CrashingService
) -> AsyncIterator[list[Daemon]]:
    fleet = await start_fleet(platform, 2)
    yield fleet
    for daemon in fleet:
        await daemon.stop()


async def settle(daemons: list[Daemon], service: CrashingService) -> None:
    """Wait for the checks of replicas, then start these again."""
    await until(lambda: not any(daemon.node.background for daemon in daemons))
    for sender in daemons:
        for receiver in daemons:
            await carry_suspects(sender, receiver)
    await service.restart_ended()


async def dispatch(daemon: Daemon, body: bytes) -> Answer:
    address = caller_address(daemon)
    offered = await call(address, "POST", "/v1/tickets")
    ticket = json.loads(offered.body)["ticket"]
    headers = {"plantainsail-ticket": ticket}
    return await call(address, "POST", DISPATCH, body, headers=headers)


def code_of(answer: Answer) -> str:
    code = json.loads(answer.body)["error"]["code"]
    assert isinstance(code, str)
    return code


async def test_a_repeated_read_that_crashes_its_service_is_refused(
    daemons: list[Daemon], service: CrashingService
) -> None:
    for turn in range(8):
        daemon = daemons[turn % 2]
        earn_retries(daemon, 2)
        answer = await call(caller_address(daemon), "POST", READ, CRASHING)
        assert answer.status in (502, 503)
        await settle(daemons, service)
        sound = await call(caller_address(daemon), "POST", READ, SOUND)
        assert (sound.status, sound.body) == (200, b'{"stock": 4}')
    assert service.crashes <= MAX_CRASHES
    refused = await call(caller_address(daemons[0]), "POST", READ, CRASHING)
    assert code_of(refused) == "quarantined"
    assert refused.headers["plantainsail-outcome"] == "not_run"


async def test_a_repeated_call_that_crashes_its_service_is_refused(
    daemons: list[Daemon], service: CrashingService
) -> None:
    """Each repeat has a ticket of its own."""
    for turn in range(12):
        await dispatch(daemons[turn % 2], CRASHING)
        await settle(daemons, service)
    assert service.crashes <= MAX_CRASHES
    refused = await dispatch(daemons[0], CRASHING)
    assert code_of(refused) == "quarantined"
    assert refused.headers["plantainsail-outcome"] == "not_run"
    assert (await dispatch(daemons[1], SOUND)).status == 200
