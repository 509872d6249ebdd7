"""Heartbeats to one peer over one long call.

A separate call for each heartbeat costs some 160 bytes of headers in
both directions, but a message on a long call only 28 bytes of framing.
Each message gets one reply, in order.  If a reply is missing, the call
is ended, so that a late reply is never matched to a later message.
"""

import asyncio
from contextlib import suppress
from typing import Any, NamedTuple

import grpc

from plantainsail.peers.credentials import TOKEN_HEADER
from plantainsail.peers.wire.fleet_pb2 import HeartbeatMessage

CALL_LOST = grpc.StatusCode.UNAVAILABLE


class ConstantFields(NamedTuple):
    """The fields that rarely change between heartbeats."""

    version: int
    sender_nonce: int
    echo_nonce: int | None
    zones_digest: int | None
    receiver_nonce: int | None


class HeartbeatCompressor:
    """Omits unchanged constant fields from messages of one direction.

    A message is sent in full if a constant field differs from the last
    full message.  The receiver adds the fields with `decompress`.
    """

    def __init__(self) -> None:
        self.last_full: HeartbeatMessage | None = None

    def compress(self, message: HeartbeatMessage) -> HeartbeatMessage:
        """Return the message to send, with or without the constants."""
        last_full = self.last_full
        if last_full is None or not _has_same_constants(last_full, message):
            self.last_full = message
            return message
        compressed = HeartbeatMessage()
        compressed.CopyFrom(message)
        compressed.ClearField("version")
        compressed.ClearField("sender")
        if compressed.HasField("timing"):
            compressed.timing.ClearField("echo_nonce")
        if compressed.HasField("zone_ages"):
            compressed.zone_ages.ClearField("zones_digest")
        if compressed.HasField("crowd"):
            compressed.crowd.ClearField("receiver_nonce")
        return compressed

    def decompress(self, message: HeartbeatMessage) -> HeartbeatMessage:
        """Return a received message with its constants added."""
        last_full = self.last_full
        if last_full is None or message.HasField("sender"):
            self.last_full = HeartbeatMessage()
            self.last_full.CopyFrom(message)
            return message
        message.version = last_full.version
        message.sender.CopyFrom(last_full.sender)
        if message.HasField("timing"):
            message.timing.echo_nonce = last_full.timing.echo_nonce
        if message.HasField("zone_ages"):
            message.zone_ages.zones_digest = last_full.zone_ages.zones_digest
        if message.HasField("crowd"):
            message.crowd.receiver_nonce = last_full.crowd.receiver_nonce
        return message


def _has_same_constants(
    last_full: HeartbeatMessage, message: HeartbeatMessage
) -> bool:
    last_constants = _constants_of(last_full)
    new_constants = _constants_of(message)
    for last, new in zip(last_constants, new_constants, strict=True):
        if new is not None and new != last:
            return False
    return True


def _constants_of(message: HeartbeatMessage) -> ConstantFields:
    timing = message.timing if message.HasField("timing") else None
    zones = message.zone_ages if message.HasField("zone_ages") else None
    crowd = message.crowd if message.HasField("crowd") else None
    return ConstantFields(
        message.version,
        message.sender.nonce,
        None if timing is None else timing.echo_nonce,
        None if zones is None else zones.zones_digest,
        None if crowd is None else crowd.receiver_nonce,
    )


class ExchangeStream:
    """A long call to one peer that carries one exchange at a time."""

    def __init__(self, stub: Any, token: str) -> None:
        self.call = stub.Exchange(metadata=((TOKEN_HEADER, token),))
        self.request_compressor = HeartbeatCompressor()
        self.reply_compressor = HeartbeatCompressor()
        self.lock = asyncio.Lock()
        self.is_retired = False

    @property
    def is_open(self) -> bool:
        """Return whether the call has not ended."""
        return not self.call.done()

    async def exchange(self, message: HeartbeatMessage) -> HeartbeatMessage:
        """Return the reply to a message, or raise `grpc.RpcError`."""
        async with self.lock:
            try:
                await self._write(self.request_compressor.compress(message))
                reply = await self.call.read()
            except asyncio.CancelledError as error:
                if _is_task_cancelled():
                    self.call.cancel()
                    raise
                # gRPC also raises this if the peer cancelled the call.
                raise call_error(
                    CALL_LOST, "the peer ended the call"
                ) from error
            except BaseException:
                self.call.cancel()
                raise
            if reply is grpc.aio.EOF:
                raise call_error(CALL_LOST, "the peer ended the call")
            if self.is_retired:
                self.call.cancel()
            return self.reply_compressor.decompress(reply)

    def retire(self) -> None:
        """End the call, after the current exchange if there is one."""
        self.is_retired = True
        if not self.lock.locked():
            self.call.cancel()

    async def _write(self, message: HeartbeatMessage) -> None:
        """Write a message; if the call has ended, the read fails."""
        with suppress(asyncio.InvalidStateError):
            await self.call.write(message)


def _is_task_cancelled() -> bool:
    """Return whether the current task itself is being cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def call_error(code: grpc.StatusCode, detail: str) -> grpc.RpcError:
    """Return an error like that of a call which gRPC itself ended."""
    return grpc.aio.AioRpcError(
        code,
        grpc.aio.Metadata(),
        grpc.aio.Metadata(),
        detail,
    )
