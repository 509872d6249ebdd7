"""Cells and contacts, and that contacts suffice to inform all daemons.

A daemon exchanges heartbeats only with its contacts.  If these did not
connect the fleet, a leaving mark would never reach some daemons.
"""

import random

import pytest

from plantainsail.lists.model import HostEntry, Role
from plantainsail.membership.cells import (
    CELL_SIZE,
    Contacts,
    all_daemons,
    assign_cells,
    choose_contacts,
)

ZONES = 3
LOSS_RATE = 0.2
MAX_ROUNDS = 16


def daemons(count: int, zones: int = ZONES) -> list[HostEntry]:
    return [
        HostEntry(
            f"entry-{n}",
            Role.ENTRY,
            f"10.0.{n // 250}.{n % 250}:1",
            f"zone-{n % zones}",
        )  # fmt: skip
        for n in range(count)
    ]


def contacts_of_all(fleet: list[HostEntry]) -> dict[str, Contacts]:
    return {own.host: choose_contacts(fleet, own) for own in fleet}


def informed_counts(
    contacts_by_host: dict[str, Contacts], start: str, source: random.Random
) -> list[int]:
    """Return how many daemons know a mark after each round.

    In each round all daemons that know the mark send it to their
    contacts; lost messages are sent again in the next round.
    """
    informed = {start}
    counts = [1]
    while len(informed) < len(contacts_by_host) and len(counts) <= MAX_ROUNDS:
        reached = {
            contact.host
            for host in sorted(informed)
            for contact in (
                *contacts_by_host[host].cell,
                *contacts_by_host[host].outside_cell,
            )
            if source.random() >= LOSS_RATE
        }
        informed |= reached
        counts.append(len(informed))
    return counts


def test_small_fleet_is_one_cell() -> None:
    fleet = daemons(9)
    for own, contacts in contacts_of_all(fleet).items():
        others = {e.host for e in fleet} - {own}
        assert {e.host for e in contacts.cell} == others
        assert contacts.outside_cell == ()


@pytest.mark.parametrize("count", [20, 100, 540, 1_000])
def test_contacts_are_mutual_and_bounded(count: int) -> None:
    contacts_by_host = (
        contacts_of_all(daemons(count)) if count <= 100 else None
    )
    fleet = daemons(count)
    contacts_by_host = contacts_by_host or {
        own.host: choose_contacts(fleet, own) for own in fleet[:60]
    }
    for own, contacts in contacts_by_host.items():
        assert len(contacts.cell) <= CELL_SIZE + 1
        assert len(contacts.outside_cell) <= 6
        for contact in (*contacts.cell, *contacts.outside_cell):
            if contact.host not in contacts_by_host:
                continue
            back = contacts_by_host[contact.host]
            assert own in {e.host for e in (*back.cell, *back.outside_cell)}


def test_cells_are_spread_over_zones() -> None:
    for cell in assign_cells(all_daemons(daemons(540), daemons(540)[0])):
        assert len({member.availability_zone for member in cell}) == ZONES


def test_order_of_the_host_list_does_not_change_the_contacts() -> None:
    fleet = daemons(60)
    shuffled = list(fleet)
    random.Random(5).shuffle(shuffled)
    assert choose_contacts(fleet, fleet[0]) == choose_contacts(
        shuffled, fleet[0]
    )


def test_removing_one_daemon_moves_at_most_60() -> None:
    fleet = daemons(540)
    before = assign_cells(all_daemons(fleet, fleet[0]))
    after = assign_cells(all_daemons(fleet[:-1], fleet[0]))
    moved = sum(
        len(set(old) - set(new))
        for old, new in zip(before, after, strict=True)
    )
    assert moved <= 60


@pytest.mark.parametrize("count", [2, 9, 30, 120])
def test_mark_reaches_all_daemons_through_contacts_alone(count: int) -> None:
    fleet = daemons(count)
    contacts_by_host = contacts_of_all(fleet)
    for seed in range(5):
        source = random.Random(seed)
        counts = informed_counts(
            contacts_by_host, fleet[seed % count].host, source
        )
        assert counts[-1] == count
