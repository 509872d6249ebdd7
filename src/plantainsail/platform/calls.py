"""HTTP calls with JSON bodies, each on a connection of its own."""

import asyncio
from typing import Any, NamedTuple

import msgspec

from plantainsail.decoding import UndecodableError, decode_json
from plantainsail.upstreams.single_use import (
    ConnectError,
    CutShortError,
    Headers,
    OutgoingRequest,
    SingleUseConnection,
    first_value,
)

CONNECT_TIMEOUT_S = 0.5
# The largest answers are pages of the store's list and several changes
# of a watch, each with a value of up to 1 MB.
MAX_ANSWER_BYTES = 8_388_608


class CallError(Exception):
    """The call failed before a complete answer arrived."""

    @property
    def is_refused(self) -> bool:
        """Return whether the host refused, as no process listens."""
        cause = self.__cause__
        return isinstance(cause, ConnectError) and cause.is_refused


class CallAnswer(NamedTuple):
    """Status, decoded body and headers, whose names are in lower case.

    A body that isn't JSON is None.
    """

    status: int
    body: Any
    headers: Headers = []

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return first_value(self.headers, name)


async def call(
    address: str,
    method: bytes,
    target: str,
    timeout_s: float,
    body: object = None,
    limit_bytes: int = MAX_ANSWER_BYTES,
) -> CallAnswer:
    """Make one call; raise `CallError` if no whole answer comes.

    An answer over `limit_bytes` is not read to its end.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(address, method, target, body, limit_bytes)
    except TimeoutError as error:
        raise CallError(f"no answer in {timeout_s:g} s") from error
    except (ConnectError, CutShortError) as error:
        raise CallError(str(error)) from error


async def _call(
    address: str,
    method: bytes,
    target: str,
    body: object,
    limit_bytes: int,
) -> CallAnswer:
    data = b"" if body is None else msgspec.json.encode(body)
    headers = [
        (b"host", address.encode()),
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(data)),
    ]
    connection = await SingleUseConnection.open(address, CONNECT_TIMEOUT_S)
    try:
        connection.send(
            OutgoingRequest(method, target.encode(), headers, data)
        )
        head = await connection.read_head()
        answer = await connection.read_body(limit_bytes)
    finally:
        connection.abort()
    return CallAnswer(head.status, _json_or_none(answer), head.headers)


def _json_or_none(data: bytes) -> Any:
    try:
        return decode_json(data)
    except UndecodableError:
        # Refusals may have no body, and callers need only the status.
        return None
