"""A minimal reader and writer of HTTP/1.1 for the stand-ins."""

import asyncio
import json
import socket
import struct
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit


class Request(NamedTuple):
    """A request as received, with header names in lower case."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return urlsplit(self.target).path

    def get(self, name: str) -> str | None:
        """Return the first value of a header."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None

    def query(self, name: str, default: str = "") -> str:
        """Return a parameter of the query."""
        values = parse_qs(urlsplit(self.target).query).get(name)
        return values[0] if values else default

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body or b"null")


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request with a length or with chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = parse_headers(lines[1:])
    fields = dict(headers)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    return Request(method, target, headers, body)


def parse_headers(lines: list[str]) -> list[tuple[str, str]]:
    """Return the headers, with their names in lower case."""
    headers: list[tuple[str, str]] = []
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers.append((name.strip().lower(), value.strip()))
    return headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body to its end."""
    body = bytearray()
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size:
            body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return bytes(body)


def head(status: int, headers: dict[str, str]) -> bytes:
    """Return the bytes of an answer's head."""
    lines = [f"HTTP/1.1 {status} Status"]
    for name, value in headers.items():
        lines.append(f"{name}: {value}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a complete answer."""
    return head(status, headers | {"Content-Length": str(len(body))}) + body


def json_answer(status: int, value: Any, headers: dict[str, str]) -> bytes:
    """Return an answer with a JSON body."""
    fields = headers | {"Content-Type": "application/json"}
    return answer(status, fields, json.dumps(value).encode())


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a channel with a reset."""
    sock: socket.socket = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
