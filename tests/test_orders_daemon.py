"""Orders from daemon processes to engines, on loopback.

If an owner is killed, its engines must get their orders from the next
owner.  A daemon that was paused after it decided an order must not send
it, since another daemon may be the owner by then.
"""

import asyncio
import json
import signal
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from plantainsail.daemon import Daemon
from plantainsail.policy.order_owners import revision_of
from plantainsail.policy.orders import Order, OrderKind
from plantainsail.settings import OrderSettings
from soak.fleet import free_address
from tests.standins.orders import OrderBook
from tests.standins.platform import Platform, call, plan_part
from tests.standins.process import DaemonProcess

ADAPTER = "letter-7b+desk"
WAIT_LIMIT_S = 70.0
SETTINGS = OrderSettings(
    is_enabled=True, window_s=1.0, dwell_s=1.0, stable_s=0.1
)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, for a bounded time."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


def publish_adapter(platform: Platform) -> None:
    """Publish an adapter that engines may hold but have not loaded."""
    part = plan_part() | {
        "artifacts": [
            {"artifact": ADAPTER, "kind": "adapter", "min_replicas": 2}
        ]
    }
    platform.config.publish_family("lists", 2, {"plans/0": part})
    for host, entry in platform.hosts.items():
        if host.startswith("engine"):
            entry |= {"may_hold": [ADAPTER], "slots": 2}


@pytest.fixture
async def processes(
    platform: Platform, tmp_path: Path
) -> AsyncIterator[dict[str, DaemonProcess]]:
    platform.engines[1].orders.checks_fencing = False
    publish_adapter(platform)
    daemons: dict[str, DaemonProcess] = {}
    for number in (1, 2, 3):
        settings = platform.settings(number, free_address())._replace(
            caller_address=free_address(),
            operator_address=free_address(),
            orders=SETTINGS,
        )
        platform.hosts[settings.host] = {
            "role": "entry",
            "address": settings.peer_address,
            "availability_zone": settings.availability_zone,
        }
        daemons[settings.host] = DaemonProcess(settings, tmp_path)
    platform.publish_hosts()
    try:
        await asyncio.gather(*(d.start() for d in daemons.values()))
        yield daemons
    finally:
        started = [d for d in daemons.values() if d.process is not None]
        await asyncio.gather(*(daemon.end() for daemon in started))


async def owner_of(daemon: DaemonProcess, engine: str) -> str:
    """Return an engine's owner according to a daemon's operator API."""
    path = "/v1/operator/upstreams"
    answer = await call(daemon.settings.operator_address, "GET", path)
    rows = {row["host"]: row for row in json.loads(answer.body)}
    owner: str = rows[engine]["order_owner"]
    return owner


async def test_next_owner_orders_the_engines_of_a_killed_daemon(
    platform: Platform, processes: dict[str, DaemonProcess]
) -> None:
    order_books = {
        f"engine-{n}": engine.orders
        for n, engine in enumerate(platform.engines, 1)
    }
    await wait_until(lambda: all(b.accepted() for b in order_books.values()))
    first_revision = platform.hosts_revision
    any_daemon = next(iter(processes.values()))
    owners = {host: await owner_of(any_daemon, host) for host in order_books}
    killed = processes.pop(owners["engine-1"])
    killed.signal(signal.SIGKILL)
    del platform.hosts[killed.settings.host]
    platform.publish_hosts()

    def is_ordered(book: OrderBook) -> bool:
        return revision_of(book.highest) == platform.hosts_revision

    orphaned = [h for h, o in owners.items() if o == killed.settings.host]
    await wait_until(
        lambda: all(is_ordered(order_books[host]) for host in orphaned)
    )
    survivor = next(iter(processes.values()))
    for host in orphaned:
        assert await owner_of(survivor, host) in processes
        numbers = [taken.number for taken in order_books[host].accepted()]
        assert numbers == sorted(numbers)
        assert revision_of(numbers[0]) == first_revision
        subjects = {taken.subject for taken in order_books[host].taken}
        assert subjects == {ADAPTER}


async def test_daemon_that_paused_while_connecting_sends_no_order(
    platform: Platform, daemon: Daemon, monkeypatch: pytest.MonkeyPatch
) -> None:
    runtime = daemon.orders
    now_s = daemon.node.now_s()
    hosts = daemon.node.store.hosts
    order = Order(
        "engine-1", "0", OrderKind.LOAD, ADAPTER, "", hosts.revision << 32, 0.0
    )
    runtime.orders.ownership.update(
        hosts.revision, ["engine-1"], 1, now_s - 60.0
    )
    checks: list[float] = []

    def pause_on_second_check() -> bool:
        checks.append(now_s)
        if len(checks) > 1:
            daemon.node.life_cycle.paused()
        return daemon.node.life_cycle.state == "serving"

    monkeypatch.setattr(daemon.node, "is_sure", pause_on_second_check)
    await runtime.send(order._replace(decided_s=daemon.node.now_s()))
    assert len(checks) >= 2
    assert platform.engines[0].orders.taken == []
    withheld = daemon.node.metrics.orders_withheld.labels("unsure")
    assert withheld._value.get() == 1
