"""The story of one request, out of the logs of several daemons."""

import io
import json
from pathlib import Path

import pytest

from plantainsail.cli.main import main
from plantainsail.cli.output import ExitStatus
from plantainsail.cli.trace import read_lines, request_timeline


def row(event: str, at: str, **fields: object) -> str:
    return json.dumps(fields | {"event": event, "timestamp": at})


LOG = [
    row("started", "10:00", host="entry-1"),
    row("generation placed", "10:01", request="r1", upstream="e1"),
    row("generation placed", "10:01", request="r2", upstream="e1"),
    row("upstream leaving", "09:59", upstream="e1", revision=7),
    row("upstream leaving", "09:59", upstream="e5", revision=8),
    row("generation moved", "09:59", request="r1", source="e1", target="e2"),
    row("generation ended", "09:58", request="r1", outcome="whole"),
    row("upstream leaving", "10:09", upstream="e2", revision=9),
]


@pytest.fixture
def log(tmp_path: Path) -> Path:
    file = tmp_path / "entry-1.log"
    file.write_text("not a line\n{torn\n" + "\n".join(LOG) + "\n")
    return file


def test_the_story_keeps_its_order_though_the_clock_jumped(
    log: Path,
) -> None:
    with log.open() as opened:
        timeline = request_timeline(
            list(read_lines("entry-1.log", opened)), "r1"
        )
    assert [line.event for line in timeline] == [
        "started",
        "generation placed",
        "upstream leaving",
        "generation moved",
        "generation ended",
    ]


def test_it_is_printed_for_people(
    log: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["trace", "r1", str(log)]) == ExitStatus.SUCCEEDED
    shown = capsys.readouterr().out.splitlines()
    assert shown[-1].endswith("generation ended: outcome=whole")


def test_it_reads_its_input_without_files(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("sys.stdin", io.StringIO("\n".join(LOG)))
    assert main(["trace", "r2"]) == ExitStatus.SUCCEEDED
    assert "upstream=e1" in capsys.readouterr().out


def test_an_unknown_request_is_a_failure(log: Path) -> None:
    assert main(["trace", "r9", str(log)]) == ExitStatus.FAILED
    assert main(["trace", "r9", str(log) + "x"]) == ExitStatus.USAGE
