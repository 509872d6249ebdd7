"""Daemons in separate processes are killed or stopped during a call.

The moment of each signal depends on what the service has recorded, and
never on elapsed time.  Each session is compared with a golden file;
`UPDATE_GOLDEN=1` rewrites the files.
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
from soak.fleet import free_address
from tests.standins.platform import FLEET_KEY, Answer, Platform, call
from tests.standins.process import DaemonProcess

GOLDEN = Path("tests/golden/tickets")
DISPATCH = "/v1/services/ledger/dispatch"
TICKET = "plantainsail-ticket"
REPORTED = 'plantainsail_ticket_reports_total{result="told"}'
BODY = b'{"pallets": 2}'
DEADLINE = {"plantainsail-deadline-ms": "2500"}
SIGNER = Signer([bytes.fromhex(FLEET_KEY)])


class Session:
    """One ticket, the daemons it names and a log of the answers."""

    def __init__(
        self, platform: Platform, daemons: list[DaemonProcess]
    ) -> None:
        self.service = platform.services[0]
        self.daemons = daemons
        self.lines: list[str] = []
        self.text = ""

    async def mint(self) -> None:
        """Mint tickets at the first daemon until one has a witness."""
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

    def daemon_of(self, participant: Participant | None) -> DaemonProcess:
        assert participant is not None
        for daemon in self.daemons:
            if daemon.settings.peer_address == participant.incarnation.address:
                return daemon
        raise AssertionError("a ticket names an unknown daemon")

    @property
    def executor(self) -> DaemonProcess:
        return self.daemon_of(self.ticket.executor)

    @property
    def witness(self) -> DaemonProcess:
        return self.daemon_of(self.ticket.witness)

    @property
    def other(self) -> DaemonProcess:
        participants = (self.executor, self.witness)
        return next(d for d in self.daemons if d not in participants)

    async def send(self, role: str, is_reason_logged: bool = True) -> Answer:
        """Send the ticketed call to a daemon and log the answer."""
        daemon: DaemonProcess = getattr(self, role)
        answer = await call(
            daemon.settings.caller_address,
            "POST",
            DISPATCH,
            BODY,
            headers=DEADLINE | {TICKET: self.text},
        )
        reason = (
            f" {answer.status}: {describe(answer)}" if is_reason_logged else ""
        )
        outcome = answer.headers.get("plantainsail-outcome", "ran")
        self.log_line(f"the {role} answers{reason} = {outcome}")
        return answer

    async def wait_for_execution(self, call: asyncio.Task[Answer]) -> None:
        """Wait until the service has recorded the call's execution."""
        while not self.service.executions:
            assert not call.done(), self.lines
            await asyncio.sleep(0.01)

    async def send_signal(self, role: str, number: signal.Signals) -> None:
        """Send a signal to a daemon; after SIGKILL, await its end.

        The line is logged first, as the answers that follow from the
        signal may come before the end of the process is noticed.
        """
        daemon: DaemonProcess = getattr(self, role)
        daemon.signal(number)
        self.log_line(f"{number.name} to the {role}")
        if number is signal.SIGKILL:
            assert daemon.process is not None
            await daemon.process.wait()

    def log_line(self, line: str) -> None:
        """Log a line with the number of executions so far."""
        count = len(self.service.executions)
        self.lines.append(f"{line} (executions: {count})")

    def check(self, name: str) -> None:
        """Compare the session with its golden file."""
        file = GOLDEN / f"{name}.txt"
        text = "\n".join(self.lines) + "\n"
        if os.environ.get("UPDATE_GOLDEN"):
            file.write_text(text)
        assert text == file.read_text()


def describe(answer: Answer) -> str:
    """Return the error code of an answer, or else its body."""
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
        # If a daemon failed to start, the others still run.
        platform.services[0].resumed.set()
        started = [d for d in daemons if d.process is not None]
        await asyncio.gather(*(daemon.end() for daemon in started))


async def test_executor_killed_before_the_call_gives_not_run(
    session: Session,
) -> None:
    await session.send_signal("executor", signal.SIGKILL)
    await session.send("other")
    await session.send("witness")
    session.check("executor_lost_before")


async def test_executor_killed_during_the_call_gives_unknown(
    session: Session,
) -> None:
    session.service.is_silent = True
    first = asyncio.create_task(session.send("other"))
    await session.wait_for_execution(first)
    await session.send_signal("executor", signal.SIGKILL)
    await first
    await session.send("witness")
    session.check("executor_lost")


async def test_executor_killed_after_its_answer_keeps_the_answer(
    session: Session,
) -> None:
    await session.send("other")
    await session.send("executor")
    while not await session.executor.count(REPORTED):  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    await session.send_signal("executor", signal.SIGKILL)
    await session.send("other")
    session.check("executor_lost_after")


async def test_executor_stopped_before_the_call_gives_not_run(
    session: Session,
) -> None:
    await session.send_signal("executor", signal.SIGSTOP)
    await session.send("other")
    await session.send_signal("executor", signal.SIGCONT)
    # A message sent while the executor was stopped may arrive now, so
    # the recorded reason varies; the outcome does not.
    await session.send("other", is_reason_logged=False)
    session.check("executor_stopped")


async def test_executor_stopped_during_the_call_runs_it_once(
    session: Session,
) -> None:
    """The call runs once, whatever the executor sees after SIGCONT.

    It may see the expired deadline or the service's answer first.
    """
    session.service.is_silent = True
    first = asyncio.create_task(session.send("other"))
    await session.wait_for_execution(first)
    await session.send_signal("executor", signal.SIGSTOP)
    session.service.resumed.set()
    answers = [await first]
    await session.send_signal("executor", signal.SIGCONT)
    for role in ("executor", "witness", "other"):
        answers.append(await session.send(role))
    outcomes = [a.headers.get("plantainsail-outcome", "ran") for a in answers]
    assert outcomes[0] == "unknown", session.lines
    assert set(outcomes) <= {"unknown", "ran"}, session.lines
    assert len({a.body for a in answers if a.status == 200}) <= 1
    assert len(session.service.executions) == 1


async def test_witness_killed_before_the_call_gives_not_run(
    session: Session,
) -> None:
    await session.send_signal("witness", signal.SIGKILL)
    await session.send("other")
    await session.send("executor")
    session.check("witness_lost_before")


async def test_witness_stopped_before_the_call_gives_not_run(
    session: Session,
) -> None:
    await session.send_signal("witness", signal.SIGSTOP)
    await session.send("executor")
    await session.send_signal("witness", signal.SIGCONT)
    await session.send("executor", is_reason_logged=False)
    await session.send("other", is_reason_logged=False)
    session.check("witness_stopped")


async def test_witness_killed_during_the_call_keeps_the_answer(
    session: Session,
) -> None:
    session.service.is_silent = True
    first = asyncio.create_task(session.send("other"))
    await session.wait_for_execution(first)
    await session.send_signal("witness", signal.SIGKILL)
    session.service.resumed.set()
    await first
    await session.send("executor")
    session.check("witness_lost")


async def test_both_killed_during_the_call_gives_unknown(
    session: Session,
) -> None:
    session.service.is_silent = True
    first = asyncio.create_task(session.send("other"))
    await session.wait_for_execution(first)
    await session.send_signal("witness", signal.SIGKILL)
    await session.send_signal("executor", signal.SIGKILL)
    await first
    await session.send("other")
    session.check("both_lost")
