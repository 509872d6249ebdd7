"""Measure the cost of heartbeats in one daemon by number of peers.

The daemons use real gRPC over loopback through a forwarder that counts
TCP payload bytes.  These include HTTP/2 framing and headers, but not
TCP/IP headers.  The program prints one JSON line for each number of
peers:

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


class LoopbackDaemon:
    """A daemon without listeners for callers."""

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
        """Start the peer server and the heartbeat exchanges."""
        await self.server.start(self.node.registrations)
        self.task = asyncio.create_task(self.fleet.run())

    async def stop(self) -> None:
        """Stop the exchanges and the peer server."""
        if self.task is not None:
            self.task.cancel()
        await self.node.close()
        await self.server.stop(0.0)

    def set_host_list(
        self, daemons: "list[LoopbackDaemon]", addresses: dict[str, str]
    ) -> None:
        """Apply a host list in which some addresses are replaced."""
        hosts = {}
        for daemon in daemons:
            own = daemon.fleet.own_entry
            address = addresses.get(own.address, own.address)
            hosts[own.host] = HostEntry(
                own.host, Role.ENTRY, address, own.availability_zone
            )
        self.node.store.offer_hosts(HostList(1, hosts))


async def measure(peers: int, seconds: float) -> dict[str, Any]:
    """Return the cost of one daemon with this many peers in its cell.

    Only the measured daemon starts exchanges, which gives the cost of
    a pair; in a fleet each side starts about half of them.
    """
    daemons = [LoopbackDaemon(number) for number in range(1, peers + 2)]
    measured = daemons[0]
    forwarders = []
    addresses = {}
    for daemon in daemons:
        await daemon.server.start(daemon.node.registrations)
        if daemon is measured:
            continue
        forwarder = Forwarder()
        forwarder.target = daemon.server.address
        await forwarder.start()
        forwarders.append(forwarder)
        addresses[daemon.server.address] = forwarder.address
    # The lowest address makes this daemon start every exchange.
    measured.fleet.own_entry = measured.fleet.own_entry._replace(address="0")
    measured.set_host_list(daemons, addresses)
    task = asyncio.create_task(measured.fleet.run())
    await asyncio.sleep(WARM_UP_S)
    answered_counter = measured.node.metrics.heartbeats.labels("answered")
    exchanges_before = answered_counter._value.get()
    bytes_sent = sum(f.bytes for f in forwarders)
    cpu_s = time.process_time()
    await asyncio.sleep(seconds)
    cpu_s = time.process_time() - cpu_s
    bytes_sent = sum(f.bytes for f in forwarders) - bytes_sent
    exchanges = answered_counter._value.get() - exchanges_before
    task.cancel()
    for daemon in daemons:
        await daemon.stop()
    for forwarder in forwarders:
        await forwarder.stop()
    return {
        "peers": peers,
        "exchanges_per_s": round(exchanges / seconds, 2),
        "bytes_per_s": round(bytes_sent / seconds),
        "bytes_per_exchange": round(bytes_sent / max(1, exchanges)),
        "cpu_percent_both_sides": round(100 * cpu_s / seconds, 2),
    }


async def measure_all(peer_counts: list[int], seconds: float) -> None:
    """Print the cost for each number of peers."""
    for peers in peer_counts:
        print(json.dumps(await measure(peers, seconds)), flush=True)


def main() -> None:
    """Run the measurement with the options of the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--peers", type=int, nargs="+", default=[2, 6, 10])
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    configure_logging("error")
    asyncio.run(measure_all(options.peers, options.seconds))


if __name__ == "__main__":
    main()
