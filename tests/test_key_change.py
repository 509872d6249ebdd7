"""The fleet's key is changed while ticketed calls are running.

The change has three steps, each applied to the daemons one by one: the
new key is appended, then moved to the front, then the old key is
removed.  A ticket signed with either key must stay valid in between, or
its call would be refused or run twice.
"""

import asyncio
from collections.abc import AsyncIterator
from functools import partial

import pytest

from plantainsail.daemon import Daemon
from plantainsail.settings import Settings
from soak.fleet import free_address
from tests.standins.fleet import FixedPeers, as_peer
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
    """Start daemons with the given keys that know each other."""
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
async def half_changed_fleet(
    request: pytest.FixtureRequest, platform: Platform
) -> AsyncIterator[list[Daemon]]:
    """Return a fleet in which a step is applied to some daemons."""
    daemons = await start(platform, *request.param)
    yield daemons
    platform.services[0].resumed.set()
    await asyncio.gather(*(daemon.stop() for daemon in daemons))


async def test_running_ticketed_calls_complete_in_each_step(
    half_changed_fleet: list[Daemon], platform: Platform
) -> None:
    service = platform.services[0]
    service.is_silent = True
    calls = []
    for number, daemon in enumerate(half_changed_fleet):
        ticket = await fresh_ticket(daemon)
        opened = daemon.node.tickets.verify_text(ticket).ok
        assert opened.witness is not None
        for sender in (daemon, half_changed_fleet[number - 1]):
            calls.append(asyncio.create_task(dispatch(sender, ticket)))
        await until(partial(has_run, service, number + 1))
    service.resumed.set()
    answers = await asyncio.gather(*calls)
    assert [answer.status for answer in answers] == [200] * len(calls)
    tickets = [execution.ticket for execution in service.executions]
    assert len(set(tickets)) == len(tickets) == len(half_changed_fleet)


async def test_the_old_key_is_refused_after_the_change(
    platform: Platform,
) -> None:
    changed, unchanged = await start(platform, (NEW,), (OLD,))
    ticket = await fresh_ticket(unchanged)
    answer = await dispatch(changed, ticket)
    assert code_of(answer) == "ticket_invalid"
    assert outcome_of(answer) == "unknown"
    # Neither daemon uses the other as a witness.
    for daemon in (changed, unchanged):
        opened = daemon.node.tickets.verify_text(await fresh_ticket(daemon)).ok
        assert opened.witness is None
    assert platform.services[0].executions == []
    await asyncio.gather(changed.stop(), unchanged.stop())
