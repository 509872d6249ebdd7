"""Calls about tickets, on connections that come and go."""

import asyncio

from plantainsail.identity import Incarnation
from plantainsail.peers.links import PeerLinks
from plantainsail.runtime.ticket_links import TicketLinks

# Nobody listens on the discard port of the loopback address.
NOBODY = "127.0.0.1:9"


async def test_a_connection_given_up_while_awaited_is_no_answer() -> None:
    """Found by repeating a test 113 times, 8 of which failed.

    The heartbeat's side gave up a peer that stood still while a call
    waited for the same connection; the call ended with an exception
    that nobody took, and its caller heard an unknown outcome where
    the witness would have said that nothing ran.
    """
    links = PeerLinks()
    tickets = TicketLinks(links)
    asked = asyncio.create_task(tickets.period(Incarnation(NOBODY, 1), 0.2))
    await asyncio.sleep(0.05)
    links.forget(NOBODY)
    assert await asked is None
    await links.close()
