"""Detects engine deaths and exchanges the suspect requests with peers.

`policy.quarantine` keeps the suspects: the requests during which
engines died.
"""

import xxhash

from plantainsail.entry.request import RoutedRequest
from plantainsail.policy.quarantine import Quarantine, Suspect
from plantainsail.routing.messages import SuspectEntry
from plantainsail.routing.model import RoutedUpstream
from plantainsail.upstreams.single_use import (
    ConnectError,
    SingleUseConnection,
)

PROBE_TIMEOUT_S = 0.3
# Heartbeats repeat a suspect until it is this old, so that one that is
# lost does no harm.
MAX_SENT_AGE_S = 10.0
MAX_SUSPECTS_SENT = 8
MAX_DEATHS_ACCEPTED = 8  # of one suspect that a peer sent


def fingerprint_of(request: RoutedRequest) -> int:
    """Return a hash that stays the same when a request is repeated.

    It covers the organisation, the target and the body, but no other
    headers.
    """
    digest = xxhash.xxh3_64()
    organisation = request.organisation
    digest.update(b"" if organisation is None else organisation.name.encode())
    digest.update(b"\0" + request.caller.target + b"\0")
    digest.update(request.body)
    # The shift makes the hash fit the signed integers of messages.
    return digest.intdigest() >> 1


async def is_unreachable(upstream: RoutedUpstream) -> bool:
    """Return whether an upstream accepts no connections."""
    return await _connect_error(upstream) is not None


async def has_process_ended(upstream: RoutedUpstream) -> bool:
    """Return whether an upstream's process has surely ended.

    Only a refused connection shows this: an upstream that doesn't
    answer may be cut off by the network and still run.
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
    """Return the newest suspects, for a heartbeat."""
    entries: list[SuspectEntry] = []
    for suspect in quarantine.newest_suspects(now_s):
        age_s = now_s - suspect.last_death_s
        if age_s > MAX_SENT_AGE_S or len(entries) == MAX_SUSPECTS_SENT:
            continue
        entries.append(
            SuspectEntry(
                suspect.fingerprint, suspect.deaths, int(age_s * 1000)
            )
        )
    return tuple(entries)


def merge_peer_suspects(
    quarantine: Quarantine, suspects: tuple[SuspectEntry, ...], now_s: float
) -> None:
    """Merge the suspects of a peer's heartbeat into the quarantine."""
    for suspect in suspects:
        deaths = suspect.deaths[:MAX_DEATHS_ACCEPTED]
        last_death_s = now_s - suspect.age_ms / 1000
        quarantine.merge(
            Suspect(suspect.fingerprint, deaths, last_death_s), now_s
        )
