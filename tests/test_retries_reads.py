"""Idempotent reads are retried, hedged and ended at their deadline.

A read would fail with a single broken replica if it weren't retried,
and wait for a stalled one if it weren't hedged.  Retries and hedges
beyond their budgets would multiply the load.
"""

import asyncio
import json
from collections.abc import AsyncIterator

import pytest

from plantainsail.daemon import Daemon
from plantainsail.policy.hedges import READS_PER_HEDGE
from tests.standins.platform import Platform, call, earn_retries, start_daemon
from tests.standins.raw_upstream import RawRequest, RawUpstream, framed

READ = "/v1/services/ledger/stock.read"


def answer(request: RawRequest) -> bytes:
    return framed(request, b'{"stock": 4}', False)


@pytest.fixture
async def replicas(platform: Platform) -> AsyncIterator[list[RawUpstream]]:
    upstreams = [RawUpstream(answer), RawUpstream(answer)]
    platform.hosts.pop("service-1")
    for number, replica in enumerate(upstreams, 1):
        platform.hosts[f"ledger-{number}"] = {
            "role": "service",
            "address": await replica.start(),
            "availability_zone": "zone-1",
            "services": ["ledger"],
        }
    platform.publish_hosts()
    yield upstreams
    for replica in upstreams:
        replica.released.set()
        replica.stop()


@pytest.fixture
async def reader(
    platform: Platform, replicas: list[RawUpstream]
) -> AsyncIterator[Daemon]:
    daemon = await start_daemon(platform.settings())
    yield daemon
    await daemon.stop()


def address_of(daemon: Daemon) -> str:
    return f"127.0.0.1:{daemon.caller_listener.port}"


def request_count(replicas: list[RawUpstream]) -> int:
    return sum(len(r.requests) for r in replicas)


async def test_a_failed_read_is_sent_to_the_other_replica(
    reader: Daemon, replicas: list[RawUpstream]
) -> None:
    replicas[0].answer = lambda request: b"nonsense\r\n\r\n"
    earn_retries(reader, 1)
    for _ in range(6):
        if replicas[0].requests:
            break
        result = await call(address_of(reader), "POST", READ, b"{}")
        assert (result.status, result.body) == (200, b'{"stock": 4}')
    assert len(replicas[0].requests) == 1
    retries = reader.node.metrics.retries.labels("read", "upstream_garbled")
    assert retries._value.get() == 1


async def test_reads_are_retried_only_within_the_budget(
    reader: Daemon, replicas: list[RawUpstream]
) -> None:
    for replica in replicas:
        replica.answer = lambda request: b"nonsense\r\n\r\n"
    results = [
        await call(address_of(reader), "POST", READ, b"{}") for _ in range(9)
    ]
    codes = {json.loads(r.body)["error"]["code"] for r in results}
    assert codes == {"retry_budget_exhausted"}
    assert request_count(replicas) == 9
    await call(address_of(reader), "POST", READ, b"{}")
    assert request_count(replicas) == 11


async def test_a_slow_read_is_hedged_to_another_replica(
    reader: Daemon, replicas: list[RawUpstream]
) -> None:
    for _ in range(40):
        await call(address_of(reader), "POST", READ, b"{}")
    # Some of these reads may have been hedged already.
    before = request_count(replicas)
    reader.node.hedges.unspent_reads = 2 * READS_PER_HEDGE
    for replica in replicas:
        replica.stall(5)
    waiting = asyncio.create_task(
        call(address_of(reader), "POST", READ, b"{}")
    )
    for replica in replicas:
        await replica.stalled.wait()
    assert request_count(replicas) == before + 2
    replicas[1].released.set()
    result = await waiting
    assert (result.status, result.body) == (200, b'{"stock": 4}')
    replicas[0].released.set()
    for _ in range(10):
        result = await call(address_of(reader), "POST", READ, b"{}")
        assert result.body == b'{"stock": 4}'
    # One more hedge is available, and ten reads don't earn another.
    assert request_count(replicas) <= before + 2 + 11


async def test_a_read_ends_at_the_callers_deadline(
    reader: Daemon, replicas: list[RawUpstream]
) -> None:
    for replica in replicas:
        replica.stall(0)
    headers = {"Plantainsail-Deadline-Ms": "60"}
    result = await call(
        address_of(reader), "POST", READ, b"{}", headers=headers
    )
    error = json.loads(result.body)["error"]
    assert error["outcome"] == "unknown"
    assert error["code"] == "upstream_timeout"
    assert request_count(replicas) == 1
    for bad in ("soon", "-1", "1" * 13):
        refused = await call(
            address_of(reader),
            "POST",
            READ,
            b"{}",
            headers={"Plantainsail-Deadline-Ms": bad},
        )
        assert refused.status == 400
