"""Tests of the dispatcher, alone and in daemons, and of its messages.

They guard against waiting requests that are never answered, because a
caller left, a deadline passed or `decide` raised, and against daemons
that together promise more of an engine's memory than it has.
"""

import asyncio
import json
import random

import pytest

from plantainsail.clock import ManualClock
from plantainsail.daemon import Daemon
from plantainsail.identity import Incarnation
from plantainsail.lists.model import HostEntry, HostList, HostState, Role
from plantainsail.lists.store import ListStore
from plantainsail.membership.marks import LeavingMarks
from plantainsail.metrics import Metrics
from plantainsail.policy.exchange import CrowdMessage
from plantainsail.policy.shares import ShareCounter
from plantainsail.policy.slices import Lease, Need, Room, SliceMessage
from plantainsail.policy.work import Work
from plantainsail.results import Code
from plantainsail.runtime.crowd_section import decode_message, encode_message
from plantainsail.runtime.dispatcher import DaemonLocation, Dispatcher
from tests.standins.platform import MODEL, Platform, call

ENGINE = HostEntry(
    "e0", Role.ENGINE, "127.0.0.1:1", "z", models=("m",), kv_tokens=1_000
)


class Fixture:
    def __init__(self) -> None:
        self.clock = ManualClock(100.0)
        self.store = ListStore()
        self.marks = LeavingMarks()
        self.store.offer_hosts(HostList(1, {"e0": ENGINE}))
        self.metrics = Metrics()
        place = DaemonLocation(Incarnation("127.0.0.1:9", 1), "z")
        self.dispatcher = Dispatcher(
            self.store,
            random.Random(1),
            self.clock,
            place,
            self.marks,
            self.metrics,
        )

    def waiting_requests(self) -> float | None:
        return self.metrics.registry.get_sample_value(
            "plantainsail_waiting_requests"
        )

    def work(self, number: int, prompt_tokens: int = 400) -> Work:
        return Work(
            request=f"r{number}",
            organisation="desk",
            plan="large",
            model="m",
            prompt_tokens=prompt_tokens,
            prompt_bytes=4 * prompt_tokens,
            max_tokens=16,
            arrived_s=100.0,
            deadline_s=200.0,
        )


async def test_request_waits_until_memory_is_free() -> None:
    fixture = Fixture()
    dispatcher = fixture.dispatcher
    first = await dispatcher.acquire(fixture.work(0))
    second = await dispatcher.acquire(fixture.work(1))
    third = asyncio.create_task(dispatcher.acquire(fixture.work(2)))
    await asyncio.sleep(0)
    assert first.is_ok() and second.is_ok() and not third.done()
    assert fixture.waiting_requests() == 1
    dispatcher.record_tokens(fixture.work(0), first.ok, 16, 100.5)
    dispatcher.release(fixture.work(0), first.ok, 101.0)
    placed = await third
    assert placed.ok.host == "e0"
    assert fixture.waiting_requests() == 0


async def test_cancelled_wait_leaves_the_queue() -> None:
    fixture = Fixture()
    dispatcher = fixture.dispatcher
    for number in range(2):
        await dispatcher.acquire(fixture.work(number))
    task = asyncio.create_task(dispatcher.acquire(fixture.work(2)))
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert dispatcher.futures == {}
    assert not any(q.entries for q in dispatcher.scheduler.queues.values())


async def test_deadline_ends_wait_in_queue() -> None:
    fixture = Fixture()
    dispatcher = fixture.dispatcher
    for number in range(2):
        await dispatcher.acquire(fixture.work(number))
    task = asyncio.create_task(dispatcher.acquire(fixture.work(2)))
    await asyncio.sleep(0)
    fixture.clock.advance(101.0)
    refused = await task
    assert refused.error.code is Code.DEADLINE_EXPIRED


async def test_waiting_requests_survive_exception_in_decide(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fixture = Fixture()
    dispatcher = fixture.dispatcher
    for number in range(2):
        await dispatcher.acquire(fixture.work(number))
    task = asyncio.create_task(dispatcher.acquire(fixture.work(2)))
    await asyncio.sleep(0)
    original_decide = dispatcher.decide
    decide_failed = asyncio.Event()

    def decide(now_s: float) -> None:
        monkeypatch.setattr(dispatcher, "decide", original_decide)
        decide_failed.set()
        raise IndexError

    monkeypatch.setattr(dispatcher, "decide", decide)
    await decide_failed.wait()
    fixture.clock.advance(101.0)
    refused = await task
    assert refused.error.code is Code.DEADLINE_EXPIRED
    failures = fixture.metrics.registry.get_sample_value(
        "plantainsail_task_failures_total", {"task": "dispatcher"}
    )
    assert failures == 1


async def test_draining_or_leaving_engine_gets_no_work() -> None:
    fixture = Fixture()
    fixture.marks.mark_draining(ENGINE, 100.0)
    refused = await fixture.dispatcher.acquire(fixture.work(0))
    assert refused.error.code is Code.NO_UPSTREAM
    restarted = ENGINE._replace(incarnation="1")
    fixture.store.offer_hosts(HostList(2, {"e0": restarted}))
    assert (await fixture.dispatcher.acquire(fixture.work(1))).is_ok()
    leaving = restarted._replace(state=HostState.LEAVING)
    fixture.store.offer_hosts(HostList(3, {"e0": leaving}))
    refused = await fixture.dispatcher.acquire(fixture.work(2))
    assert refused.error.code is Code.NO_UPSTREAM


def test_crowd_message_survives_encoding() -> None:
    message = CrowdMessage(
        receiver_nonce=2**63 + 5,
        slices=SliceMessage(
            stamp_ms=123_456,
            echo_ms=99,
            silent=("127.0.0.1:7",),
            needs=(Need("e0", 500, 200, "large", 30, "desk"),),
            leases=(Lease("e1", 300, 123_000),),
            rooms=(Room("e2", 64),),
        ),
        plans=(ShareCounter("large", 10, 20, 3, 1.5),),
        organisations=(ShareCounter("desk", 10, 20, 3, 0.25),),
    )
    encoded = encode_message(message).SerializeToString()
    assert len(encoded) < 200
    section = encode_message(message)
    section.ParseFromString(encoded)
    assert decode_message(section) == message


async def test_daemon_queues_requests_beyond_engine_memory(
    daemon: Daemon, platform: Platform, address: str
) -> None:
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "x" * 40_000}],
        "max_tokens": 64,
    }
    answers = await asyncio.gather(
        *(
            call(
                address,
                "POST",
                "/v1/chat/completions",
                json.dumps(body).encode(),
            )
            for _ in range(4)
        )
    )
    assert [answer.status for answer in answers] == [200] * 4
    assert not daemon.node.dispatcher.futures
    accounts = daemon.node.dispatcher.scheduler.accounts.values()
    assert not any(account.running for account in accounts)


async def test_daemons_split_engine_memory_and_lend_it(
    fleet: list[Daemon],
) -> None:
    dispatchers = [daemon.node.dispatcher for daemon in fleet]
    books = [dispatcher.scheduler.slices for dispatcher in dispatchers]
    for daemon in fleet:
        daemon.node.dispatcher.decide(daemon.node.now_s())
    kv_tokens = fleet[0].node.store.hosts.hosts["engine-1"].kv_tokens

    def promised_tokens() -> int:
        return sum(
            book.own_tokens("engine-1", daemon.node.now_s())
            for book, daemon in zip(books, fleet, strict=True)
        )

    assert 0 < promised_tokens() <= kv_tokens
    async with asyncio.timeout(30.0):
        while promised_tokens() < kv_tokens * 0.94:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
    assert promised_tokens() <= kv_tokens
    borrower = dispatchers[0]
    now_s = fleet[0].node.now_s()
    own_limit = books[0].limit("engine-1", now_s)
    work = Work(
        request="large",
        organisation="desk",
        plan="large",
        model=MODEL,
        prompt_tokens=own_limit + 500,
        prompt_bytes=1,
        max_tokens=16,
        arrived_s=now_s,
        deadline_s=now_s + 60.0,
    )
    placed = await borrower.acquire(work)
    assert placed.is_ok()
    host = placed.ok.host
    limits = [
        book.limit(host, daemon.node.now_s())
        for book, daemon in zip(books, fleet, strict=True)
    ]
    assert limits[0] > own_limit
    assert sum(limits) <= kv_tokens
