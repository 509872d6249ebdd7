"""Tests which modules may be imported where, and the generated code.

The pure packages make decisions without input or output and without
reading the time, so they must not import modules that do these.  The
gRPC code must be generated again when a protocol file changes.
"""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

from tools.generate_wire import WIRE_DIRECTORY, protocol_hash

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
    """Return whether pure packages must not import this module."""
    return any(
        module == name or module.startswith(name + ".") for name in FORBIDDEN
    )


@pytest.mark.parametrize("package", PURE_PACKAGES)
def test_pure_packages_import_no_io_modules(package: str) -> None:
    files = sorted((SOURCE / package).glob("**/*.py"))
    assert files
    for file in files:
        forbidden = [m for m in imported_modules(file) if is_forbidden(m)]
        assert forbidden == [], f"{file} imports {forbidden}"


def test_generated_code_matches_its_protocol_file() -> None:
    protocols = sorted(WIRE_DIRECTORY.glob("*.proto"))
    assert protocols
    for protocol in protocols:
        recorded = protocol.with_suffix(".sha256").read_text().strip()
        assert recorded == protocol_hash(protocol), protocol.name


def module_name(file: Path) -> str:
    """Return the dotted name of the module in a file."""
    parts = file.with_suffix("").relative_to("src").parts
    return ".".join(part for part in parts if part != "__init__")


def test_modules_have_no_import_cycles() -> None:
    """Imports that serve only type annotations count as well."""
    files = [file for file in SOURCE.rglob("*.py") if "_pb2" not in file.name]
    module_names = {module_name(file) for file in files}
    imports = {
        module_name(file): {
            imported
            for imported in imported_names(file)
            if imported in module_names
        }
        for file in files
    }
    remaining = dict(imports)
    while True:
        without_imports = {
            name
            for name, imported in remaining.items()
            if not imported & set(remaining)
        }
        if not without_imports:
            break
        for name in without_imports:
            del remaining[name]
    assert remaining == {}


def imported_names(file: Path) -> Iterator[str]:
    """Yield every `from` import of a file, as module and member."""
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            for alias in node.names:
                yield f"{node.module}.{alias.name}"
