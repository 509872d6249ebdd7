"""Assembly of snapshots into checked lists.

Only the parts that changed since the revision in force are parsed.
"""

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

# The type of a family's checked lists, and the function that joins the
# parts of one revision into them.
Assembled = TypeVar("Assembled")
Assemble = Callable[[int, Iterable[Part]], Result[Assembled, RecordError]]


class ParsedPart(NamedTuple):
    """A checked part and the published value it was parsed from."""

    value: PartValue
    part: Part


class BuildResult(NamedTuple, Generic[Assembled]):
    """The checked lists of a snapshot, as `value`, and their parts.

    `parsed` holds the parsed parts by name.
    """

    value: Assembled
    parsed: dict[str, ParsedPart]


class Assembler(Generic[Assembled]):
    """Assembles the lists of one family and caches its parsed parts.

    `parsed` holds the parts of the revision in force, by name.  `build`
    does not change it, since another revision may come in force before
    the one that was built.
    """

    def __init__(self, family: Family, assemble: Assemble[Assembled]) -> None:
        self.family = family
        self.assemble = assemble
        self.parsed: dict[str, ParsedPart] = {}

    def build(
        self, snapshot: Snapshot
    ) -> Result[BuildResult[Assembled], Refusal]:
        """Return the checked lists of a snapshot, or its refusal."""
        parsed: dict[str, ParsedPart] = {}
        for name, value in snapshot.parts.items():
            previous = self.parsed.get(name)
            if previous is not None and previous.value == value:
                parsed[name] = previous
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
        assembled = self.assemble(
            snapshot.revision, (entry.part for entry in parsed.values())
        )
        if assembled.is_error():
            return Error(
                self._refusal(
                    snapshot, RefusalReason.INCONSISTENT, str(assembled.error)
                )
            )
        return Ok(BuildResult(assembled.ok, parsed))

    def _refusal(
        self, snapshot: Snapshot, reason: RefusalReason, detail: str
    ) -> Refusal:
        return Refusal(self.family, snapshot.revision, reason, detail)
