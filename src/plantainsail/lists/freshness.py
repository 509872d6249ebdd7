"""The age of a daemon's lists, and whether it may still act on them.

A message that waited in a buffer would make its contents look younger
than they are.  Therefore each message carries the sender's time, and
echoes the last such time that the sender got from the receiver, with
how long the sender held it.  From the echo the receiver computes an
upper bound of the message's transit time by its own clock alone:

    A sends its time 100.0 to B.  B's message echoes it after holding it
    for 0.4 s and reaches A at 100.9.  It was in transit for at most
    100.9 - 100.0 - 0.4 = 0.5 s.

Ages grow by this bound at each hop, so relaying never makes anything
look younger.  A message that echoes no time of this incarnation can
announce revisions, which only grow, but confirms nothing.
"""

import math
from collections.abc import Collection, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

import xxhash

from plantainsail.identity import Incarnation

# How long a daemon still acts on its lists after it learned that a
# newer revision exists.
BEHIND_GRACE_S = 1.0
# An availability zone not heard from for longer is out of reach.
ZONE_SILENCE_LIMIT_S = 7.0
# The most peers whose last sent time `MessageTiming` keeps.
MAX_TIMED_PEERS = 1_024
# The unit of the ages of availability zones, each a byte of a message.
AGE_UNIT_S = 0.1
# The byte that stands for an age that is unknown or too great.
UNKNOWN_AGE = 255


class Echo(NamedTuple):
    """A time that a daemon sent, as its peer sends it back.

    `nonce` identifies the incarnation that sent the time `sent_ms`, in
    milliseconds of its own clock.  `held_ms` is how long the peer held
    that time before it sent the echo.
    """

    nonce: int
    sent_ms: int
    held_ms: int


class TimingRecord(NamedTuple):
    """The latest time that a peer sent, and when it was received.

    `sent_ms` is by the peer's clock, and `received_at_s` by this
    daemon's.
    """

    sent_ms: int
    received_at_s: float


class MessageTiming:
    """Computes upper bounds of the transit times of peers' messages.

    `nonce` identifies this daemon's incarnation, and `last_sent_times`
    holds the latest time received from each peer.
    """

    def __init__(self, nonce: int) -> None:
        self.nonce = nonce
        self.last_sent_times: dict[Incarnation, TimingRecord] = {}

    def receive(self, peer: Incarnation, sent_ms: int, now_s: float) -> None:
        """Record the time that a peer sent if it is the latest."""
        previous = self.last_sent_times.pop(peer, None)
        if previous is not None and previous.sent_ms >= sent_ms:
            self.last_sent_times[peer] = previous
            return
        self.last_sent_times[peer] = TimingRecord(sent_ms, now_s)
        if len(self.last_sent_times) > MAX_TIMED_PEERS:
            del self.last_sent_times[next(iter(self.last_sent_times))]

    def echo_for(self, peer: Incarnation, now_s: float) -> Echo | None:
        """Return the echo to send to a peer, if it sent a time."""
        record = self.last_sent_times.get(peer)
        if record is None:
            return None
        held_ms = int((now_s - record.received_at_s) * 1_000)
        return Echo(peer.nonce, record.sent_ms, held_ms)

    def max_transit_s(self, echo: Echo | None, now_s: float) -> float | None:
        """Return an upper bound of a message's transit time.

        Return None if its echo is missing or not of this incarnation.
        """
        if echo is None or echo.nonce != self.nonce:
            return None
        return max(0.0, now_s - (echo.sent_ms + echo.held_ms) / 1_000)


def zones_digest(zones: Sequence[str]) -> int:
    """Return a 32-bit hash of availability zone names, in order."""
    return int(xxhash.xxh32_intdigest("\0".join(zones).encode()))


def pack_ages(zones: Sequence[str], ages_s: Mapping[str, float]) -> bytes:
    """Encode the time since each availability zone was known to be up.

    Each zone gets one byte, in units of `AGE_UNIT_S`, rounded up.
    """
    packed = bytearray()
    for zone in zones:
        age_s = ages_s.get(zone, math.inf)
        if age_s >= UNKNOWN_AGE * AGE_UNIT_S:
            packed.append(UNKNOWN_AGE)
            continue
        packed.append(min(UNKNOWN_AGE, math.ceil(age_s / AGE_UNIT_S)))
    return bytes(packed)


def unpack_ages(zones: Sequence[str], packed: bytes) -> dict[str, float]:
    """Decode the bytes that `pack_ages` made for the same zones.

    Return, in seconds, the time since each availability zone was known
    to be up, leaving out zones whose byte is `UNKNOWN_AGE`.
    """
    ages_s: dict[str, float] = {}
    for zone, age in zip(zones, packed, strict=False):
        if age != UNKNOWN_AGE:
            ages_s[zone] = age * AGE_UNIT_S
    return ages_s


class ZoneContactTimes:
    """When a daemon of each availability zone was last known to be up.

    Contacts of other daemons, which peers relay, count too.  Times are
    kept by zone, since a list of all daemons would add some kilobytes
    to each message.
    """

    def __init__(self) -> None:
        self.heard_at_s: dict[str, float] = {}

    def record_contact(self, zone: str, at_s: float) -> None:
        """Record that a daemon of a zone was up at time `at_s`."""
        previous_s = self.heard_at_s.get(zone, -math.inf)
        self.heard_at_s[zone] = max(previous_s, at_s)

    def ages_s(self, now_s: float) -> dict[str, float]:
        """Return the time since each zone was last known to be up."""
        return {zone: now_s - at for zone, at in self.heard_at_s.items()}

    def heard_all_recently(self, zones: Collection[str], now_s: float) -> bool:
        """Return whether all zones are within the silence limit.

        The limit is `ZONE_SILENCE_LIMIT_S`.
        """
        for zone in zones:
            heard_at_s = self.heard_at_s.get(zone, -math.inf)
            if now_s - heard_at_s > ZONE_SILENCE_LIMIT_S:
                return False
        return True


class FreshnessView(NamedTuple):
    """The facts by which a daemon judges the freshness of its lists.

    `age_s` is the time since the last confirmation of the revision in
    force, `behind_s` how long a newer one has been known to exist, and
    `reaches_fleet` whether each availability zone with other daemons
    was heard from recently.
    """

    age_s: float
    behind_s: float
    reaches_fleet: bool


class FreshnessLimits(NamedTuple):
    """How long a daemon acts on unconfirmed lists, in seconds.

    `cut_off_s` applies while part of the fleet is out of reach and may
    have a newer revision in force, `stale_s` while all is in reach.
    """

    cut_off_s: float
    stale_s: float


class FreshnessVerdict(StrEnum):
    """Whether lists may be used for new work, or why not.

    `UNCONFIRMED` lists may still be used: they are older than a limit,
    but the whole fleet is in reach.  `BEHIND` means that a newer
    revision exists, `CUT_OFF` that the lists are too old while part of
    the fleet is out of reach, and `STALE` that they are too old anyway.
    """

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
