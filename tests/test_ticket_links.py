"""Ticket calls to a peer whose connection is closed meanwhile."""

import asyncio

from plantainsail.identity import Incarnation
from plantainsail.peers.links import PeerLinks
from plantainsail.runtime.ticket_links import TicketLinks

# Nobody listens on the discard port of the loopback address.
UNUSED_ADDRESS = "127.0.0.1:9"


async def test_connection_closed_during_a_call_returns_none() -> None:
    """Guards against an unhandled error that hid the witness's answer.

    Seen in 8 of 113 runs of a test: the heartbeat code closed the
    connection to a paused peer while a ticket call waited for it.  The
    call ended with an exception that no code handled, and the caller
    got an unknown outcome although the witness would have answered
    that nothing ran.
    """
    links = PeerLinks()
    tickets = TicketLinks(links)
    period_query = asyncio.create_task(
        tickets.period(Incarnation(UNUSED_ADDRESS, 1), 0.2)
    )
    await asyncio.sleep(0.05)
    links.forget(UNUSED_ADDRESS)
    assert await period_query is None
    await links.close()
