"""Turns snapshots into checked lists, parsing only changed parts."""

from collections.abc import Callable, Iterable
from typing import Generic, NamedTuple, TypeVar

from expression import Error, Ok, Result

from plantainsail.lists.parse import Part, parse_part
from plantainsail.lists.service_read import (
    Refusal,
    RefusalReason,
    decode_json,
)
from plantainsail.lists.snapshot import Family, PartValue, Snapshot
from plantainsail.records import RecordError

Assembled = TypeVar("Assembled")
Assemble = Callable[[int, Iterable[Part]], Result[Assembled, RecordError]]


class ParsedPart(NamedTuple):
    """A checked part beside the published value that it came from."""

    value: PartValue
    part: Part


class BuildResult(NamedTuple, Generic[Assembled]):
    """Checked lists and the parsed parts that they came from."""

    value: Assembled
    parsed: dict[str, ParsedPart]


class Assembler(Generic[Assembled]):
    """Keeps the parsed parts of one family.

    `parsed` belongs to the revision in force; `build` leaves it as it
    is, since what is built may yet be refused or overtaken.
    """

    def __init__(self, family: Family, assemble: Assemble[Assembled]) -> None:
        self.family = family
        self.assemble = assemble
        self.parsed: dict[str, ParsedPart] = {}

    def build(
        self, snapshot: Snapshot
    ) -> Result[BuildResult[Assembled], Refusal]:
        """Return the lists of a snapshot, or why it is refused."""
        parsed: dict[str, ParsedPart] = {}
        for name, value in snapshot.parts.items():
            known = self.parsed.get(name)
            if known is not None and known.value == value:
                parsed[name] = known
                continue
            part = parse_part(name, decode_json(value.body))
            if part.is_error():
                return Error(
                    self._refusal(
                        snapshot,
                        RefusalReason.MALFORMED_PART,
                        str(part.error),
                    )
                )
            if part.ok.revision != value.revision:
                return Error(
                    self._refusal(
                        snapshot,
                        RefusalReason.TORN,
                        f"{name}: another revision than its index names",
                    )
                )
            parsed[name] = ParsedPart(value, part.ok)
        built = self.assemble(
            snapshot.revision, (entry.part for entry in parsed.values())
        )
        if built.is_error():
            return Error(
                self._refusal(
                    snapshot, RefusalReason.INCONSISTENT, str(built.error)
                )
            )
        return Ok(BuildResult(built.ok, parsed))

    def _refusal(
        self, snapshot: Snapshot, reason: RefusalReason, detail: str
    ) -> Refusal:
        return Refusal(self.family, snapshot.revision, reason, detail)
