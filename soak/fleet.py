"""Starts entry daemons as processes and sends signals to them."""

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Any

from plantainsail.entry.settings import EntrySettings

START_TIMEOUT_S = 20.0
GRACE_S = 3.0
# The memory of the smallest host that serves callers.
SMALL_HOST_BYTES = 128_000_000
GIVEN_ADDRESSES: set[str] = set()


def own_loopback() -> str:
    """Return a loopback address that only this process uses.

    Outgoing connections use ports of 127.0.0.1, so they cannot occupy a
    port of this address between its choice and its use.
    """
    number = os.getpid()
    return f"127.{1 + number % 250}.{1 + number // 250 % 250}.1"


def free_address() -> str:
    """Return an address that no other call and no process gets."""
    ip = own_loopback()
    while True:
        with socket.socket() as sock:
            sock.bind((ip, 0))
            address = f"{ip}:{sock.getsockname()[1]}"
        if address not in GIVEN_ADDRESSES:
            GIVEN_ADDRESSES.add(address)
            return address


def peak_memory_bytes(process: int) -> int:
    """Return the most memory that a process had resident, or 0."""
    try:
        status = Path(f"/proc/{process}/status").read_text()
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    return 0


class SoakDaemon:
    """An entry daemon process that can be suspended or killed."""

    def __init__(self, number: int, directory: Path, seeds: list[str]) -> None:
        self.settings_file = directory / f"entry-{number}.json"
        self.log_file = directory / f"entry-{number}.log"
        self.caller_address = free_address()
        self.readiness_address = free_address()
        self.peer_address = seeds[number]
        settings = EntrySettings(
            host=f"entry-{number}",
            availability_zone="abc"[number % 3],
            caller_address=self.caller_address,
            readiness_address=self.readiness_address,
            peer_address=self.peer_address,
            seed_addresses=tuple(seeds[:3]),
            published_file=str(directory / "published.json"),
        )
        fields: dict[str, Any] = settings._asdict()
        fields["zone_regions"] = dict(settings.zone_regions)
        fields["callers"] = settings.callers._asdict()
        fields["bounds"] = settings.bounds._replace(grace_s=GRACE_S)._asdict()
        fields = {k: v for k, v in fields.items() if v is not None}
        self.settings_file.write_text(json.dumps(fields))
        self.process: asyncio.subprocess.Process | None = None
        self.is_stopped = False

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        with self.log_file.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "plantainsail.entry.program",
                "--settings",
                str(self.settings_file),
                env=os.environ | {"PYTHONPATH": "src"},
                stdout=log,
                stderr=log,
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():  # noqa: ASYNC110
                if self.process.returncode is not None:
                    raise OSError(
                        f"daemon ended at its start: {self._last_log_line()}"
                    )
                await asyncio.sleep(0.05)

    def _last_log_line(self) -> str:
        lines = self.log_file.read_text(errors="replace").splitlines()
        return lines[-1] if lines else "no output"

    async def is_ready(self) -> bool:
        """Return whether the readiness address answers with 200."""
        ip, _, port = self.readiness_address.rpartition(":")
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def peak_memory_bytes(self) -> int:
        """Return the most memory that the process had, or 0."""
        if self.process is None:
            return 0
        return peak_memory_bytes(self.process.pid)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process unless it has ended."""
        if self.process is None or self.process.returncode is not None:
            return
        if number is signal.SIGSTOP:
            self.is_stopped = True
        elif number in (signal.SIGCONT, signal.SIGKILL):
            self.is_stopped = False
        self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
