"""Decides how fast the load of a started or recovered upstream rises.

Each daemon keeps a copy of an upstream's ramp.  A ramp has a number
that counts its falls, the limit from which it last began to rise, and
the answers since then that kept up.  These are merged so that order,
loss and repetition of messages don't matter: the higher number of falls
wins, and with the same number the lower limit and the larger counts.
The limit follows from them:

- Before the first fall it rises by one for each first event of a stream
  that keeps up, and for each round of plain answers, that is, as many
  as the limit.
- After a fall it rises as a cubic function of these: fast at first,
  slowly near the load at which it fell, and then fast again, as the
  upstream may bear more in the meantime.

A fall is recorded for an answer that shows an overload, unless its
request was sent before the last fall, so an overload that many daemons
see is one fall.  `docs/design/pace.md` has the reasons.
"""

import math
import zlib
from collections.abc import Mapping

from plantainsail.policy.admission import DecayingSum
from plantainsail.routing.fleet_loads import NO_LOAD, UpstreamLoad
from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.ramp_records import (
    ChangeKind,
    Demand,
    RampChange,
    RampLimit,
    RampRecord,
)

# The concurrent requests of an upstream that has just started.
START_LIMIT = 2.0
MIN_LIMIT = 1.0
MAX_LIMIT = 1e6
# A fall leaves this share of the load that showed the overload.
FALL_SHARE = 0.6
# The limit is back at the load of the last fall after this many answers
# for each request of that load.
RETURN_ANSWERS = 1.0
# An answer raises the limit only if at least this share of the limit
# was in use, as it says nothing of a higher load otherwise.
USED_SHARE = 0.5
# The ramp ends once the limit is this many times the mean load of the
# service's other upstreams, and never below the minimum.  The load of
# plain upstreams is known less exactly and varies more.
SHARE_MARGIN = 1.25
PLAIN_SHARE_MARGIN = 2.0
MIN_SHARE = 4.0
# Daemons learn within this time what others have sent.  In each such
# time only so many of them may send as there is room.
TURN_S = 0.04
# The time constant of the moving rate of this daemon's choices.
CHOICE_RATE_S = 4.0
# Counts of more daemons than this are only contained in totals.
MAX_COUNTED_DAEMONS = 64
MAX_RAMPS = 512
# A ramp that nobody has changed for so long, while the upstream has
# more load than it allows, ended without this daemon learning of it.
OUTDATED_S = 20.0
# Peers are told of a ramp that has ended for this long.
ENDED_REPEAT_S = 60.0
# A report of a fall that is newer than a known end by more than this
# belongs to a later ramp.
AGE_MARGIN_S = 0.5
# All daemons together send another one at most this many messages a
# second about rising limits.
RISE_MESSAGES_PER_S = 300.0


class Ramp:
    """One incarnation's ramp, as this daemon knows it.

    `own` and `peers`, by the nonces of their runs, sum up the answers
    that kept up since the last fall, each with its weight, and
    `least_total` is the largest total that a peer reported.
    `changed_s` is the time of the start, of the last fall or of the
    end, and `heard_s` that of the last news.
    """

    def __init__(
        self, born_ms: int, falls: int, base: float, now_s: float
    ) -> None:
        self.born_ms = born_ms
        self.is_ended = False
        self.heard_s = now_s
        self.restart(falls, base, now_s)

    def restart(self, falls: int, base: float, at_s: float) -> None:
        """Begin to rise from a limit, after a fall or at the start."""
        self.falls = falls
        self.base = max(MIN_LIMIT, min(MAX_LIMIT, base))
        self.changed_s = at_s
        self.is_ended = False
        self.own = 0.0
        self.peers: dict[int, float] = {}
        self.least_total = 0.0

    def is_outdated(self, running: int, now_s: float) -> bool:
        """Return whether the ramp ended without any news of it here."""
        if running <= self.limit:
            return False
        return now_s - max(self.heard_s, self.changed_s) > OUTDATED_S

    def end(self, at_s: float) -> None:
        """Lift the limit; the counts are no longer needed."""
        self.is_ended = True
        self.changed_s = at_s
        self.least_total = self.total
        self.peers = {}

    @property
    def total(self) -> float:
        """Return the weights of all daemons' answers that kept up."""
        return max(self.least_total, self.own + sum(self.peers.values()))

    @property
    def limit(self) -> float:
        """Return how many requests the upstream may have at once."""
        if self.is_ended:
            return math.inf
        if not self.falls:
            return min(MAX_LIMIT, self.base + self.total)
        fallen_from = self.base / FALL_SHARE
        return_answers = RETURN_ANSWERS * fallen_from
        progress = (self.total - return_answers) / return_answers
        limit: float = fallen_from * (1 + (1 - FALL_SHARE) * progress**3)
        return min(MAX_LIMIT, limit)


class Ramps:
    """The ramps of all upstreams, by identifier.

    `nonce` names this run of the daemon.  `born` holds the incarnation
    that is listed of each upstream.  `unsent` names the upstreams of
    which peers must be told, and `urgent` those among them whose limits
    fell or ended.  `choices` holds this daemon's choices of upstreams,
    by the service's name.
    """

    def __init__(self, nonce: int, *, is_enabled: bool) -> None:
        self.nonce = nonce
        self.is_enabled = is_enabled
        self.ramps: dict[str, Ramp] = {}
        self.born: dict[str, int] = {}
        self.revision = -1
        self.unsent: set[str] = set()
        self.urgent: set[str] = set()
        self.sent_s = -math.inf
        self.choices: dict[str, DecayingSum] = {}

    def note_choice(self, service: str, now_s: float) -> None:
        """Count that a request looks for an upstream of a service."""
        if not self.is_enabled:
            return
        choices = self.choices.get(service)
        if choices is None:
            choices = self.choices[service] = DecayingSum(CHOICE_RATE_S)
        choices.add(1.0, now_s)

    def observe(
        self,
        entries: Mapping[str, RoutedUpstream],
        revision: int,
        loads: Mapping[str, UpstreamLoad],
        now_s: float,
    ) -> list[RampChange]:
        """Start the ramps of incarnations that are listed first now.

        What the first list names was there before this daemon, unless
        its entry says that it is cold.  An upstream that already has
        load is not new to all daemons, and starts with as much.
        """
        if revision == self.revision or not self.is_enabled:
            return []
        is_first = self.revision < 0
        self.revision = revision
        changes: list[RampChange] = []
        for identifier, upstream in entries.items():
            if upstream.is_draining:
                # If it takes requests again, it starts like a new one.
                self.born.pop(identifier, None)
                continue
            if self.born.get(identifier) == upstream.born_ms:
                continue
            self.born[identifier] = upstream.born_ms
            self.ramps.pop(identifier, None)
            if is_first and not upstream.cold_ms:
                continue
            running = loads.get(identifier, NO_LOAD).running
            limit = max(START_LIMIT, float(running))
            if self._start(identifier, 0, limit, now_s):
                changes.append(
                    RampChange(identifier, ChangeKind.STARTED, limit)
                )
        return changes

    def is_ramping(self, identifier: str) -> bool:
        """Return whether an upstream has a limit."""
        ramp = self.ramps.get(identifier)
        return ramp is not None and not ramp.is_ended

    def ramping(self) -> set[str]:
        """Return the upstreams that have a limit."""
        return {
            identifier
            for identifier, ramp in self.ramps.items()
            if not ramp.is_ended
        }

    def limit_of(
        self, identifier: str, demand: Demand, now_s: float
    ) -> RampLimit | None:
        """Return an upstream's limit, or None if it has none."""
        ramp = self.ramps.get(identifier)
        if ramp is None or ramp.is_ended:
            return None
        limit = ramp.limit
        if ramp.is_outdated(demand.running, now_s):
            return None
        choices = self.choices.get(demand.service)
        per_s = 0.0
        if choices is not None:
            per_s = choices.read(now_s) / CHOICE_RATE_S
        return RampLimit(
            limit,
            not self._has_room(identifier, limit, demand, per_s, now_s),
            limit * demand.tokens_per_request,
        )

    def end_outdated(
        self, loads: Mapping[str, UpstreamLoad], now_s: float
    ) -> None:
        """End the ramps that have ended without any news of it here."""
        for identifier, ramp in self.ramps.items():
            running = loads.get(identifier, NO_LOAD).running
            if not ramp.is_ended and ramp.is_outdated(running, now_s):
                ramp.end(now_s)

    def note_good(
        self,
        identifier: str,
        sent_s: float,
        running: int | None,
        share: float,
        now_s: float,
    ) -> RampChange | None:
        """Note an answer that kept up; return how the limit changed.

        `running` is the load when the answer came, or None for a plain
        upstream, whose load is not known.  `share` is the upstream's
        steady share of its service's load.
        """
        ramp = self.ramps.get(identifier)
        if ramp is None or ramp.is_ended or sent_s < ramp.changed_s:
            return None
        if ramp.limit >= share:
            ramp.end(now_s)
            self._tell(identifier, is_urgent=True)
            return RampChange(identifier, ChangeKind.ENDED, math.inf)
        if running is None:
            ramp.own += 1.0 / ramp.limit
        elif running < ramp.limit * USED_SHARE:
            return None
        else:
            ramp.own += 1.0
        ramp.heard_s = now_s
        self._tell(identifier, is_urgent=False)
        return RampChange(identifier, ChangeKind.RAISED, ramp.limit)

    def note_overload(
        self,
        upstream: RoutedUpstream,
        sent_s: float,
        running: int,
        now_s: float,
        *,
        is_gone: bool = False,
    ) -> RampChange | None:
        """Lower the limit of an upstream; return how it changed.

        `running` is its load.  `is_gone` is set if no process answers
        there, so what it bore before says nothing any more.
        """
        identifier = upstream.identifier
        if not self.is_enabled:
            return None
        ramp = self.ramps.get(identifier)
        if ramp is not None and ramp.born_ms != upstream.born_ms:
            return None
        if ramp is not None and sent_s < ramp.changed_s:
            return None
        limit = math.inf if ramp is None else ramp.limit
        base = FALL_SHARE * min(limit, max(1.0, float(running)))
        if ramp is None or ramp.is_ended:
            base = max(START_LIMIT, base)
        if is_gone:
            base = min(START_LIMIT, base)
        if ramp is None:
            if not self._start(identifier, 1, base, now_s, upstream.born_ms):
                return None
            ramp = self.ramps[identifier]
        else:
            ramp.restart(ramp.falls + 1, base, now_s)
            ramp.heard_s = now_s
        self._tell(identifier, is_urgent=True)
        return RampChange(identifier, ChangeKind.LOWERED, ramp.limit)

    def merge(
        self, nonce: int, record: RampRecord, now_s: float
    ) -> RampChange | None:
        """Merge what a peer's run knows; return how the limit changed.

        A record of an incarnation that is not the listed one is
        ignored; the peer repeats it if this daemon's list is the older
        one.
        """
        identifier = record.identifier
        if not self.is_enabled:
            return None
        if self.born.get(identifier) != record.born_ms:
            return None
        ramp = self.ramps.get(identifier)
        if ramp is None:
            return self._merge_start(nonce, record, now_s)
        if ramp.is_ended and not record.is_ended:
            return self._merge_after_end(ramp, nonce, record, now_s)
        if record.falls < ramp.falls:
            return None
        ramp.heard_s = now_s
        if record.falls > ramp.falls:
            return self._merge_fall(ramp, nonce, record, now_s)
        if ramp.is_ended:
            return None
        if record.is_ended:
            ramp.end(now_s - record.age_s)
            return RampChange(identifier, ChangeKind.ENDED, math.inf)
        return self._merge_rise(ramp, nonce, record)

    def record_of(self, identifier: str, now_s: float) -> RampRecord:
        """Return what peers are told of an upstream's ramp."""
        ramp = self.ramps[identifier]
        return RampRecord(
            identifier,
            ramp.born_ms,
            ramp.falls,
            ramp.base,
            ramp.is_ended,
            ramp.own,
            ramp.total,
            max(0.0, now_s - ramp.changed_s),
        )

    def pop_unsent(self, daemons: int, now_s: float) -> list[str]:
        """Return the upstreams of which peers must be told now.

        Falls and ends are told at once, and rising limits the less
        often the more daemons there are.
        """
        due = self.urgent
        if now_s - self.sent_s >= daemons / RISE_MESSAGES_PER_S:
            due = self.unsent | self.urgent
        due &= self.ramps.keys()
        if not due:
            return []
        self.sent_s = now_s
        self.unsent -= due
        self.urgent = set()
        return sorted(due)

    def to_repeat(self, now_s: float) -> list[str]:
        """Return the upstreams of which any daemon must know."""
        identifiers: list[str] = []
        for identifier, ramp in self.ramps.items():
            if ramp.is_ended and now_s - ramp.changed_s > ENDED_REPEAT_S:
                continue
            identifiers.append(identifier)
        return identifiers

    def forget_except(self, identifiers: set[str]) -> None:
        """Remove all upstreams but the given ones."""
        for identifier in self.ramps.keys() - identifiers:
            del self.ramps[identifier]
        for identifier in self.born.keys() - identifiers:
            del self.born[identifier]
        self.unsent &= identifiers
        self.urgent &= identifiers

    def _start(
        self,
        identifier: str,
        falls: int,
        base: float,
        at_s: float,
        born_ms: int | None = None,
    ) -> bool:
        """Start a ramp; return False if there are too many."""
        if len(self.ramps) >= MAX_RAMPS and not self._drop_ended():
            return False
        if born_ms is None:
            born_ms = self.born[identifier]
        self.ramps[identifier] = Ramp(born_ms, falls, base, at_s)
        return True

    def _drop_ended(self) -> bool:
        """Drop the ramp that ended first; return False if none has."""
        ended = [
            (ramp.changed_s, identifier)
            for identifier, ramp in self.ramps.items()
            if ramp.is_ended
        ]
        if not ended:
            return False
        del self.ramps[min(ended)[1]]
        return True

    def _merge_start(
        self, nonce: int, record: RampRecord, now_s: float
    ) -> RampChange | None:
        """Merge a record of a ramp that is unknown here."""
        identifier = record.identifier
        if record.is_ended:
            return None
        at_s = now_s - record.age_s
        if not self._start(identifier, record.falls, record.base, at_s):
            return None
        ramp = self.ramps[identifier]
        ramp.heard_s = now_s
        self._merge_counts(ramp, nonce, record)
        return RampChange(identifier, ChangeKind.STARTED, ramp.limit)

    def _merge_fall(
        self, ramp: Ramp, nonce: int, record: RampRecord, now_s: float
    ) -> RampChange:
        """Merge a record with more falls than are known here."""
        at_s = now_s - record.age_s
        ramp.restart(record.falls, record.base, at_s)
        if record.is_ended:
            ramp.end(at_s)
            return RampChange(record.identifier, ChangeKind.ENDED, math.inf)
        self._merge_counts(ramp, nonce, record)
        return RampChange(record.identifier, ChangeKind.LOWERED, ramp.limit)

    def _merge_rise(
        self, ramp: Ramp, nonce: int, record: RampRecord
    ) -> RampChange | None:
        """Merge a record with the falls that are known here."""
        before = ramp.limit
        ramp.base = min(ramp.base, max(MIN_LIMIT, record.base))
        self._merge_counts(ramp, nonce, record)
        if ramp.limit == before:
            return None
        is_raised = ramp.limit > before
        kind = ChangeKind.RAISED if is_raised else ChangeKind.LOWERED
        return RampChange(record.identifier, kind, ramp.limit)

    def _merge_after_end(
        self, ramp: Ramp, nonce: int, record: RampRecord, now_s: float
    ) -> RampChange | None:
        """Merge a record of a ramp that has not ended at the peer.

        The peer either has not heard of the end, and is told of it, or
        has seen a fall since.
        """
        at_s = now_s - record.age_s
        if record.falls <= ramp.falls:
            if not record.falls or at_s < ramp.changed_s + AGE_MARGIN_S:
                return None
            # The peer had forgotten the earlier falls.
            ramp.restart(ramp.falls + 1, record.base, at_s)
        else:
            ramp.restart(record.falls, record.base, at_s)
            self._merge_counts(ramp, nonce, record)
        ramp.heard_s = now_s
        return RampChange(record.identifier, ChangeKind.LOWERED, ramp.limit)

    def _merge_counts(
        self, ramp: Ramp, nonce: int, record: RampRecord
    ) -> None:
        ramp.least_total = max(ramp.least_total, record.total)
        if nonce == self.nonce or not record.counted:
            return
        known = ramp.peers.get(nonce)
        if known is None and len(ramp.peers) >= MAX_COUNTED_DAEMONS:
            return
        ramp.peers[nonce] = max(known or 0.0, record.counted)

    def _has_room(
        self,
        identifier: str,
        limit: float,
        demand: Demand,
        per_s: float,
        now_s: float,
    ) -> bool:
        """Return whether this daemon may send one more request now.

        If more requests may be sent at the same moment than there is
        room for, the daemons take turns by a hash.  How many there may
        be is estimated from this daemon's own choices a second.
        """
        turn_s = max(TURN_S, demand.answer_s)
        daemons = max(1, demand.daemons)
        contenders = min(daemons, max(1.0, per_s * daemons * turn_s))
        if demand.own_running is None:
            room = limit - demand.running
            if room < 1.0:
                return False
            return self._is_turn(identifier, room / contenders, turn_s, now_s)
        room = limit / contenders - demand.own_running
        return room > 0.0 and self._is_turn(identifier, room, turn_s, now_s)

    def _is_turn(
        self, identifier: str, share: float, turn_s: float, now_s: float
    ) -> bool:
        """Return whether it is this daemon's turn, in a share of all.

        The turns of different daemons begin at different times.
        """
        if share >= 1.0:
            return True
        phase = self.nonce % 1_000 / 1_000
        turn = int(now_s / turn_s + phase)
        text = f"{self.nonce} {identifier} {turn}"
        return zlib.crc32(text.encode()) < share * 2**32

    def _tell(self, identifier: str, *, is_urgent: bool) -> None:
        self.unsent.add(identifier)
        if is_urgent:
            self.urgent.add(identifier)


def steady_share(
    settled: list[int], ramping: list[int], slots: int, margin: float
) -> float:
    """Return the limit at which the ramp of an upstream ends.

    `settled` are the loads of its service's upstreams without a ramp.
    If there are none, the ramp ends only when no limit holds back any
    load, so the largest of `ramping`, the loads of all, counts.
    """
    load = float(max(ramping, default=0))
    if settled:
        load = sum(settled) / len(settled)
    return min(float(slots), max(MIN_SHARE, margin * load))
