"""The command that runs the entry daemon on the platform's hosts."""

import os
from collections.abc import Sequence
from pathlib import Path

from plantainsail.entry.program import AdapterParts, Installation, run
from plantainsail.entry.settings import EntrySettings
from plantainsail.platform.mover import PlatformMover
from plantainsail.platform.names import PLATFORM_DIALECT
from plantainsail.platform.settings import (
    SETTINGS_VARIABLE,
    load_platform_settings,
)
from plantainsail.platform.store import PlatformStore


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the entry daemon; return its exit status."""
    file = Path(os.environ.get(SETTINGS_VARIABLE, "settings.toml"))
    return run(
        arguments,
        Installation(file, load_platform_settings, make_parts),
    )


def make_parts(settings: EntrySettings) -> AdapterParts:
    """Return the components that connect to the platform."""
    assert settings.published_address is not None
    store = PlatformStore(settings.published_address)
    return AdapterParts(PLATFORM_DIALECT, store, PlatformMover())
