"""Guards against faults of the `plantainsail` tool and its pages.

The subcommands must give the right output and exit status, with and
without a reachable daemon.  The example files must be valid, and the
pages of metrics and result codes must agree with the code.
"""

import asyncio
import json
from pathlib import Path

import pytest
from prometheus_client import CollectorRegistry

from plantainsail.cli.main import main
from plantainsail.cli.output import ExitStatus
from plantainsail.daemon import Daemon
from plantainsail.entry.metrics import EntryMetrics
from plantainsail.metrics import Metrics
from plantainsail.results import CODE_FACTS, Code
from tests.standins.platform import DESK_KEY, MODEL, Platform, call

EXAMPLES = Path("examples")
METRICS_PAGE = Path("docs/METRICS.md")
KV_TOKENS = 20_000
CODES_PAGE = Path("docs/RESULT-CODES.md")


async def run_tool(*arguments: str) -> int:
    """Run the tool in a thread beside the event loop of the daemon."""
    return await asyncio.to_thread(main, arguments)


@pytest.fixture
def operator(daemon: Daemon) -> str:
    return f"127.0.0.1:{daemon.operator_listener.port}"


@pytest.mark.parametrize(
    ("view", "words"),
    [
        ("status", "serving"),
        ("peers", "none"),
        ("upstreams", "letter-7b"),
        ("organisations", "desk"),
    ],
)
async def test_view_is_printed_as_table_and_json(
    operator: str,
    capsys: pytest.CaptureFixture[str],
    view: str,
    words: str,
) -> None:
    assert await run_tool(view, "--address", operator) == 0
    assert words in capsys.readouterr().out
    assert await run_tool(view, "--address", operator, "--json") == 0
    json.loads(capsys.readouterr().out)


async def test_call_prints_whole_text_or_fails_without_valid_key(
    address: str,
    operator: str,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    arguments = ("call", "--address", address, "--model", MODEL, "a letter")
    monkeypatch.setenv("PLANTAINSAIL_KEY", DESK_KEY)
    assert await run_tool(*arguments) == 0
    out = capsys.readouterr().out
    assert out == "".join(f"w{n} " for n in range(12)) + "\n"
    assert (
        await run_tool("organisations", "--address", operator, "--json") == 0
    )
    rows = json.loads(capsys.readouterr().out)
    assert {r["organisation"]: r["used_tokens"] for r in rows} == {
        "desk": 12,
        "store": 0,
    }
    monkeypatch.setenv("PLANTAINSAIL_KEY", "wrong")
    assert await run_tool(*arguments) == ExitStatus.FAILED
    assert "2002 unknown_key (not_run)" in capsys.readouterr().err
    monkeypatch.delenv("PLANTAINSAIL_KEY")
    assert await run_tool(*arguments) == ExitStatus.USAGE


async def test_metrics_show_slice_tokens_of_each_engine(
    address: str, operator: str, platform: Platform
) -> None:
    body = json.dumps({"model": MODEL, "prompt": "a letter"}).encode()
    await call(address, "POST", "/v1/completions", body)
    answer = await call(operator, "GET", "/metrics", key=None)
    shown = [
        float(line.split()[-1])
        for line in answer.body.decode().splitlines()
        if line.startswith("plantainsail_slice_tokens{")
    ]
    assert len(shown) == len(platform.engines)
    assert all(0 < tokens <= KV_TOKENS for tokens in shown)


async def test_drain_command_starts_drain(
    daemon: Daemon, operator: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert await run_tool("drain", "--address", operator) == 0
    assert capsys.readouterr().out == "draining\n"
    assert daemon.drain_requested.is_set()


def test_unreachable_daemon_gives_exit_status_3(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["status", "--address", "127.0.0.1:9"]) == 3
    assert "no daemon answers" in capsys.readouterr().err


@pytest.mark.parametrize("example", ["goldfields", "guild"])
def test_example_has_valid_lists_and_settings_of_each_entry(
    example: str, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = EXAMPLES / example
    parts = [str(file) for file in sorted((folder / "lists").glob("*"))]
    assert main(["lists", "check", *parts]) == 0
    assert "10 organisations" in capsys.readouterr().out
    hosts = json.loads((folder / "hosts.json").read_text())["hosts"]
    entries = {e["host"] for e in hosts if e["role"] == "entry"}
    files = {file.stem: file for file in (folder / "settings").glob("*")}
    assert set(files) == entries
    for file in files.values():
        assert main(["settings", "check", str(file)]) == 0


def test_invalid_lists_are_refused_with_path(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "plans.json"
    organisation = {"organisation": "a", "plan": "gone", "key_hashes": []}
    part = {"revision": 1, "organisations": [organisation]}
    file.write_text(json.dumps(part))
    assert main(["lists", "check", str(file)]) == 1
    assert "organisations.a.plan" in capsys.readouterr().err
    file.write_text(json.dumps({"revision": 1, "organisation": []}))
    assert main(["lists", "check", str(file)]) == 1
    assert "organisation: expected one of" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("part", "registry"),
    [(0, Metrics().registry), (1, EntryMetrics().registry)],
)
def test_metrics_page_lists_exactly_the_metrics_of_the_code(
    part: int, registry: CollectorRegistry
) -> None:
    parts = METRICS_PAGE.read_text().split("## The entry daemon")
    assert len(parts) == 2
    rows = [
        tuple(c.strip() for c in line.split("|")[1:4])
        for line in parts[part].splitlines()
        if line.startswith("| `plantainsail_")
    ]
    expected = []
    for metric in registry._collector_to_names:
        for family in metric.collect():
            is_counter = family.type == "counter"
            name = family.name + ("_total" if is_counter else "")
            labels = getattr(metric, "_labelnames", ())
            shown = ", ".join(f"`{label}`" for label in labels) or "none"
            expected.append((f"`{name}`", family.type, shown))
    assert rows == sorted(expected)


def test_codes_page_lists_exactly_the_codes_of_the_code() -> None:
    rows = {
        cells[1]: cells[2:7]
        for line in CODES_PAGE.read_text().splitlines()
        if len(cells := [c.strip() for c in line.split("|")]) == 8
    }
    for code in Code:
        facts = CODE_FACTS[code]
        assert rows[str(int(code))] == [
            f"`{code.name.lower()}`",
            str(facts.http_status),
            f"`{facts.outcome}`",
            "yes" if facts.is_retry_safe else "no",
            facts.meaning,
        ]
    assert len(rows) == len(Code) + 2


@pytest.mark.parametrize("code", ["3001", "queue_full"])
def test_code_is_explained_by_number_and_name(
    code: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["explain", code]) == 0
    assert "Too much work waits already." in capsys.readouterr().out
    assert main(["explain", "nonsense"]) == 1
