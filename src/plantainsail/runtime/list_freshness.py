"""Decides whether a daemon's lists are fresh enough to act on."""

from plantainsail.clock import Clock
from plantainsail.identity import Incarnation
from plantainsail.lists.freshness import (
    FreshnessLimits,
    FreshnessVerdict,
    FreshnessView,
    MessageTiming,
    ZoneContactTimes,
    judge_freshness,
)
from plantainsail.lists.model import EMPTY_HOSTS
from plantainsail.lists.store import ListStore
from plantainsail.lists.watchers import other_daemon_zones
from plantainsail.logs import get_logger
from plantainsail.results import Code, Failure
from plantainsail.settings import Settings

REFUSAL_CODES = {
    FreshnessVerdict.BEHIND: Code.LISTS_BEHIND,
    FreshnessVerdict.CUT_OFF: Code.LISTS_STALE,
    FreshnessVerdict.STALE: Code.LISTS_STALE,
}
REFUSAL_DETAILS = {
    FreshnessVerdict.BEHIND: "a newer revision of the lists is known",
    FreshnessVerdict.CUT_OFF: (
        "the lists are unconfirmed and part of the fleet is out of reach"
    ),
    FreshnessVerdict.STALE: "the lists were not confirmed for too long",
}
RETRY_AFTER_S = 1.0


class NodeFreshness:
    """Tracks the age of one daemon's lists and derives a verdict."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        store: ListStore,
        incarnation: Incarnation,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.store = store
        self.timing = MessageTiming(incarnation.nonce)
        self.zone_contacts = ZoneContactTimes()
        self.known_hosts = EMPTY_HOSTS
        self.known_zones: tuple[str, ...] = (settings.availability_zone,)
        self.other_zones: frozenset[str] = frozenset()
        self.logger = get_logger("freshness")
        self.logged_verdict = FreshnessVerdict.FRESH

    def zones(self) -> tuple[str, ...]:
        """Return the zones that have daemons, sorted by name."""
        self._update_zones()
        return self.known_zones

    def _update_zones(self) -> None:
        """Update the zones if the host list was replaced.

        The host list is long, so zones are computed once per list.
        """
        hosts = self.store.hosts
        if hosts is self.known_hosts:
            return
        self.known_hosts = hosts
        own_zone = self.settings.availability_zone
        others = other_daemon_zones(hosts, self.settings.host)
        self.other_zones = others
        self.known_zones = tuple(sorted(others | {own_zone}))

    def zone_ages_s(self, now_s: float) -> dict[str, float]:
        """Return contact ages for peers; the own zone has age 0."""
        own_zone = self.settings.availability_zone
        return self.zone_contacts.ages_s(now_s) | {own_zone: 0.0}

    def verdict(self) -> FreshnessVerdict:
        """Return whether the daemon may act on the lists in force.

        Only the operators' lists are checked.  The host list always
        lags somewhat, and leaving marks compensate for that.
        """
        now_s = self.clock.now_s()
        self._update_zones()
        limits = self.settings.time_limits
        return judge_freshness(
            FreshnessView(
                self.store.age_s(now_s),
                self.store.behind_s(now_s),
                self.zone_contacts.heard_all_recently(self.other_zones, now_s),
            ),
            FreshnessLimits(limits.lists_cut_off_s, limits.lists_stale_s),
        )

    def find_failure(self) -> Failure | None:
        """Return why new work must be refused; None if it may run."""
        verdict = self.verdict()
        self.log_change(verdict)
        code = REFUSAL_CODES.get(verdict)
        if code is None:
            return None
        return Failure(code, REFUSAL_DETAILS[verdict], RETRY_AFTER_S)

    def find_work_failure(self, revision: int) -> Failure | None:
        """Return a failure if work was created under newer lists."""
        if self.store.covers_revision(revision, self.clock.now_s()):
            return None
        return Failure(
            Code.LISTS_BEHIND,
            f"the work was made under revision {revision} of the lists",
            RETRY_AFTER_S,
        )

    def log_change(self, verdict: FreshnessVerdict) -> None:
        """Log the verdict if it differs from the last logged one."""
        if verdict is self.logged_verdict:
            return
        self.logged_verdict = verdict
        self.logger.info("freshness changed", verdict=verdict.value)
