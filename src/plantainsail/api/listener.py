"""The sockets and uvicorn configurations of the HTTP listeners."""

import asyncio
import logging
import socket

import uvicorn
from starlette.applications import Starlette

from plantainsail.api.connection_pool import ConnectionPool
from plantainsail.policy.caller_budget import CallerBudget
from plantainsail.settings import split_address

# The most connections that are accepted before any can be refused.
ACCEPT_BATCH = 32
LISTEN_BACKLOG = 512


def open_listening_socket(address: str, budget: CallerBudget) -> socket.socket:
    """Return a bound socket whose connections have bounded buffers."""
    ip, port = split_address(address)
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    # asyncio sets TCP_NODELAY only if the protocol is named.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit the sizes of the buffers.
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, budget.socket_bytes)
        sock.bind((ip, port))
    except OSError:
        sock.close()
        raise
    return sock


def listener_config(
    app: Starlette,
    address: str,
    protocol: type[asyncio.Protocol],
    header_bytes: int,
    pool: ConnectionPool,
) -> uvicorn.Config:
    """Return the uvicorn configuration of one listener.

    The daemon itself handles signals, logging and the life cycle.
    """
    app.state.pool = pool
    # Malformed requests would each write a warning.
    logging.getLogger("uvicorn.error").setLevel(logging.ERROR)
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
        backlog=ACCEPT_BATCH,
        h11_max_incomplete_event_size=header_bytes,
    )
