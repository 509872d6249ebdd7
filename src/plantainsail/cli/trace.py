"""Tells the story of one request from the logs of several daemons."""

import argparse
import sys
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import msgspec

from plantainsail.cli.output import ExitStatus, print_error

HIDDEN = frozenset({"component", "level", "timestamp", "event", "request"})
NAMES_OF_UPSTREAMS = ("upstream", "source", "target")
COMMON_EVENTS = frozenset(
    {
        "started",
        "leaving",
        "configuration in force",
        "configuration service lost",
        "configuration service regained",
    }
)


class Line(NamedTuple):
    """One log line: its file, its place there and its fields."""

    file: str
    place: int
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """Return what happened."""
        return str(self.fields.get("event", ""))

    @property
    def time(self) -> str:
        """Return the daemon's wall clock, which may have jumped."""
        return str(self.fields.get("timestamp", ""))


def trace(options: argparse.Namespace) -> ExitStatus:
    """Print the lines that tell what became of a request."""
    lines: list[Line] = []
    try:
        if not options.files:
            lines += read_lines("stdin", sys.stdin)
        for file in options.files:
            with file.open(encoding="utf-8") as opened:
                lines += read_lines(file.name, opened)
    except OSError as error:
        print_error(str(error))
        return ExitStatus.USAGE
    story = story_of(lines, options.request)
    if not story:
        print_error(f"no line names the request {options.request}")
        return ExitStatus.FAILED
    for line in story:
        print(format_line(line))
    return ExitStatus.SUCCEEDED


def read_lines(file: str, text: Iterable[str]) -> Iterator[Line]:
    """Yield the log lines of a file; other text is passed over."""
    for place, row in enumerate(text):
        start = row.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(row[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(fields, dict):
            yield Line(file, place, fields)


def story_of(lines: list[Line], request: str) -> list[Line]:
    """Return the lines of a request and of the upstreams it met.

    Lines of one file keep their order, whatever its clock did.
    """
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return []
    files = {line.file for line in own}
    upstreams = _upstreams_of(own)
    last = {file: max(_places(own, file)) for file in files}
    story: list[Line] = []
    for line in lines:
        if line in own:
            story.append(line)
            continue
        if line.file not in files or line.place > last[line.file]:
            continue
        if "request" in line.fields:
            continue
        met = upstreams & _upstreams_of([line])
        if met or line.event in COMMON_EVENTS:
            story.append(line)
    return sorted(story, key=lambda line: (line.file, line.place))


def format_line(line: Line) -> str:
    """Return one line for people."""
    shown = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in HIDDEN
    )
    return f"{line.time} {line.file} {line.event}: {shown}"


def _upstreams_of(lines: list[Line]) -> set[str]:
    found: set[str] = set()
    for line in lines:
        for name in NAMES_OF_UPSTREAMS:
            value = line.fields.get(name)
            if value:
                found.add(str(value))
    return found


def _places(lines: list[Line], file: str) -> list[int]:
    return [line.place for line in lines if line.file == file]
