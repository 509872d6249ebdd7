"""Which other daemons a daemon exchanges heartbeats with.

The daemons of the host list are divided into cells by rendezvous
hashing, each cell spread over the availability zones.  A daemon knows
all members of its cell and a few daemons of other cells, so its cost
does not grow with the fleet.  Equal host lists give equal cells on
every daemon, and contact is mutual.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from plantainsail.lists.model import HostEntry, Role

CELL_SIZE = 9
CONTACTS_OUTSIDE_CELL = 2

Cell = tuple[HostEntry, ...]


class Contacts(NamedTuple):
    """The daemons that one daemon exchanges heartbeats with."""

    cell: tuple[HostEntry, ...]
    outside_cell: tuple[HostEntry, ...]


class Edge(NamedTuple):
    """Two daemons of different cells that know each other."""

    source: HostEntry
    target: HostEntry


def all_daemons(hosts: Iterable[HostEntry], own: HostEntry) -> Cell:
    """Return all daemons in a fixed order, the own one included.

    A host list that lags may not name the own daemon yet.
    """
    by_host = {e.host: e for e in hosts if e.role is Role.ENTRY}
    by_host[own.host] = own
    return tuple(sorted(by_host.values(), key=_position))


def assign_cells(
    daemons: Sequence[HostEntry], cell_size: int = CELL_SIZE
) -> tuple[Cell, ...]:
    """Divide daemons into cells of about a size.

    Each daemon joins the cell that ranks first for it and has room,
    both in all and for its availability zone.  Where no cell has both,
    the room in all decides.
    """
    count = max(1, round(len(daemons) / cell_size))
    room = math.ceil(len(daemons) / count)
    per_zone = Counter(d.availability_zone for d in daemons)
    cells: list[list[HostEntry]] = [[] for _ in range(count)]
    taken: list[Counter[str]] = [Counter() for _ in range(count)]
    for daemon in daemons:
        zone = daemon.availability_zone
        zone_room = math.ceil(per_zone[zone] / count)
        with_room = [i for i in range(count) if len(cells[i]) < room]
        preferred = [i for i in with_room if taken[i][zone] < zone_room]
        chosen = max(
            preferred or with_room,
            key=lambda index: _weight(daemon.host, index),
        )
        cells[chosen].append(daemon)
        taken[chosen][zone] += 1
    return tuple(tuple(cell) for cell in cells)


def choose_contacts(
    hosts: Iterable[HostEntry],
    own: HostEntry,
    cell_size: int = CELL_SIZE,
) -> Contacts:
    """Return the daemons that one daemon is in contact with."""
    cells = assign_cells(all_daemons(hosts, own), cell_size)
    cell = next(c for c in cells if own in c)
    beyond: dict[str, HostEntry] = {}
    for edge in edges_between_cells(cells):
        if edge.source == own:
            beyond[edge.target.host] = edge.target
        if edge.target == own:
            beyond[edge.source.host] = edge.source
    return Contacts(
        tuple(member for member in cell if member != own),
        tuple(sorted(beyond.values(), key=_position)),
    )


def edges_between_cells(cells: Sequence[Cell]) -> list[Edge]:
    """Return the contacts between cells.

    Cells lie on a ring.  The members of a cell share out the distances
    1, 2, 4, … between them, so that news crosses the fleet in a number
    of steps that grows with the logarithm of the number of cells.
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
    count = len(distances)
    step = math.ceil(count / CONTACTS_OUTSIDE_CELL)
    return {
        distances[(rank + n * step) % count]
        for n in range(CONTACTS_OUTSIDE_CELL if count else 0)
    }


def _position(daemon: HostEntry) -> tuple[int, str]:
    return xxh3_64_intdigest(daemon.host.encode()), daemon.host


def _weight(host: str, index: int) -> int:
    return xxh3_64_intdigest(f"{host}/{index}".encode())
