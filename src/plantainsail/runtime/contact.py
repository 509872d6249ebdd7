"""Decides when a heartbeat to a peer is due.

Of two daemons, the one with the lower address starts their exchanges.
The other starts one only if it has news, which are leaving marks that
the peer lacks, or has received nothing for too long.
"""

import asyncio

HEARTBEAT_INTERVAL_S = 1.0
OVERDUE_INTERVALS = 1.5
# News that arise within this time are sent in one heartbeat.
NEWS_INTERVAL_S = 0.1
MIN_WAIT_S = 0.01


class Contact:
    """The heartbeat schedule of one peer address.

    `is_inbound` is set for a peer that sends heartbeats although this
    daemon didn't choose it as a contact, for instance because its host
    list is newer.  Such a peer is sent only news.
    """

    def __init__(
        self,
        address: str,
        *,
        is_initiator: bool = False,
        is_inbound: bool = False,
        interval_s: float = HEARTBEAT_INTERVAL_S,
    ) -> None:
        self.address = address
        self.interval_s = interval_s
        self.is_initiator = is_initiator
        self.is_inbound = is_inbound
        self.is_urgent = False
        self.is_answering = True
        self.last_exchange_s = float("-inf")
        self.wake = asyncio.Event()


def is_due(
    contact: Contact, silent_s: float, has_news: bool, now_s: float
) -> bool:
    """Return whether an exchange must start now."""
    return wait_s(contact, silent_s, has_news, now_s) <= 0


def wait_s(
    contact: Contact, silent_s: float, has_news: bool, now_s: float
) -> float:
    """Return the time until an exchange is due, 0 if it is due now.

    `silent_s` is the time since the last message from the peer.
    """
    if contact.is_urgent:
        return 0.0
    since_exchange_s = now_s - contact.last_exchange_s
    delay_s = contact.interval_s - since_exchange_s
    if has_news and contact.is_answering:
        delay_s = NEWS_INTERVAL_S - since_exchange_s
    elif contact.is_inbound and not has_news:
        return HEARTBEAT_INTERVAL_S
    elif not contact.is_initiator and not has_news:
        overdue_s = OVERDUE_INTERVALS * contact.interval_s
        delay_s = max(delay_s, overdue_s - silent_s)
    return 0.0 if delay_s <= 0 else max(delay_s, MIN_WAIT_S)
