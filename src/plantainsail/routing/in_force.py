"""Which configuration is in force, and how fresh it is known to be."""

from plantainsail.routing.model import RoutingConfiguration
from plantainsail.routing.table import RoutingTable

READER_INTERVAL_S = 0.5
# A daemon of a higher rank leaves the reading to those before it.
READ_DELAY_PER_RANK_S = 0.7
# What a key's check may be older than the decision that rests on it.
FRESHNESS_MARGIN_S = 0.15


class ConfigurationInForce:
    """The newest configuration seen; it never goes back.

    `as_of_s` is the latest time at which no newer version was
    published, as far as this daemon can prove.
    """

    def __init__(self) -> None:
        self.table: RoutingTable | None = None
        self.as_of_s: float | None = None

    @property
    def version(self) -> int:
        """Return the version in force, -1 before the first."""
        if self.table is None:
            return -1
        return self.table.configuration.version

    def offer(
        self, configuration: RoutingConfiguration, as_of_s: float | None
    ) -> bool:
        """Take a configuration unless it is older; say if it is new."""
        if configuration.version < self.version:
            return False
        is_new = configuration.version > self.version
        if is_new:
            self.table = RoutingTable(configuration)
        if as_of_s is not None:
            self.confirm(configuration.version, as_of_s)
        return is_new

    def confirm(self, version: int, as_of_s: float) -> None:
        """Note that a version was the newest one at a time."""
        if version != self.version or self.table is None:
            return
        if self.as_of_s is None or as_of_s > self.as_of_s:
            self.as_of_s = as_of_s

    def age_s(self, now_s: float) -> float | None:
        """Return how old the last proof of freshness is."""
        if self.as_of_s is None:
            return None
        return now_s - self.as_of_s

    def age_ms(self, now_s: float) -> int | None:
        """Return the same in whole milliseconds, as logs tell it."""
        age_s = self.age_s(now_s)
        return None if age_s is None else int(age_s * 1000)

    def may_use_keys(self, now_s: float, revocation_s: float) -> bool:
        """Return whether a key can't have been revoked for too long."""
        age_s = self.age_s(now_s)
        if age_s is None:
            return False
        return age_s <= revocation_s - FRESHNESS_MARGIN_S


def is_read_due(age_s: float | None, rank: int) -> bool:
    """Return whether a daemon should ask for the newest version.

    `rank` counts the live daemons before this one.  The first reads
    for all; the others learn of it from their peers and read only
    once that takes too long.
    """
    if age_s is None:
        return True
    return age_s >= READER_INTERVAL_S + rank * READ_DELAY_PER_RANK_S
