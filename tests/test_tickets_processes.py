"""Daemons of their own processes are killed or stopped during a call.

The points are chosen by what the service has recorded, never by time.
Each session is compared with a golden file; `UPDATE_GOLDEN=1` writes
the files anew.
"""

import asyncio
import json
import os
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from plantainsail.signing import Signer
from plantainsail.tickets.ticket import Participant, Ticket, verify_ticket
from tests.standins.fleet import free_address
from tests.standins.platform import FLEET_KEY, Answer, Platform, call
from tests.standins.process import DaemonProcess

GOLDEN = Path("tests/golden/tickets")
DISPATCH = "/v1/services/ledger/dispatch"
TICKET = "plantainsail-ticket"
TOLD = 'plantainsail_ticket_reports_total{result="told"}'
BODY = b'{"pallets": 2}'
DEADLINE = {"plantainsail-deadline-ms": "2500"}
SIGNER = Signer([bytes.fromhex(FLEET_KEY)])


class Session:
    """One ticket, the daemons it names, and what callers were told."""

    def __init__(
        self, platform: Platform, daemons: list[DaemonProcess]
    ) -> None:
        self.service = platform.services[0]
        self.daemons = daemons
        self.lines: list[str] = []
        self.text = ""

    async def mint(self) -> None:
        """Get a ticket of the first daemon that names a witness."""
        while True:
            address = self.daemons[0].settings.caller_address
            answer = await call(address, "POST", "/v1/tickets")
            self.text = answer.headers[TICKET]
            if self.ticket.witness is not None:
                return
            await asyncio.sleep(0.05)

    @property
    def ticket(self) -> Ticket:
        return verify_ticket(self.text, SIGNER).ok

    def named(self, participant: Participant | None) -> DaemonProcess:
        assert participant is not None
        for daemon in self.daemons:
            if daemon.settings.peer_address == participant.incarnation.address:
                return daemon
        raise AssertionError("a ticket names an unknown daemon")

    @property
    def executor(self) -> DaemonProcess:
        return self.named(self.ticket.executor)

    @property
    def witness(self) -> DaemonProcess:
        return self.named(self.ticket.witness)

    @property
    def other(self) -> DaemonProcess:
        named = (self.executor, self.witness)
        return next(d for d in self.daemons if d not in named)

    async def send(self, role: str, is_reason_noted: bool = True) -> Answer:
        """Send the ticketed call to a daemon and note the answer."""
        daemon: DaemonProcess = getattr(self, role)
        answer = await call(
            daemon.settings.caller_address,
            "POST",
            DISPATCH,
            BODY,
            headers=DEADLINE | {TICKET: self.text},
        )
        reason = f" {answer.status}: {told(answer)}" if is_reason_noted else ""
        outcome = answer.headers.get("plantainsail-outcome", "ran")
        self.note(f"the {role} answers{reason} = {outcome}")
        return answer

    async def executed(self, call: asyncio.Task[Answer]) -> None:
        """Wait until the service has recorded the call's execution."""
        while not self.service.executions:
            assert not call.done(), self.lines
            await asyncio.sleep(0.01)

    async def strike(self, role: str, number: signal.Signals) -> None:
        """Send a signal to a daemon; wait until a killed one ended."""
        daemon: DaemonProcess = getattr(self, role)
        daemon.signal(number)
        if number is signal.SIGKILL:
            assert daemon.process is not None
            await daemon.process.wait()
        self.note(f"{number.name} to the {role}")

    def note(self, line: str) -> None:
        """Add a line, with what the service has executed so far."""
        count = len(self.service.executions)
        self.lines.append(f"{line} (executions: {count})")

    def check(self, name: str) -> None:
        """Compare the session with its golden file."""
        file = GOLDEN / f"{name}.txt"
        text = "\n".join(self.lines) + "\n"
        if os.environ.get("UPDATE_GOLDEN"):
            file.write_text(text)
        assert text == file.read_text()


def told(answer: Answer) -> str:
    """Return what a caller learns from an answer."""
    value = json.loads(answer.body)
    if "error" not in value:
        return json.dumps(value)
    return str(value["error"]["code"])


@pytest.fixture
async def session(
    platform: Platform, tmp_path: Path
) -> AsyncIterator[Session]:
    daemons = []
    for number in (1, 2, 3):
        settings = platform.settings(number, free_address())._replace(
            caller_address=free_address(),
            operator_address=free_address(),
        )
        platform.hosts[settings.host] = {
            "role": "entry",
            "address": settings.peer_address,
            "availability_zone": settings.availability_zone,
        }
        daemons.append(DaemonProcess(settings, tmp_path))
    platform.publish_hosts()
    try:
        await asyncio.gather(*(daemon.start() for daemon in daemons))
        running = Session(platform, daemons)
        await running.mint()
        yield running
    finally:
        # Those that started run on where another one did not.
        platform.services[0].resumed.set()
        started = [d for d in daemons if d.process is not None]
        await asyncio.gather(*(daemon.end() for daemon in started))


async def test_executor_killed_before_the_call(session: Session) -> None:
    await session.strike("executor", signal.SIGKILL)
    await session.send("other")
    await session.send("witness")
    session.check("executor_lost_before")


async def test_executor_killed_while_the_service_runs(
    session: Session,
) -> None:
    session.service.is_silent = True
    first = asyncio.create_task(session.send("other"))
    await session.executed(first)
    await session.strike("executor", signal.SIGKILL)
    await first
    await session.send("witness")
    session.check("executor_lost")


async def test_executor_killed_after_its_answer(session: Session) -> None:
    await session.send("other")
    await session.send("executor")
    while not await session.executor.count(TOLD):  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    await session.strike("executor", signal.SIGKILL)
    await session.send("other")
    session.check("executor_lost_after")


async def test_executor_stopped_before_the_call(session: Session) -> None:
    await session.strike("executor", signal.SIGSTOP)
    await session.send("other")
    await session.strike("executor", signal.SIGCONT)
    # What was sent to it while it stood still may arrive now, so that
    # one of several reasons is on record; the outcome is the same.
    await session.send("other", is_reason_noted=False)
    session.check("executor_stopped")


async def test_executor_stopped_while_the_service_runs(
    session: Session,
) -> None:
    """It may find the deadline or the answer first, but runs once."""
    session.service.is_silent = True
    first = asyncio.create_task(session.send("other"))
    await session.executed(first)
    await session.strike("executor", signal.SIGSTOP)
    session.service.resumed.set()
    answers = [await first]
    await session.strike("executor", signal.SIGCONT)
    for role in ("executor", "witness", "other"):
        answers.append(await session.send(role))
    outcomes = [a.headers.get("plantainsail-outcome", "ran") for a in answers]
    assert outcomes[0] == "unknown", session.lines
    assert set(outcomes) <= {"unknown", "ran"}, session.lines
    assert len({a.body for a in answers if a.status == 200}) <= 1
    assert len(session.service.executions) == 1


async def test_witness_killed_before_the_call(session: Session) -> None:
    await session.strike("witness", signal.SIGKILL)
    await session.send("other")
    await session.send("executor")
    session.check("witness_lost_before")


async def test_witness_stopped_before_the_call(session: Session) -> None:
    await session.strike("witness", signal.SIGSTOP)
    await session.send("executor")
    await session.strike("witness", signal.SIGCONT)
    await session.send("executor", is_reason_noted=False)
    await session.send("other", is_reason_noted=False)
    session.check("witness_stopped")


async def test_witness_killed_while_the_service_runs(
    session: Session,
) -> None:
    session.service.is_silent = True
    first = asyncio.create_task(session.send("other"))
    await session.executed(first)
    await session.strike("witness", signal.SIGKILL)
    session.service.resumed.set()
    await first
    await session.send("executor")
    session.check("witness_lost")


async def test_both_killed_while_the_service_runs(session: Session) -> None:
    session.service.is_silent = True
    first = asyncio.create_task(session.send("other"))
    await session.executed(first)
    await session.strike("witness", signal.SIGKILL)
    await session.strike("executor", signal.SIGKILL)
    await first
    await session.send("other")
    session.check("both_lost")
