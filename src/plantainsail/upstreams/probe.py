"""Checks whether upstreams accept connections."""

from plantainsail.upstreams.single_use import (
    ConnectError,
    SingleUseConnection,
)

PROBE_TIMEOUT_S = 0.3


async def has_process_ended(address: str) -> bool:
    """Return whether an upstream's process has surely ended.

    Only a refused connection shows this: an upstream that doesn't
    answer may be cut off by the network and still run.
    """
    error = await connect_error(address)
    return error is not None and error.is_refused


async def connect_error(address: str) -> ConnectError | None:
    """Return why an upstream accepts no connection, None if it does."""
    try:
        connection = await SingleUseConnection.open(address, PROBE_TIMEOUT_S)
    except ConnectError as error:
        return error
    connection.abort()
    return None
