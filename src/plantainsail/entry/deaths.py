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

PROBE_TIMEOUT_S = 0.3
# A suspect is told for so long that a lost heartbeat does no harm.
MAX_SENT_AGE_S = 10.0
MAX_SUSPECTS_SENT = 8
MAX_DEATHS_ACCEPTED = 8


def fingerprint_of(request: RoutedRequest) -> int:
    """Return what stays the same when a caller sends it again."""
    digest = xxhash.xxh3_64()
    organisation = request.organisation
    digest.update(b"" if organisation is None else organisation.name.encode())
    digest.update(b"\0" + request.caller.target + b"\0")
    digest.update(request.body)
    # Messages carry signed numbers.
    return digest.intdigest() >> 1


async def is_unreachable(upstream: RoutedUpstream) -> bool:
    """Return whether an upstream that cut a stream is gone."""
    return await _connect_error(upstream) is not None


async def has_process_ended(upstream: RoutedUpstream) -> bool:
    """Return whether an upstream's process surely has ended.

    One that is silent may only be cut off, and still run.
    """
    error = await _connect_error(upstream)
    return error is not None and error.is_refused


async def _connect_error(upstream: RoutedUpstream) -> ConnectError | None:
    try:
        connection = await SingleUseConnection.open(
            upstream.address, PROBE_TIMEOUT_S
        )
    except ConnectError as error:
        return error
    connection.abort()
    return None


def suspects_to_send(
    quarantine: Quarantine, now_s: float
) -> tuple[SuspectEntry, ...]:
    """Return the newest suspects for a heartbeat."""
    told: list[SuspectEntry] = []
    for suspect in quarantine.to_spread(now_s):
        age_s = now_s - suspect.noted_s
        if age_s > MAX_SENT_AGE_S or len(told) == MAX_SUSPECTS_SENT:
            continue
        told.append(
            SuspectEntry(
                suspect.fingerprint, suspect.deaths, int(age_s * 1000)
            )
        )
    return tuple(told)


def merge_peer_suspects(
    quarantine: Quarantine, suspects: tuple[SuspectEntry, ...], now_s: float
) -> None:
    """Take in what a peer tells."""
    for one in suspects:
        deaths = one.deaths[:MAX_DEATHS_ACCEPTED]
        noted_s = now_s - one.age_ms / 1000
        quarantine.merge(Suspect(one.fingerprint, deaths, noted_s), now_s)
