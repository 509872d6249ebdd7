"""Collects the log lines of one request from several daemons' logs."""

import argparse
import sys
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from plantainsail.cli.output import ExitStatus, print_error
from plantainsail.decoding import UndecodableError, decode_json

HIDDEN_FIELDS = frozenset(
    {"component", "level", "timestamp", "event", "request"}
)
UPSTREAM_FIELDS = ("upstream", "source", "target")
DAEMON_EVENTS = frozenset(
    {
        "started",
        "leaving",
        "configuration in force",
        "configuration service lost",
        "configuration service regained",
    }
)


class LogLine(NamedTuple):
    """One log line: its file, its index in the file and its fields."""

    file: str
    line_index: int
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """Return the name of the logged event."""
        return str(self.fields.get("event", ""))

    @property
    def time(self) -> str:
        """Return the timestamp by the wall clock, which may jump."""
        return str(self.fields.get("timestamp", ""))


def trace(options: argparse.Namespace) -> ExitStatus:
    """Print the log lines that show what happened to a request."""
    lines: list[LogLine] = []
    try:
        if not options.files:
            lines += read_lines("stdin", sys.stdin)
        for file in options.files:
            with file.open(encoding="utf-8") as opened:
                lines += read_lines(file.name, opened)
    except OSError as error:
        print_error(str(error))
        return ExitStatus.USAGE
    timeline = request_timeline(lines, options.request)
    if not timeline:
        print_error(f"no line names the request {options.request}")
        return ExitStatus.FAILED
    for line in timeline:
        print(format_line(line))
    return ExitStatus.SUCCEEDED


def read_lines(file: str, text: Iterable[str]) -> Iterator[LogLine]:
    """Yield the JSON log lines of a file; skip all other lines."""
    for line_index, text_line in enumerate(text):
        json_start = text_line.find("{")
        if json_start < 0:
            continue
        try:
            fields = decode_json(text_line[json_start:].encode())
        except UndecodableError:
            continue
        if isinstance(fields, dict):
            yield LogLine(file, line_index, fields)


def request_timeline(lines: list[LogLine], request: str) -> list[LogLine]:
    """Return the log lines of a request and those that concern it.

    The latter are earlier lines of the same file about the request's
    upstreams or the daemon itself.  Lines of one file keep their order
    even if its clock jumped.
    """
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return []
    files = {line.file for line in own}
    upstreams = _upstreams_of(own)
    last_line_index = {file: max(_line_indexes(own, file)) for file in files}
    timeline: list[LogLine] = []
    for line in lines:
        if line in own:
            timeline.append(line)
            continue
        if (
            line.file not in files
            or line.line_index > last_line_index[line.file]
        ):
            continue
        if "request" in line.fields:
            continue
        shared = upstreams & _upstreams_of([line])
        if shared or line.event in DAEMON_EVENTS:
            timeline.append(line)
    return sorted(timeline, key=lambda line: (line.file, line.line_index))


def format_line(line: LogLine) -> str:
    """Return a log line as human-readable text."""
    shown = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS
    )
    return f"{line.time} {line.file} {line.event}: {shown}"


def _upstreams_of(lines: list[LogLine]) -> set[str]:
    upstreams: set[str] = set()
    for line in lines:
        for name in UPSTREAM_FIELDS:
            value = line.fields.get(name)
            if value:
                upstreams.add(str(value))
    return upstreams


def _line_indexes(lines: list[LogLine], file: str) -> list[int]:
    return [line.line_index for line in lines if line.file == file]
