"""Detects requests that crash engines, and when to refuse them.

A request is identified by its fingerprint.  When an engine dies, each
request that ran there becomes a suspect, although most did no harm.
Two suspects never run on the same engine, so that a second death points
to just one of them, which is then refused for a time.  Daemons send
their suspects to each other, since a caller may send its request again
to any daemon.
"""

from collections import OrderedDict, deque
from collections.abc import Collection, Iterable
from typing import NamedTuple

import xxhash

from plantainsail.policy.work import Work

MAX_SUSPECTS = 4_096
# A suspect is forgotten this long after the last death of an engine
# that ran it, and a quarantined one after the longer time.
SUSPECT_LIFETIME_S = 600.0
QUARANTINE_LIFETIME_S = 1_800.0
# A request under which this many engines died is quarantined.
QUARANTINE_DEATHS = 2
# If a rack or an availability zone fails, many engines die at once.  A
# request may have run on two of them without being the cause, so one
# such death is excused; a second one never is.
# Deaths have a common cause if this many engines that never ran the
# request die within the window.
COMMON_CAUSE_WINDOW_S = 5.0
COMMON_CAUSE_ENGINES = 3
MAX_RECENT_DEATHS = 256
# One message to a peer contains at most this many suspects.
MAX_SUSPECTS_TO_SEND = 64


def fingerprint_of(work: Work, prompt: str) -> int:
    """Return the fingerprint of a request.

    It covers the organisation, so that one organisation cannot get
    another's request refused.  It leaves out what a caller may change
    between tries while the prompt stays the same.
    """
    digest = xxhash.xxh3_64()
    for text in (work.organisation, work.model, prompt):
        digest.update(text.encode())
        digest.update(b"\0")
    return digest.intdigest()


class Suspect(NamedTuple):
    """A request under which engines died.

    `deaths` names the upstream incarnations.  `last_death_s` is when
    the last death was noted, on this daemon's clock.
    `has_excused_death` tells that this daemon did not count one death
    that had a common cause.
    """

    fingerprint: int
    deaths: tuple[str, ...]
    last_death_s: float
    has_excused_death: bool = False

    @property
    def is_quarantined(self) -> bool:
        """Return whether the request is refused."""
        return len(self.deaths) >= QUARANTINE_DEATHS

    def has_expired(self, now_s: float) -> bool:
        """Return whether the request is no longer a suspect."""
        lifetime_s = SUSPECT_LIFETIME_S
        if self.is_quarantined:
            lifetime_s = QUARANTINE_LIFETIME_S
        return now_s - self.last_death_s > lifetime_s


class Death(NamedTuple):
    """The death of an engine, and one request that ran there."""

    upstream: str
    fingerprint: int
    at_s: float


class Quarantine:
    """The suspects that one daemon knows of, in bounded memory.

    When it is full, it drops the suspect that was updated longest ago,
    and quarantined ones only if there are no others.

    `suspects` is by fingerprint.  `running` maps each host to its
    running requests and their fingerprints.
    """

    def __init__(self) -> None:
        self.suspects: OrderedDict[int, Suspect] = OrderedDict()
        self.running: dict[str, dict[str, int]] = {}
        self.recent_deaths: deque[Death] = deque(maxlen=MAX_RECENT_DEATHS)
        self.has_unsent_suspects = False

    def find(self, fingerprint: int, now_s: float) -> Suspect | None:
        """Return the suspect with a fingerprint, unless it expired."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or suspect.has_expired(now_s):
            return None
        return suspect

    def engines_to_avoid(
        self, fingerprint: int, now_s: float
    ) -> Collection[str]:
        """Return the hosts where a request may not run now.

        These are, for a suspect, the hosts that run another suspect.
        """
        if self.find(fingerprint, now_s) is None:
            return ()
        return [
            host
            for host, requests in self.running.items()
            if self._runs_other_suspect(requests.values(), fingerprint, now_s)
        ]

    def _runs_other_suspect(
        self, fingerprints: Iterable[int], own: int, now_s: float
    ) -> bool:
        for fingerprint in fingerprints:
            if fingerprint == own:
                continue
            if self.find(fingerprint, now_s) is not None:
                return True
        return False

    def note_started(self, host: str, request: str, fingerprint: int) -> None:
        """Note that a request was sent to an engine."""
        self.running.setdefault(host, {})[request] = fingerprint

    def note_ended(self, host: str, request: str) -> None:
        """Note that a request no longer runs on an engine."""
        requests = self.running.get(host)
        if requests is None:
            return
        requests.pop(request, None)
        if not requests:
            del self.running[host]

    def note_death(
        self, fingerprint: int, upstream: str, started_s: float, now_s: float
    ) -> None:
        """Note that an engine died while it ran a request.

        `upstream` is `host/incarnation`.  An engine that restarts and
        dies again may still be listed under its earlier incarnation.
        So a death of an upstream that is listed already counts again if
        the request started after the last noted death.
        """
        self.recent_deaths.append(Death(upstream, fingerprint, now_s))
        known = self.find(fingerprint, now_s)
        self.has_unsent_suspects = True
        if known is None:
            self._put(Suspect(fingerprint, (upstream,), now_s))
            return
        is_repeated = upstream in known.deaths
        if is_repeated and started_s <= known.last_death_s:
            return
        if not known.has_excused_death and self._has_common_cause(
            fingerprint, now_s
        ):
            self._put(
                known._replace(last_death_s=now_s, has_excused_death=True)
            )
            return
        name = f"{upstream}#{len(known.deaths)}" if is_repeated else upstream
        self._put(
            known._replace(deaths=(*known.deaths, name), last_death_s=now_s)
        )

    def _has_common_cause(self, fingerprint: int, now_s: float) -> bool:
        """Return whether many engines died that never ran a request.

        `fingerprint` identifies that request.
        """
        upstreams = {
            death.upstream
            for death in self.recent_deaths
            if now_s - death.at_s <= COMMON_CAUSE_WINDOW_S
        }
        upstreams_of_request = {
            death.upstream
            for death in self.recent_deaths
            if death.fingerprint == fingerprint
        }
        return len(upstreams - upstreams_of_request) >= COMMON_CAUSE_ENGINES

    def merge(self, received: Suspect, now_s: float) -> None:
        """Merge a suspect that a peer sent.

        A death that both daemons know counts once.
        """
        if received.has_expired(now_s):
            return
        known = self.find(received.fingerprint, now_s)
        if known is None:
            self._put(received)
            self.has_unsent_suspects = True
            return
        deaths = known.deaths + tuple(
            death for death in received.deaths if death not in known.deaths
        )
        if deaths == known.deaths:
            return
        self.has_unsent_suspects = True
        last_death_s = max(known.last_death_s, received.last_death_s)
        self._put(known._replace(deaths=deaths, last_death_s=last_death_s))

    def newest_suspects(self, now_s: float) -> list[Suspect]:
        """Return the newest suspects, to send them to a peer."""
        newest: list[Suspect] = []
        for suspect in reversed(self.suspects.values()):
            if len(newest) == MAX_SUSPECTS_TO_SEND:
                break
            if not suspect.has_expired(now_s):
                newest.append(suspect)
        return newest

    def _put(self, suspect: Suspect) -> None:
        self.suspects[suspect.fingerprint] = suspect
        self.suspects.move_to_end(suspect.fingerprint)
        if len(self.suspects) > MAX_SUSPECTS:
            self._evict()

    def _evict(self) -> None:
        for fingerprint, suspect in self.suspects.items():
            if suspect.is_quarantined:
                continue
            del self.suspects[fingerprint]
            return
        self.suspects.popitem(last=False)
