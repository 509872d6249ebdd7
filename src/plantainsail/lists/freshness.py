"""How old a daemon's knowledge is, and what it may do with it.

A message that stood in a buffer claims to be younger than it is.  So
each message carries the sender's time and, back to its receiver, the
last such time that the sender got from it, with how long ago.  The
receiver bounds the way of the message by its own clock alone:

    sent to B at 100.0; B's message echoes it, held for 0.4 s; it comes
    at 100.9: it was on its way for at most 100.9 - 100.0 - 0.4 = 0.5 s

Ages grow by this bound at each hop, so that no relaying makes anything
look younger.  A message without an echo of this very incarnation may
tell of revisions, which only grow, but confirms nothing.
"""

import math
from collections.abc import Collection, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

import xxhash

from plantainsail.identity import Incarnation

BEHIND_GRACE_S = 1.0
ZONE_SILENCE_LIMIT_S = 7.0
MAX_TIMED_PEERS = 1_024
AGE_UNIT_S = 0.1
UNKNOWN_AGE = 255


class Echo(NamedTuple):
    """A time that came from a peer, on its way back to that peer."""

    nonce: int
    sent_ms: int
    held_ms: int


class TimingRecord(NamedTuple):
    """The time that a peer sent last, and when it came."""

    sent_ms: int
    received_at_s: float


class MessageTiming:
    """Bounds how long the messages of each peer were on their way."""

    def __init__(self, nonce: int) -> None:
        self.nonce = nonce
        self.records: dict[Incarnation, TimingRecord] = {}

    def receive(self, peer: Incarnation, sent_ms: int, now_s: float) -> None:
        """Keep the time that a peer sent, unless a later one came."""
        known = self.records.pop(peer, None)
        if known is not None and known.sent_ms >= sent_ms:
            self.records[peer] = known
            return
        self.records[peer] = TimingRecord(sent_ms, now_s)
        if len(self.records) > MAX_TIMED_PEERS:
            del self.records[next(iter(self.records))]

    def echo_for(self, peer: Incarnation, now_s: float) -> Echo | None:
        """Return what to send back to a peer."""
        known = self.records.get(peer)
        if known is None:
            return None
        held_ms = int((now_s - known.received_at_s) * 1_000)
        return Echo(peer.nonce, known.sent_ms, held_ms)

    def max_transit_s(self, echo: Echo | None, now_s: float) -> float | None:
        """Return the longest time that a message was on its way.

        None means that nothing is known of it.
        """
        if echo is None or echo.nonce != self.nonce:
            return None
        return max(0.0, now_s - (echo.sent_ms + echo.held_ms) / 1_000)


def zones_digest(zones: Sequence[str]) -> int:
    """Return a 32-bit hash of the names of zones."""
    return int(xxhash.xxh32_intdigest("\0".join(zones).encode()))


def pack_ages(zones: Sequence[str], ages_s: Mapping[str, float]) -> bytes:
    """Return one byte a zone: its age in tenths, rounded up."""
    packed = bytearray()
    for zone in zones:
        age_s = ages_s.get(zone, math.inf)
        if age_s >= UNKNOWN_AGE * AGE_UNIT_S:
            packed.append(UNKNOWN_AGE)
            continue
        packed.append(min(UNKNOWN_AGE, math.ceil(age_s / AGE_UNIT_S)))
    return bytes(packed)


def unpack_ages(zones: Sequence[str], packed: bytes) -> dict[str, float]:
    """Return the known ages in seconds that were packed."""
    ages_s: dict[str, float] = {}
    for zone, age in zip(zones, packed, strict=False):
        if age != UNKNOWN_AGE:
            ages_s[zone] = age * AGE_UNIT_S
    return ages_s


class ZoneContactTimes:
    """When each availability zone was last heard, through anyone.

    Zone by zone, since a list of all daemons would cost each message
    some kilobytes.
    """

    def __init__(self) -> None:
        self.heard_at_s: dict[str, float] = {}

    def record_contact(self, zone: str, at_s: float) -> None:
        """Note that a daemon of a zone was up at a time."""
        known = self.heard_at_s.get(zone, -math.inf)
        self.heard_at_s[zone] = max(known, at_s)

    def ages_s(self, now_s: float) -> dict[str, float]:
        """Return seconds since each zone was heard."""
        return {zone: now_s - at for zone, at in self.heard_at_s.items()}

    def heard_all_recently(self, zones: Collection[str], now_s: float) -> bool:
        """Return whether all of some zones were heard lately."""
        for zone in zones:
            heard_at_s = self.heard_at_s.get(zone, -math.inf)
            if now_s - heard_at_s > ZONE_SILENCE_LIMIT_S:
                return False
        return True


class FreshnessView(NamedTuple):
    """What a daemon knows of how new its lists are.

    `age_s` is the time since anyone confirmed the revision in force,
    `behind_s` for how long a newer one is known to exist, and
    `reaches_fleet` whether each availability zone with other daemons
    was heard lately.
    """

    age_s: float
    behind_s: float
    reaches_fleet: bool


class FreshnessLimits(NamedTuple):
    """How long unconfirmed lists are acted on, in seconds.

    `cut_off_s` holds where part of the fleet is out of reach and may
    have a newer revision in force; `stale_s` where all is in reach.
    """

    cut_off_s: float
    stale_s: float


class FreshnessVerdict(StrEnum):
    """Whether lists may be acted on for new work."""

    FRESH = "fresh"
    UNCONFIRMED = "unconfirmed"
    BEHIND = "behind"
    CUT_OFF = "cut_off"
    STALE = "stale"


def judge_freshness(
    view: FreshnessView, limits: FreshnessLimits
) -> FreshnessVerdict:
    """Return whether a daemon may act on its lists.

    Fresh and unconfirmed lists are acted on, the others are not.
    """
    if view.behind_s > BEHIND_GRACE_S:
        return FreshnessVerdict.BEHIND
    if view.age_s <= min(limits.cut_off_s, limits.stale_s):
        return FreshnessVerdict.FRESH
    if not view.reaches_fleet:
        return FreshnessVerdict.CUT_OFF
    if view.age_s > limits.stale_s:
        return FreshnessVerdict.STALE
    return FreshnessVerdict.UNCONFIRMED
