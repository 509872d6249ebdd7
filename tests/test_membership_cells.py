"""Partial views against a naive full broadcast."""

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
LOSS = 0.2
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


def views(fleet: list[HostEntry]) -> dict[str, Contacts]:
    return {own.host: choose_contacts(fleet, own) for own in fleet}


def reach(
    known: dict[str, Contacts], start: str, source: random.Random
) -> list[int]:
    """Return how many daemons know a mark after each round.

    In each round whoever knows it tells its contacts; some messages
    are lost and sent again in the next round.
    """
    informed = {start}
    counts = [1]
    while len(informed) < len(known) and len(counts) <= MAX_ROUNDS:
        told = {
            contact.host
            for host in sorted(informed)
            for contact in (*known[host].cell, *known[host].outside_cell)
            if source.random() >= LOSS
        }
        informed |= told
        counts.append(len(informed))
    return counts


def test_small_fleet_is_one_cell() -> None:
    fleet = daemons(9)
    for own, contacts in views(fleet).items():
        others = {e.host for e in fleet} - {own}
        assert {e.host for e in contacts.cell} == others
        assert contacts.outside_cell == ()


@pytest.mark.parametrize("count", [20, 100, 540, 1_000])
def test_contacts_are_mutual_and_bounded(count: int) -> None:
    known = views(daemons(count)) if count <= 100 else None
    fleet = daemons(count)
    known = known or {
        own.host: choose_contacts(fleet, own) for own in fleet[:60]
    }
    for own, contacts in known.items():
        assert len(contacts.cell) <= CELL_SIZE + 1
        assert len(contacts.outside_cell) <= 6
        for contact in (*contacts.cell, *contacts.outside_cell):
            if contact.host not in known:
                continue
            back = known[contact.host]
            assert own in {e.host for e in (*back.cell, *back.outside_cell)}


def test_cells_are_spread_over_zones() -> None:
    for cell in assign_cells(all_daemons(daemons(540), daemons(540)[0])):
        assert len({member.availability_zone for member in cell}) == ZONES


def test_equal_lists_give_equal_cells_in_any_order() -> None:
    fleet = daemons(60)
    shuffled = list(fleet)
    random.Random(5).shuffle(shuffled)
    assert choose_contacts(fleet, fleet[0]) == choose_contacts(
        shuffled, fleet[0]
    )


def test_one_change_moves_few() -> None:
    fleet = daemons(540)
    before = assign_cells(all_daemons(fleet, fleet[0]))
    after = assign_cells(all_daemons(fleet[:-1], fleet[0]))
    moved = sum(
        len(set(old) - set(new))
        for old, new in zip(before, after, strict=True)
    )
    assert moved <= 60


@pytest.mark.parametrize("count", [2, 9, 30, 120])
def test_partial_views_reach_all_that_broadcast_reaches(count: int) -> None:
    fleet = daemons(count)
    known = views(fleet)
    for seed in range(5):
        source = random.Random(seed)
        counts = reach(known, fleet[seed % count].host, source)
        assert counts[-1] == count
