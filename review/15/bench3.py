"""Stand-ins for platform, replicas and requesters of the cases.

All of it is asyncio code of the standard library, on loopback
addresses.  The daemons are the project's own program, started as the
deploy file says.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
DEPS = ROOT / "target" / "deps"
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_LIMIT_S = 25.0
CUT = (ConnectionError, asyncio.IncompleteReadError, TimeoutError)


class CaseError(Exception):
    """The case could not run, so that it shows nothing."""


class Record:
    """The file `record.txt` of a case, with a time on each line."""

    def __init__(self, folder: Path) -> None:
        """Begin a new record in the folder of a case."""
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.begun_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        at_s = time.monotonic() - self.begun_s
        self.file.write(f"{at_s:8.3f} s  {text}\n")
        self.file.flush()


@dataclass
class Request:
    """A request as received, with header names in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def identifier(self) -> str:
        """Return the id of the requester's attempt."""
        return self.headers.get("x-attempt-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request with a length or without a body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return Request(method, target, headers, await reader.readexactly(length))


def head_bytes(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


Serve = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """Serves one request on each connection of a loopback address."""

    def __init__(self, ip: str, serve: Serve) -> None:
        """Prepare to serve; nothing listens yet."""
        self.ip = ip
        self.serve = serve
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> str:
        """Listen and return the address."""
        self.server = await asyncio.start_server(self._handle, self.ip, port)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"
        return self.address

    def stop(self) -> None:
        """Accept no more connections."""
        if self.server is not None:
            self.server.close()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            request = await read_request(reader)
            work = asyncio.ensure_future(self.serve(request, writer))
            closed = asyncio.ensure_future(reader.read())
            await asyncio.wait(
                (work, closed), return_when=asyncio.FIRST_COMPLETED
            )
            work.cancel()
            closed.cancel()
            await asyncio.gather(work, closed, return_exceptions=True)
        except (*CUT, asyncio.CancelledError):
            # The case ends, or the other side has gone.
            return
        finally:
            writer.close()


class Store:
    """The platform's store: items, lists of them, and changes."""

    def __init__(self, ip: str) -> None:
        """Prepare an empty store."""
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 100
        # While it is down, the store resets all calls.
        self.is_up = True
        self.changed = asyncio.Event()
        self.server = Server(ip, self._serve)

    def write(self, key: str, value: dict[str, Any] | None) -> None:
        """Write an item, or delete it if `value` is None."""
        self.revision += 1
        self.items.pop(key, None)
        event: dict[str, Any] = {"Key": key, "Revision": self.revision}
        if value is None:
            event["Deleted"] = True
        else:
            data = base64.b64encode(json.dumps(value).encode()).decode()
            event |= {"Value": data, "CreatedAt": self.revision, "Lease": 0}
            self.items[key] = event
        self.history.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        if not self.is_up:
            writer.transport.abort()
            return
        parts = urlsplit(request.target)
        query = parse_qs(parts.query, keep_blank_values=True)
        status, body = 404, {"At": self.revision}
        name = parts.path.rpartition("/")[2]
        if name == "kv-key":
            item = self.items.get(query["Key"][0])
            if item is not None:
                status, body = 200, item | body
        elif name == "kv-range":
            prefix = query["PathPrefix"][0]
            entries = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(prefix)
            ]
            status = 200
            body |= {"Entries": entries, "HasMore": False}
        elif name == "kv-watch":
            status, body = 200, await self._watch(query)
        data = json.dumps(body).encode()
        headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(data)),
        }
        writer.write(head_bytes(status, headers) + data)
        await writer.drain()

    async def _watch(self, query: dict[str, list[str]]) -> dict[str, Any]:
        after = int(query["After"][0])
        wait_s = int(query["WaitTimeoutMs"][0]) / 1000
        if self.revision <= after:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
        events = [one for one in self.history if one["Revision"] > after]
        return {"events": events, "At": self.revision}


def free_port(ips: list[str], low: int) -> int:
    """Return a port that is free on all of some addresses."""
    for port in range(low, low + 4000, 7):
        held: list[socket.socket] = []
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    held.append(sock)
                    sock.bind((ip, port))
        except OSError:
            continue
        else:
            return port
        finally:
            for sock in held:
                sock.close()
    raise CaseError("no free port")


def own_ip(number: int) -> str:
    """Return a loopback address that other processes don't use."""
    pid = os.getpid()
    return f"127.{10 + pid % 200}.{1 + pid // 200 % 250}.{number}"


SETTINGS = """NodeName = "frontend-{number}"
Role = "entry"
MachineClass = "frontend"
Serves = ["frontend", "control_plane"]
IpAddress = "{ip}"
Zone = "{zone}"
Region = "wa-south"
InternalPortRange = [{peer}, {peer_end}]
SeedNodes = [{seeds}]
IsBootstrap = true
ToleranceCounted = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatIntervalMs = 1200
Contracts = ["base", "drain", "config", "cost", "retry", "recover",
    "engine", "stream", "tenants", "platform"]
[Zones]
kalg-a = "wa-south"
perth-b = "wa-south"
bunb-c = "wa-south"
[ListenAddresses]
Frontend = "{ip}:{front}"
Readiness = "{ip}:{ready}"
ControlPlane = "{ip}:{control}"
[Limits]
CpuShare = 0.537
CpuCores = 2
MemoryMb = 150
FileDescriptors = 4100
LinkSpeedMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddressReuseS = 2
StableWindowMs = 3000
ConfirmationMs = 4000
CatchUpS = 4
DrainTimeoutMs = 2000
GracePeriodS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxExtensionMs = 5000
StrictRevocation = true
RevocationMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetExtra = 52
ColdOverrun = 1.5
ColdTolerance = 5
RecoveryTimeS = 12
EventDelayMs = 120
ReuseWindowS = 4.5
[Platform]
Address = "{store}"
form = "read"
WritesPerS = 400
ReadsPerS = 2000
HistoryRetentionS = 20
MaxValueBytes = 1048576
MinTtlMs = 1000
"""
ZONES = ("kalg-a", "perth-b", "bunb-c")


@dataclass
class Ports:
    """The ports that all daemons of a case use."""

    peer: int
    front: int
    ready: int
    control: int


class Daemon:
    """One machine of the system: its settings and its process."""

    def __init__(
        self, number: int, seeds: list[str], ports: Ports, store: str
    ) -> None:
        """Write the settings file of the machine."""
        self.ip = own_ip(10 + number)
        self.ports = ports
        self.folder = Path(tempfile.mkdtemp(prefix="review-3-"))
        self.file = self.folder / "settings.toml"
        self.log = self.folder / "log.txt"
        self.process: asyncio.subprocess.Process | None = None
        self.file.write_text(
            SETTINGS.format(
                number=number,
                ip=self.ip,
                zone=ZONES[number % len(ZONES)],
                peer=ports.peer,
                peer_end=ports.peer + 15,
                seeds=", ".join(f'"{ip}:{ports.control}"' for ip in seeds),
                front=ports.front,
                ready=ports.ready,
                control=ports.control,
                store=store,
            )
        )

    @property
    def address(self) -> str:
        """Return the address for requesters."""
        return f"{self.ip}:{self.ports.front}"

    async def spawn(self) -> None:
        """Start the process with the command of the deploy file."""
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["PLANTAINSAIL_CONFIG"] = str(self.file)
        variables["PYTHONPATH"] = str(DEPS)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/serve.py",
                cwd=ROOT,
                env=variables,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self) -> None:
        """Return once the readiness address answers 200."""
        assert self.process is not None
        end_s = time.monotonic() + START_LIMIT_S
        address = f"{self.ip}:{self.ports.ready}"
        while time.monotonic() < end_s:
            if self.process.returncode is not None:
                raise CaseError(f"a daemon ended: {self.process.returncode}")
            answer = await call(
                address, "GET", "/plantainsail/readiness", {}, limit_s=1.0
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CaseError("a daemon did not become ready")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """End the process by force and drop its files."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


@dataclass
class Answer:
    """What a requester got: status 0 stands for no answer at all.

    `is_whole` says that the answer's own framing shows its end.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False

    @property
    def events(self) -> int:
        """Return how many whole events of a stream arrived."""
        return self.body.count(b"\n\n")


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    limit_s: float = 40.0,
) -> Answer:
    """Send a request on a new channel and read its answer."""
    answer = Answer()
    ip, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            usual = {"Host": "plantainsail.example"} | headers
            if body or method == "POST":
                usual["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in usual.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await read_answer(reader, answer)
    except (OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer; what arrived is in `answer` also after a cut."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            answer.headers[name.lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                answer.is_whole = True
                return
            answer.body += data[:-2]
    length = answer.headers.get("content-length")
    if length is not None:
        while len(answer.body) < int(length):
            data = await reader.read(int(length) - len(answer.body))
            if not data:
                return
            answer.body += data
        answer.is_whole = True
        return
    while data := await reader.read(65_536):
        answer.body += data
    # Without a length or chunks, the end of the channel is the end.
    answer.is_whole = True


class Fleet:
    """The store and the daemons of one case."""

    def __init__(self, record: Record) -> None:
        """Prepare a store without daemons."""
        self.record = record
        self.store = Store(own_ip(2))
        self.daemons: list[Daemon] = []

    async def start(self, daemons: int) -> None:
        """Start store and daemons; return once all are ready."""
        if not DEPS.is_dir():
            raise CaseError("the build of the deploy file has not been run")
        store = await self.store.server.start()
        ips = [own_ip(10 + number) for number in range(daemons)]
        low = 7200
        found: list[int] = []
        for _ in range(4):
            port = free_port(ips, low)
            found.append(port)
            low = port + 20
        ports = Ports(*found)
        for number in range(daemons):
            self.daemons.append(Daemon(number, ips[:3], ports, store))
        for daemon in self.daemons:
            await daemon.spawn()
        for daemon in self.daemons:
            await daemon.wait_until_ready()
        self.record.note(f"{daemons} daemons are ready")

    async def end(self) -> None:
        """End all processes of the case."""
        for daemon in self.daemons:
            await daemon.end()
        self.store.server.stop()


def route(
    name: str,
    kind: str,
    service: str,
    timeout_ms: int,
    **others: Any,
) -> dict[str, Any]:
    """Return a route of a desired state, for paths below `/NAME/`."""
    return {
        "Name": name,
        "Host": "plantainsail.example",
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 125,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": 2 if kind == "idempotent" else 1,
        "AnonymousAccess": False,
        "SessionAffinity": kind == "streaming",
        "StreamResumption": False,
    } | others


def plain_service(name: str) -> dict[str, Any]:
    """Return a service without engines of a desired state."""
    return {
        "Name": name,
        "HealthCheckPath": "/health",
        "ConnectionLimit": 96,
        "Protocol": "h1",
        "Tls": False,
    }


def engine_service(name: str) -> dict[str, Any]:
    """Return a service of model engines of a desired state."""
    return plain_service(name) | {
        "ConnectionLimit": 232,
        "InferenceEngine": {
            "Slots": 24,
            "KvCapacityTokens": 34_388,
            "KvTokenBytes": 327_680,
            "LinkSpeedMbps": 47_000.0,
            "Moves": True,
            "Backups": True,
            "Stride": 4,
            "HandleTtlS": 5.0,
            "Models": [{"Name": "m"}],
        },
    }


MAX_HEADER_BYTES = 16_384


def desired_state(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    key: str,
) -> dict[str, Any]:
    """Return a desired state with one tenant, `desk`, and its key."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": MAX_HEADER_BYTES,
            "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
        },
        "Tenants": [{"Name": "desk", "ApiKeys": [key], "Priority": 1}],
    }


def replica_entry(
    service: str, address: str, zone: str, slots: int
) -> dict[str, Any]:
    """Return what a replica writes under its id."""
    return {
        "Service": service,
        "Address": address,
        "Zone": zone,
        "Version": "v1",
        "Slots": slots,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Sequence": 1,
        "born": int(time.time() * 1000),
    }


def run_case(folder: Path, play: Callable[..., Awaitable[int]]) -> None:
    """Play a case and leave with its exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.note("with the disruption" if has_trouble else "no disruption")

    async def main() -> int:
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(110):
                return await play(fleet, record, has_trouble=has_trouble)
        finally:
            await fleet.end()

    try:
        result = asyncio.run(main())
    except Exception as error:
        # Python's own exit status for it would mean a broken rule.
        record.note(f"the case could not run: {error!r}")
        result = NOT_RUN
    record.note(f"exit status {result}")
    sys.exit(result)
