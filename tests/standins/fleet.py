"""Several daemons in one process, each with a fixed view of peers."""

from collections.abc import Sequence

from plantainsail.daemon import Daemon
from plantainsail.membership.view import Peer, PeerState
from soak.fleet import free_address
from tests.standins.platform import Platform, start_daemon

LOOPBACK = "127.0.0.1"


class FixedPeers:
    """A membership view whose peers a test sets."""

    def __init__(self) -> None:
        self.known: list[Peer] = []

    def peers(self, now_s: float) -> Sequence[Peer]:
        """Return the peers that the test set."""
        return self.known


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
