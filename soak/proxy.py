"""A loopback proxy that delays, resets or blocks connections.

It can also block only one direction of its connections.
"""

import asyncio
import socket
import struct
from enum import Enum

READ_BYTES = 65_536


class Fault(Enum):
    """A fault that the proxy applies to its connections."""

    NONE = "none"
    DELAYED = "delayed"
    RESET = "reset"
    NO_ANSWERS = "no_answers"
    NO_REQUESTS = "no_requests"
    SILENT = "silent"


DELAY_S = 0.15


def reset(writer: asyncio.StreamWriter) -> None:
    """Abort a connection with a TCP reset.

    Without the option an abort is a regular close to the other side.
    """
    sock = writer.get_extra_info("socket")
    if not writer.transport.is_closing():
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class FaultyLink:
    """Forwards connections to one address and applies a fault."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.fault = Fault.NONE
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> str:
        """Start listening and return the address of the proxy."""
        self.server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self.address

    def set_fault(self, fault: Fault) -> None:
        """Apply a fault to open and new connections."""
        self.fault = fault
        if fault is Fault.RESET:
            for writer in list(self.writers):
                reset(writer)

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        ip, _, port = self.target.rpartition(":")
        try:
            if self.fault is Fault.RESET:
                raise ConnectionResetError
            target_streams = await asyncio.open_connection(ip, int(port))
        except OSError:
            self.writers.discard(writer)
            reset(writer)
            return
        self.writers.add(target_streams[1])
        copies = (
            asyncio.create_task(
                self._copy(reader, target_streams[1], is_request=True)
            ),
            asyncio.create_task(
                self._copy(target_streams[0], writer, is_request=False)
            ),
        )
        await asyncio.gather(*copies)
        for open_writer in (writer, target_streams[1]):
            self.writers.discard(open_writer)
            open_writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await self._delay(is_request=is_request)
                writer.write(data)
                await writer.drain()
            # After a reset, the end of the data must not look regular.
            if self.fault is Fault.RESET:
                reset(writer)
            elif writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            reset(writer)

    async def _delay(self, *, is_request: bool) -> None:
        if self.fault is Fault.DELAYED:
            await asyncio.sleep(DELAY_S)
        while self._is_blocked(is_request=is_request):  # noqa: ASYNC110
            await asyncio.sleep(0.02)

    def _is_blocked(self, *, is_request: bool) -> bool:
        if self.fault is Fault.SILENT:
            return True
        if self.fault is Fault.NO_REQUESTS:
            return is_request
        return self.fault is Fault.NO_ANSWERS and not is_request
