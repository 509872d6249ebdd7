"""What the parts of one running daemon share."""

from plantainsail.clock import Clock
from plantainsail.peers.credentials import TlsStore
from plantainsail.peers.list_section import ListSection
from plantainsail.runtime.list_peers import ListPeers
from plantainsail.runtime.node_core import NodeCore
from plantainsail.runtime.tickets import TicketRuntime
from plantainsail.settings import Settings


class Node(NodeCore):
    """One daemon with its tickets and its readers of peers' lists."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        tls: TlsStore | None = None,
    ) -> None:
        super().__init__(settings, clock, tls)
        self.list_peers = ListPeers(self)
        self.sections.append(
            ListSection(self.freshness, self.list_peers.add_source)
        )
        self.tickets = TicketRuntime(self)
