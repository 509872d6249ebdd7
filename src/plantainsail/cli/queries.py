"""The subcommands that check files or show codes and views."""

import argparse
import asyncio
import json
from pathlib import Path

from expression import Error, Ok, Result

from plantainsail.cli.daemon_client import request_json
from plantainsail.cli.output import (
    ExitStatus,
    format_record,
    format_table,
    print_error,
    print_json,
)
from plantainsail.lists.model import PublishedLists
from plantainsail.lists.parse import Part, assemble_lists, parse_part
from plantainsail.records import RecordError, decode_record
from plantainsail.results import CODE_FACTS, Code
from plantainsail.settings import load_settings


def check_settings(options: argparse.Namespace) -> ExitStatus:
    """Check a settings file as the daemon would."""
    result = load_settings(options.file)
    if result.is_error():
        print_error(str(result.error))
        return ExitStatus.FAILED
    print(f"{options.file}: correct")
    return ExitStatus.SUCCEEDED


def check_lists(options: argparse.Namespace) -> ExitStatus:
    """Check the parts of the lists together before publication."""
    parts: list[Part] = []
    for file in options.files:
        part = _read_part(file)
        if part.is_error():
            print_error(str(part.error))
            return ExitStatus.FAILED
        parts.append(part.ok)
    lists = assemble_lists(max(part.revision for part in parts), parts)
    if lists.is_error():
        print_error(str(lists.error))
        return ExitStatus.FAILED
    _print_summary(lists.ok)
    return ExitStatus.SUCCEEDED


def _read_part(file: Path) -> Result[Part, RecordError]:
    try:
        value = json.loads(file.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        return Error(RecordError(str(file), "a JSON file", str(error)))
    part = parse_part(str(file), value)
    if part.is_error():
        return Error(part.error)
    strict = decode_record(Part, value, str(file))
    if strict.is_error():
        # Daemons ignore unknown keys, but these may be misspelt.
        return Error(strict.error)
    return Ok(part.ok)


def _print_summary(lists: PublishedLists) -> None:
    operations = sum(len(s.operations) for s in lists.services.values())
    print(
        f"correct: {len(lists.organisations)} organisations, "
        f"{len(lists.grants)} plans, {operations} operations"
    )


def explain(options: argparse.Namespace) -> ExitStatus:
    """Print the meaning and the properties of a result code."""
    code = _find_code(options.code)
    if code is None:
        print_error(f"there is no result code {options.code}")
        return ExitStatus.FAILED
    facts = CODE_FACTS[code]
    record = {
        "number": int(code),
        "name": code.name.lower(),
        "outcome": facts.outcome.value,
        "http_status": facts.http_status,
        "retry_safe": facts.is_retry_safe,
        "meaning": facts.meaning,
    }
    if options.json:
        print_json(record)
    else:
        print(format_record(record))
    return ExitStatus.SUCCEEDED


def _find_code(text: str) -> Code | None:
    for code in Code:
        if text.lower() in (str(int(code)), code.name.lower()):
            return code
    return None


def show_view(options: argparse.Namespace) -> ExitStatus:
    """Print one view of a daemon's operator listener."""
    path = f"/v1/operator/{options.view}"
    result = asyncio.run(request_json(options.address, "GET", path))
    if result.is_error():
        print_error(result.error.detail)
        return result.error.status
    if options.json:
        print_json(result.ok)
    elif isinstance(result.ok, list):
        print(format_table(result.ok))
    else:
        print(format_record(result.ok))
    return ExitStatus.SUCCEEDED
