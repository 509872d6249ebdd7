"""The gRPC listener for other daemons."""

from collections.abc import Callable, Iterable
from typing import Any

import grpc

from plantainsail.peers.credentials import TlsStore, TokenGuard
from plantainsail.settings import split_address
from plantainsail.signing import Signer

Registration = Callable[[Any], None]

SERVER_OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.min_ping_interval_without_data_ms", 500),
    ("grpc.http2.max_ping_strikes", 0),
    # Longer than any heartbeat interval, so that a ping is sent only on
    # a connection that may have gone silent.  Without pings, the long
    # call of a peer that vanished would stay open for ever.
    ("grpc.keepalive_time_ms", 4_000),
    ("grpc.keepalive_timeout_ms", 700),
    ("grpc.http2.ping_timeout_ms", 700),
    ("grpc.http2.max_pings_without_data", 0),
)


class PeerServer:
    """Listens on one address and serves the registered services.

    The constructor binds the port, so that a daemon whose settings
    leave the port open knows its address before it joins the fleet.
    """

    def __init__(
        self, address: str, signer: Signer, tls: TlsStore | None = None
    ) -> None:
        self.guard = TokenGuard(signer)
        self.server = grpc.aio.server(
            options=SERVER_OPTIONS, interceptors=[self.guard]
        )
        self.port: int = self._listen(address, tls)
        if self.port == 0:
            raise OSError(f"cannot listen on {address}")
        ip, _ = split_address(address)
        self.address = (
            f"[{ip}]:{self.port}" if ":" in ip else (f"{ip}:{self.port}")
        )

    def _listen(self, address: str, tls: TlsStore | None) -> int:
        if tls is None:
            return int(self.server.add_insecure_port(address))
        return int(
            self.server.add_secure_port(address, tls.server_credentials())
        )

    async def start(self, registrations: Iterable[Registration]) -> None:
        """Register the services and start to accept calls."""
        for register in registrations:
            register(self.server)
        await self.server.start()

    async def stop(self, grace_s: float) -> None:
        """Refuse new calls and end running ones after `grace_s`."""
        await self.server.stop(grace_s)
