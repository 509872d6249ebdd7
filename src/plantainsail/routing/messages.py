"""The messages that entry daemons exchange by datagrams."""

from typing import Annotated, NamedTuple

from msgspec import Meta

from plantainsail.routing.fleet_loads import UpstreamLoad
from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.pace import Pace
from plantainsail.routing.zone_drains import ZoneOrder

# Decoders refuse numbers out of these ranges, and those that are none.
Rate = Annotated[float, Meta(gt=0, le=1e9)]
Limit = Annotated[float, Meta(ge=0, le=1e64)]
Tokens = Annotated[float, Meta(ge=-1e66, le=1e66)]
Count = Annotated[int, Meta(ge=0, le=10**9)]
RampSum = Annotated[float, Meta(ge=0, le=1e9)]
RampBase = Annotated[float, Meta(ge=0, le=1e6)]


class LoadEntry(NamedTuple):
    """A daemon's own load on one upstream, and the speeds it saw.

    `identifier` names the upstream.  `read_tokens_s` is how many prompt
    tokens the engine reads a second.
    """

    identifier: str
    load: UpstreamLoad
    pace: Pace | None = None
    read_tokens_s: Rate | None = None


class SuspectEntry(NamedTuple):
    """A request under which engines died, sent by earlier builds."""

    fingerprint: int
    deaths: tuple[str, ...]
    age_ms: int


class LeavingEntry(NamedTuple):
    """An upstream that gave notice that it leaves, and how soon.

    `identifier` and `born_ms`, its start time in milliseconds, name one
    incarnation of the upstream.
    """

    identifier: str
    born_ms: int
    gone_in_ms: int


class AvoidedEntry(NamedTuple):
    """An engine that is avoided, and for how long still."""

    identifier: str
    for_ms: int


class Heartbeat(NamedTuple):
    """One message from a daemon to another.

    `nonce` names the sender's run, and `sequence` counts the heartbeats
    of that run.  `sent_ms` is a time on the sender's clock.  `echo_ms`
    is the newest `sent_ms` that the sender got from the receiver, and
    `echo_nonce` the nonce of the receiver's run at that time.  The
    sender's proof of freshness is `configuration_age_ms` old; -1 means
    that the sender has none.  A message with `is_whole` carries all
    loads, and any other message only the changed ones.
    `has_lost_service` says that the configuration service refuses the
    sender or does not answer it.
    """

    address: str
    nonce: int
    sequence: int
    sent_ms: int
    echo_ms: int
    echo_nonce: int
    is_leaving: bool
    configuration_version: int
    configuration_age_ms: int
    registry_revision: int
    is_whole: bool
    loads: tuple[LoadEntry, ...]
    members: tuple[str, ...] = ()
    # Earlier builds send suspects here; the place in the array stays.
    suspects: tuple[SuspectEntry, ...] = ()
    leaving: tuple[LeavingEntry, ...] = ()
    avoided: tuple[AvoidedEntry, ...] = ()
    has_lost_service: bool = False


class Introduction(NamedTuple):
    """Tells a daemon the sender's availability zone.

    The receiver answers with its own if `is_question` is set.  It is a
    message of its own, since builds that don't know it must still read
    heartbeats.
    """

    address: str
    availability_zone: str
    is_question: bool


class DeathEntry(NamedTuple):
    """The death of an engine while it ran a request with a part.

    The ages are the times since the request was sent there, and since
    the death.  `had_begun` says whether the engine had begun to answer.
    """

    upstream: str
    started_age_ms: int
    died_age_ms: int
    had_begun: bool = True


class SuspectPartEntry(NamedTuple):
    """A part of requests under which engines died.

    `sound_age_ms` is the time since an engine began a sound answer to a
    request with the part, or None.  It clears all earlier deaths.
    """

    part: str
    deaths: tuple[DeathEntry, ...]
    sound_age_ms: int | None = None


class SuspectParts(NamedTuple):
    """What a daemon knows of parts of requests that crash engines."""

    address: str
    parts: tuple[SuspectPartEntry, ...]


class LimitEntry(NamedTuple):
    """The rate limit of an upstream, and what the sender sent to it.

    `per_s` is None if the upstream names no limit any more, and
    `age_ms` the time since it last named one or none.  `sent` counts
    the requests of this run of the sender, and `tokens` is what its
    copy of the upstream's token bucket holds.
    """

    identifier: str
    per_s: Limit | None
    age_ms: int
    sent: int
    tokens: Tokens


class RateLimitReport(NamedTuple):
    """What a daemon knows of limited upstreams, and sent to them.

    `nonce` names the sender's run.  `is_news` says that it changed or
    sent something just now.
    """

    address: str
    nonce: int
    is_news: bool
    limits: tuple[LimitEntry, ...]


class ZoneOrders(NamedTuple):
    """What a daemon knows of orders to drain availability zones.

    These are all orders up to `revision`, or only some if that is -1.
    `address` is the sender's.
    """

    address: str
    revision: int
    orders: tuple[ZoneOrder, ...]


class ColdEntry(NamedTuple):
    """A cold upstream, and what the sender sent to it.

    `identifier` and `born_ms` name its incarnation, which stays cold
    for `left_ms`.  An answer of it said so `answered_age_ms` ago; -1
    means that this follows from its entry.  `is_provisional` says that
    the sender has it from its first list and does not know whether the
    upstream is cold.  `sent` and `tokens` are as for rate limits.
    """

    identifier: str
    born_ms: int
    left_ms: int
    answered_age_ms: int
    is_provisional: bool
    sent: int
    tokens: Tokens


class ColdUpstreamReport(NamedTuple):
    """What a daemon knows of cold upstreams, and sent to them.

    `nonce` names the sender's run.  `is_news` says that it learned or
    sent something just now, and `is_whole` that it knows of no other
    cold upstream.  It has followed the lists of upstreams for
    `followed_ms`, and knows of `daemons` in the fleet.
    """

    address: str
    nonce: int
    is_news: bool
    is_whole: bool
    followed_ms: int
    daemons: int
    upstreams: tuple[ColdEntry, ...]


class RampEntry(NamedTuple):
    """What the sender knows of the ramp of one upstream.

    The fields are those of `ramp_records.RampRecord`, with an age in
    milliseconds.
    """

    identifier: str
    born_ms: int
    falls: Count
    base: RampBase
    is_ended: bool
    counted: RampSum
    total: RampSum
    age_ms: Count


class RampReport(NamedTuple):
    """What a daemon knows of the ramps of upstreams.

    `nonce` names the sender's run.
    """

    address: str
    nonce: int
    ramps: tuple[RampEntry, ...]


class ListChange(NamedTuple):
    """Changed upstream entries, sent by a watching daemon to others.

    It contains all changes after revision `after` up to `revision`, so
    a receiver whose revision lies between can apply it.  `written` are
    the entries that were added or updated, and `removed` the
    identifiers of those removed.  `address` is the sender's.
    """

    address: str
    after: int
    revision: int
    written: tuple[RoutedUpstream, ...]
    removed: tuple[str, ...]
