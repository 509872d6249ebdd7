"""Finds an engine with room for a waiting request."""

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

CANDIDATES_CHECKED = 3
# After this wait even an engine seen to be slow is taken.
AVOIDED_ENGINE_WAIT_S = 4.0
# From this part of long work on, short work may use the headroom.
MOSTLY_LONG_FRACTION = 0.5


class Placer:
    """Chooses engines for waiting requests by their free memory.

    `claims` are tokens that peers claim for work of a higher rank.
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
        """Forget what was read in the round before."""
        self.limits.clear()
        self.max_free_tokens.clear()

    def free_tokens(self, host: str, now_s: float) -> int:
        """Return the room left on an engine for own work."""
        account = self.accounts.get(host)
        if account is None:
            return 0
        account.refresh(now_s)
        return self._usable_tokens(host, now_s) - account.reserved

    def place(
        self,
        hosts: Sequence[str],
        entry: QueueEntry,
        position: Rank,
        now_s: float,
    ) -> str | None:
        """Return the host of an engine with room, or None."""
        work = entry.work
        is_long = entry.expected >= LONG_TOKENS
        is_urgent = now_s - work.arrived_s >= AVOIDED_ENGINE_WAIT_S
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
                if self._claims_probe(host, work, now_s):
                    return host
                if not is_urgent or host in self.slowness.failing:
                    continue
            candidates.append(
                self._make_candidate(host, entry, position, now_s)
            )
        is_short = entry.expected <= SHORT_TOKENS
        kept = self.short_work_reserve.tokens(now_s) if is_long else 0
        forecast = (
            self.lengths.forecast(work, 0) if candidates else EMPTY_FORECAST
        )
        for candidate in rank_candidates(
            candidates,
            None if is_short else work.prompt_tokens + 1,
            is_long,
            CANDIDATES_CHECKED,
        ):
            account = self.accounts[candidate.host]
            room = candidate.room_tokens - kept
            if account.forecast.fits_with(forecast, room):
                return candidate.host
        return None

    def _max_free_tokens(self, host: str, now_s: float) -> float:
        """Return a bound of the room, claims and growth left aside."""
        room = self._limit_tokens(host, now_s) + self.slices.headroom(host)
        return room - self.accounts[host].forecast.means[0]

    def _limit_tokens(self, host: str, now_s: float) -> int:
        limit = self.limits.get(host)
        if limit is None:
            limit = self.limits[host] = self._usable_tokens(host, now_s)
        return limit

    def _usable_tokens(self, host: str, now_s: float) -> int:
        """Return the memory of an engine that own work may fill."""
        limit = self.slices.limit(host, now_s)
        return self.corrections.usable_tokens(host, limit)

    def _claims_probe(self, host: str, work: Work, now_s: float) -> bool:
        if not self.slowness.is_probe_due(host, now_s):
            return False
        if self.free_tokens(host, now_s) <= work.prompt_tokens:
            return False
        return self.slowness.try_probe(host, now_s)

    def _claimed_tokens(
        self, host: str, position: Rank, is_short: bool, now_s: float
    ) -> int:
        """Return the room that is held for work which goes first.

        For waiting work this is at most what could be lent: the rest
        would lie idle.
        """
        outgrown = 0
        waiting = 0
        for claim in self.claims.get(host, ()):
            if claim.position == OUTGROWN:
                outgrown += 0 if is_short else claim.tokens
            elif claim.position < position:
                waiting += claim.tokens
        if waiting > 0:
            used = self.accounts[host].reserved
            waiting = min(waiting, self.slices.lendable(host, used, now_s))
        return outgrown + waiting

    def _make_candidate(
        self, host: str, entry: QueueEntry, position: Rank, now_s: float
    ) -> Candidate:
        """Return what is known of an engine for a request.

        Short work ends before running work has outgrown its room, so
        it does not wait for that.
        """
        work = entry.work
        is_short = entry.expected <= SHORT_TOKENS
        account = self.accounts[host]
        limit = self._limit_tokens(host, now_s)
        room = limit
        if is_short and account.long_fraction > MOSTLY_LONG_FRACTION:
            room += self.slices.headroom(host)
        room -= self._claimed_tokens(host, position, is_short, now_s)
        zone = account.engine.availability_zone
        prefix = 0.0
        if work.prefixes:
            prefix = self.prefixes.cached_fraction(host, work.prefixes, now_s)
        return Candidate(
            host=host,
            free_tokens=room - account.reserved,
            room_tokens=room,
            limit_tokens=limit,
            is_same_zone=zone == self.availability_zone,
            is_avoided=host in self.slowness.avoided,
            prefix_fraction=prefix,
            long_fraction=account.long_fraction,
        )
