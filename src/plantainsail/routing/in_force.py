"""Holds the configuration in force and the proof of its freshness."""

from plantainsail.routing.model import RoutingConfiguration
from plantainsail.routing.table import RoutingTable

# The age of its proof of freshness at which the first daemon by rank
# reads the configuration again.
READER_INTERVAL_S = 0.5
# A daemon of a higher rank waits this much longer for each daemon
# before it, so that these read the configuration first.
READ_DELAY_PER_RANK_S = 0.7
# A daemon without any proof leaves so much time for a peer to send it
# the configuration before it reads that itself.
FIRST_READ_DELAY_S = 1.0
# A decision that relies on a key may be this much later than the check
# of the key.
FRESHNESS_MARGIN_S = 0.15


class ConfigurationInForce:
    """The newest configuration seen; older ones are ignored.

    `table` is its routing table, or None before the first one.
    `as_of_s` is the latest time at which this daemon can prove that no
    newer version was published.
    """

    def __init__(self) -> None:
        self.table: RoutingTable | None = None
        self.as_of_s: float | None = None

    @property
    def version(self) -> int:
        """Return the version in force, -1 if there is none yet."""
        if self.table is None:
            return -1
        return self.table.configuration.version

    def offer(
        self, configuration: RoutingConfiguration, as_of_s: float | None
    ) -> bool:
        """Apply a configuration; return whether its version is newer.

        `as_of_s` is a time at which the configuration was provably the
        newest one published, or None if there is no proof.
        """
        if configuration.version < self.version:
            return False
        is_new = configuration.version > self.version
        if is_new:
            self.table = RoutingTable(configuration)
        if as_of_s is not None:
            self.confirm(configuration.version, as_of_s)
        return is_new

    def confirm(self, version: int, as_of_s: float) -> None:
        """Record that a version was the newest one at `as_of_s`."""
        if version != self.version or self.table is None:
            return
        if self.as_of_s is None or as_of_s > self.as_of_s:
            self.as_of_s = as_of_s

    def age_s(self, now_s: float) -> float | None:
        """Return the age of the last proof of freshness."""
        if self.as_of_s is None:
            return None
        return now_s - self.as_of_s

    def age_ms(self, now_s: float) -> int | None:
        """Return the proof's age in whole milliseconds, for logs."""
        age_s = self.age_s(now_s)
        return None if age_s is None else int(age_s * 1000)

    def may_use_keys(self, now_s: float, revocation_s: float) -> bool:
        """Return whether the proof is fresh enough to accept keys.

        A key may be accepted for at most `revocation_s` after it was
        revoked.
        """
        age_s = self.age_s(now_s)
        if age_s is None:
            return False
        return age_s <= revocation_s - FRESHNESS_MARGIN_S


def is_read_due(age_s: float | None, rank: int, running_s: float) -> bool:
    """Return whether a daemon should read the newest version.

    `age_s` is the age of its last proof of freshness, `rank` the number
    of live daemons before it, and `running_s` the time since its start.
    The first daemon reads for all; the others learn of the proof from
    their peers and read themselves only if that takes too long.
    """
    if age_s is None:
        return running_s >= FIRST_READ_DELAY_S
    return age_s >= READER_INTERVAL_S + rank * READ_DELAY_PER_RANK_S
