"""What the ramps of upstreams are asked, answer and tell peers."""

import math
from enum import StrEnum
from typing import NamedTuple


class RampRecord(NamedTuple):
    """What a daemon knows of a ramp, as it is told to peers.

    `born_ms` names the incarnation.  `falls` counts the ramp's falls,
    and `base` is the limit after the last one, or at the start.
    `counted` is how much the sender's own answers raise it since then,
    and `total` how much those of all daemons do, as far as it knows.
    `age_s` is the time since the last fall, start or end.
    """

    identifier: str
    born_ms: int
    falls: int
    base: float
    is_ended: bool
    counted: float
    total: float
    age_s: float


class ChangeKind(StrEnum):
    """How the limit of an upstream changed."""

    STARTED = "started"
    RAISED = "raised"
    LOWERED = "lowered"
    ENDED = "ended"


class RampChange(NamedTuple):
    """A change of an upstream's limit; `limit` holds from now on."""

    identifier: str
    kind: ChangeKind
    limit: float


class Demand(NamedTuple):
    """The load on an upstream, and how many daemons may add to it.

    `running` counts the requests of all `daemons` that are busy.
    `own_running` is given if only this daemon's load is known exactly,
    because requests end before peers learn of them; these usually take
    `answer_s`.
    `tokens_per_request` is the memory of an engine for each of its
    slots, in tokens.
    """

    service: str
    running: int
    daemons: int
    own_running: int | None = None
    answer_s: float = 0.0
    tokens_per_request: float = math.inf


class RampLimit(NamedTuple):
    """What an upstream may get from all daemons now.

    It is over its limit if `is_over` is set.  A request with a longer
    prompt than `unread_tokens` leaves is sent only if the upstream has
    no other prompt to read.
    """

    limit: float
    is_over: bool
    unread_tokens: float
