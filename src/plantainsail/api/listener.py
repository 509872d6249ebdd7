"""The uvicorn configuration of the daemons' HTTP listeners."""

import asyncio

import uvicorn
from starlette.applications import Starlette

from plantainsail.settings import split_address


def listener_config(
    app: Starlette,
    address: str,
    protocol: type[asyncio.Protocol],
    header_bytes: int,
) -> uvicorn.Config:
    """Return the uvicorn configuration of one listener.

    The daemon itself handles signals, logging and the life cycle.
    """
    ip, port = split_address(address)
    return uvicorn.Config(
        app,
        host=ip,
        port=port,
        loop="asyncio",
        http=protocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        proxy_headers=False,
        h11_max_incomplete_event_size=header_bytes,
    )
