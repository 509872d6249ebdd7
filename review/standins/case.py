"""The frame of a case: set-up, checks and the end of all processes."""

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.fleet import Fleet, free_subnet
from standins.record import Record
from standins.store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
RUN_LIMIT_S = 115.0


class Case:
    """What a script needs: the store, the fleet and the record.

    `has_trouble` is false if the script shall play no disruption.
    """

    def __init__(self, folder: Path) -> None:
        """Set the attributes."""
        self.record = Record(folder)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.subnet = free_subnet()
        self.replica_ip = f"{self.subnet}.20"
        self.fleet: Fleet | None = None

    async def start_store(self) -> Fleet:
        """Start the store; return the fleet, not started yet."""
        await self.store.start(f"{self.subnet}.10")
        self.fleet = Fleet(self.record, self.store.address, self.subnet)
        return self.fleet

    def finish(self, is_broken: bool, text: str) -> int:
        """Record the result; return the exit status."""
        self.record.add(f"{'BROKEN' if is_broken else 'HELD'}: {text}")
        print(f"{'BROKEN' if is_broken else 'HELD'}: {text}")
        return BROKEN if is_broken else HELD


async def _play(case: Case, play: Callable[[Case], Awaitable[int]]) -> int:
    task = asyncio.current_task()
    assert task is not None
    # All processes are ended also if the script is told to stop.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(RUN_LIMIT_S):
            return await play(case)
    except (TimeoutError, OSError, KeyError, ValueError) as error:
        case.record.add(f"NOT RUN: {error!r}")
        print(f"NOT RUN: {error!r}")
        return NOT_RUN
    finally:
        if case.fleet is not None:
            await case.fleet.stop()


def main(file: str, play: Callable[[Case], Awaitable[int]]) -> None:
    """Play a case and exit with its status."""
    case = Case(Path(file).resolve().parent)
    try:
        status = asyncio.run(_play(case, play))
    except (asyncio.CancelledError, KeyboardInterrupt):
        status = NOT_RUN
    case.record.close()
    sys.exit(status)


def configuration(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a desired state with one tenant, whose key is `KEY`."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 32768,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 5000,
            "IdleTimeoutMs": 30000,
        },
        "Tenants": [{"Name": "tenant-1", "ApiKeys": ["KEY"]}],
    }


def route(
    name: str, kind: str, service: str, timeout_ms: int, aim_ms: int
) -> dict[str, Any]:
    """Return a route, whose path prefix is its name."""
    return {
        "Name": name,
        "Host": "shop.example",
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": aim_ms,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": 2 if kind == "idempotent" else 1,
        "AnonymousAccess": False,
        "SessionAffinity": kind == "streaming",
        "StreamResumption": False,
        "TargetGapMs": 180,
    }


def engine_service(name: str) -> dict[str, Any]:
    """Return a service of model engines that can move runs."""
    return {
        "Name": name,
        "HealthCheckPath": "/health",
        "ConnectionLimit": 252,
        "Protocol": "h1",
        "Tls": False,
        "InferenceEngine": {
            "Slots": 24,
            "KvCapacityTokens": 34236,
            "KvTokenBytes": 327680,
            "LinkSpeedMbps": 47000.0,
            "Moves": True,
            "Backups": True,
            "Stride": 4,
            "most": 12,
        },
    }


def plain_service(name: str) -> dict[str, Any]:
    """Return a plain service."""
    return {
        "Name": name,
        "HealthCheckPath": "/health",
        "ConnectionLimit": 110,
        "Protocol": "h1",
        "Tls": False,
    }


def caller_headers(identifier: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {
        "Host": "shop.example",
        "X-Attempt-Id": identifier,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": "Token KEY",
    }


def prompt_headers(identifier: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a caller's request of a generation."""
    return caller_headers(identifier, deadline_ms) | {
        "X-Model": "m",
        "X-Token-Usage": "300,640",
        "X-Prompt-Prefix": f"5c1e07a2:60,{identifier}:240",
        "X-Length-Hint": "640",
    }
