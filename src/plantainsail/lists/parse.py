"""Parsing and checking of published values.

An index names the parts of a list family with their revisions; a part
holds some of the entries.  Unknown keys are ignored, since a newer
format may add some.  A list that breaks a rule is refused as a whole.
"""

from collections.abc import Iterable
from typing import NamedTuple

from expression import Error, Ok, Result

from plantainsail.lists.model import (
    Artifact,
    Grant,
    HostEntry,
    HostList,
    Organisation,
    PublishedLists,
    Service,
)
from plantainsail.records import RecordError, decode_record


class Index(NamedTuple):
    """The revision of a list family and of each of its parts.

    `parts` holds the revision that last changed each part, by name.
    `indexes` names groups of parts, each with its own index at the key
    `GROUP/index`; groups hold no further groups.  `daemons` is the
    number of daemons, by which a starting daemon paces its calls; 0
    means that the number was not published.
    """

    revision: int
    parts: dict[str, int] = {}
    indexes: dict[str, int] = {}
    daemons: int = 0


class Part(NamedTuple):
    """The entries of a list family that are published under one key.

    `revision` is the revision that last changed these entries.
    """

    revision: int
    organisations: tuple[Organisation, ...] = ()
    grants: tuple[Grant, ...] = ()
    services: tuple[Service, ...] = ()
    hosts: tuple[HostEntry, ...] = ()
    artifacts: tuple[Artifact, ...] = ()


def parse_index(value: object) -> Result[Index, RecordError]:
    """Parse and check the index of a list family."""
    index = decode_record(Index, value, "index", allow_unknown=True)
    return index.bind(_check_index)


def _check_index(index: Index) -> Result[Index, RecordError]:
    if index.revision < 1:
        return Error(
            RecordError("index.revision", "at least 1", str(index.revision))
        )
    for name, revision in (index.parts | index.indexes).items():
        if not 1 <= revision <= index.revision:
            return Error(
                RecordError(
                    f"index.{name}",
                    f"a revision from 1 to {index.revision}",
                    str(revision),
                )
            )
    return Ok(index)


def parse_part(name: str, value: object) -> Result[Part, RecordError]:
    """Parse and check one part of a list family."""
    return decode_record(Part, value, name, allow_unknown=True)


def assemble_lists(
    revision: int, parts: Iterable[Part]
) -> Result[PublishedLists, RecordError]:
    """Join parts into the operators' lists and check them together."""
    organisations: dict[str, Organisation] = {}
    by_key_hash: dict[str, str] = {}
    grants: dict[str, Grant] = {}
    services: dict[str, Service] = {}
    artifacts: dict[str, Artifact] = {}
    count = 0
    for part in parts:
        organisations.update((o.organisation, o) for o in part.organisations)
        grants.update((g.plan, g) for g in part.grants)
        services.update((s.service, s) for s in part.services)
        artifacts.update((a.artifact, a) for a in part.artifacts)
        count += len(part.organisations) + len(part.grants)
        count += len(part.services) + len(part.artifacts)
    entries = (organisations, grants, services, artifacts)
    if count != sum(len(entry) for entry in entries):
        return Error(_repeated_entry("lists"))
    for grant in grants.values():
        if grant.weight < 1:
            return Error(
                RecordError(
                    f"grants.{grant.plan}.weight",
                    "at least 1",
                    str(grant.weight),
                )
            )
    for organisation in organisations.values():
        if organisation.plan not in grants:
            return Error(
                RecordError(
                    f"organisations.{organisation.organisation}.plan",
                    "a plan that the grants name",
                    repr(organisation.plan),
                )
            )
        for key_hash in organisation.key_hashes:
            if key_hash in by_key_hash:
                return Error(
                    RecordError(
                        f"organisations.{organisation.organisation}",
                        "key hashes that no other organisation holds",
                        "a repeated hash",
                    )
                )
            by_key_hash[key_hash] = organisation.organisation
    return Ok(
        PublishedLists(
            revision,
            organisations,
            by_key_hash,
            grants,
            services,
            artifacts,
        )
    )


def assemble_hosts(
    revision: int, parts: Iterable[Part]
) -> Result[HostList, RecordError]:
    """Join parts into the platform's list of hosts and check them."""
    hosts: dict[str, HostEntry] = {}
    count = 0
    for part in parts:
        hosts.update((entry.host, entry) for entry in part.hosts)
        count += len(part.hosts)
    if count != len(hosts):
        return Error(_repeated_entry("hosts"))
    return Ok(HostList(revision, hosts))


def _repeated_entry(family: str) -> RecordError:
    return RecordError(
        family, "each entry in one part only", "an entry that is repeated"
    )
