"""The table of `docs/NOT-RUN.md` against the code."""

import ast
import re
from pathlib import Path
from typing import NamedTuple

from plantainsail.results import CODE_FACTS, Code, Outcome

SOURCE = Path("src/plantainsail")
ROW = re.compile(
    r"^\| `(?P<module>[^`]+)` \| (?P<number>\d+) `\w+` \| \S.*\|$"
)
EXPLICIT = {
    "entry/plain.py",
    "tickets/failures.py",
    "tickets/ticket.py",
    "policy/retries.py",
    "streams/relay.py",
}


class Use(NamedTuple):
    module: str
    code: Code


def attributes_of(name: str) -> list[tuple[str, str]]:
    """Return module and attribute of each `name.attribute`."""
    found = []
    for file in sorted(SOURCE.rglob("*.py")):
        module = file.relative_to(SOURCE).as_posix()
        if module == "results.py" or module.startswith("peers/wire/"):
            continue
        for node in ast.walk(ast.parse(file.read_text())):
            if not isinstance(node, ast.Attribute):
                continue
            if isinstance(node.value, ast.Name) and node.value.id == name:
                found.append((module, node.attr))
    return found


def test_each_use_of_a_not_run_code_is_argued() -> None:
    used = {
        Use(module, Code[attribute])
        for module, attribute in attributes_of("Code")
        if attribute in Code.__members__
        and CODE_FACTS[Code[attribute]].outcome is Outcome.NOT_RUN
    }
    rows = [
        match
        for line in Path("docs/NOT-RUN.md").read_text().splitlines()
        if (match := ROW.match(line)) is not None
    ]
    listed = {Use(row["module"], Code(int(row["number"]))) for row in rows}
    assert len(listed) == len(rows)
    assert used - listed == set(), "not in docs/NOT-RUN.md"
    assert listed - used == set(), "not in the code any more"


def test_explicit_outcomes_are_where_the_page_says() -> None:
    modules = {
        module
        for module, attribute in attributes_of("Outcome")
        if attribute == "NOT_RUN"
    }
    assert modules == EXPLICIT
