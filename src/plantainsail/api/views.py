"""The views of the operator listener, as typed records."""

from typing import TypedDict

from plantainsail.lists.model import HostEntry, Organisation, Role
from plantainsail.lists.snapshot import Family
from plantainsail.runtime.node import Node


class StatusView(TypedDict):
    """The state of one daemon."""

    host: str
    availability_zone: str
    incarnation: str
    state: str
    lists_revision: int
    lists_age_s: float | None
    lists_freshness: str
    lists_seen_revision: int
    hosts_revision: int
    hosts_seen_revision: int
    refused_revisions: str


class PeerRow(TypedDict):
    """One peer as this daemon sees it."""

    host: str
    availability_zone: str
    incarnation: str
    state: str
    is_draining: bool


class UpstreamRow(TypedDict):
    """One upstream as this daemon sees it.

    `order_owner` is the daemon that sends orders to the upstream.
    `last_order` is the last order that the upstream accepted; only the
    order owner knows it.
    """

    host: str
    role: str
    availability_zone: str
    address: str
    incarnation: str
    state: str
    serves: str
    order_owner: str
    last_order: str


class OrganisationRow(TypedDict):
    """One organisation: its plan, its weight and its usage here."""

    organisation: str
    plan: str
    weight: int
    used_tokens: int
    waiting: int


def view_status(node: Node) -> StatusView:
    """Return the state of the daemon."""
    age_s = node.store.age_s(node.now_s())
    return StatusView(
        host=node.settings.host,
        availability_zone=node.settings.availability_zone,
        incarnation=str(node.incarnation),
        state=node.life_cycle.state,
        lists_revision=node.store.lists.revision,
        lists_age_s=None if age_s == float("inf") else round(age_s, 3),
        lists_freshness=node.freshness.verdict().value,
        lists_seen_revision=node.store.highest_seen[Family.LISTS],
        hosts_revision=node.store.hosts.revision,
        hosts_seen_revision=node.store.highest_seen[Family.HOSTS],
        refused_revisions="; ".join(
            str(refusal) for refusal in node.store.refusals.values()
        ),
    )


def view_peers(node: Node) -> list[PeerRow]:
    """Return one row for each peer in the daemon's peer table."""
    return [
        PeerRow(
            host=peer.host,
            availability_zone=peer.availability_zone,
            incarnation=str(peer.incarnation),
            state=peer.state.value,
            is_draining=peer.is_draining,
        )
        for peer in node.peers.peers(node.now_s())
    ]


def view_upstreams(node: Node) -> list[UpstreamRow]:
    """Return one row for each engine and service of the host list."""
    entries = sorted(node.store.hosts.hosts.values())
    return [
        _upstream_row(node, entry)
        for entry in entries
        if entry.role != Role.ENTRY
    ]


def view_organisations(node: Node) -> list[OrganisationRow]:
    """Return one row for each organisation of the lists in force."""
    organisations = sorted(node.store.lists.organisations.values())
    return [_organisation_row(node, entry) for entry in organisations]


def _organisation_row(node: Node, entry: Organisation) -> OrganisationRow:
    usage = node.dispatcher.usage_of(entry.organisation)
    return OrganisationRow(
        organisation=entry.organisation,
        plan=entry.plan,
        weight=node.store.lists.grants[entry.plan].weight,
        used_tokens=usage.tokens,
        waiting=usage.waiting,
    )


def _upstream_row(node: Node, entry: HostEntry) -> UpstreamRow:
    owner = ""
    last_order = ""
    if node.orders is not None:
        owner = node.orders.owners.by_engine.get(entry.host, "")
        accepted = node.orders.accepted.get(entry.host)
        last_order = accepted.order.describe() if accepted else ""
    return UpstreamRow(
        host=entry.host,
        role=entry.role.value,
        availability_zone=entry.availability_zone,
        address=entry.address,
        incarnation=entry.incarnation,
        state=entry.state.value,
        serves=", ".join((*entry.models, *entry.services)),
        order_owner=owner,
        last_order=last_order,
    )
