"""Makes heartbeats of a daemon's state, and applies those of peers."""

from plantainsail.entry.node import EntryNode
from plantainsail.routing.fleet_loads import UpstreamLoad
from plantainsail.routing.messages import (
    AvoidedEntry,
    Heartbeat,
    LeavingEntry,
    LoadEntry,
)
from plantainsail.routing.registry import DepartureNotice


def make_whole_heartbeat(node: EntryNode) -> Heartbeat:
    """Return a heartbeat with all of this daemon's loads."""
    return make_heartbeat(node, _own_loads(node), is_whole=True)


def _own_loads(node: EntryNode) -> tuple[LoadEntry, ...]:
    """Return the loads on upstreams, with the speeds that were seen."""
    paces = node.paces.local_paces(node.now_s())
    own = node.fleet_loads.own
    entries: list[LoadEntry] = []
    for identifier in own.keys() | paces.keys():
        load = own.get(identifier, UpstreamLoad())
        entries.append(
            LoadEntry(
                identifier,
                load,
                paces.get(identifier),
                node.read_rates.local_rates.get(identifier),
            )
        )
    return tuple(entries)


def make_heartbeat(
    node: EntryNode, loads: tuple[LoadEntry, ...], *, is_whole: bool
) -> Heartbeat:
    """Return a heartbeat without the fields set per receiver."""
    now_s = node.now_s()
    age_ms = node.in_force.age_ms(now_s)
    members: tuple[str, ...] = ()
    if is_whole:
        members = node.members.sample_addresses(node.random, now_s)
    return Heartbeat(
        address=node.settings.peer_address,
        nonce=node.nonce,
        sequence=0,
        sent_ms=int(now_s * 1000),
        echo_ms=-1,
        echo_nonce=0,
        is_leaving=node.is_leaving,
        configuration_version=node.in_force.version,
        configuration_age_ms=-1 if age_ms is None else age_ms,
        registry_revision=node.registry.revision,
        is_whole=is_whole,
        loads=loads,
        members=members,
        leaving=_leaving_entries(node, now_s),
        avoided=_avoided_entries(node, now_s),
        has_lost_service=node.members.has_lost_service,
    )


def apply_heartbeat(
    node: EntryNode, heartbeat: Heartbeat, now_s: float
) -> None:
    """Apply what a peer reports in its newest heartbeat."""
    loads = {entry.identifier: entry.load for entry in heartbeat.loads}
    node.fleet_loads.record_peer_loads(
        heartbeat.address, loads, now_s, is_whole=heartbeat.is_whole
    )
    for entry in heartbeat.loads:
        if entry.pace is not None:
            node.paces.record_peer_pace(entry.identifier, entry.pace, now_s)
        if entry.read_tokens_s is not None:
            node.read_rates.record_peer_rate(
                entry.identifier, entry.read_tokens_s
            )
    _apply_departure_notices(node, heartbeat, now_s)
    for avoided in heartbeat.avoided:
        for_s = avoided.for_ms / 1000
        node.avoidance.record_peer_avoidance(avoided.identifier, for_s, now_s)
    _confirm_freshness(node, heartbeat)


def _confirm_freshness(node: EntryNode, heartbeat: Heartbeat) -> None:
    is_echo = heartbeat.echo_nonce == node.nonce
    if not is_echo or heartbeat.echo_ms < 0:
        return
    if heartbeat.configuration_age_ms < 0:
        return
    as_of_ms = heartbeat.echo_ms - heartbeat.configuration_age_ms
    node.in_force.confirm(heartbeat.configuration_version, as_of_ms / 1000)


def _leaving_entries(
    node: EntryNode, now_s: float
) -> tuple[LeavingEntry, ...]:
    entries: list[LeavingEntry] = []
    notices = node.registry.notices_to_send(now_s)
    for identifier, notice in notices.items():
        gone_in_ms = int((notice.gone_s - now_s) * 1000)
        entries.append(LeavingEntry(identifier, notice.born_ms, gone_in_ms))
    return tuple(entries)


def _avoided_entries(
    node: EntryNode, now_s: float
) -> tuple[AvoidedEntry, ...]:
    avoided = node.avoidance.local_remaining_s(now_s)
    entries: list[AvoidedEntry] = []
    for identifier, remaining_s in avoided.items():
        entries.append(AvoidedEntry(identifier, int(remaining_s * 1000)))
    return tuple(entries)


def _apply_departure_notices(
    node: EntryNode, heartbeat: Heartbeat, now_s: float
) -> None:
    for entry in heartbeat.leaving:
        known_notice = node.registry.departure_notices.get(entry.identifier)
        if known_notice is not None and known_notice.born_ms == entry.born_ms:
            continue
        notice = DepartureNotice(
            entry.born_ms, now_s + entry.gone_in_ms / 1000
        )
        node.record_departure_notice(
            entry.identifier, notice, heartbeat.address
        )
