"""Writes log lines to standard output without blocking requests.

Lines of one event beyond a rate are omitted and counted.  If the reader
of the pipe stops, lines that the pipe does not accept at once are
dropped, and the next line that is written reports their number.
"""

import logging
import os
import time
from collections.abc import MutableMapping
from typing import Any

import msgspec
import structlog

LINES_PER_SECOND = 40
BURST_LINES = 120
# Callers choose paths and identifiers, so these are cut in log lines.
MAX_VALUE_CHARACTERS = 256
MAX_ITEMS = 32


class LineRateLimiter:
    """Limits the rate of the lines of each event by a token bucket."""

    def __init__(self) -> None:
        self.allowance: dict[str, float] = {}
        self.refilled_s: dict[str, float] = {}
        self.omitted: dict[str, int] = {}

    def allow(self, event: str, now_s: float) -> bool:
        """Return whether a line of an event may be written now."""
        allowance = self.allowance.get(event, float(BURST_LINES))
        passed_s = now_s - self.refilled_s.get(event, now_s)
        allowance = min(BURST_LINES, allowance + passed_s * LINES_PER_SECOND)
        self.refilled_s[event] = now_s
        if allowance < 1.0:
            self.allowance[event] = allowance
            self.omitted[event] = self.omitted.get(event, 0) + 1
            return False
        self.allowance[event] = allowance - 1.0
        return True

    def pop_omitted(self, event: str) -> int:
        """Return and reset the number of omitted lines of an event."""
        return self.omitted.pop(event, 0)


class PipeWriter:
    """Writes whole lines to a file descriptor without waiting."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.unwritten = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Write one line, or count it as dropped."""
        if self.unwritten and not self._write(self.unwritten):
            self.dropped += 1
            return
        line = message.encode() + b"\n"
        if self.dropped:
            note = b'{"event": "lines dropped", "count": %d}\n'
            line = note % self.dropped + line
            self.dropped = 0
        self._write(line)

    info = warning = error = debug = critical = exception = msg

    def _write(self, data: bytes) -> bool:
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone, so the error can't be reported either.
            written = len(data)
        self.unwritten = data[written:]
        return not self.unwritten


def shorten(event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Cut long strings, and strings in long tuples, in place."""
    for name, value in event.items():
        if isinstance(value, str):
            if len(value) > MAX_VALUE_CHARACTERS:
                event[name] = value[:MAX_VALUE_CHARACTERS] + "..."
        elif isinstance(value, tuple):
            event[name] = tuple(
                item[:MAX_VALUE_CHARACTERS] if isinstance(item, str) else item
                for item in value[:MAX_ITEMS]
            )
    return event


def configure_entry_logging(level: str, descriptor: int = 1) -> None:
    """Send rate-limited JSON lines to standard output."""
    limiter = LineRateLimiter()
    writer = PipeWriter(descriptor)

    def limit(
        _: Any, __: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        name = str(event.get("event"))
        if not limiter.allow(name, time.monotonic()):
            raise structlog.DropEvent
        omitted = limiter.pop_omitted(name)
        if omitted:
            event["omitted_before"] = omitted
        return shorten(event)

    structlog.configure(
        processors=[
            limit,
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(serializer=_to_json),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=lambda *_: writer,
        cache_logger_on_first_use=True,
    )


def _to_json(value: object, **_: object) -> str:
    return msgspec.json.encode(value, enc_hook=str).decode()
