"""The argument parser and entry point of the `plantainsail` tool."""

import argparse
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TypeAlias

from plantainsail.cli import commands, queries
from plantainsail.cli.output import ExitStatus
from plantainsail.cli.route import show_route
from plantainsail.cli.trace import trace

DEFAULT_OPERATOR_ADDRESS = "127.0.0.1:8081"
DEFAULT_CALLER_ADDRESS = "127.0.0.1:8080"
DEFAULT_MAX_TOKENS = 1_024

EPILOG = """\
exit status:
  0  done
  1  the daemon refused, or a check failed
  2  the command line or a file is invalid
  3  no daemon answers at the address

examples:
  plantainsail settings check /etc/plantainsail/entry-1.json
  plantainsail lists check plans.json grants.json
  plantainsail status --json
  plantainsail upstreams --address 10.0.0.1:8081
  plantainsail explain 3001
  plantainsail route --host api.example.org --path /v1/chat \
      --organisation desk --prompt-tokens 900 --output-tokens 200
  PLANTAINSAIL_KEY=… plantainsail call --model letter-7b "A letter"
"""

VIEWS = {
    "status": "show the state of a daemon",
    "peers": "show the peers as a daemon sees them",
    "upstreams": "show the upstreams as a daemon sees them",
    "organisations": "show each organisation's weight, use and waiting work",
}

Parsers: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


def make_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog="plantainsail",
        description="Inspect and control plantainsail daemons.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parsers = parser.add_subparsers(title="subcommands", required=True)
    _add_checks(parsers)
    _add_queries(parsers)
    _add_commands(parsers)
    return parser


def _add(
    parsers: Parsers,
    name: str,
    help_text: str,
    run: Callable[[argparse.Namespace], ExitStatus],
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = parsers.add_parser(
        name,
        help=help_text,
        description=help_text[0].upper() + help_text[1:] + ".",
    )
    parser.set_defaults(run=run)
    return parser


def _add_address(parser: argparse.ArgumentParser, default: str) -> None:
    parser.add_argument(
        "--address",
        default=default,
        help="IP number and port of the daemon (default: %(default)s)",
    )


def _add_json(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--json", action="store_true", help="print JSON for programs"
    )


def _add_checks(parsers: Parsers) -> None:
    settings = parsers.add_parser("settings", help="settings files")
    actions = settings.add_subparsers(required=True)
    check = _add(
        actions, "check", "check a settings file", queries.check_settings
    )
    check.add_argument("file", type=Path)
    lists = parsers.add_parser("lists", help="the operators' two lists")
    actions = lists.add_subparsers(required=True)
    check = _add(
        actions,
        "check",
        "check list parts together, before they are published",
        queries.check_lists,
    )
    check.add_argument("files", type=Path, nargs="+")


def _add_queries(parsers: Parsers) -> None:
    for view, help_text in VIEWS.items():
        parser = _add(parsers, view, help_text, queries.show_view)
        parser.set_defaults(view=view)
        _add_address(parser, DEFAULT_OPERATOR_ADDRESS)
        _add_json(parser)
    parser = _add(
        parsers,
        "trace",
        "show what happened to a request, from the logs of daemons",
        trace,
    )
    parser.add_argument("request", help="the id of the request")
    parser.add_argument(
        "files", type=Path, nargs="*", help="log files (default: stdin)"
    )
    _add_route(parsers)
    parser = _add(
        parsers, "explain", "show what a result code means", queries.explain
    )
    parser.add_argument("code", help="number or name")
    _add_json(parser)


def _add_route(parsers: Parsers) -> None:
    parser = _add(
        parsers,
        "route",
        "show where an entry daemon would send a request now, and why",
        show_route,
    )
    _add_address(parser, DEFAULT_OPERATOR_ADDRESS)
    parser.add_argument(
        "--host", required=True, help="the host name in the request"
    )
    parser.add_argument("--path", required=True, help="the request's path")
    parser.add_argument(
        "--organisation", default="", help="the caller's name; no key"
    )
    parser.add_argument("--prompt-tokens", type=int, default=0)
    parser.add_argument(
        "--output-tokens",
        type=int,
        default=1,
        help="the expected output (default: %(default)s)",
    )
    _add_json(parser)


def _add_commands(parsers: Parsers) -> None:
    drain = _add(
        parsers,
        "drain",
        "ask a daemon to exit once its running work has ended",
        commands.drain,
    )
    _add_address(drain, DEFAULT_OPERATOR_ADDRESS)
    call = _add(
        parsers,
        "call",
        "run one generation and print its text as it arrives",
        commands.call,
    )
    _add_address(call, DEFAULT_CALLER_ADDRESS)
    call.add_argument("--model", required=True)
    call.add_argument("--max-tokens", type=int, default=DEFAULT_MAX_TOKENS)
    call.add_argument(
        "--key-file", type=Path, help="file that contains the API key"
    )
    call.add_argument("prompt")


def main(arguments: Sequence[str] | None = None) -> int:
    """Run `plantainsail`; return its exit status."""
    options = make_parser().parse_args(arguments)
    status: ExitStatus = options.run(options)
    return int(status)


if __name__ == "__main__":
    sys.exit(main())
