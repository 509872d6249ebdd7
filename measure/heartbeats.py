"""Measure what heartbeats cost one daemon, by its number of peers.

Real gRPC over loopback through a forwarder that counts payload bytes
of TCP, so HTTP/2 framing and headers are in, TCP/IP headers are not.
Prints one JSON line for each number of peers:

    python -m measure.heartbeats --peers 2 8 12 --seconds 10
"""

import argparse
import asyncio
import json
import time
from typing import Any

from plantainsail.clock import BootClock
from plantainsail.lists.model import HostEntry, HostList, Role
from plantainsail.logs import configure_logging
from plantainsail.peers.server import PeerServer
from plantainsail.runtime.fleet import Fleet
from plantainsail.runtime.node import Node
from tests.standins.forwarder import Forwarder
from tests.standins.platform import bare_settings

WARM_UP_S = 4.0


class Member:
    """One daemon without listeners for callers."""

    def __init__(self, number: int) -> None:
        settings = bare_settings(number)
        self.node = Node(settings, BootClock())
        self.server = PeerServer(settings.peer_address, self.node.signer)
        incarnation = self.node.incarnation._replace(
            address=self.server.address
        )
        self.node.incarnation = incarnation
        self.fleet = Fleet(self.node)
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Answer peers and exchange heartbeats."""
        await self.server.start(self.node.registrations)
        self.task = asyncio.create_task(self.fleet.run())

    async def stop(self) -> None:
        """End the member."""
        if self.task is not None:
            self.task.cancel()
        await self.node.close()
        await self.server.stop(0.0)

    def know(self, members: "list[Member]", addresses: dict[str, str]) -> None:
        """Take a host list in which some addresses are replaced."""
        hosts = {}
        for member in members:
            own = member.fleet.own_entry
            address = addresses.get(own.address, own.address)
            hosts[own.host] = HostEntry(
                own.host, Role.ENTRY, address, own.availability_zone
            )
        self.node.store.offer_hosts(HostList(1, hosts))


async def measure(peers: int, seconds: float) -> dict[str, Any]:
    """Return the cost of one daemon with so many peers of its cell.

    Only the measured daemon begins exchanges, which gives the cost of
    a pair; in a fleet each side begins about half of them.
    """
    members = [Member(number) for number in range(1, peers + 2)]
    measured = members[0]
    forwarders = []
    addresses = {}
    for member in members:
        await member.server.start(member.node.registrations)
        if member is measured:
            continue
        forwarder = Forwarder()
        forwarder.target = member.server.address
        await forwarder.start()
        forwarders.append(forwarder)
        addresses[member.server.address] = forwarder.address
    measured.fleet.own_entry = measured.fleet.own_entry._replace(address="0")
    measured.know(members, addresses)
    task = asyncio.create_task(measured.fleet.run())
    await asyncio.sleep(WARM_UP_S)
    answered = measured.node.metrics.heartbeats.labels("answered")
    count = answered._value.get()
    total = sum(f.bytes for f in forwarders)
    used_s = time.process_time()
    await asyncio.sleep(seconds)
    used_s = time.process_time() - used_s
    total = sum(f.bytes for f in forwarders) - total
    exchanges = answered._value.get() - count
    task.cancel()
    for member in members:
        await member.stop()
    for forwarder in forwarders:
        await forwarder.stop()
    return {
        "peers": peers,
        "exchanges_per_s": round(exchanges / seconds, 2),
        "bytes_per_s": round(total / seconds),
        "bytes_per_exchange": round(total / max(1, exchanges)),
        "cpu_percent_both_sides": round(100 * used_s / seconds, 2),
    }


async def measure_all(numbers: list[int], seconds: float) -> None:
    """Print the cost for each number of peers."""
    for peers in numbers:
        print(json.dumps(await measure(peers, seconds)), flush=True)


def main() -> None:
    """Measure each number of peers that the command line names."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--peers", type=int, nargs="+", default=[2, 6, 10])
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    configure_logging("error")
    asyncio.run(measure_all(options.peers, options.seconds))


if __name__ == "__main__":
    main()
