"""Guards against missing, foreign or reordered lines in a trace.

`plantainsail trace` collects the log lines of one request.  Lines of
other requests must not be shown, and the order of a file must be kept
although timestamps go back when the wall clock jumps.
"""

import io
import json
from pathlib import Path

import pytest

from plantainsail.cli.main import main
from plantainsail.cli.output import ExitStatus
from plantainsail.cli.trace import read_lines, request_timeline


def log_line(event: str, at: str, **fields: object) -> str:
    return json.dumps(fields | {"event": event, "timestamp": at})


LOG = [
    log_line("started", "10:00", host="entry-1"),
    log_line("generation placed", "10:01", request="r1", upstream="e1"),
    log_line("generation placed", "10:01", request="r2", upstream="e1"),
    log_line("upstream leaving", "09:59", upstream="e1", revision=7),
    log_line("upstream leaving", "09:59", upstream="e5", revision=8),
    log_line(
        "generation moved", "09:59", request="r1", source="e1", target="e2"
    ),
    log_line("generation ended", "09:58", request="r1", outcome="whole"),
    log_line("upstream leaving", "10:09", upstream="e2", revision=9),
]


@pytest.fixture
def log(tmp_path: Path) -> Path:
    file = tmp_path / "entry-1.log"
    file.write_text("not a line\n{torn\n" + "\n".join(LOG) + "\n")
    return file


def test_timeline_keeps_file_order_when_the_clock_jumps(
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


def test_timeline_is_printed_as_text(
    log: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["trace", "r1", str(log)]) == ExitStatus.SUCCEEDED
    shown = capsys.readouterr().out.splitlines()
    assert shown[-1].endswith("generation ended: outcome=whole")


def test_without_files_logs_are_read_from_stdin(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("sys.stdin", io.StringIO("\n".join(LOG)))
    assert main(["trace", "r2"]) == ExitStatus.SUCCEEDED
    assert "upstream=e1" in capsys.readouterr().out


def test_unknown_request_fails_and_missing_file_is_usage_error(
    log: Path,
) -> None:
    assert main(["trace", "r9", str(log)]) == ExitStatus.FAILED
    assert main(["trace", "r9", str(log) + "x"]) == ExitStatus.USAGE
