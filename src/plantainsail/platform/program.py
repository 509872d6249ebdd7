"""The program that runs on the platform's machines."""

import argparse
import asyncio
import os
import sys
from collections.abc import Sequence
from pathlib import Path

from plantainsail.clock import BootClock
from plantainsail.entry.daemon import EntryDaemon
from plantainsail.entry.log_lines import configure_entry_logging
from plantainsail.entry.settings import EntrySettings
from plantainsail.platform.mover import PlatformMover
from plantainsail.platform.names import PLATFORM_DIALECT
from plantainsail.platform.settings import VARIABLE, load_platform_settings
from plantainsail.platform.store import PlatformStore

EXIT_BAD_SETTINGS = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the entry daemon; return its exit status."""
    parser = argparse.ArgumentParser(
        prog="plantainsail-entry",
        description="Serve routed requests on the users' platform.",
    )
    parser.add_argument(
        "--settings",
        type=Path,
        default=Path(os.environ.get(VARIABLE, "settings.toml")),
        help=f"the platform's settings file; else {VARIABLE} names it",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and leave"
    )
    options = parser.parse_args(arguments)
    loaded = load_platform_settings(options.settings)
    if loaded.is_error():
        print(loaded.error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = loaded.ok
    if options.check:
        print(f"{options.settings}: correct")
        return 0
    configure_entry_logging(settings.log_level)
    asyncio.run(_serve(settings))
    return 0


async def _serve(settings: EntrySettings) -> None:
    assert settings.published_address is not None
    store = PlatformStore(settings.published_address)
    daemon = EntryDaemon(
        settings, PLATFORM_DIALECT, store, PlatformMover(), BootClock()
    )
    await daemon.run()
