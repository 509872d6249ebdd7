"""How the daemons' HTTP listeners are set up."""

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
    """Return what all listeners have in common.

    Signals, logs and life cycle are the daemon's own.
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
