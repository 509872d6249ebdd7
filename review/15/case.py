"""A version tries another service on a route, and the next one ends it.

The engines of that service number their events by tokens: the numbers
increase, but the last event holds fewer tokens than the others.  The
letters must still arrive whole.
"""

import asyncio
import time
from pathlib import Path

from bench3 import (
    BROKEN,
    CUT,
    HELD,
    NOT_RUN,
    ZONES,
    Answer,
    Fleet,
    Record,
    Request,
    Server,
    desired_state,
    engine_service,
    head_bytes,
    own_ip,
    read_answer,
    replica_entry,
    route,
    run_case,
)

FOLDER = Path(__file__).resolve().parent

DRAFT, NEXT = "sail-draft", "sail-next"
REPLICAS = 3
# The trial begins and ends so long after the traffic.
TRIAL_AT_S, TRIAL_S = 6.0, 2.5
PLAY_S = 20.0
CHANNELS = 9
EVENTS = 20
TOKENS_PER_EVENT = 4
LAST_TOKENS = 2
EVENT_PAUSE_S = 0.03
# The rule's own figures, and the bound of the settings.
CONFIG_APPLY_S = 2.0
AFTER_APPLY_S = 1.0
TIMES_AS_OFTEN = 3
KEY = "key-of-desk"
SERVICES = [engine_service(DRAFT), engine_service(NEXT)]


def version(number: int, service: str) -> dict[str, object]:
    """Return a desired state in which letters go to a service."""
    letters = route(
        "reorder-letter",
        "streaming",
        service,
        39_000,
        TargetLatencyMs=1_800,
        TargetGapMs=180,
    )
    return desired_state(number, [letters], SERVICES, KEY)


def event_id(number: int, service: str) -> int:
    """Return the id of an event; the first one has the number 1."""
    if service == DRAFT:
        return number
    if number < EVENTS:
        return number * TOKENS_PER_EVENT
    return (EVENTS - 1) * TOKENS_PER_EVENT + LAST_TOKENS


class Engine:
    """A replica that writes each stream to its end."""

    def __init__(self, number: int, service: str) -> None:
        """Name the replica; it does not listen yet."""
        self.identifier = f"i-{number:08x}"
        self.service = service
        self.zone = ZONES[number % len(ZONES)]
        self.begun: set[str] = set()
        self.server = Server(own_ip(40 + number), self._serve)

    async def start(self, fleet: Fleet) -> None:
        """Listen, and write the entry to the store."""
        address = await self.server.start()
        entry = replica_entry(self.service, address, self.zone, 24)
        fleet.store.write(f"servers/{self.identifier}", entry)

    async def _serve(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        if not request.identifier:
            writer.write(head_bytes(404, {"Content-Length": "0"}))
            await writer.drain()
            return
        self.begun.add(request.identifier)
        headers = {
            "X-Attempt-Id": request.identifier,
            "X-Response-Signature": "3e1b.07.5a2.600.0.c9f2a4d1",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(head_bytes(200, headers))
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            name = event_id(number, self.service)
            piece = b"id: %d\ndata: piece %d\n\n" % (name, number)
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Letter:
    """One letter of a requester, sent and ended at some time."""

    def __init__(self, machine: int) -> None:
        """Begin now."""
        self.machine = machine
        self.sent_s = time.monotonic()
        self.ended_s = 0.0
        self.answer = Answer()


class Requester:
    """Sends letters one after the other on a channel that it keeps."""

    def __init__(self, fleet: Fleet, number: int, until_s: float) -> None:
        """Choose the daemon of this requester."""
        self.fleet = fleet
        self.number = number
        self.until_s = until_s
        self.machine = number % len(fleet.daemons)
        self.letters: dict[str, Letter] = {}

    async def run(self) -> None:
        """Send until the time is up; open a new channel if need be."""
        daemon = self.fleet.daemons[self.machine]
        ip, _, port = daemon.address.rpartition(":")
        while time.monotonic() < self.until_s:
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                while time.monotonic() < self.until_s:
                    answer = await self._send(reader, writer)
                    if not answer.is_whole:
                        break
            finally:
                writer.close()

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Answer:
        attempt = f"letter-{self.number}-{len(self.letters)}"
        letter = self.letters[attempt] = Letter(self.machine)
        answer = letter.answer
        body = b"x" * 300
        lines = [
            "POST /reorder-letter/1 HTTP/1.1",
            "Host: plantainsail.example",
            f"X-Attempt-Id: {attempt}",
            f"Authorization: Token {KEY}",
            "X-Deadline-Ms: 39000",
            "X-Model: m",
            f"X-Token-Usage: 300,{EVENTS * TOKENS_PER_EVENT}",
            f"X-Prompt-Prefix: 5c1e07a2:79,{len(self.letters):x}:221",
            f"Content-Length: {len(body)}",
        ]
        try:
            async with asyncio.timeout(39):
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                await read_answer(reader, answer)
        except CUT:
            pass
        letter.ended_s = time.monotonic()
        self.fleet.record.note(
            f"{attempt}: status {answer.status}, {answer.events} of "
            f"{EVENTS} pieces, complete: {answer.is_whole}"
        )
        return answer


async def play(fleet: Fleet, record: Record, *, has_trouble: bool) -> int:
    """Move the route to the other service and back, under load."""
    fleet.store.write("op/config", version(7, DRAFT))
    engines = [Engine(number, DRAFT) for number in range(REPLICAS)]
    engines += [Engine(REPLICAS + n, NEXT) for n in range(REPLICAS)]
    for engine in engines:
        await engine.start(fleet)
    await fleet.start(3)
    begun_s = time.monotonic()
    until_s = begun_s + PLAY_S
    requesters = [Requester(fleet, n, until_s) for n in range(CHANNELS)]
    sending = [asyncio.create_task(one.run()) for one in requesters]
    await asyncio.sleep(TRIAL_AT_S)
    if has_trouble:
        record.note("version 9 moves the route to the other service")
        fleet.store.write("op/config", version(9, NEXT))
    await asyncio.sleep(TRIAL_S)
    if has_trouble:
        record.note("version 11 moves the route back")
        fleet.store.write("op/config", version(11, DRAFT))
    await asyncio.gather(*sending)
    letters: dict[str, Letter] = {}
    for requester in requesters:
        letters |= requester.letters
    from_s = begun_s + TRIAL_AT_S
    to_s = from_s + TRIAL_S + CONFIG_APPLY_S + AFTER_APPLY_S
    return _judge(record, letters, engines, (from_s, to_s), has_trouble)


def _judge(
    record: Record,
    letters: dict[str, Letter],
    engines: list[Engine],
    change_s: tuple[float, float],
    has_trouble: bool,
) -> int:
    """Compare, by machine, the cuts near the versions and else."""
    passed_on: set[str] = set()
    for engine in engines:
        passed_on |= engine.begun
        record.note(
            f"{engine.identifier} ({engine.service}): began "
            f"{len(engine.begun)} runs"
        )
    from_s, to_s = change_s
    is_broken = False
    cut_elsewhere = 0
    for machine in sorted({letter.machine for letter in letters.values()}):
        counts = {True: [0, 0], False: [0, 0]}
        for attempt, letter in letters.items():
            if letter.machine != machine or attempt not in passed_on:
                continue
            is_near = from_s <= letter.sent_s and letter.ended_s <= to_s
            counts[is_near][0] += 1
            counts[is_near][1] += not letter.answer.is_whole
        (near, near_cut), (other, other_cut) = counts[True], counts[False]
        cut_elsewhere += other_cut
        record.note(
            f"machine {machine}: {near_cut} of {near} cut around the "
            f"versions, {other_cut} of {other} at other times"
        )
        usual = other_cut / other if other else 0.0
        if near and near_cut and near_cut / near > TIMES_AS_OFTEN * usual:
            is_broken = True
    if not has_trouble and (is_broken or cut_elsewhere):
        return NOT_RUN
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    run_case(FOLDER, play)
