"""Choice of a new ticket's executor and witness."""

import random
from collections.abc import Sequence
from typing import NamedTuple

from plantainsail.tickets.ticket import Participant, Ticket

# The length of a ticket's random identifier.
IDENTIFIER_BITS = 96


class Candidate(NamedTuple):
    """A daemon that a new ticket may name as executor or witness.

    A candidate is alive, is not draining, and its current period is
    known to the minting daemon.
    """

    participant: Participant
    availability_zone: str


class Participants(NamedTuple):
    """The executor and the witness that a ticket names."""

    executor: Participant
    witness: Participant | None


def choose_participants(
    own: Candidate | None,
    others: Sequence[Candidate],
    availability_zone: str,
    rng: random.Random,
) -> Participants | None:
    """Return the executor and the witness of a new ticket.

    The minting daemon is the executor, since the caller will probably
    send the call to it.  `own` is None while that daemon is not
    serving or its book is full; a peer then becomes the executor, if
    possible one in the same availability zone.

    The witness is drawn uniformly at random from the other
    availability zones, so that the loss of one zone does not take
    both.  Without a candidate the ticket has no witness: the call still
    runs at most once, but its outcome stays unknown if the executor is
    lost.

    Return None if no daemon can be the executor.
    """
    executor = own
    if executor is None:
        same_zone = [
            c for c in others if c.availability_zone == availability_zone
        ]
        if not others:
            return None
        executor = rng.choice(same_zone or list(others))
    peers = [c for c in others if c.participant != executor.participant]
    other_zones = [
        c for c in peers if c.availability_zone != executor.availability_zone
    ]
    witness = rng.choice(other_zones or peers) if peers else None
    return Participants(
        executor.participant, None if witness is None else witness.participant
    )


def make_ticket(
    participants: Participants,
    organisation: str,
    lists_revision: int,
    rng: random.Random,
) -> Ticket:
    """Return a new ticket for an organisation."""
    return Ticket(
        identifier=rng.getrandbits(IDENTIFIER_BITS),
        organisation=organisation,
        lists_revision=lists_revision,
        executor=participants.executor,
        witness=participants.witness,
    )
