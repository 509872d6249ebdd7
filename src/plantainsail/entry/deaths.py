"""Requests under which engines die, by own and by peers' sight.

The suspects themselves are kept by `policy.quarantine`.
"""

import xxhash

from plantainsail.entry.request import RoutedRequest
from plantainsail.policy.quarantine import Quarantine, Suspect
from plantainsail.routing.members import SuspectEntry
from plantainsail.routing.model import RoutedUpstream
from plantainsail.upstreams.single_use import (
    ConnectError,
    SingleUseConnection,
)

PROBE_S = 0.3
# A suspect is told for so long that a lost heartbeat does no harm.
REPEAT_AGE_S = 10.0
MAX_TOLD = 8
MAX_DEATHS_TAKEN = 8


def fingerprint_of(request: RoutedRequest) -> int:
    """Return what stays the same when a caller sends it again."""
    digest = xxhash.xxh3_64()
    organisation = request.organisation
    digest.update(b"" if organisation is None else organisation.name.encode())
    digest.update(b"\0" + request.caller.target + b"\0")
    digest.update(request.body)
    # Messages carry signed numbers.
    return digest.intdigest() >> 1


async def has_died(upstream: RoutedUpstream) -> bool:
    """Return whether an upstream that cut a stream is gone."""
    return await _connect_error(upstream) is not None


async def has_surely_ended(upstream: RoutedUpstream) -> bool:
    """Return whether an upstream's process surely has ended.

    One that is silent may only be cut off, and still run.
    """
    error = await _connect_error(upstream)
    return error is not None and error.is_refused


async def _connect_error(upstream: RoutedUpstream) -> ConnectError | None:
    try:
        connection = await SingleUseConnection.open(upstream.address, PROBE_S)
    except ConnectError as error:
        return error
    connection.abort()
    return None


def to_tell(quarantine: Quarantine, now_s: float) -> tuple[SuspectEntry, ...]:
    """Return the newest suspects for a heartbeat."""
    told: list[SuspectEntry] = []
    for suspect in quarantine.newest_suspects(now_s):
        age_s = now_s - suspect.last_death_s
        if age_s > REPEAT_AGE_S or len(told) == MAX_TOLD:
            continue
        told.append(
            SuspectEntry(
                suspect.fingerprint, suspect.deaths, int(age_s * 1000)
            )
        )
    return tuple(told)


def take_told(
    quarantine: Quarantine, told: tuple[SuspectEntry, ...], now_s: float
) -> None:
    """Take in what a peer tells."""
    for one in told:
        deaths = one.deaths[:MAX_DEATHS_TAKEN]
        last_death_s = now_s - one.age_ms / 1000
        quarantine.merge(Suspect(one.fingerprint, deaths, last_death_s), now_s)
