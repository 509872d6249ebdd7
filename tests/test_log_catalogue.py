"""The catalogue of log events matches the calls that log them."""

import ast
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

CATALOGUE_PAGE = Path("docs/LOGS.md")
SOURCE_ROOT = Path("src/plantainsail")
FOLDERS = ("entry", "platform")
LEVELS = frozenset({"debug", "info", "warning", "error"})


class Row(NamedTuple):
    """One event with its level and its fields in sorted order."""

    event: str
    level: str
    fields: tuple[str, ...]


def row_cells(line: str) -> list[str]:
    return [cell.strip() for cell in line.split("|")[1:-1]]


def documented_rows() -> list[Row]:
    rows: list[Row] = []
    for line in CATALOGUE_PAGE.read_text().splitlines():
        if not line.startswith("| `"):
            continue
        event, level, fields, _ = row_cells(line)
        names = tuple(name.strip("` ") for name in fields.split(","))
        row_fields = () if names == ("none",) else names
        rows.append(Row(event.strip("`"), level, row_fields))
    return rows


def log_calls() -> Iterator[ast.Call]:
    for folder in FOLDERS:
        for path in sorted((SOURCE_ROOT / folder).glob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and is_log_call(node):
                    yield node


def is_log_call(call: ast.Call) -> bool:
    function = call.func
    if not isinstance(function, ast.Attribute):
        return False
    if function.attr not in LEVELS:
        return False
    owner = function.value
    name = owner.attr if isinstance(owner, ast.Attribute) else ""
    return name == "log" or (isinstance(owner, ast.Name) and owner.id == "log")


def logged_rows() -> list[Row]:
    fields: dict[tuple[str, str], set[str]] = {}
    for call in log_calls():
        assert isinstance(call.func, ast.Attribute)
        event = call.args[0]
        assert isinstance(event, ast.Constant), ast.dump(event)
        key = str(event.value), call.func.attr
        event_fields = fields.setdefault(key, set())
        for keyword in call.keywords:
            assert keyword.arg is not None
            event_fields.add(keyword.arg)
    rows = [
        Row(event, level, tuple(sorted(names)))
        for (event, level), names in fields.items()
    ]
    return sorted(rows)


def test_the_catalogue_lists_each_event_with_its_fields() -> None:
    assert documented_rows() == logged_rows()


def test_the_catalogue_explains_each_event() -> None:
    for line in CATALOGUE_PAGE.read_text().splitlines():
        if line.startswith("| `"):
            assert len(row_cells(line)[3]) > 15, line
