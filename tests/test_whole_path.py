"""Requests pass through a real daemon to an upstream and back.

Guards against answers, parameters or refusals that get lost or changed
between the caller and the upstream.
"""

import json

from tests.standins.platform import MODEL, STORE_KEY, Platform, call

WORDS = "".join(f"w{n} " for n in range(12))


def chat(**changes: object) -> bytes:
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "a reorder letter"}],
    }
    return json.dumps(body | changes).encode()


async def test_chat_call_returns_the_whole_answer(address: str) -> None:
    answer = await call(address, "POST", "/v1/chat/completions", chat())
    assert answer.status == 200
    value = json.loads(answer.body)
    assert value["choices"][0]["message"]["content"] == WORDS
    assert value["usage"]["completion_tokens"] == 12


async def test_engine_receives_the_caller_parameters(
    address: str, platform: Platform
) -> None:
    parameters = {"max_tokens": 9, "temperature": 0.5, "seed": 7}
    body = chat(**parameters, stop=["END"])
    answer = await call(address, "POST", "/v1/chat/completions", body)
    assert answer.status == 200
    (received,) = [r for e in platform.engines for r in e.received]
    assert {name: received[name] for name in parameters} == parameters
    assert received["stop"] == ["END"]


async def test_stream_ends_with_finish_reason_and_done(address: str) -> None:
    answer = await call(
        address, "POST", "/v1/chat/completions", chat(stream=True)
    )
    events = answer.body.strip().split(b"\n\n")
    assert events[-1] == b"data: [DONE]"
    values = [json.loads(e.split(b"data: ")[1]) for e in events[:-1]]
    texts = [v["choices"][0]["delta"]["content"] for v in values]
    assert "".join(texts) == WORDS
    assert values[-1]["choices"][0]["finish_reason"] == "stop"


async def test_idempotent_call_runs_once(
    address: str, platform: Platform
) -> None:
    answer = await call(
        address, "POST", "/v1/services/ledger/stock.read", b'{"item": 7}'
    )
    assert answer.status == 200
    assert len(platform.services[0].executions) == 1


async def test_unknown_key_runs_nothing(
    address: str, platform: Platform
) -> None:
    answer = await call(
        address, "POST", "/v1/chat/completions", chat(), key="wrong"
    )
    assert answer.status == 401
    assert json.loads(answer.body)["error"]["outcome"] == "not_run"
    assert platform.engines[0].received == []
    assert platform.engines[1].received == []


async def test_operation_outside_the_plan_is_refused_and_not_run(
    address: str, platform: Platform
) -> None:
    answer = await call(
        address,
        "POST",
        "/v1/services/ledger/dispatch",
        b"{}",
        key=STORE_KEY,
    )
    assert answer.status == 403
    assert platform.services[0].executions == []
