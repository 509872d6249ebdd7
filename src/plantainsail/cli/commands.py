"""The subcommands that drain a daemon or run a generation."""

import argparse
import asyncio
import os

from plantainsail.cli.daemon_client import request_json, stream_events
from plantainsail.cli.output import ExitStatus, print_error
from plantainsail.decoding import UndecodableError, decode_json

KEY_VARIABLE = "PLANTAINSAIL_KEY"
CHAT_PATH = "/v1/chat/completions"


def drain(options: argparse.Namespace) -> ExitStatus:
    """Ask a daemon to exit once its running work has ended."""
    result = asyncio.run(
        request_json(options.address, "POST", "/v1/operator/drain")
    )
    if result.is_error():
        print_error(result.error.detail)
        return result.error.status
    print("draining")
    if result.ok["is_hurried"]:
        for kind, count in result.ok["running"].items():
            print(f"left: {kind} {count}")
    return ExitStatus.SUCCEEDED


def call(options: argparse.Namespace) -> ExitStatus:
    """Run one generation and print its text as it arrives."""
    key = _read_key(options)
    if key is None:
        print_error(f"give --key-file or set {KEY_VARIABLE}")
        return ExitStatus.USAGE
    return asyncio.run(_call(options, key))


def _read_key(options: argparse.Namespace) -> str | None:
    if options.key_file is None:
        return os.environ.get(KEY_VARIABLE)
    try:
        text: str = options.key_file.read_text(encoding="utf-8")
    except OSError:
        return None
    return text.strip()


async def _call(options: argparse.Namespace, key: str) -> ExitStatus:
    body = {
        "model": options.model,
        "stream": True,
        "max_tokens": options.max_tokens,
        "messages": [{"role": "user", "content": options.prompt}],
    }
    async for data in stream_events(options.address, CHAT_PATH, body, key):
        if data.is_error():
            print_error(data.error.detail)
            return data.error.status
        try:
            event = decode_json(data.ok)
        except UndecodableError as error:
            print_error(f"an event is not JSON: {error}")
            return ExitStatus.FAILED
        if "error" in event:
            print()
            print_error(event["error"]["message"])
            return ExitStatus.FAILED
        for choice in event["choices"]:
            text = choice["delta"].get("content") or ""
            print(text, end="", flush=True)
    print()
    return ExitStatus.SUCCEEDED
