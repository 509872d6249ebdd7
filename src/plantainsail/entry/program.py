"""The command `plantainsail-entry`, which serves routed requests.

An adapter starts the same daemon with its own settings and components.
"""

import argparse
import asyncio
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

from expression import Result

from plantainsail.clock import BootClock
from plantainsail.entry.daemon import EntryDaemon
from plantainsail.entry.dialect import Dialect
from plantainsail.entry.file_source import FileSource
from plantainsail.entry.log_lines import configure_entry_logging
from plantainsail.entry.mover import EngineMover
from plantainsail.entry.settings import EntrySettings, load_entry_settings
from plantainsail.entry.source import PublishedSource
from plantainsail.settings import SettingsError

EXIT_BAD_SETTINGS = 2


class AdapterParts(NamedTuple):
    """The components that an adapter supplies to the daemon."""

    dialect: Dialect
    source: PublishedSource
    mover: EngineMover | None


class Installation(NamedTuple):
    """How a daemon's settings are loaded and its components made."""

    default_file: Path
    load: Callable[[Path], Result[EntrySettings, SettingsError]]
    make_parts: Callable[[EntrySettings], AdapterParts]


def run(arguments: Sequence[str] | None, installation: Installation) -> int:
    """Run the daemon of an installation; return its exit status."""
    parser = argparse.ArgumentParser(
        prog="plantainsail-entry",
        description="Serve routed requests.",
        epilog="exit status: 0 left as asked, 2 the settings can't be used",
    )
    parser.add_argument(
        "--settings",
        type=Path,
        default=installation.default_file,
        help="the settings file (default: %(default)s)",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and leave"
    )
    options = parser.parse_args(arguments)
    loaded = installation.load(options.settings)
    if loaded.is_error():
        print(loaded.error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if options.check:
        print(f"{options.settings}: correct")
        return 0
    settings = loaded.ok
    configure_entry_logging(settings.log_level)
    parts = installation.make_parts(settings)
    asyncio.run(_serve(settings, parts, options.settings, installation))
    return 0


async def _serve(
    settings: EntrySettings,
    parts: AdapterParts,
    file: Path,
    installation: Installation,
) -> None:
    daemon = EntryDaemon(
        settings, parts.dialect, parts.source, parts.mover, BootClock()
    )
    daemon.load_settings = lambda: installation.load(file)
    await daemon.run()


def make_file_parts(settings: EntrySettings) -> AdapterParts:
    """Return the components of a daemon that reads a published file."""
    file = Path(settings.published_file or "published.json")
    return AdapterParts(Dialect(), FileSource(file), None)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a daemon that reads a published file."""
    return run(
        arguments,
        Installation(Path("entry.json"), load_entry_settings, make_file_parts),
    )


if __name__ == "__main__":
    sys.exit(main())
