"""Measure the cost of tickets: `python -m measure.tickets`.

The program prints one JSON line: processor time per operation in
microseconds, the bytes of a ticket, the payload bytes between daemons
for one forwarded call with a ticket, and the memory bytes per record.
"""

import json
import random
import time
import tracemalloc
from collections.abc import Callable

from expression import Ok

from plantainsail.identity import Incarnation
from plantainsail.peers.ticket_messages import encode_grant, encode_result
from plantainsail.peers.wire import tickets_pb2
from plantainsail.signing import Signer
from plantainsail.tickets.book import BookLimits, PeriodClock
from plantainsail.tickets.executor import Executor
from plantainsail.tickets.mint import (
    Candidate,
    choose_participants,
    make_ticket,
)
from plantainsail.tickets.ticket import (
    Participant,
    Ticket,
    hash_work,
    sign_ticket,
    verify_ticket,
)
from plantainsail.tickets.witness import Witness
from plantainsail.upstreams.protocols import ServiceAnswer

TICKET_COUNT = 20_000
PEERS = 9
ORGANISATION = "customer-desk"
BODY = b'{"item": "heat-pack-40", "pallets": 2, "to": "Leinster"}'
ANSWER = ServiceAnswer(200, b'{"dispatch": 184467}')
RETENTION_S = 3_600.0
SIGNER = Signer([bytes(range(16))])
US_PER_S = 1e6


def make_candidates() -> list[Candidate]:
    """Return candidate daemons in three availability zones."""
    return [
        Candidate(
            Participant(Incarnation(f"10.20.30.{n}:8090", n << 56 | n), 1_000),
            f"zone-{n % 3}",
        )
        for n in range(PEERS)
    ]


def cost_us(
    action: Callable[[Ticket], object], tickets: list[Ticket]
) -> float:
    """Return microseconds of processor time per ticket."""
    start_s = time.process_time()
    for ticket in tickets:
        action(ticket)
    spent_s = time.process_time() - start_s
    return round(spent_s / len(tickets) * US_PER_S, 2)


def memory_per_record(fill: Callable[[], object]) -> int:
    """Return the memory bytes that a filled book takes per ticket."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    filled_book = fill()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del filled_book
    return (after - before) // TICKET_COUNT


def wire_bytes(text: str, work_hash: bytes) -> int:
    """Return the payload bytes of one forwarded, witnessed call."""
    messages = (
        tickets_pb2.RunRequest(
            ticket=text,
            organisation=ORGANISATION,
            service="ledger",
            operation="dispatch.create",
            body=BODY,
            remaining_ms=20_000,
            lists_revision=1_500,
        ),
        tickets_pb2.TicketRequest(ticket=text, work_hash=work_hash),
        encode_grant(Ok(None)),
        encode_result(Ok(ANSWER)),
        tickets_pb2.CompleteRequest(
            ticket=text, result=encode_result(Ok(ANSWER))
        ),
        tickets_pb2.CompleteReply(),
    )
    return sum(message.ByteSize() for message in messages)


def main() -> None:
    """Measure all operations and print one JSON line."""
    source = random.Random(7)
    own, *others = make_candidates()
    participants = choose_participants(own, others, "zone-0", source)
    assert participants is not None
    assert participants.witness is not None
    tickets = [
        make_ticket(participants, ORGANISATION, 1_500, source)
        for _ in range(TICKET_COUNT)
    ]
    text = sign_ticket(tickets[0], SIGNER)
    work_hash = hash_work("ledger", "dispatch.create", BODY)
    limits = BookLimits(records=TICKET_COUNT, answer_bytes=1 << 30)
    clock = PeriodClock(RETENTION_S, 0.0)
    witness_incarnation = participants.witness.incarnation
    executor = Executor(participants.executor.incarnation, clock, limits)
    witness = Witness(witness_incarnation, clock, limits)

    def mint(_: Ticket) -> str:
        new_participants = choose_participants(own, others, "zone-0", source)
        assert new_participants is not None
        return sign_ticket(
            make_ticket(new_participants, ORGANISATION, 1_500, source), SIGNER
        )

    def run_executor(ticket: Ticket) -> None:
        executor.claim(ticket, work_hash, None, 0.0)
        executor.mark_cleared(ticket)
        executor.mark_sent(ticket)
        executor.record_answer(ticket, ANSWER)

    def run_witness(ticket: Ticket) -> None:
        witness.intend(ticket, work_hash, 0.0)
        witness.complete(ticket, Ok(ANSWER), 0.0)

    def fill_executor() -> Executor:
        filled = Executor(participants.executor.incarnation, clock, limits)
        for ticket in tickets:
            filled.claim(ticket, work_hash, None, 0.0)
            filled.mark_cleared(ticket)
            filled.mark_sent(ticket)
            filled.record_answer(ticket, ServiceAnswer(200, bytes(20)))
        return filled

    def fill_witness() -> Witness:
        filled = Witness(witness_incarnation, clock, limits)
        for ticket in tickets:
            filled.intend(ticket, bytes(bytearray(work_hash)), 0.0)
            filled.complete(ticket, Ok(ServiceAnswer(200, bytes(20))), 0.0)
        return filled

    result = {
        "mint_us": cost_us(mint, tickets),
        "open_us": cost_us(lambda _: verify_ticket(text, SIGNER), tickets),
        "hash_us": cost_us(
            lambda _: hash_work("ledger", "dispatch.create", BODY), tickets
        ),
        "executor_us": cost_us(run_executor, tickets),
        "repeat_us": cost_us(
            lambda t: executor.claim(t, work_hash, None, 0.0), tickets
        ),
        "witness_us": cost_us(run_witness, tickets),
        "resolve_us": cost_us(
            lambda t: witness.resolve(t, work_hash, 0.0), tickets
        ),
        "ticket_bytes": len(text),
        "wire_bytes": wire_bytes(text, work_hash),
        "executor_record_bytes": memory_per_record(fill_executor),
        "witness_record_bytes": memory_per_record(fill_witness),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
