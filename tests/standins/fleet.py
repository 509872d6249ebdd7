"""Several daemons in one process, each with a fixed view of peers."""

import itertools
import os
import socket
from collections.abc import Iterator, Sequence

from plantainsail.daemon import Daemon
from plantainsail.membership.view import Peer, PeerState
from tests.standins.platform import Platform, start_daemon

LOOPBACK = "127.0.0.1"
# Below the ports that the system hands out for connections.
FIRST_PORT = 15_000
PORTS_OF_A_WORKER = 1_000
# Neighbouring process numbers begin that far from each other.
PORTS_STEP = 377
MAX_WORKERS = 16


class FixedPeers:
    """A view that a test writes down."""

    def __init__(self) -> None:
        self.known: list[Peer] = []

    def peers(self, now_s: float) -> Sequence[Peer]:
        """Return the peers written down."""
        return self.known


def _own_ports() -> Iterator[int]:
    """Return the ports of this test process, in turn for ever.

    Each worker of a test run has its own: a port that was only found
    free may be found free by another before it is opened.  Runs beside
    each other begin at places that their process numbers tell apart.
    """
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:])
    first = FIRST_PORT + worker % MAX_WORKERS * PORTS_OF_A_WORKER
    ports = list(range(first, first + PORTS_OF_A_WORKER))
    start = os.getpid() * PORTS_STEP % PORTS_OF_A_WORKER
    return itertools.cycle(ports[start:] + ports[:start])


PORTS = _own_ports()


def free_address() -> str:
    """Return a loopback address with a port that was free just now.

    Ports that the system hands out are passed over: one of the many
    connections of a test may take such a port before it is used.
    """
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        return f"{LOOPBACK}:{port}"
    raise AssertionError("the ports never end")


def caller_address(daemon: Daemon) -> str:
    """Return where callers reach a daemon."""
    return f"{LOOPBACK}:{daemon.caller_listener.port}"


def as_peer(daemon: Daemon) -> Peer:
    """Return a daemon as its peers see it."""
    settings = daemon.node.settings
    return Peer(
        daemon.node.incarnation,
        settings.host,
        settings.availability_zone,
        PeerState.ALIVE,
    )


async def start_fixed_fleet(platform: Platform, count: int) -> list[Daemon]:
    """Start daemons that all know each other."""
    daemons = [
        await start_daemon(platform.settings(number, free_address()))
        for number in range(1, count + 1)
    ]
    for daemon in daemons:
        view = FixedPeers()
        view.known = [as_peer(d) for d in daemons if d is not daemon]
        daemon.node.peers = view
    for daemon in daemons:
        mint = daemon.node.tickets.mint
        # On a busy machine an answer may come too late to count.
        while len(mint.peer_periods) < count - 1:
            await mint.refresh()
    return daemons
