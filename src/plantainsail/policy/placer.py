"""Finds an engine with enough free memory for a waiting request."""

from collections.abc import Mapping, Sequence

from plantainsail.policy.accounts import LONG_TOKENS, EngineAccount
from plantainsail.policy.admission import ShortWorkReserve
from plantainsail.policy.decisions import (
    OUTGROWN,
    SHORT_TOKENS,
    Claim,
    Rank,
)
from plantainsail.policy.forecast import EMPTY_FORECAST
from plantainsail.policy.lengths import LengthEstimator
from plantainsail.policy.load_reports import LoadCorrections
from plantainsail.policy.placement import Candidate, rank_candidates
from plantainsail.policy.prefixes import PrefixHints
from plantainsail.policy.queue import QueueEntry
from plantainsail.policy.slices import SliceBook
from plantainsail.policy.slowness import SlownessDetector
from plantainsail.policy.work import Work

# How many of the best ranked engines are checked for whether the
# request's memory forecast fits there.
MAX_FITS_CHECKED = 3
# Requests that have waited this long may also use slow engines.
AVOIDED_ENGINE_WAIT_S = 4.0
# Short work may use the headroom of an engine if more than this part of
# the held tokens belongs to long work.
MOSTLY_LONG_FRACTION = 0.5


class Placer:
    """Chooses engines for waiting requests by their free memory.

    `claims` are, by host, the tokens that peers claim for their work,
    with its rank.
    `limits` and `max_free_tokens` cache each engine's usable tokens and
    an upper bound of its free tokens for one round of decisions.  The
    caller calls `begin_round` before each round, and removes the host
    from `max_free_tokens` when it starts work on that engine.
    """

    def __init__(
        self,
        availability_zone: str,
        accounts: Mapping[str, EngineAccount],
        slices: SliceBook,
        slowness: SlownessDetector,
        prefixes: PrefixHints,
        short_work_reserve: ShortWorkReserve,
        lengths: LengthEstimator,
    ) -> None:
        self.availability_zone = availability_zone
        self.accounts = accounts
        self.slices = slices
        self.slowness = slowness
        self.prefixes = prefixes
        self.short_work_reserve = short_work_reserve
        self.corrections = LoadCorrections()
        self.lengths = lengths
        self.claims: dict[str, list[Claim]] = {}
        self.limits: dict[str, int] = {}
        self.max_free_tokens: dict[str, float] = {}

    def begin_round(self) -> None:
        """Clear the cached values of the previous round."""
        self.limits.clear()
        self.max_free_tokens.clear()

    def free_tokens(self, host: str, now_s: float) -> int:
        """Return an engine's free tokens for this daemon's work."""
        account = self.accounts.get(host)
        if account is None:
            return 0
        account.refresh(now_s)
        return self._usable_tokens(host, now_s) - account.reserved

    def place(
        self,
        hosts: Sequence[str],
        entry: QueueEntry,
        rank: Rank,
        now_s: float,
    ) -> str | None:
        """Return the host of an engine with enough memory, or None."""
        work = entry.work
        is_long = entry.expected_tokens >= LONG_TOKENS
        may_use_avoided = now_s - work.arrived_s >= AVOIDED_ENGINE_WAIT_S
        candidates: list[Candidate] = []
        for host in hosts:
            if host in entry.excluded:
                continue
            room = self.max_free_tokens.get(host)
            if room is None:
                room = self.max_free_tokens[host] = self._max_free_tokens(
                    host, now_s
                )
            if work.prompt_tokens > room:
                continue
            if host in self.slowness.avoided:
                if self._try_probe(host, work, now_s):
                    return host
                if not may_use_avoided or host in self.slowness.failed_hosts:
                    continue
            candidates.append(self._make_candidate(host, entry, rank, now_s))
        is_short = entry.expected_tokens <= SHORT_TOKENS
        short_reserve_tokens = (
            self.short_work_reserve.tokens(now_s) if is_long else 0
        )
        forecast = (
            self.lengths.forecast(work, 0) if candidates else EMPTY_FORECAST
        )
        for candidate in rank_candidates(
            candidates,
            None if is_short else work.prompt_tokens + 1,
            is_long,
            MAX_FITS_CHECKED,
        ):
            account = self.accounts[candidate.host]
            room = candidate.room_tokens - short_reserve_tokens
            if account.forecast.fits_with(forecast, room):
                return candidate.host
        return None

    def _max_free_tokens(self, host: str, now_s: float) -> float:
        """Return an upper bound of the free memory of an engine.

        The bound ignores claims and the growth of running work.
        """
        room = self._limit_tokens(host, now_s) + self.slices.headroom(host)
        return room - self.accounts[host].forecast.means[0]

    def _limit_tokens(self, host: str, now_s: float) -> int:
        limit = self.limits.get(host)
        if limit is None:
            limit = self.limits[host] = self._usable_tokens(host, now_s)
        return limit

    def _usable_tokens(self, host: str, now_s: float) -> int:
        """Return the memory that this daemon's work may use.

        That is its slice, corrected by the engine's load reports.
        """
        limit = self.slices.limit(host, now_s)
        return self.corrections.usable_tokens(host, limit)

    def _try_probe(self, host: str, work: Work, now_s: float) -> bool:
        if not self.slowness.is_probe_due(host, now_s):
            return False
        if self.free_tokens(host, now_s) <= work.prompt_tokens:
            return False
        return self.slowness.try_probe(host, now_s)

    def _claimed_tokens(
        self, host: str, rank: Rank, is_short: bool, now_s: float
    ) -> int:
        """Return the memory claimed by peers' work of a higher rank.

        Claims of waiting work count only up to the memory that could
        be lent, since the rest would stay unused.
        """
        outgrown_tokens = 0
        waiting_tokens = 0
        for claim in self.claims.get(host, ()):
            if claim.rank == OUTGROWN:
                outgrown_tokens += 0 if is_short else claim.tokens
            elif claim.rank < rank:
                waiting_tokens += claim.tokens
        if waiting_tokens > 0:
            reserved = self.accounts[host].reserved
            waiting_tokens = min(
                waiting_tokens, self.slices.lendable(host, reserved, now_s)
            )
        return outgrown_tokens + waiting_tokens

    def _make_candidate(
        self, host: str, entry: QueueEntry, rank: Rank, now_s: float
    ) -> Candidate:
        """Return the state of an engine as seen by one request.

        Claims of peers' running work that outgrows its memory do not
        hold up short work, which ends sooner than that work grows.
        """
        work = entry.work
        is_short = entry.expected_tokens <= SHORT_TOKENS
        account = self.accounts[host]
        limit = self._limit_tokens(host, now_s)
        available_tokens = limit
        if is_short and account.long_fraction > MOSTLY_LONG_FRACTION:
            available_tokens += self.slices.headroom(host)
        available_tokens -= self._claimed_tokens(host, rank, is_short, now_s)
        engine_zone = account.engine.availability_zone
        prefix_fraction = 0.0
        if work.prefixes:
            prefix_fraction = self.prefixes.cached_fraction(
                host, work.prefixes, now_s
            )
        return Candidate(
            host=host,
            free_tokens=available_tokens - account.reserved,
            room_tokens=available_tokens,
            limit_tokens=limit,
            is_same_zone=engine_zone == self.availability_zone,
            is_avoided=host in self.slowness.avoided,
            prefix_fraction=prefix_fraction,
            long_fraction=account.long_fraction,
        )
