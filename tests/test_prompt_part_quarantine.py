"""Requests that share a crashing prompt part must all be refused.

No two of these requests are alike: only a part of their prompts is the
same, and sound requests share their caller and all their other parts.
A daemon that recognises only whole requests lets each of them crash one
more engine.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest

from plantainsail.entry.node import EntryNode
from plantainsail.policy.part_quarantine import EngineDeath
from plantainsail.routing.fleet_loads import UpstreamLoad
from tests.standins.crashing import EVENTS, CrashingFleet
from tests.standins.routed import event
from tests.standins.waiting import until

# From the fifth crash on, no further request may reach an engine.
MAX_CRASHES = 5
TURNS = 12
SOUND_REQUESTS = 10
WHOLE = b"".join(event(number) for number in range(EVENTS))


# The last death of a part was this long ago.
OLD_S = 60.0
FULL = UpstreamLoad(memory_tokens=1_000_000)


def quarantine_part(node: EntryNode, part: str) -> None:
    """Record five deaths in sequence, the last one `OLD_S` ago."""
    for number in reversed(range(5)):
        died_s = node.now_s() - OLD_S - number
        death = EngineDeath(f"gone{number}/1", died_s - 0.5, died_s)
        node.quarantine.note_death((part,), death, node.now_s())


class RecordedLog:
    """Keeps the lines that a daemon logs."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def info(self, event: str, **fields: Any) -> None:
        """Keep a line."""
        self.lines.append(fields | {"event": event})

    debug = warning = error = info

    def of(self, event: str) -> list[dict[str, Any]]:
        """Return the lines of one event."""
        return [line for line in self.lines if line["event"] == event]


@pytest.fixture
async def fleet() -> AsyncIterator[CrashingFleet]:
    crashing_fleet = CrashingFleet()
    await crashing_fleet.start()
    yield crashing_fleet
    await crashing_fleet.stop()


async def test_unlike_requests_that_share_a_crashing_part_are_refused(
    fleet: CrashingFleet,
) -> None:
    for turn in range(12):
        answer = await fleet.stream(
            f"system topic-{turn % 3} bad own-{turn}",
            turn % 2,
            b"prompt %d" % turn,
        )
        assert not answer.is_whole or answer.status != 200
        await fleet.settle()
        sound = await fleet.stream(
            f"system topic-{turn % 3} sound own-{turn}", (turn + 1) % 2
        )
        assert (sound.status, sound.body) == (200, WHOLE)
    assert fleet.crashes <= MAX_CRASHES


async def test_few_crashing_requests_among_sound_ones_at_once_are_refused(
    fleet: CrashingFleet,
) -> None:
    """Sound ones with the same first part run as engines crash."""
    for turn in range(TURNS):
        sound = [
            fleet.stream(f"system topic-{number} own-{turn}", number % 2)
            for number in range(SOUND_REQUESTS)
        ]
        bad = fleet.stream(f"system topic-0 bad own-{turn}", turn % 2)
        _, *answers = await asyncio.gather(bad, *sound)
        await fleet.settle()
    assert 0 < fleet.crashes <= MAX_CRASHES
    assert [answer.body for answer in answers] == [WHOLE] * SOUND_REQUESTS


async def test_a_restarted_daemon_refuses_a_part_quarantined_long_ago(
    fleet: CrashingFleet,
) -> None:
    """Peers must repeat what they know to a daemon without memory."""
    quarantine_part(fleet.daemons[0].node, "part:bad")
    await fleet.restart_daemon(1)
    restarted = fleet.daemons[1].node
    await until(lambda: "part:bad" in restarted.quarantine.records)
    answer = await fleet.stream("system bad own", 1)
    assert answer.headers["plantainsail-code"] == "3007"
    assert fleet.crashes == 0


async def test_a_lost_message_about_a_part_is_repeated(
    fleet: CrashingFleet,
) -> None:
    sender, receiver = (daemon.node for daemon in fleet.daemons)
    quarantine_part(sender, "part:bad")
    sender.quarantine.unsent.clear()
    await until(lambda: "part:bad" in receiver.quarantine.records)


async def test_a_waiting_request_is_refused_once_a_part_is_quarantined(
    fleet: CrashingFleet,
) -> None:
    """It waits for an engine when its part is found to be the cause."""
    daemon = fleet.daemons[0]
    for engine in fleet.engines:
        daemon.node.fleet_loads.add(engine, FULL)
    stream = fleet.stream("system bad own", 0)
    waiting = asyncio.ensure_future(stream)
    await until(lambda: len(daemon.stream.queue.waiters) == 1)
    quarantine_part(daemon.node, "part:bad")
    answer = await waiting
    assert answer.headers["plantainsail-code"] == "3007"
    assert answer.headers["plantainsail-outcome"] == "not_run"
    assert fleet.crashes == 0


async def test_a_sound_answer_clears_a_part_on_all_daemons(
    fleet: CrashingFleet,
) -> None:
    for number in range(2):
        await fleet.stream(f"topic bad own-{number}", 0)
        await fleet.settle()
    peer = fleet.daemons[1].node.quarantine
    await until(lambda: "part:topic" in peer.records)
    sound = await fleet.stream("topic sound own", 0)
    assert sound.is_whole
    await until(lambda: not peer.records["part:topic"].deaths)
    assert peer.records["part:bad"].deaths


async def test_an_engine_that_crashes_after_an_unframed_answer_counts(
    fleet: CrashingFleet,
) -> None:
    """The end of the connection ends such an answer."""
    fleet.is_unframed = True
    for number in range(8):
        await fleet.stream(f"topic bad own-{number}", number % 2)
        await fleet.settle()
    assert fleet.crashes <= MAX_CRASHES


async def test_the_log_tells_from_an_id_why_a_request_was_refused(
    fleet: CrashingFleet,
) -> None:
    node = fleet.daemons[0].node
    log = RecordedLog()
    node.log = log  # type: ignore[assignment]
    for number in range(3):
        await fleet.stream(f"system-{number} bad own", 0, b"%d" % number)
        await fleet.settle()
    (quarantined,) = log.of("part quarantined")
    (refused,) = log.of("request quarantined")
    assert refused["request"] == f"r{fleet.requests}"
    assert refused["part"] == quarantined["part"] == "part:bad"
    deaths = log.of("engine died")
    assert [line["upstream"] for line in deaths] == [
        death.partition("/")[0] for death in refused["deaths"]
    ]
    assert all("part:bad" in line["parts"] for line in deaths)
    assert node.metrics.quarantined_parts._value.get() == 1
    assert node.metrics.engine_deaths._value.get() == 2
