"""The contents, the encoding and the signature of tickets.

A ticket permits one call that must run at most once.  It names two
daemons when it is minted: the executor, which alone may run the call,
and the witness, which must record the intent to run it before the
executor sends anything.  Both are named by incarnation, so that a
restarted daemon, which has lost its records, never answers for its
predecessor.

No daemon stores anything about a ticket before the ticket is used.
"""

import hashlib
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from plantainsail.decoding import UndecodableError, decode
from plantainsail.identity import Incarnation
from plantainsail.results import Code, Failure, Outcome
from plantainsail.signing import Signer

# Signed into each ticket, so that no other signed text passes for one.
PURPOSE = "ticket"
# The version of the encoding of tickets, `WireTicket`.
VERSION = 1
# The greatest length of a ticket's signed text.
MAX_TICKET_CHARACTERS = 1_024
# The length of the hash by which a call is compared with another.
WORK_HASH_BYTES = 16


class Participant(NamedTuple):
    """A daemon that a ticket names as its executor or witness.

    `period` is the current period of that daemon's own clock, as last
    known to the daemon that minted the ticket.  See `PeriodClock`.
    """

    incarnation: Incarnation
    period: int


class Ticket(NamedTuple):
    """The right to run one call at most once.

    `identifier` is a random 96-bit number.  `witness` is None if no
    other daemon was available.  `lists_revision` is the revision of
    the published lists that the minting daemon used.
    """

    identifier: int
    organisation: str
    lists_revision: int
    executor: Participant
    witness: Participant | None


class WireTicket(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """The MessagePack form of a ticket, an array of these fields.

    The addresses and nonces are those of the incarnations that a
    `Ticket` names.  A ticket without a witness has an empty
    `witness_address`.
    """

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


# The length of an encoded ticket identifier.
IDENTIFIER_BYTES = 12
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(WireTicket)


def encode_ticket(ticket: Ticket) -> bytes:
    """Return the bytes of a ticket that its signature covers."""
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
    """Return the ticket in a payload, or None if it is malformed."""
    try:
        wire = decode(DECODER, payload)
    except UndecodableError:
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
    """Return the signed text of a ticket, which callers send."""
    return signer.sign(PURPOSE, encode_ticket(ticket))


def verify_ticket(text: str, signer: Signer) -> Result[Ticket, Failure]:
    """Return the ticket in a text if a key of the fleet signed it.

    While the fleet's keys are being changed, a text that fails this
    daemon's keys may still be a ticket that another daemon has run, so
    the failure's outcome is "unknown" rather than "not run".

    Whether the ticket belongs to the caller's organisation must be
    checked separately with `check_owner`.
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
    """Return the ticket if it was minted for this organisation."""
    if ticket.organisation == organisation:
        return Ok(ticket)
    return Error(_invalid("it is of another organisation", Outcome.NOT_RUN))


def hash_work(service: str, operation: str, body: bytes) -> bytes:
    """Return the hash of a call, to detect reuse for another call."""
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
