"""Sends requests to entry daemons and records the answers."""

import asyncio

from plantainsail.api.responses import OUTCOME_HEADER

CALL_TIMEOUT_S = 6.0


class Attempt:
    """One request of a caller and the answer that it received."""

    def __init__(
        self, request: str, kind: str, key: str, sent_s: float
    ) -> None:
        self.request = request
        self.kind = kind
        self.key = key
        self.sent_s = sent_s
        self.body = f"body of {request}".encode()
        self.status = 0
        self.answer = b""
        self.is_complete = False
        self.is_not_run = False


async def call(address: str, attempt: Attempt) -> None:
    """Send the request and record the answer in the attempt.

    The status stays 0 if no status line was received.
    """
    ip, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                writer.write(_request(attempt))
                await _read(reader, attempt)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        # The attempt keeps what was received before the failure.
        return


def _request(attempt: Attempt) -> bytes:
    return (
        f"POST /{attempt.kind}/x HTTP/1.1\r\nhost: example.org\r\n"
        f"plantainsail-request-id: {attempt.request}\r\n"
        f"authorization: Bearer {attempt.key}\r\n"
        f"content-length: {len(attempt.body)}\r\n\r\n"
    ).encode() + attempt.body


async def _read(reader: asyncio.StreamReader, attempt: Attempt) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    attempt.status = int(head.split(" ")[1])
    attempt.is_not_run = f"{OUTCOME_HEADER.lower()}: not_run" in head
    if "transfer-encoding: chunked" in head:
        await _read_chunks(reader, attempt)
        return
    length = int(head.partition("content-length: ")[2].split("\r")[0])
    attempt.answer = await reader.readexactly(length)
    attempt.is_complete = True


async def _read_chunks(reader: asyncio.StreamReader, attempt: Attempt) -> None:
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            attempt.is_complete = True
            return
        attempt.answer += data[:-2]
