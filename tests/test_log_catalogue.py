"""The catalogue of log lines against the calls that write them."""

import ast
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

PAGE = Path("docs/LOGS.md")
SOURCES = Path("src/plantainsail")
FOLDERS = ("entry", "platform")
LEVELS = frozenset({"debug", "info", "warning", "error"})


class Row(NamedTuple):
    """One event; fields in the order of the alphabet."""

    event: str
    level: str
    fields: tuple[str, ...]


def cells_of(line: str) -> list[str]:
    return [cell.strip() for cell in line.split("|")[1:-1]]


def written_rows() -> list[Row]:
    rows: list[Row] = []
    for line in PAGE.read_text().splitlines():
        if not line.startswith("| `"):
            continue
        event, level, fields, _ = cells_of(line)
        names = tuple(name.strip("` ") for name in fields.split(","))
        shown = () if names == ("none",) else names
        rows.append(Row(event.strip("`"), level, shown))
    return rows


def log_calls() -> Iterator[ast.Call]:
    for folder in FOLDERS:
        for path in sorted((SOURCES / folder).glob("*.py")):
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


def called_rows() -> list[Row]:
    fields: dict[tuple[str, str], set[str]] = {}
    for call in log_calls():
        assert isinstance(call.func, ast.Attribute)
        event = call.args[0]
        assert isinstance(event, ast.Constant), ast.dump(event)
        key = str(event.value), call.func.attr
        found = fields.setdefault(key, set())
        for keyword in call.keywords:
            assert keyword.arg is not None
            found.add(keyword.arg)
    rows = [
        Row(event, level, tuple(sorted(names)))
        for (event, level), names in fields.items()
    ]
    return sorted(rows)


def test_the_catalogue_has_each_event_with_its_fields() -> None:
    assert written_rows() == called_rows()


def test_the_catalogue_explains_each_event() -> None:
    for line in PAGE.read_text().splitlines():
        if line.startswith("| `"):
            assert len(cells_of(line)[3]) > 15, line
