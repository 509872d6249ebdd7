"""What a ticket says, and how it is written and signed.

A ticket fixes, when it is minted, the only two processes that matter
for one call that must not repeat: the executor, which alone may run
it, and the witness, which must have recorded the intent to run before
anything is sent.  Both are incarnations, so that a process that has
lost its memory never answers for an earlier one.

A ticket costs no memory before it is used.
"""

import hashlib
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from plantainsail.identity import Incarnation
from plantainsail.results import Code, Failure, Outcome
from plantainsail.signing import Signer

PURPOSE = "ticket"
VERSION = 1
MAX_TICKET_CHARACTERS = 1_024
WORK_HASH_BYTES = 16


class Participant(NamedTuple):
    """A daemon named in a ticket.

    `period` is the number of the time period that the daemon's own
    clock was in, as far as the daemon that minted the ticket knew.
    """

    incarnation: Incarnation
    period: int


class Ticket(NamedTuple):
    """The right to run one call at most once.

    `identifier` is a random number of 96 bits.  A fleet of one daemon
    has no witness.  `lists_revision` is the revision of the lists that
    the ticket was minted under.
    """

    identifier: int
    organisation: str
    lists_revision: int
    executor: Participant
    witness: Participant | None


class WireTicket(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A ticket in the order of its fields in MessagePack."""

    version: int
    identifier: bytes
    organisation: str
    lists_revision: int
    executor_address: str
    executor_nonce: int
    executor_period: int
    witness_address: str = ""
    witness_nonce: int = 0
    witness_period: int = 0


IDENTIFIER_BYTES = 12
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(WireTicket)


def encode_ticket(ticket: Ticket) -> bytes:
    """Return the payload that a ticket's signature covers."""
    wire = WireTicket(
        VERSION,
        ticket.identifier.to_bytes(IDENTIFIER_BYTES, "big"),
        ticket.organisation,
        ticket.lists_revision,
        ticket.executor.incarnation.address,
        ticket.executor.incarnation.nonce,
        ticket.executor.period,
    )
    if ticket.witness is not None:
        wire.witness_address = ticket.witness.incarnation.address
        wire.witness_nonce = ticket.witness.incarnation.nonce
        wire.witness_period = ticket.witness.period
    return ENCODER.encode(wire)


def decode_ticket(payload: bytes) -> Ticket | None:
    """Return the ticket in a payload, or None if it holds none."""
    try:
        wire = DECODER.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if wire.version != VERSION or len(wire.identifier) != IDENTIFIER_BYTES:
        return None
    witness = None
    if wire.witness_address:
        witness = Participant(
            Incarnation(wire.witness_address, wire.witness_nonce),
            wire.witness_period,
        )
    return Ticket(
        identifier=int.from_bytes(wire.identifier, "big"),
        organisation=wire.organisation,
        lists_revision=wire.lists_revision,
        executor=Participant(
            Incarnation(wire.executor_address, wire.executor_nonce),
            wire.executor_period,
        ),
        witness=witness,
    )


def sign_ticket(ticket: Ticket, signer: Signer) -> str:
    """Return the text of a ticket as callers carry it."""
    return signer.sign(PURPOSE, encode_ticket(ticket))


def verify_ticket(text: str, signer: Signer) -> Result[Ticket, Failure]:
    """Return the ticket in a text that the fleet signed.

    A text that no key of this daemon made may still be a ticket that
    another daemon, further on in a change of keys, has run: nothing
    is known of it, so the outcome is not "not run".

    The caller must also check the organisation; see `check_owner`.
    """
    if len(text) > MAX_TICKET_CHARACTERS:
        return Error(_invalid("it is too long", Outcome.NOT_RUN))
    payload = signer.verify(PURPOSE, text)
    if payload is None:
        return Error(_invalid("no key of the fleet made it", Outcome.UNKNOWN))
    ticket = decode_ticket(payload)
    if ticket is None:
        return Error(_invalid("its format is not known", Outcome.UNKNOWN))
    return Ok(ticket)


def check_owner(ticket: Ticket, organisation: str) -> Result[Ticket, Failure]:
    """Return the ticket if it is bound to an organisation."""
    if ticket.organisation == organisation:
        return Ok(ticket)
    return Error(_invalid("it is of another organisation", Outcome.NOT_RUN))


def hash_work(service: str, operation: str, body: bytes) -> bytes:
    """Return the hash that binds a ticket to its first use."""
    digest = hashlib.blake2b(digest_size=WORK_HASH_BYTES)
    for part in (service.encode(), operation.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def _invalid(reason: str, outcome: Outcome) -> Failure:
    return Failure(
        Code.TICKET_INVALID,
        f"the ticket is not valid: {reason}",
        outcome=outcome,
    )
