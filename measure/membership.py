"""Simulate contact choice and failure detection, without connections.

    python -m measure.membership

prints one JSON line for each fleet size: contacts of a daemon, rounds
until all know a mark, and the time to choose contacts.  It also prints
one line for each rule that turns silence into a peer state: the work
sent to daemons that are gone, and the paused daemons taken for dead.
"""

import json
import random
import time

from plantainsail.identity import Incarnation
from plantainsail.lists.model import HostEntry, Role
from plantainsail.membership.cells import (
    Contacts,
    all_daemons,
    assign_cells,
    choose_contacts,
    edges_between_cells,
)
from plantainsail.membership.liveness import (
    DEAD_AFTER_S,
    STALE_AFTER_S,
    PeerTable,
    SenderInfo,
)
from plantainsail.membership.view import PeerState

SEED = 11
FLEET_SIZES = (3, 9, 27, 100, 270, 540)
ZONES = 21
TRIALS = 400
PAUSE_SHARE = 0.8
MAX_SILENCE_S = 10.0
STEP_S = 0.1
WORK_PER_S = 10
BYTES_PER_EXCHANGE = 205
EXCHANGES_PER_S_IN_CELL = 1.0
EXCHANGES_PER_S_OUTSIDE_CELL = 1 / 3
PEER = Incarnation("10.0.0.1:1", 1)


def make_host_list(daemon_count: int) -> list[HostEntry]:
    """Return a host list with a number of daemons."""
    return [
        HostEntry(
            f"entry-{n}",
            Role.ENTRY,
            f"10.0.{n // 250}.{n % 250}:1",
            f"zone-{n % min(ZONES, max(1, daemon_count // 3))}",
        )
        for n in range(daemon_count)
    ]


def all_contacts(fleet: list[HostEntry]) -> dict[str, Contacts]:
    """Return the contacts of all daemons, assigning cells once."""
    cells = assign_cells(all_daemons(fleet, fleet[0]))
    outside_cell: dict[str, dict[str, HostEntry]] = {e.host: {} for e in fleet}
    for edge in edges_between_cells(cells):
        outside_cell[edge.source.host][edge.target.host] = edge.target
        outside_cell[edge.target.host][edge.source.host] = edge.source
    return {
        own.host: Contacts(
            tuple(e for e in cell if e != own),
            tuple(outside_cell[own.host].values()),
        )
        for cell in cells
        for own in cell
    }


def rounds_until_known(
    contacts_by_host: dict[str, Contacts], start: str
) -> int:
    """Return the rounds of forwarding until all daemons know a mark."""
    informed = {start}
    rounds = 0
    while len(informed) < len(contacts_by_host):
        informed |= {
            contact.host
            for host in informed
            for contact in (
                *contacts_by_host[host].cell,
                *contacts_by_host[host].outside_cell,
            )
        }
        rounds += 1
    return rounds


def measure_fleet(daemon_count: int) -> dict[str, float]:
    """Return the figures of one fleet size."""
    fleet = make_host_list(daemon_count)
    started_s = time.process_time()
    choose_contacts(fleet, fleet[0])
    choose_ms = (time.process_time() - started_s) * 1_000
    contacts_by_host = all_contacts(fleet)
    exchanges_per_s = [
        len(c.cell) * EXCHANGES_PER_S_IN_CELL
        + len(c.outside_cell) * EXCHANGES_PER_S_OUTSIDE_CELL
        for c in contacts_by_host.values()
    ]
    return {
        "daemons": daemon_count,
        "cell_max": max(len(c.cell) for c in contacts_by_host.values()),
        "beyond_max": max(
            len(c.outside_cell) for c in contacts_by_host.values()
        ),
        "rounds": max(
            rounds_until_known(contacts_by_host, e.host) for e in fleet[:20]
        ),
        "empty_bytes_per_s_mean": round(
            sum(exchanges_per_s) / daemon_count * BYTES_PER_EXCHANGE
        ),
        "empty_bytes_per_s_max": round(
            max(exchanges_per_s) * BYTES_PER_EXCHANGE
        ),
        "choose_ms": round(choose_ms, 1),
    }


def state_under_rule(
    rule: str, silent_s: float, table: PeerTable
) -> PeerState:
    """Return the state of a silent peer under one rule."""
    if rule == "stale and dead":
        return table.state_of(PEER, silent_s) or PeerState.DEAD
    limit_s = STALE_AFTER_S if rule == "dead early" else DEAD_AFTER_S
    return PeerState.DEAD if silent_s >= limit_s else PeerState.ALIVE


def measure_rule(rule: str) -> dict[str, str | float]:
    """Return work sent to dead peers and mistaken deaths of a rule."""
    source = random.Random(SEED)
    work_sent_to_dead = 0.0
    death_count = 0
    mistaken_deaths = 0
    for _ in range(TRIALS):
        is_pause = source.random() < PAUSE_SHARE
        total_silence_s = source.uniform(
            0.5, MAX_SILENCE_S if is_pause else 30.0
        )
        table = PeerTable()
        table.record_reply(table.begin_exchange(), SenderInfo(PEER), 0.0)
        silent_s = 0.0
        was_dead = False
        while silent_s < (total_silence_s if is_pause else 2 * DEAD_AFTER_S):
            state = state_under_rule(rule, silent_s, table)
            was_dead = was_dead or state is PeerState.DEAD
            if not is_pause and state is PeerState.ALIVE:
                work_sent_to_dead += WORK_PER_S * STEP_S
            silent_s += STEP_S
        death_count += not is_pause
        mistaken_deaths += is_pause and was_dead
    return {
        "rule": rule,
        "work_sent_to_each_lost_daemon": round(
            work_sent_to_dead / death_count, 1
        ),
        "pauses_taken_for_death": mistaken_deaths,
        "pauses": TRIALS - death_count,
    }


def main() -> None:
    """Print the figures for all fleet sizes and rules."""
    for daemon_count in FLEET_SIZES:
        print(json.dumps(measure_fleet(daemon_count)))
    for rule in ("dead late", "dead early", "stale and dead"):
        print(json.dumps(measure_rule(rule)))


if __name__ == "__main__":
    main()
