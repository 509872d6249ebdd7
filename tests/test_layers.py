"""What may import what, and whether generated code is up to date."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

from tools.generate_wire import WIRE, protocol_hash

SOURCE = Path("src/plantainsail")
PURE_PACKAGES = (
    "lists",
    "membership",
    "policy",
    "routing",
    "tickets",
    "streams",
)
FORBIDDEN = {
    "aiosonic",
    "asyncio",
    "grpc",
    "os",
    "pathlib",
    "socket",
    "starlette",
    "subprocess",
    "threading",
    "time",
    "uvicorn",
    "plantainsail.api",
    "plantainsail.cli",
    "plantainsail.entry",
    "plantainsail.peers",
    "plantainsail.platform",
    "plantainsail.runtime",
}


def imported_modules(file: Path) -> Iterator[str]:
    """Yield the names of all modules that a file imports."""
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def is_forbidden(module: str) -> bool:
    """Return whether a module does input or output or reads time."""
    return any(
        module == name or module.startswith(name + ".") for name in FORBIDDEN
    )


@pytest.mark.parametrize("package", PURE_PACKAGES)
def test_decisions_do_no_input_or_output(package: str) -> None:
    files = sorted((SOURCE / package).glob("**/*.py"))
    assert files
    for file in files:
        found = [m for m in imported_modules(file) if is_forbidden(m)]
        assert found == [], f"{file} imports {found}"


def test_generated_code_belongs_to_its_protocol() -> None:
    protocols = sorted(WIRE.glob("*.proto"))
    assert protocols
    for protocol in protocols:
        recorded = protocol.with_suffix(".sha256").read_text().strip()
        assert recorded == protocol_hash(protocol), protocol.name


def module_of(file: Path) -> str:
    """Return the name of a file's module."""
    parts = file.with_suffix("").relative_to("src").parts
    return ".".join(part for part in parts if part != "__init__")


def test_no_module_imports_itself_by_way_of_others() -> None:
    """Imports for types only count as well."""
    files = [file for file in SOURCE.rglob("*.py") if "_pb2" not in file.name]
    names = {module_of(file) for file in files}
    imports = {
        module_of(file): {
            found for found in imported_names(file) if found in names
        }
        for file in files
    }
    left = dict(imports)
    while True:
        free = {name for name, found in left.items() if not found & set(left)}
        if not free:
            break
        for name in free:
            del left[name]
    assert left == {}


def imported_names(file: Path) -> Iterator[str]:
    """Yield modules that a file imports, or imports from."""
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            for alias in node.names:
                yield f"{node.module}.{alias.name}"
