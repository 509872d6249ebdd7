"""Calls with no key, a wrong key or another organisation's key.

Tickets and streams of another organisation, and forged ones, must be
refused without using up a ticket, and callers must not reach the
operators' pages.
"""

import json

import pytest

from plantainsail.daemon import Daemon
from tests.standins.platform import (
    DESK_KEY,
    MODEL,
    STORE_KEY,
    Answer,
    Platform,
    call,
)

BODY = {"model": MODEL, "prompt": "a guide", "stream": True}
CALLER_PATHS = [
    ("POST", "/v1/chat/completions"),
    ("POST", "/v1/completions"),
    ("POST", "/v1/services/ledger/stock.read"),
    ("POST", "/v1/services/ledger/dispatch"),
    ("POST", "/v1/tickets"),
    ("GET", "/v1/tickets/anything"),
    ("GET", "/v1/streams/anything"),
]
DISPATCH = "/v1/services/ledger/dispatch"
OPERATOR_PATHS = [
    "/metrics",
    "/v1/operator/status",
    "/v1/operator/peers",
    "/v1/operator/upstreams",
    "/v1/operator/organisations",
    "/v1/operator/drain",
]


def code_of(answer: Answer) -> str:
    code: str = json.loads(answer.body)["error"]["code"]
    return code


@pytest.mark.parametrize(("method", "path"), CALLER_PATHS)
@pytest.mark.parametrize(
    ("key", "code"),
    [(None, "missing_key"), ("wrong", "unknown_key"), ("", "missing_key")],
)
async def test_call_without_known_key_is_refused(
    address: str, method: str, path: str, key: str | None, code: str
) -> None:
    body = b"{}" if method == "POST" else None
    answer = await call(address, method, path, body, key=key)
    assert answer.status == 401
    assert code_of(answer) == code


async def test_ticket_of_another_organisation_is_invalid_and_not_burned(
    address: str, platform: Platform
) -> None:
    minted = await call(address, "POST", "/v1/tickets", b"{}")
    ticket = minted.headers["plantainsail-ticket"]
    path = f"/v1/tickets/{ticket}"
    query = await call(address, "GET", path, key=STORE_KEY)
    assert code_of(query) == "ticket_invalid"
    # The other organisation's query did not burn the ticket.
    run = await call(
        address,
        "POST",
        DISPATCH,
        b"{}",
        headers={"plantainsail-ticket": ticket},
    )
    assert run.status == 200
    assert len(platform.services[0].executions) == 1


@pytest.mark.parametrize("first_character", [b"x", b"."])
async def test_forged_ticket_runs_nothing(
    address: str, platform: Platform, first_character: bytes
) -> None:
    minted = await call(address, "POST", "/v1/tickets", b"{}")
    ticket = minted.headers["plantainsail-ticket"]
    forged = first_character.decode() + ticket[1:]
    answer = await call(
        address,
        "POST",
        DISPATCH,
        b"{}",
        headers={"plantainsail-ticket": forged},
    )
    assert code_of(answer) == "ticket_invalid"
    assert platform.services[0].executions == []


async def test_stream_of_another_organisation_is_invalid(
    address: str,
) -> None:
    first = await call(
        address, "POST", "/v1/completions", json.dumps(BODY).encode()
    )
    name = first.headers["plantainsail-stream"]
    path = f"/v1/streams/{name}"
    other = await call(address, "GET", path, key=STORE_KEY)
    assert code_of(other) == "stream_invalid"
    own = await call(address, "GET", path, key=DESK_KEY)
    assert own.status == 200
    forged = await call(address, "GET", path[:-2] + "xx", key=DESK_KEY)
    assert code_of(forged) == "stream_invalid"


async def test_ticket_is_not_accepted_as_stream_name(address: str) -> None:
    minted = await call(address, "POST", "/v1/tickets", b"{}")
    ticket = minted.headers["plantainsail-ticket"]
    answer = await call(address, "GET", f"/v1/streams/{ticket}")
    assert code_of(answer) == "stream_invalid"


@pytest.mark.parametrize("path", OPERATOR_PATHS)
async def test_callers_cannot_reach_operator_paths(
    address: str, daemon: Daemon, path: str
) -> None:
    for method in ("GET", "POST"):
        answer = await call(address, method, path, key=DESK_KEY)
        assert code_of(answer) == "unknown_path"
    assert daemon.node.life_cycle.state == "serving"
