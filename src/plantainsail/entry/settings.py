"""Settings of the entry daemon.

An adapter derives them from its platform's settings.  Without an
adapter they are read from a file of JSON with comments:

    {
        "host": "entry-1",
        "availability_zone": "wa-south-1a",
        "caller_address": "10.0.0.1:8080",
        "readiness_address": "10.0.0.1:8081",
        "peer_address": "10.0.0.1:8090",
        "seed_addresses": ["10.0.0.2:8090"],
    }
"""

import math
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

from expression import Error, Ok, Result

from plantainsail.settings import (
    SettingsError,
    is_address,
    parse_record,
    read_text,
)


class EntryBounds(NamedTuple):
    """Limits that operators set; times are in seconds.

    A key works for at most `revocation_s` after it was revoked.  All
    daemons together repeat at most the fraction `budget_ratio` of a
    service's requests plus `budget_extra` in each `budget_window_s`.
    A new configuration is in force on all daemons within
    `configuration_s`, and an order to drain an availability zone within
    `drain_order_s`; if that is 0, there are usually no such orders, and
    they are read only once the watch reports one.  In any second a cold
    upstream gets at most `cold_overrun` times the requests a second
    that it bears, plus `cold_tolerance`.
    """

    revocation_s: float = 5.0
    grace_s: float = 8.0
    budget_ratio: float = 0.2
    budget_extra: float = 50.0
    budget_window_s: float = 10.0
    configuration_s: float = 5.0
    drain_order_s: float = 5.0
    cold_overrun: float = 1.0
    cold_tolerance: float = 0.0


class CallerSettings(NamedTuple):
    """Limits on callers' connections that replace the derived ones.

    They are those of `policy.caller_budget.CallerBudget`; 0 leaves a
    limit as it is derived from the host's memory and descriptors.
    """

    max_connections: int = 0
    max_refusing: int = 0
    held_bytes: int = 0
    address_bytes: int = 0
    body_bytes: int = 0
    large_body_bytes: int = 0
    ahead_bytes: int = 0
    read_bytes: int = 0
    socket_bytes: int = 0
    idle_s: float = 0.0
    reuse_s: float = 0.0
    stall_s: float = 0.0
    yield_s: float = 0.0


class EntrySettings(NamedTuple):
    """All settings of one entry daemon.

    `published_file` holds routes, services, organisations and
    upstreams if no adapter reads them from a service.  `zone_regions`
    maps availability zones to their regions.  `memory_bytes` and
    `file_descriptors` are what the host leaves to the daemon, or 0 if
    that is not known.  With `finds_pace`, the load of an upstream that
    has just started or failed rises only as fast as its answers allow.
    """

    host: str
    availability_zone: str
    caller_address: str
    readiness_address: str
    peer_address: str
    seed_addresses: tuple[str, ...] = ()
    metrics_address: str | None = None
    published_file: str | None = None
    published_address: str | None = None
    log_level: str = "info"
    bounds: EntryBounds = EntryBounds()
    region: str = ""
    zone_regions: Mapping[str, str] = MappingProxyType({})
    memory_bytes: int = 0
    file_descriptors: int = 0
    finds_pace: bool = False
    callers: CallerSettings = CallerSettings()


def load_entry_settings(file: Path) -> Result[EntrySettings, SettingsError]:
    """Read and check a settings file."""
    name = str(file)
    text = read_text(file)
    record = text.bind(
        lambda content: parse_record(EntrySettings, content, name)
    )
    return record.bind(lambda settings: check_entry_settings(settings, name))


def check_entry_settings(
    settings: EntrySettings, file: str
) -> Result[EntrySettings, SettingsError]:
    """Return the settings, or an error for the first wrong value."""
    addresses = {
        "caller_address": settings.caller_address,
        "readiness_address": settings.readiness_address,
        "peer_address": settings.peer_address,
    }
    if settings.metrics_address is not None:
        addresses["metrics_address"] = settings.metrics_address
    if settings.published_address is not None:
        addresses["published_address"] = settings.published_address
    for index, seed in enumerate(settings.seed_addresses):
        addresses[f"seed_addresses[{index}]"] = seed
    for name, address in addresses.items():
        if not isinstance(address, str) or not is_address(address):
            problem = f"expected an IP number and a port, found {address!r}"
            return Error(SettingsError(file, f"$.{name}", problem))
    for name, bound in settings.bounds._asdict().items():
        if not 0 <= bound < math.inf:
            problem = f"expected a positive number, found {bound!r}"
            return Error(SettingsError(file, f"$.bounds.{name}", problem))
    for name, limit in settings.callers._asdict().items():
        if not 0 <= limit < math.inf:
            problem = f"expected a number from 0, found {limit!r}"
            return Error(SettingsError(file, f"$.callers.{name}", problem))
    for name in ("memory_bytes", "file_descriptors"):
        count = getattr(settings, name)
        if type(count) is not int or count < 0:
            problem = f"expected a whole number from 0, found {count!r}"
            return Error(SettingsError(file, f"$.{name}", problem))
    return Ok(settings)
