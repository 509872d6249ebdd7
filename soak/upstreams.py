"""Upstreams that record which requests they ran."""

import asyncio
import random
from collections import Counter
from typing import NamedTuple

from plantainsail.entry.dialect import Dialect

DIALECT = Dialect()
EVENT_COUNT = 12
MAX_EVENT_PAUSE_S = 0.03
MAX_WORK_S = 0.03
ENDLESS_PART_BYTES = 16_384
ENDLESS_CHUNKS = 2_000


class UpstreamRun(NamedTuple):
    """A run of a request at an upstream."""

    upstream: str
    request: str
    organisation: str
    body: bytes


class SoakUpstream:
    """Serves requests and streams, and fails a share of them.

    A failing request is refused, aborted after its run, or, for a
    stream, cut in the middle of an event.  `endless_share` of the
    requests are answered by bytes without an end.  `limit_per_s`, if
    set, is the rate limit that it names in its answers.  `arrivals_s`
    are the times at which requests came, on the clock of the event
    loop.
    """

    def __init__(self, name: str, random_source: random.Random) -> None:
        self.name = name
        self.random_source = random_source
        self.runs: list[UpstreamRun] = []
        self.server: asyncio.Server | None = None
        self.address = ""
        self.failure_share = 0.0
        self.endless_share = 0.0
        self.limit_per_s: float | None = None
        self.arrivals_s: list[float] = []

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Stop accepting connections."""
        if self.server is not None:
            self.server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            headers = dict(_header_lines(head))
            length = int(headers.get("content-length", "0"))
            body = await reader.readexactly(length)
            await self._answer(head.split(" ")[1], headers, body, writer)
        except (asyncio.IncompleteReadError, OSError):
            # The daemon closed the connection; the soak checks the
            # outcome at the caller.
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        path: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        if headers.get(DIALECT.expected_upstream.decode()) != self.name:
            writer.write(b"HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n")
            return
        self.arrivals_s.append(asyncio.get_running_loop().time())
        draw = self.random_source.random()
        if draw < self.failure_share / 3:
            name = DIALECT.not_executed.decode()
            writer.write(
                f"HTTP/1.1 503 Full\r\n{name}: 1\r\n"
                "content-length: 0\r\n\r\n".encode()
            )
            return
        request = headers[DIALECT.request_id.decode()]
        organisation = headers.get(DIALECT.organisation.decode(), "")
        self.runs.append(UpstreamRun(self.name, request, organisation, body))
        if draw < 2 * self.failure_share / 3:
            writer.transport.abort()
            return
        if self.random_source.random() < self.endless_share:
            await self._send_endlessly(request, writer)
            return
        if path.startswith("/stream/"):
            await self._stream(
                request, writer, is_cut=draw < self.failure_share
            )
            return
        await asyncio.sleep(MAX_WORK_S * self.random_source.random())
        writer.write(self._head(request, f"content-length: {len(request)}"))
        writer.write(request.encode())
        await writer.drain()

    async def _stream(
        self, request: str, writer: asyncio.StreamWriter, *, is_cut: bool
    ) -> None:
        writer.write(self._head(request, "transfer-encoding: chunked"))
        for number in range(EVENT_COUNT):
            data = stream_event(request, number)
            if is_cut and number == EVENT_COUNT // 2:
                writer.write(b"%x\r\n%b" % (len(data), data[:7]))
                writer.transport.abort()
                return
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(
                MAX_EVENT_PAUSE_S * self.random_source.random()
            )
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _send_endlessly(
        self, request: str, writer: asyncio.StreamWriter
    ) -> None:
        """Send a head, or a part of one, and bytes until closed."""
        head = self._head(request, "x: y")
        framing = self._head(request, "transfer-encoding: chunked")
        start, part, pause_s = self.random_source.choice(
            [
                (b"", b"x" * ENDLESS_PART_BYTES, 0.0),
                (head, b"x" * ENDLESS_PART_BYTES, 0.0),
                (head, b"\n" * ENDLESS_PART_BYTES, 0.0),
                (head.replace(b"200 OK", b"500 Broken"), b"x", 0.1),
                (framing, b"1\r\n\n\r\n" * ENDLESS_CHUNKS, 0.0),
            ]
        )
        writer.write(start)
        while True:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause_s)

    def _head(self, request: str, framing: str) -> bytes:
        signature = DIALECT.signature.decode()
        name = DIALECT.request_id.decode()
        lines = [
            "HTTP/1.1 200 OK",
            f"{signature}: signed",
            f"{name}: {request}",
            framing,
        ]
        if self.limit_per_s is not None:
            limit = DIALECT.rate_limit.decode()
            lines.append(f"{limit}: {self.limit_per_s}")
        return "\r\n".join([*lines, "", ""]).encode()


def most_arrivals(upstream: SoakUpstream, from_s: float, span_s: float) -> int:
    """Return the most arrivals within a span of time after `from_s`."""
    most = 0
    arrivals_s = [at_s for at_s in upstream.arrivals_s if at_s >= from_s]
    for start_s in arrivals_s:
        within = [
            at_s for at_s in arrivals_s if start_s <= at_s < start_s + span_s
        ]
        most = max(most, len(within))
    return most


def stream_event(request: str, number: int) -> bytes:
    """Return the event with this number of a request's stream."""
    return f"id: {number}\ndata: {request} {number}\n\n".encode()


def whole_stream(request: str) -> bytes:
    """Return all events of a request's stream."""
    return b"".join(
        stream_event(request, number) for number in range(EVENT_COUNT)
    )


def count_runs(upstreams: list[SoakUpstream]) -> Counter[str]:
    """Return how often each request ran at all upstreams."""
    return Counter(
        run.request for upstream in upstreams for run in upstream.runs
    )


def _header_lines(head: str) -> list[tuple[str, str]]:
    pairs: list[tuple[str, str]] = []
    for line in head.split("\r\n")[1:]:
        name, colon, value = line.partition(":")
        if colon:
            pairs.append((name.lower(), value.strip()))
    return pairs
