"""A change of the fleet's key while tickets are under way.

The change goes in three steps, each over the daemons one by one: the
new key is added at the end, then put first, then the old one removed.
"""

import asyncio
from collections.abc import AsyncIterator
from functools import partial

import pytest

from plantainsail.daemon import Daemon
from plantainsail.settings import Settings
from tests.standins.fleet import FixedPeers, as_peer, free_address
from tests.standins.plain_service import PlainService
from tests.standins.platform import Platform, start_daemon
from tests.standins.waiting import until
from tests.test_tickets_path import (
    code_of,
    dispatch,
    fresh_ticket,
    outcome_of,
)

OLD = "11" * 16
NEW = "22" * 16
ADDED = (OLD, NEW)
FIRST = (NEW, OLD)


async def start(platform: Platform, *keys: tuple[str, ...]) -> list[Daemon]:
    """Start daemons that know each other, with the given keys."""
    daemons = []
    for number, chosen in enumerate(keys, 1):
        usual: Settings = platform.settings(number, free_address())
        daemons.append(await start_daemon(usual._replace(fleet_keys=chosen)))
    for daemon in daemons:
        view = FixedPeers()
        view.known = [as_peer(d) for d in daemons if d is not daemon]
        daemon.node.peers = view
    for daemon in daemons:
        await daemon.node.tickets.mint.refresh()
    return daemons


def has_run(service: PlainService, count: int) -> bool:
    return len(service.executions) == count


@pytest.fixture(
    params=[
        (ADDED, (OLD,), (OLD,)),
        (ADDED, ADDED, FIRST),
        (FIRST, FIRST, ADDED),
        (FIRST, (NEW,), FIRST),
    ]
)
async def mixed(
    request: pytest.FixtureRequest, platform: Platform
) -> AsyncIterator[list[Daemon]]:
    """Return a fleet in the middle of one of the steps."""
    daemons = await start(platform, *request.param)
    yield daemons
    platform.services[0].resumed.set()
    await asyncio.gather(*(daemon.stop() for daemon in daemons))


async def test_tickets_under_way_go_on_through_each_step(
    mixed: list[Daemon], platform: Platform
) -> None:
    service = platform.services[0]
    service.is_silent = True
    calls = []
    for number, daemon in enumerate(mixed):
        ticket = await fresh_ticket(daemon)
        opened = daemon.node.tickets.verify_text(ticket).ok
        assert opened.witness is not None
        for sender in (daemon, mixed[number - 1]):
            calls.append(asyncio.create_task(dispatch(sender, ticket)))
        await until(partial(has_run, service, number + 1))
    service.resumed.set()
    answers = await asyncio.gather(*calls)
    assert [answer.status for answer in answers] == [200] * len(calls)
    tickets = [execution.ticket for execution in service.executions]
    assert len(set(tickets)) == len(tickets) == len(mixed)


async def test_the_old_key_is_refused_after_the_change(
    platform: Platform,
) -> None:
    changed, late = await start(platform, (NEW,), (OLD,))
    ticket = await fresh_ticket(late)
    answer = await dispatch(changed, ticket)
    assert code_of(answer) == "ticket_invalid"
    assert outcome_of(answer) == "unknown"
    # A daemon that was left out names nobody and is named by nobody.
    for daemon in (changed, late):
        opened = daemon.node.tickets.verify_text(await fresh_ticket(daemon)).ok
        assert opened.witness is None
    assert platform.services[0].executions == []
    await asyncio.gather(changed.stop(), late.stop())
