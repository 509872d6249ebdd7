"""The gRPC service that other daemons call."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Protocol

import grpc

from plantainsail.membership.versions import is_compatible
from plantainsail.peers.exchange_stream import HeartbeatCompressor
from plantainsail.peers.wire.fleet_pb2 import (
    FetchPartsReply,
    FetchPartsRequest,
    HeartbeatMessage,
)
from plantainsail.peers.wire.fleet_pb2_grpc import (
    FleetServicer,
    add_FleetServicer_to_server,
)


class HeartbeatHandler(Protocol):
    """Answers the heartbeats of other daemons."""

    def answer(self, message: HeartbeatMessage) -> HeartbeatMessage:
        """Process a heartbeat and return the reply."""

    def count_refused(self, reason: str) -> None:
        """Count a call that was refused for `reason`."""


class PartSource(Protocol):
    """Serves parts of the published lists."""

    async def fetch_parts(self, request: FetchPartsRequest) -> FetchPartsReply:
        """Return the requested parts."""


class PartSourceHolder(Protocol):
    """Holds the source of list parts, None if no parts are served."""

    list_parts: PartSource | None


class FleetService(FleetServicer):
    """Answers heartbeats and serves parts of the lists."""

    def __init__(
        self, handler: HeartbeatHandler, part_source_holder: PartSourceHolder
    ) -> None:
        self.handler = handler
        self.part_source_holder = part_source_holder
        self.closing = asyncio.Event()

    def register(self, server: Any) -> None:
        """Add the service to a gRPC server."""
        add_FleetServicer_to_server(self, server)  # type: ignore[no-untyped-call]

    async def Heartbeat(  # noqa: N802
        self, request: HeartbeatMessage, context: Any
    ) -> HeartbeatMessage:
        """Answer a heartbeat that has a call of its own."""
        await self._check_version(request.version, context)
        return self.handler.answer(request)

    async def Exchange(  # noqa: N802
        self, request_iterator: Any, context: Any
    ) -> AsyncIterator[HeartbeatMessage]:
        """Answer the heartbeats of one long call, in order."""
        reply_compressor = HeartbeatCompressor()
        request_compressor = HeartbeatCompressor()
        closing = asyncio.ensure_future(self.closing.wait())
        try:
            while True:
                request = await _read_request(context, closing)
                if request is None:
                    return
                request = request_compressor.decompress(request)
                await self._check_version(request.version, context)
                yield reply_compressor.compress(self.handler.answer(request))
        finally:
            closing.cancel()

    async def FetchParts(  # noqa: N802
        self, request: FetchPartsRequest, context: Any
    ) -> FetchPartsReply:
        """Return parts of the lists in force."""
        await self._check_version(request.version, context)
        source = self.part_source_holder.list_parts
        if source is None:
            await context.abort(
                grpc.StatusCode.UNIMPLEMENTED, "no parts are served"
            )
            raise AssertionError("abort returned")
        return await source.fetch_parts(request)

    async def _check_version(self, version: int, context: Any) -> None:
        if is_compatible(version):
            return
        self.handler.count_refused("version")
        await context.abort(
            grpc.StatusCode.FAILED_PRECONDITION,
            f"version {version} is not understood",
        )


async def _read_request(
    context: Any, closing: asyncio.Future[Any]
) -> HeartbeatMessage | None:
    """Return the next message, or None at the end or when closing."""
    reading = asyncio.ensure_future(context.read())
    try:
        await asyncio.wait(
            {reading, closing}, return_when=asyncio.FIRST_COMPLETED
        )
        if not reading.done():
            return None
        request = reading.result()
    finally:
        reading.cancel()
    if request is grpc.aio.EOF:
        return None
    message: HeartbeatMessage = request
    return message
