"""Converts the platform's settings file to entry settings."""

import math
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from expression import Error, Result

from plantainsail.entry.settings import (
    EntryBounds,
    EntrySettings,
    check_entry_settings,
)
from plantainsail.platform.decode import CONVERSION_ERRORS
from plantainsail.settings import SettingsError

SETTINGS_VARIABLE = "PLANTAINSAIL_CONFIG"
METRICS_PORT = 9464
BYTES_PER_MEGABYTE = 1_000_000


def load_platform_settings(
    file: Path,
) -> Result[EntrySettings, SettingsError]:
    """Read and check the file; unknown fields are ignored."""
    try:
        raw = tomllib.loads(file.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        return Error(SettingsError(str(file), "file", str(error)))
    try:
        settings = _settings(raw)
    except LookupError as error:
        return Error(SettingsError(str(file), str(error), "is missing"))
    except CONVERSION_ERRORS as error:
        return Error(SettingsError(str(file), "a value", str(error)))
    return check_entry_settings(settings, str(file))


def _settings(raw: Mapping[str, Any]) -> EntrySettings:
    listen = raw["ListenAddresses"]
    ip = raw["IpAddress"]
    # Daemons use this port for both datagrams and gRPC, so it replaces
    # the port in the seeds' addresses.
    port = int(raw["InternalPortRange"][0])
    seeds: list[str] = []
    for seed in raw.get("SeedNodes") or ():
        host, _, _ = str(seed).rpartition(":")
        seeds.append(f"{host}:{port}")
    limits = raw.get("Limits")
    if not isinstance(limits, Mapping):
        limits = {}
    return EntrySettings(
        host=raw["NodeName"],
        availability_zone=raw["Zone"],
        caller_address=listen["Frontend"],
        readiness_address=listen["Readiness"],
        peer_address=f"{ip}:{port}",
        seed_addresses=tuple(seeds),
        metrics_address=f"{ip}:{METRICS_PORT}",
        published_address=raw["Platform"]["Address"],
        bounds=_bounds(raw.get("Bounds") or {}),
        region=str(raw.get("Region") or ""),
        zone_regions=_zone_regions(raw.get("Zones")),
        memory_bytes=_count(limits, "MemoryMb") * BYTES_PER_MEGABYTE,
        file_descriptors=_count(limits, "FileDescriptors"),
    )


def _zone_regions(raw: object) -> dict[str, str]:
    """Return the region of each availability zone.

    An odd value leaves its availability zone in no region.
    """
    if not isinstance(raw, Mapping):
        return {}
    regions: dict[str, str] = {}
    for zone, region in raw.items():
        if isinstance(region, str):
            regions[str(zone)] = region
    return regions


def _count(raw: Mapping[str, Any], name: str) -> int:
    """Return a number of the host's limits, or 0 if it is odd."""
    value = raw.get(name)
    if not isinstance(value, int | float) or not 0 <= value < math.inf:
        return 0
    return int(value)


def _bounds(raw: Mapping[str, Any]) -> EntryBounds:
    defaults = EntryBounds()
    revocation_ms = raw.get("RevocationMs", defaults.revocation_s * 1000)
    configuration_ms = raw.get(
        "ConfigApplyMs", defaults.configuration_s * 1000
    )
    return EntryBounds(
        revocation_s=float(revocation_ms) / 1000,
        grace_s=float(raw.get("GracePeriodS", defaults.grace_s)),
        budget_ratio=float(raw.get("RetryBudgetRatio", defaults.budget_ratio)),
        budget_extra=float(raw.get("RetryBudgetExtra", defaults.budget_extra)),
        budget_window_s=float(
            raw.get("BudgetWindowS", defaults.budget_window_s)
        ),
        configuration_s=float(configuration_ms) / 1000,
        # Platforms without this bound have no orders.
        drain_order_s=float(raw.get("EvacuationMs", 0)) / 1000,
        cold_overrun=float(raw.get("ColdOverrun", defaults.cold_overrun)),
        cold_tolerance=float(
            raw.get("ColdTolerance", defaults.cold_tolerance)
        ),
    )
