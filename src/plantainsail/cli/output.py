"""Exit statuses, and output as tables, records and JSON."""

import json
import sys
from collections.abc import Mapping, Sequence
from enum import IntEnum
from typing import Any

COLUMN_GAP = "  "


class ExitStatus(IntEnum):
    """The exit statuses of the tool.

    `FAILED`: the daemon refused, or a check failed.  `USAGE`: the
    command line or a file is invalid.  `UNREACHABLE`: no daemon
    answered at the address.
    """

    SUCCEEDED = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3


def print_error(text: str) -> None:
    """Print one error line to standard error."""
    print(f"plantainsail: {text}", file=sys.stderr)


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2))


def format_table(rows: Sequence[Mapping[str, Any]]) -> str:
    """Return rows as an aligned table with a header, or `none`."""
    if not rows:
        return "none"
    names = list(rows[0])
    cells = [[str(row[name]) for name in names] for row in rows]
    lines = [names, *cells]
    widths = [
        max(len(line[column]) for line in lines)
        for column in range(len(names))
    ]
    return "\n".join(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_record(record: Mapping[str, Any]) -> str:
    """Return one record with a line for each field."""
    width = max(len(name) for name in record)
    return "\n".join(
        f"{name.ljust(width)}{COLUMN_GAP}{value}"
        for name, value in record.items()
    )
