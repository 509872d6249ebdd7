"""An upstream that turns a request away may ask for a pause.

A daemon that sends it further requests meanwhile keeps an upstream in
trouble busy, and makes callers wait for what is surely refused.
"""

import pytest

from plantainsail.routing.hold_offs import MAX_HOLD_OFF_S, HoldOffs
from plantainsail.routing.model import RoutedUpstream
from tests.standins.office import REQUESTS, TOKENS, Office
from tests.standins.routed import StandInCaller
from tests.standins.waiting import until


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
async def test_an_upstream_that_names_a_time_gets_no_requests_until_then(
    office: Office, path: str
) -> None:
    office.extra = b"retry-after: 60.5\r\n"
    office.turns_away = True
    await office.use_first_alone(path)
    office.turns_away = False
    assert await office.send_all(path) == 0


async def test_other_daemons_are_not_asked_for_the_pause(
    office: Office,
) -> None:
    office.extra = b"retry-after: 60\r\n"
    office.turns_away = True
    await office.use_first_alone("/safe/x")
    office.turns_away = False
    assert await office.send_all("/safe/x", daemon=1) > 0


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
async def test_requests_are_refused_at_once_while_all_upstreams_want_none(
    office: Office, path: str
) -> None:
    office.extra = b"retry-after: 60\r\n"
    office.turns_away = True
    caller = StandInCaller(office.daemons[0])
    for _ in range(REQUESTS):
        response = await caller.call(path, TOKENS)
        assert response.status in (429, 503)
        assert response.headers["plantainsail-outcome"] == "not_run"
    assert len(office.upstreams[0].received_requests) == 1
    assert 40.0 < float(response.headers["retry-after"]) < 120.0


@pytest.mark.parametrize(
    "value", [b"Fri, 04 Dec 2026 20:00:00 GMT", b"-3", b"soon", b"0"]
)
async def test_a_time_that_is_no_positive_number_holds_nothing_off(
    office: Office, value: bytes
) -> None:
    office.extra = b"retry-after: " + value + b"\r\n"
    office.turns_away = True
    await office.send_first("/safe/x")
    office.turns_away = False
    node = office.daemons[0].node
    assert node.send_wait_s(office.entries[0]) == 0.0
    assert await office.send_all("/safe/x") == REQUESTS


async def test_a_new_incarnation_is_not_held_off(office: Office) -> None:
    office.extra = b"retry-after: 60\r\n"
    office.turns_away = True
    await office.use_first_alone("/safe/x")
    office.turns_away = False
    for source in office.sources:
        source.put(source.upstreams["u0"]._replace(born_ms=9))
    node = office.daemons[0].node
    await until(lambda: node.registry.entries["u0"].born_ms == 9)
    assert await office.send_all("/safe/x") > 0


def test_a_pause_is_bounded_and_ends() -> None:
    upstream = RoutedUpstream("u0", "service", "127.0.0.1:1", "a", 8)
    hold_offs = HoldOffs()
    hold_offs.note(upstream, 10 * MAX_HOLD_OFF_S, 5.0)
    assert hold_offs.wait_s(upstream, 5.0) == MAX_HOLD_OFF_S
    assert hold_offs.wait_s(upstream, 5.0 + MAX_HOLD_OFF_S) == 0.0
    hold_offs.forget_ended(5.0 + MAX_HOLD_OFF_S)
    assert not hold_offs.pauses
