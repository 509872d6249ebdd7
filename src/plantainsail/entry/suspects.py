"""Records which request parts crash engines, and tells peers of them.

`policy.part_quarantine` decides which parts are suspects and which
requests are refused.
"""

import xxhash

from plantainsail.entry.dialect import Dialect, parse_prompt_parts
from plantainsail.entry.node import EntryNode
from plantainsail.entry.request import RoutedRequest
from plantainsail.policy.part_quarantine import (
    MAX_DEATHS,
    NEVER_S,
    EngineDeath,
    PartRecord,
    whole_request_part,
)
from plantainsail.results import Code, Failure
from plantainsail.routing.messages import (
    DeathEntry,
    SuspectPartEntry,
    SuspectParts,
)

MAX_PARTS_PER_MESSAGE = 10


def parts_of(request: RoutedRequest, dialect: Dialect) -> tuple[str, ...]:
    """Return the parts that describe a request in the quarantine.

    These are the request as a whole, and the parts of its prompt that
    other requests may share.
    """
    parts = [whole_request_part(_fingerprint_of(request))]
    header = request.caller.get(dialect.prompt_parts)
    for name in parse_prompt_parts(header):
        parts.append(f"part:{name}")
    return tuple(parts)


def _fingerprint_of(request: RoutedRequest) -> int:
    """Return a hash that stays the same when a request is repeated.

    It covers the organisation, the target and the body, but no other
    headers.
    """
    digest = xxhash.xxh3_64()
    organisation = request.organisation
    digest.update(b"" if organisation is None else organisation.name.encode())
    digest.update(b"\0" + request.caller.target + b"\0")
    digest.update(request.body)
    return digest.intdigest()


def record_death(
    node: EntryNode, parts: tuple[str, ...], death: EngineDeath
) -> None:
    """Record that an engine died while it ran a request."""
    node.metrics.engine_deaths.inc()
    quarantined = node.quarantine.note_death(parts, death, node.now_s())
    for part in quarantined:
        _log_quarantined(node, part, "own")
    node.announcements_pending.set()


def record_sound_run(
    node: EntryNode, parts: tuple[str, ...], began_s: float
) -> None:
    """Record that an engine kept writing an answer it began."""
    cleared = node.quarantine.note_sound_run(parts, began_s, node.now_s())
    if not cleared:
        return
    node.log.info("suspects cleared", parts=cleared)
    node.update_gauges()
    node.announcements_pending.set()


def refusal(
    node: EntryNode, request: RoutedRequest, parts: tuple[str, ...]
) -> Failure | None:
    """Return why to refuse a request, if it would crash engines."""
    now_s = node.now_s()
    cause = node.quarantine.find_cause(parts, now_s)
    if cause is None:
        return None
    node.log.info(
        "request quarantined",
        request=request.identifier,
        part=cause.part,
        deaths=[death.upstream for death in cause.deaths],
        last_death_ms=int((now_s - cause.deaths[-1].died_s) * 1000),
    )
    return Failure(
        Code.QUARANTINED,
        "engines died under a part of it",
        cause.refused_until_s - now_s,
    )


def _log_quarantined(node: EntryNode, part: str, origin: str) -> None:
    """Log that a part is quarantined from now on.

    `origin` is "own", or the address of the peer that told of it.
    """
    record = node.quarantine.records[part]
    node.log.warning(
        "part quarantined",
        part=part,
        deaths=[death.upstream for death in record.deaths],
        origin=origin,
    )
    node.update_gauges()


def make_messages(
    node: EntryNode, records: list[PartRecord]
) -> list[SuspectParts]:
    """Return messages with records of parts, of limited size."""
    now_s = node.now_s()
    entries = [_entry_of(record, now_s) for record in records]
    messages: list[SuspectParts] = []
    for start in range(0, len(entries), MAX_PARTS_PER_MESSAGE):
        part_entries = tuple(entries[start : start + MAX_PARTS_PER_MESSAGE])
        messages.append(SuspectParts(node.settings.peer_address, part_entries))
    return messages


def apply_message(node: EntryNode, message: SuspectParts) -> None:
    """Merge the records that a peer sent."""
    now_s = node.now_s()
    for entry in message.parts[:MAX_PARTS_PER_MESSAGE]:
        record = _record_of(entry, now_s)
        if node.quarantine.merge(record, now_s):
            _log_quarantined(node, entry.part, message.address)


def _entry_of(record: PartRecord, now_s: float) -> SuspectPartEntry:
    entries: list[DeathEntry] = []
    for death in record.deaths:
        entries.append(
            DeathEntry(
                death.upstream,
                _age_ms(death.started_s, now_s),
                _age_ms(death.died_s, now_s),
                death.had_begun,
            )
        )
    sound_age_ms: int | None = None
    if record.sound_s != NEVER_S:
        sound_age_ms = _age_ms(record.sound_s, now_s)
    return SuspectPartEntry(record.part, tuple(entries), sound_age_ms)


def _record_of(entry: SuspectPartEntry, now_s: float) -> PartRecord:
    sound_s = NEVER_S
    if entry.sound_age_ms is not None:
        sound_s = now_s - entry.sound_age_ms / 1000
    engine_deaths: list[EngineDeath] = []
    for death in entry.deaths[:MAX_DEATHS]:
        engine_deaths.append(
            EngineDeath(
                death.upstream,
                now_s - death.started_age_ms / 1000,
                now_s - death.died_age_ms / 1000,
                death.had_begun,
            )
        )
    return PartRecord(entry.part, tuple(engine_deaths), sound_s)


def _age_ms(at_s: float, now_s: float) -> int:
    return int((now_s - at_s) * 1000)
