"""A stand-in for callers: one request on a channel of its own."""

import asyncio
import socket
from typing import NamedTuple

from standins.http import parse_headers

PATIENCE_S = 10.0
READ_BYTES = 16_384


class Reply(NamedTuple):
    """What one caller got.

    `is_whole` says that the answer ended as HTTP ends one; `ended` how
    the channel ended otherwise.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    ended: str
    after_s: float

    @property
    def event_ids(self) -> list[int]:
        """Return the identifiers of the events in the body."""
        ids: list[int] = []
        for line in self.body.split(b"\n"):
            if line.startswith(b"id: "):
                ids.append(int(line[4:]))
        return ids


class _Body:
    """Collects the bytes of an answer and finds its end."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.is_whole = False

    def feed(self, data: bytes) -> None:
        """Add bytes."""
        self.data += data
        if not self.status and not self._parse_head():
            return
        if self.headers.get("transfer-encoding") == "chunked":
            self._parse_chunks()
            return
        self.body += self.data
        self.data.clear()
        length = self.headers.get("content-length")
        if length is not None and len(self.body) >= int(length):
            self.is_whole = True

    def _parse_head(self) -> bool:
        end = self.data.find(b"\r\n\r\n")
        if end < 0:
            return False
        lines = bytes(self.data[:end]).decode("latin-1").split("\r\n")
        del self.data[: end + 4]
        self.status = int(lines[0].split(" ")[1])
        self.headers = dict(parse_headers(lines[1:]))
        return True

    def _parse_chunks(self) -> None:
        while not self.is_whole:
            end = self.data.find(b"\r\n")
            if end < 0:
                return
            size = int(bytes(self.data[:end]).split(b";")[0], 16)
            if len(self.data) < end + 2 + size + 2:
                return
            self.body += self.data[end + 2 : end + 2 + size]
            del self.data[: end + 2 + size + 2]
            self.is_whole = size == 0


async def send(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    patience_s: float = PATIENCE_S,
) -> Reply:
    """Send one request and read its answer to the end.

    `patience_s` is how long the caller waits for the next bytes.
    """
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    answer = _Body()
    ended = "whole"
    ip, port = address.split(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        async with asyncio.timeout(1.0):
            await loop.sock_connect(sock, (ip, int(port)))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        await loop.sock_sendall(sock, head.encode() + body)
        while not answer.is_whole:
            async with asyncio.timeout(patience_s):
                data = await loop.sock_recv(sock, READ_BYTES)
            if not data:
                ended = "closed"
                break
            answer.feed(data)
    except TimeoutError:
        ended = "the caller gave up"
    except OSError as error:
        ended = f"{type(error).__name__}"
    finally:
        sock.close()
    return Reply(
        answer.status,
        answer.headers,
        bytes(answer.body),
        answer.is_whole,
        ended,
        loop.time() - started_s,
    )
