"""Run daemons on stand-ins: `make run`, `make serve`, `make platform`.

Lists, hosts and the first daemon's settings come from an example; each
upstream of its host list is a stand-in on a loopback port, and only the
addresses are replaced.
"""

import argparse
import asyncio
import json
import re
import signal
import sys
from collections.abc import Collection
from pathlib import Path
from typing import Any, NamedTuple

from plantainsail.daemon import Daemon
from plantainsail.logs import configure_logging
from plantainsail.settings import Settings, load_settings
from tests.standins.config_service import ConfigService
from tests.standins.engine import Engine
from tests.standins.listener import StandInListener
from tests.standins.plain_service import PlainService
from tests.standins.platform import Answer, call, start_daemon

EXAMPLES = Path("examples")
FLEET_FOLDER = Path(".fleet")
FLEET_SIZE = 3
# The network of an example's daemons; each has a loopback address here.
FLEET_NETWORK = re.compile(r"\b10\.\d+\.0\.")
ENGINE_STEP_S = 0.02
HTTP_OK = 200
HTTP_TICKET_REQUIRED = 428
TICKET_HEADER = "plantainsail-ticket"


class Job(NamedTuple):
    """The calls that `make run` sends for one example."""

    organisation: str
    model: str
    prompt: str
    idempotent: str
    once: str


JOBS = {
    "goldfields": Job(
        "customer-desk",
        "letter-7b",
        "Reorder 40 heat packs for the store at Leinster.",
        "ledger/stock.read",
        "ledger/dispatch.create",
    ),
    "guild": Job(
        "guild-office",
        "guide-13b",
        "A planting guide for yarrow.",
        "office/stock.read",
        "office/press-time.book",
    ),
}


class ExamplePlatform:
    """The stand-ins for everything around the daemons of an example."""

    def __init__(self, example: str) -> None:
        self.folder = EXAMPLES / example
        self.config = ConfigService()
        self.listeners: list[StandInListener] = []

    async def start(self, entries: Collection[str] = ()) -> None:
        """Start a stand-in for each upstream and publish the lists.

        Of the daemons only those in `entries` are listed.
        """
        await self.config.listener.start()
        hosts = json.loads((self.folder / "hosts.json").read_text())["hosts"]
        published = [
            await self._replace(entry)
            for entry in hosts
            if entry["role"] != "entry"
        ]
        for entry in hosts:
            if entry["host"] in entries:
                address = FLEET_NETWORK.sub("127.0.0.", entry["address"])
                published.append(entry | {"address": address})
        self.config.publish_family("hosts", 1, {"all": {"hosts": published}})
        parts = {
            file.stem: json.loads(file.read_text())
            for file in sorted((self.folder / "lists").glob("*.json"))
        }
        self.config.publish_family("lists", 1, parts)

    async def _replace(self, entry: dict[str, Any]) -> dict[str, Any]:
        if entry["role"] == "engine":
            listener = Engine(ENGINE_STEP_S).listener
        else:
            listener = PlainService().listener
        await listener.start()
        self.listeners.append(listener)
        return entry | {"address": listener.address}

    def settings(self, port: int) -> Settings:
        """Return the first daemon's settings on loopback addresses."""
        loaded = load_settings(self.folder / "settings" / "entry-1.json")
        operator_port = port + 1 if port else 0
        return loaded.ok._replace(
            caller_address=f"127.0.0.1:{port}",
            operator_address=f"127.0.0.1:{operator_port}",
            peer_address="127.0.0.1:0",
            configuration_url=self.config.url,
        )

    def write_settings(self, number: int) -> Path:
        """Write the settings of one daemon; return their file."""
        file = self.folder / "settings" / f"entry-{number}.json"
        text = file.read_text()
        service = load_settings(file).ok.configuration_url
        text = text.replace(service, self.config.url)
        text = text.replace("127.0.0.1:8081", f"127.0.0.{number}:8081")
        text = FLEET_NETWORK.sub("127.0.0.", text)
        written = FLEET_FOLDER / file.name
        written.parent.mkdir(exist_ok=True)
        written.write_text(text)
        return written

    async def stop(self) -> None:
        """Stop all stand-ins."""
        for listener in self.listeners:
            await listener.stop()
        await self.config.stop()


def show(title: str, answer: Answer, status: int = HTTP_OK) -> bool:
    """Print an answer; return whether its status is the expected."""
    print(f"--- {title}: status {answer.status}")
    print(answer.body.decode())
    return answer.status == status


async def call_once(address: str, job: Job, ticket: str | None) -> Answer:
    """Make the call that must not repeat, with a ticket or without."""
    return await call(
        address,
        "POST",
        f"/v1/services/{job.once}",
        b'{"pallets": 2}',
        key=f"example-{job.organisation}",
        headers={} if ticket is None else {TICKET_HEADER: ticket},
    )


async def run_ticketed(address: str, job: Job) -> bool:
    """Make a call twice on one ticket; return whether it ran once."""
    refused = await call_once(address, job, None)
    succeeded = show(
        "a call that must not repeat, refused with a fresh ticket",
        refused,
        HTTP_TICKET_REQUIRED,
    )
    ticket = refused.headers[TICKET_HEADER]
    first = await call_once(address, job, ticket)
    again = await call_once(address, job, ticket)
    succeeded &= show("the call with that ticket", first)
    succeeded &= show("the same ticket again: the first answer", again)
    return succeeded and again.body == first.body


async def run_main_job(address: str, job: Job) -> bool:
    """Send the main kinds of work; return whether all succeeded."""
    key = f"example-{job.organisation}"
    body = {
        "model": job.model,
        "stream": True,
        "messages": [{"role": "user", "content": job.prompt}],
    }
    streamed = await call(
        address,
        "POST",
        "/v1/chat/completions",
        json.dumps(body).encode(),
        key=key,
    )
    read = await call(
        address,
        "POST",
        f"/v1/services/{job.idempotent}",
        b'{"item": "heat-pack-40"}',
        key=key,
    )
    results = [
        show("a streamed answer", streamed),
        show("a read", read),
        await run_ticketed(address, job),
    ]
    return all(results)


async def wait_for_signal(daemon: Daemon, job: Job) -> None:
    """Say how to call the daemon and keep it up."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.drain.request)
    print(f"callers:   http://127.0.0.1:{daemon.caller_listener.port}/v1")
    print(f"operators: http://127.0.0.1:{daemon.operator_listener.port}")
    print(f"API key:   example-{job.organisation}, model {job.model}")
    await daemon.drain_requested.wait()


async def serve_platform(platform: ExamplePlatform) -> None:
    """Keep the stand-ins up for daemons that a person starts."""
    numbers = range(1, FLEET_SIZE + 1)
    await platform.start([f"entry-{number}" for number in numbers])
    for number in numbers:
        file = platform.write_settings(number)
        print(f"plantainsaild --settings {file}")
    leaving = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, leaving.set)
    await leaving.wait()
    await platform.stop()


async def main() -> int:
    """Run the demonstration; return its exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument("action", choices=["run", "serve", "platform"])
    parser.add_argument("--example", choices=JOBS, default="goldfields")
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args()
    configure_logging("info")
    job = JOBS[options.example]
    platform = ExamplePlatform(options.example)
    if options.action == "platform":
        await serve_platform(platform)
        return 0
    await platform.start()
    daemon = await start_daemon(platform.settings(options.port))
    succeeded = True
    if options.action == "run":
        address = f"127.0.0.1:{daemon.caller_listener.port}"
        succeeded = await run_main_job(address, job)
    else:
        await wait_for_signal(daemon, job)
    await daemon.stop()
    await platform.stop()
    return 0 if succeeded else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
