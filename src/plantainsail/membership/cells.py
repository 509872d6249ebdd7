"""Choice of the daemons that a daemon exchanges heartbeats with.

Rendezvous hashing divides the daemons of the host list into cells, each
spread over the availability zones.  A daemon has contact with all
members of its cell and a few daemons of other cells, so its cost does
not grow with the fleet.  Equal host lists give equal cells on every
daemon, and contact is mutual.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from plantainsail.lists.model import HostEntry, Role

# The number of daemons that a cell has on average.
CELL_SIZE = 9
# The daemons of other cells with which each daemon begins exchanges.
CONTACTS_OUTSIDE_CELL = 2

# The daemons of one cell, in a fixed order.
Cell = tuple[HostEntry, ...]


class Contacts(NamedTuple):
    """The daemons that one daemon exchanges heartbeats with.

    `cell` holds the other members of its own cell, and `outside_cell`
    its contacts in other cells.
    """

    cell: tuple[HostEntry, ...]
    outside_cell: tuple[HostEntry, ...]


class Edge(NamedTuple):
    """Two daemons of different cells that exchange heartbeats."""

    source: HostEntry
    target: HostEntry


def all_daemons(hosts: Iterable[HostEntry], own: HostEntry) -> Cell:
    """Return the daemons of the host list and `own`, in a fixed order.

    The calling daemon, `own`, is added because a lagging host list may
    not name it.
    """
    by_host = {e.host: e for e in hosts if e.role is Role.ENTRY}
    by_host[own.host] = own
    return tuple(sorted(by_host.values(), key=_sort_key))


def assign_cells(
    daemons: Sequence[HostEntry], cell_size: int = CELL_SIZE
) -> tuple[Cell, ...]:
    """Divide daemons into cells of about `cell_size` members.

    Each daemon joins the cell with the highest rendezvous weight among
    those that are not full, neither as a whole nor for its availability
    zone.  If there is none, the limit for the zone is ignored.
    """
    count = max(1, round(len(daemons) / cell_size))
    capacity = math.ceil(len(daemons) / count)
    per_zone = Counter(d.availability_zone for d in daemons)
    cells: list[list[HostEntry]] = [[] for _ in range(count)]
    zone_counts: list[Counter[str]] = [Counter() for _ in range(count)]
    for daemon in daemons:
        zone = daemon.availability_zone
        zone_capacity = math.ceil(per_zone[zone] / count)
        not_full = [i for i in range(count) if len(cells[i]) < capacity]
        preferred = [
            i for i in not_full if zone_counts[i][zone] < zone_capacity
        ]
        chosen = max(
            preferred or not_full,
            key=lambda index: _rendezvous_weight(daemon.host, index),
        )
        cells[chosen].append(daemon)
        zone_counts[chosen][zone] += 1
    return tuple(tuple(cell) for cell in cells)


def choose_contacts(
    hosts: Iterable[HostEntry],
    own: HostEntry,
    cell_size: int = CELL_SIZE,
) -> Contacts:
    """Return the daemons that `own` exchanges heartbeats with."""
    cells = assign_cells(all_daemons(hosts, own), cell_size)
    cell = next(c for c in cells if own in c)
    outside: dict[str, HostEntry] = {}
    for edge in edges_between_cells(cells):
        if edge.source == own:
            outside[edge.target.host] = edge.target
        if edge.target == own:
            outside[edge.source.host] = edge.source
    return Contacts(
        tuple(member for member in cell if member != own),
        tuple(sorted(outside.values(), key=_sort_key)),
    )


def edges_between_cells(cells: Sequence[Cell]) -> list[Edge]:
    """Return the pairs of daemons that connect the cells.

    The cells form a ring.  The distances 1, 2, 4, … to other cells are
    shared among the members of a cell, so that an update crosses the
    fleet in a number of hops logarithmic in the number of cells.
    """
    distances = [2**n for n in range((len(cells) - 1).bit_length())]
    edges: list[Edge] = []
    for index, cell in enumerate(cells):
        for rank, member in enumerate(cell):
            for distance in _distances_of(rank, distances):
                target = cells[(index + distance) % len(cells)]
                if not target:
                    continue
                edges.append(Edge(member, target[rank % len(target)]))
    return edges


def _distances_of(rank: int, distances: Sequence[int]) -> set[int]:
    """Return the distances assigned to a cell's member of a rank."""
    count = len(distances)
    step = math.ceil(count / CONTACTS_OUTSIDE_CELL)
    return {
        distances[(rank + n * step) % count]
        for n in range(CONTACTS_OUTSIDE_CELL if count else 0)
    }


def _sort_key(daemon: HostEntry) -> tuple[int, str]:
    return xxh3_64_intdigest(daemon.host.encode()), daemon.host


def _rendezvous_weight(host: str, index: int) -> int:
    return xxh3_64_intdigest(f"{host}/{index}".encode())
