"""The subcommand that asks an entry daemon where a request would go."""

import argparse
import asyncio
from collections.abc import Mapping
from typing import Any
from urllib.parse import urlencode

from plantainsail.cli.daemon_client import request_json
from plantainsail.cli.output import (
    ExitStatus,
    format_record,
    format_table,
    print_error,
    print_json,
)

# The columns of the table of upstreams, with their headers.
COLUMNS = {
    "upstream": "upstream",
    "zone": "availability_zone",
    "running": "running",
    "slots": "slots",
    "memory": "memory_tokens",
    "unread": "unread_tokens",
    "slowness": "slowness",
    "read/s": "read_tokens_s",
    "read_ms": "read_ms",
    "cost": "cost",
    "ramp": "ramp_limit",
    "cold_wait_ms": "cold_wait_ms",
    "wait_ms": "send_wait_ms",
    "state": "state",
    "passed over": "passed_over",
}
STATES = {
    "is_suspect": "suspect",
    "is_avoided": "avoided",
    "is_limited": "limited",
    "is_over_ramp": "over ramp",
}
UNKNOWN = "-"


def show_route(options: argparse.Namespace) -> ExitStatus:
    """Print where a request would go now; nothing is sent."""
    parameters = {
        "host": options.host,
        "path": options.path,
        "organisation": options.organisation,
        "prompt_tokens": options.prompt_tokens,
        "output_tokens": options.output_tokens,
    }
    path = f"/explain?{urlencode(parameters)}"
    result = asyncio.run(request_json(options.address, "GET", path))
    if result.is_error():
        print_error(result.error.detail)
        return result.error.status
    if options.json:
        print_json(result.ok)
    else:
        print(format_explanation(result.ok))
    return ExitStatus.SUCCEEDED


def format_explanation(explanation: Mapping[str, Any]) -> str:
    """Return an explanation as text."""
    route = explanation["route"]
    summary = {
        "daemon": explanation["daemon"],
        "route": UNKNOWN if route is None else route["name"],
        "kind": UNKNOWN if route is None else route["kind"],
        "organisation": _shown(explanation["organisation"]),
        "refused": _shown(explanation["refused"]),
    }
    parts = [format_record({**summary, **_flat(explanation["believed"])})]
    for service in explanation["services"]:
        parts.append(_format_service(service))
    return "\n\n".join(parts)


def _format_service(service: Mapping[str, Any]) -> str:
    fields = {
        name: value for name, value in service.items() if name != "candidates"
    }
    rows = [_row(one) for one in service.get("candidates", ())]
    return f"{format_record(_flat(fields))}\n\n{format_table(rows)}"


def _row(candidate: Mapping[str, Any]) -> dict[str, str]:
    """Return the table's cells for one upstream."""
    states = [state for name, state in STATES.items() if candidate.get(name)]
    shown = {**candidate, "state": " ".join(states) or None}
    if "cost" in candidate and candidate["passed_over"] is None:
        shown["passed_over"] = "chosen"
    return {
        header: _shown(shown.get(name)) for header, name in COLUMNS.items()
    }


def _flat(record: Mapping[str, Any]) -> dict[str, str]:
    """Return the fields of a record, with those of inner records."""
    flat: dict[str, str] = {}
    for name, value in record.items():
        if isinstance(value, Mapping):
            flat.update(_flat(value))
            continue
        flat[name] = _shown(value)
    return flat


def _shown(value: object) -> str:
    return UNKNOWN if value is None else str(value)
