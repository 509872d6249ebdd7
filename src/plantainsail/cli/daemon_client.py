"""HTTP calls from the command-line tool to a daemon."""

from collections.abc import AsyncIterator, Mapping
from typing import Any, NamedTuple

import aiosonic
import msgspec
from aiosonic.timeout import Timeouts
from expression import Error, Ok, Result

from plantainsail.cli.output import ExitStatus
from plantainsail.decoding import UndecodableError, decode_json

CONNECT_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 10.0
STREAM_SILENCE_S = 120.0
HTTP_OK = 200
HTTP_ACCEPTED = 202
EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
DONE_DATA = b"[DONE]"


class CallError(NamedTuple):
    """The exit status and the message for a failed call of a daemon."""

    status: ExitStatus
    detail: str


def _unreachable(address: str, error: Exception) -> CallError:
    reason = type(error).__name__
    return CallError(
        ExitStatus.UNREACHABLE, f"no daemon answers at {address} ({reason})"
    )


def refusal_error(status: int, body: bytes) -> CallError:
    """Return the error described by a daemon's error response."""
    try:
        error: dict[str, Any] = decode_json(body)["error"]
        detail = (
            f"{error['number']} {error['code']} ({error['outcome']}): "
            f"{error['message']}"
        )
    except (UndecodableError, KeyError, TypeError):
        detail = f"status {status}"
    return CallError(ExitStatus.FAILED, detail)


async def request_json(
    address: str, method: str, path: str
) -> Result[Any, CallError]:
    """Return the JSON response of a daemon's operator listener."""
    timeouts = Timeouts(
        sock_connect=CONNECT_TIMEOUT_S,
        sock_read=ANSWER_TIMEOUT_S,
        request_timeout=ANSWER_TIMEOUT_S,
    )
    try:
        async with aiosonic.HTTPClient() as client:
            response = await client.request(
                f"http://{address}{path}", method, timeouts=timeouts
            )
            body = await response.content()
    except Exception as error:
        return Error(_unreachable(address, error))
    if int(response.status_code) not in (HTTP_OK, HTTP_ACCEPTED):
        return Error(refusal_error(int(response.status_code), body))
    try:
        return Ok(decode_json(body))
    except UndecodableError as error:
        return Error(CallError(ExitStatus.FAILED, f"not JSON: {error}"))


async def stream_events(
    address: str, path: str, body: Mapping[str, Any], key: str
) -> AsyncIterator[Result[bytes, CallError]]:
    """Yield the data of each server-sent event until `[DONE]`."""
    headers = {
        "authorization": f"Bearer {key}",
        "content-type": "application/json",
    }
    timeouts = Timeouts(
        sock_connect=CONNECT_TIMEOUT_S,
        sock_read=STREAM_SILENCE_S,
        request_timeout=None,
    )
    try:
        async with aiosonic.HTTPClient() as client:
            response = await client.request(
                f"http://{address}{path}",
                "POST",
                headers=headers,
                data=msgspec.json.encode(body),
                timeouts=timeouts,
                stream=True,
            )
            if response.status_code != HTTP_OK:
                refusal = await response.content()
                yield Error(refusal_error(int(response.status_code), refusal))
                return
            pending = b""
            async for piece in response.read_chunks():
                *events, pending = (pending + piece).split(EVENT_END)
                for event in events:
                    data = event.rpartition(DATA_PREFIX)[2]
                    if data == DONE_DATA:
                        return
                    yield Ok(data)
    except Exception as error:
        yield Error(_unreachable(address, error))
        return
    yield Error(CallError(ExitStatus.FAILED, "the stream broke off"))
