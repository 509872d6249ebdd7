"""Guards against an unexplained claim that work was not run.

A caller may safely repeat work with the outcome "not run".  Each use
of such a code must therefore have a row with its reason in
`docs/NOT-RUN.md`, and the page must list no use that is gone.
"""

import ast
import re
from pathlib import Path
from typing import NamedTuple

from plantainsail.results import CODE_FACTS, Code, Outcome

SOURCE = Path("src/plantainsail")
ROW = re.compile(
    r"^\| `(?P<module>[^`]+)` \| (?P<number>\d+) `\w+` \| \S.*\|$"
)
MODULES_WITH_EXPLICIT_NOT_RUN = {
    "entry/plain.py",
    "tickets/failures.py",
    "tickets/ticket.py",
    "policy/retries.py",
    "streams/relay.py",
}


class CodeUse(NamedTuple):
    module: str
    code: Code


def find_attribute_uses(name: str) -> list[tuple[str, str]]:
    """Return the module and attribute of each `name.attribute`."""
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


def test_not_run_page_lists_exactly_the_uses_of_not_run_codes() -> None:
    used = {
        CodeUse(module, Code[attribute])
        for module, attribute in find_attribute_uses("Code")
        if attribute in Code.__members__
        and CODE_FACTS[Code[attribute]].outcome is Outcome.NOT_RUN
    }
    rows = [
        match
        for line in Path("docs/NOT-RUN.md").read_text().splitlines()
        if (match := ROW.match(line)) is not None
    ]
    listed = {CodeUse(row["module"], Code(int(row["number"]))) for row in rows}
    assert len(listed) == len(rows)
    assert used - listed == set(), "not in docs/NOT-RUN.md"
    assert listed - used == set(), "not in the code any more"


def test_explicit_not_run_outcomes_are_only_in_listed_modules() -> None:
    modules = {
        module
        for module, attribute in find_attribute_uses("Outcome")
        if attribute == "NOT_RUN"
    }
    assert modules == MODULES_WITH_EXPLICIT_NOT_RUN
