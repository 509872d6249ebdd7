"""Starts the project's daemons with the command of the deploy file."""

import asyncio
import os
import random
import shlex
import signal
import socket
import tempfile
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from standins import caller
from standins.record import Record

ROOT = Path(__file__).resolve().parent.parent.parent
METRICS_PORT = 9464
READY_LIMIT_S = 30.0
BOUNDS = {
    "SeedLagS": 3,
    "AddressReuseS": 2,
    "StableWindowMs": 3000,
    "ConfirmationMs": 4000,
    "CatchUpS": 4,
    "DrainTimeoutMs": 2000,
    "GracePeriodS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxExtensionMs": 5000,
    "StrictRevocation": True,
    "RevocationMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetExtra": 58,
    "RecoveryTimeS": 12,
    "EventDelayMs": 120,
    "ReuseWindowS": 4.7,
}


class Machine(NamedTuple):
    """The addresses of one daemon."""

    name: str
    zone: str
    ip: str
    frontend: str
    readiness: str
    control: str
    peer_port: int


def free_port(ip: str) -> int:
    """Return a port that nothing listens on, for both protocols."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


def free_subnet() -> str:
    """Return a loopback network whose metrics ports are free."""
    while True:
        subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for number in range(1, 10):
                with socket.socket() as sock:
                    sock.bind((f"{subnet}.{number}", METRICS_PORT))
        except OSError:
            continue
        return subnet


def _toml(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list):
        return "[" + ",".join(_toml(item) for item in value) + "]"
    return str(value)


def _table(name: str, values: dict[str, Any]) -> list[str]:
    lines = [f"[{name}]"]
    lines += [f"{key} = {_toml(value)}" for key, value in values.items()]
    return lines


class Fleet:
    """Daemons on loopback addresses, one address for each machine."""

    def __init__(self, record: Record, store: str, subnet: str) -> None:
        """Set the attributes."""
        self.record = record
        self.store = store
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.machines: list[Machine] = []
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.subnet = subnet
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = shlex.split(deploy["roles"]["entry"]["run"])

    def add_machines(self, count: int) -> None:
        """Choose the addresses of the machines, one in each zone."""
        for number in range(1, count + 1):
            ip = f"{self.subnet}.{number}"
            zone = "abc"[(number - 1) % 3]
            self.machines.append(
                Machine(
                    f"frontend-zone-{zone}-{number}",
                    f"zone-{zone}",
                    ip,
                    f"{ip}:{free_port(ip)}",
                    f"{ip}:{free_port(ip)}",
                    f"{ip}:{free_port(ip)}",
                    free_port(ip),
                )
            )
        # All daemons use the same port among themselves.
        port = self.machines[0].peer_port
        self.machines = [
            machine._replace(peer_port=port) for machine in self.machines
        ]

    def _settings(self, machine: Machine) -> str:
        seeds = [other.control for other in self.machines[:3]]
        lines = [
            f'NodeName = "{machine.name}"',
            'Role = "entry"',
            'MachineClass = "frontend"',
            'Serves = ["frontend","control_plane"]',
            f'IpAddress = "{machine.ip}"',
            f'Zone = "{machine.zone}"',
            'Region = "region"',
            "InternalPortRange = "
            f"[{machine.peer_port},{machine.peer_port + 15}]",
            f"SeedNodes = {_toml(seeds)}",
            "IsBootstrap = true",
            'Discovery = "platform"',
            'Entry = "virtual_ip"',
            "HeartbeatIntervalMs = 1200",
        ]
        zones = {other.zone: "region" for other in self.machines}
        lines += _table("Zones", zones)
        listen = {
            "Frontend": machine.frontend,
            "Readiness": machine.readiness,
            "ControlPlane": machine.control,
        }
        lines += _table("ListenAddresses", listen)
        lines += _table("Bounds", BOUNDS)
        platform = {"Address": self.store, "form": "read", "ReadsPerS": 2000}
        lines += _table("Platform", platform)
        return "\n".join(lines) + "\n"

    async def start(self, machine: Machine) -> None:
        """Start the daemon of a machine."""
        file = self.folder / f"{machine.name}.toml"
        file.write_text(self._settings(machine))
        log = (self.folder / f"{machine.name}.log").open("ab")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PLANTAINSAIL_CONFIG"] = str(file)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        process = await asyncio.create_subprocess_exec(
            *self.command,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes[machine.name] = process
        self.record.add(f"{machine.name} started at {machine.frontend}")

    async def start_all(self, count: int = 3) -> None:
        """Start the daemons and wait until all are ready."""
        self.add_machines(count)
        for machine in self.machines:
            await self.start(machine)
        async with asyncio.timeout(READY_LIMIT_S):
            for machine in self.machines:
                while not await self.is_ready(machine):  # noqa: ASYNC110
                    await asyncio.sleep(0.1)
        self.record.add("all daemons are ready")

    async def is_ready(self, machine: Machine) -> bool:
        """Ask a daemon whether it is ready, as the platform does."""
        reply = await caller.send(
            machine.readiness,
            "GET",
            "/plantainsail/readiness",
            {"Host": machine.readiness},
        )
        return reply.status == 200

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to a daemon."""
        self.processes[machine.name].send_signal(number)
        self.record.add(f"{machine.name} gets {number.name}")

    async def stop(self) -> None:
        """End all daemons that still run."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for file in self.folder.iterdir():
            file.unlink()
        self.folder.rmdir()
