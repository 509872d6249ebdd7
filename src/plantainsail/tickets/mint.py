"""Chooses the executor and the witness of a new ticket."""

import random
from collections.abc import Sequence
from typing import NamedTuple

from plantainsail.tickets.ticket import Participant, Ticket

IDENTIFIER_BITS = 96


class Candidate(NamedTuple):
    """A daemon that a ticket may name.

    Only daemons that are alive, not leaving, and whose current period
    is known are candidates.
    """

    participant: Participant
    availability_zone: str


class Participants(NamedTuple):
    """The two processes that a ticket names."""

    executor: Participant
    witness: Participant | None


def choose_participants(
    own: Candidate | None,
    others: Sequence[Candidate],
    availability_zone: str,
    source: random.Random,
) -> Participants | None:
    """Return the parties of a new ticket.

    The minting daemon itself is the executor, for the caller is likely
    to come back to it; `own` is None while it leaves or is full, and a
    peer, of its availability zone where there is one, stands in.  The
    witness is drawn evenly from the other availability zones, so that
    losing one zone doesn't lose both.  Without a candidate there is no
    witness: the ticket stays safe, and only the loss of its executor
    leaves its outcome unknown.
    """
    executor = own
    if executor is None:
        near = [c for c in others if c.availability_zone == availability_zone]
        if not others:
            return None
        executor = source.choice(near or list(others))
    rest = [c for c in others if c.participant != executor.participant]
    far = [
        c for c in rest if c.availability_zone != executor.availability_zone
    ]
    witness = source.choice(far or rest) if rest else None
    return Participants(
        executor.participant, None if witness is None else witness.participant
    )


def make_ticket(
    participants: Participants,
    organisation: str,
    lists_revision: int,
    source: random.Random,
) -> Ticket:
    """Return a new ticket for an organisation."""
    return Ticket(
        identifier=source.getrandbits(IDENTIFIER_BITS),
        organisation=organisation,
        lists_revision=lists_revision,
        executor=participants.executor,
        witness=participants.witness,
    )
