"""The deployment: the program's packages and the deploy file."""

import json
import subprocess
import sys
import tomllib
from importlib.metadata import packages_distributions
from pathlib import Path

DEPLOY_FOLDER = Path("deploy")
LIST_MODULES_SCRIPT = """
import json, sys
sys.path.insert(0, "src")
import plantainsail.platform.program
print(json.dumps(sorted({name.split(".")[0] for name in sys.modules})))
"""


def pinned_versions(file: Path) -> dict[str, str]:
    versions: dict[str, str] = {}
    for line in file.read_text().splitlines():
        name, _, version = line.partition("==")
        versions[name.lower().replace("_", "-")] = version
    return versions


def test_every_package_that_the_program_loads_is_installed() -> None:
    """On one day no daemon started because xxhash was missing."""
    output = subprocess.run(
        [sys.executable, "-c", LIST_MODULES_SCRIPT],
        capture_output=True,
        check=True,
        text=True,
    ).stdout
    distributions = packages_distributions()
    required_packages = set()
    for module in json.loads(output):
        for name in distributions.get(module, ()):
            required_packages.add(name.lower().replace("_", "-"))
    required_packages -= {"plantainsail", "pip", "setuptools"}
    assert "starlette" in required_packages
    assert (
        required_packages
        - pinned_versions(DEPLOY_FOLDER / "requirements.txt").keys()
        == set()
    )


def test_the_program_runs_on_the_versions_that_are_tested() -> None:
    tested_versions = pinned_versions(Path("requirements.txt"))
    for name, version in pinned_versions(
        DEPLOY_FOLDER / "requirements.txt"
    ).items():
        assert tested_versions[name] == version


def test_the_deploy_file_names_existing_files() -> None:
    raw = tomllib.loads((DEPLOY_FOLDER / "system.toml").read_text())
    (role,) = raw["roles"].values()
    command, program = role["run"].split()
    assert command == "python3"
    assert Path(program).is_file()
    assert role["serves"] == ["frontend", "control_plane"]
    assert "deploy/requirements.txt" in raw["build"]
