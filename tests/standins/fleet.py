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
# Processes with consecutive ids start this many ports apart.
PORTS_STEP = 377
MAX_WORKERS = 16


class FixedPeers:
    """A membership view whose peers a test sets."""

    def __init__(self) -> None:
        self.known: list[Peer] = []

    def peers(self, now_s: float) -> Sequence[Peer]:
        """Return the peers that the test set."""
        return self.known


def _own_ports() -> Iterator[int]:
    """Return an endless cycle of the ports of this test process.

    Each worker of a test run has its own range, as another worker could
    otherwise find the same port free before it is opened.  Test runs at
    the same time start at different ports, given by their process ids.
    """
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:])
    first = FIRST_PORT + worker % MAX_WORKERS * PORTS_OF_A_WORKER
    ports = list(range(first, first + PORTS_OF_A_WORKER))
    start = os.getpid() * PORTS_STEP % PORTS_OF_A_WORKER
    return itertools.cycle(ports[start:] + ports[:start])


PORTS = _own_ports()


def free_address() -> str:
    """Return a loopback address whose port is free at the moment.

    The system's ephemeral ports are not used, as one of the many
    connections of a test may take such a port before it is opened.
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
    """Return the `IP:port` at which a daemon serves callers."""
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
    """Start daemons whose fixed views list all others as peers."""
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
        # On a busy machine an answer may arrive after its time limit.
        while len(mint.peer_periods) < count - 1:
            await mint.refresh()
    return daemons
