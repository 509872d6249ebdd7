"""What is deployed: the programs' packages and the deploy file."""

import json
import subprocess
import sys
import tomllib
from importlib.metadata import packages_distributions
from pathlib import Path

DEPLOY = Path("deploy")
IMPORT = """
import json, sys
sys.path.insert(0, "src")
import plantainsail.platform.program
print(json.dumps(sorted({name.split(".")[0] for name in sys.modules})))
"""


def pinned(file: Path) -> dict[str, str]:
    found: dict[str, str] = {}
    for line in file.read_text().splitlines():
        name, _, version = line.partition("==")
        found[name.lower().replace("_", "-")] = version
    return found


def test_every_package_that_the_program_loads_is_installed() -> None:
    """Found by a day on which no daemon started: xxhash was missing."""
    output = subprocess.run(
        [sys.executable, "-c", IMPORT],
        capture_output=True,
        check=True,
        text=True,
    ).stdout
    distributions = packages_distributions()
    needed = set()
    for module in json.loads(output):
        for name in distributions.get(module, ()):
            needed.add(name.lower().replace("_", "-"))
    needed -= {"plantainsail", "pip", "setuptools"}
    assert "starlette" in needed
    assert needed - pinned(DEPLOY / "requirements.txt").keys() == set()


def test_the_program_runs_on_the_versions_that_are_tested() -> None:
    tested = pinned(Path("requirements.txt"))
    for name, version in pinned(DEPLOY / "requirements.txt").items():
        assert tested[name] == version


def test_the_deploy_file_names_what_is_there() -> None:
    raw = tomllib.loads((DEPLOY / "system.toml").read_text())
    (role,) = raw["roles"].values()
    command, program = role["run"].split()
    assert command == "python3"
    assert Path(program).is_file()
    assert role["serves"] == ["frontend", "control_plane"]
    assert "deploy/requirements.txt" in raw["build"]
