"""The state of one running daemon, with its tickets and list peers."""

from plantainsail.clock import Clock
from plantainsail.peers.credentials import TlsStore
from plantainsail.peers.list_section import ListSection
from plantainsail.runtime.list_peers import ListPeers
from plantainsail.runtime.node_core import NodeCore
from plantainsail.runtime.tickets import TicketRuntime
from plantainsail.settings import Settings


class Node(NodeCore):
    """A `NodeCore` with the parts that themselves need a `NodeCore`."""

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
