"""Keeps requests from upstreams that asked this daemon for a pause.

An upstream that turns a request away may say for how long it wants no
further one.  It asks the daemon that sent the request, and no other.
"""

from typing import NamedTuple

from plantainsail.routing.model import RoutedUpstream

# No upstream is believed that wants a longer pause.
MAX_HOLD_OFF_S = 300.0


class HoldOff(NamedTuple):
    """A pause that one incarnation of an upstream asked for."""

    born_ms: int
    until_s: float


class HoldOffs:
    """The pauses that upstreams asked for, by their identifiers."""

    def __init__(self) -> None:
        self.pauses: dict[str, HoldOff] = {}

    def note(
        self, upstream: RoutedUpstream, for_s: float, now_s: float
    ) -> None:
        """Record that an upstream wants no request for a time."""
        until_s = now_s + min(for_s, MAX_HOLD_OFF_S)
        self.pauses[upstream.identifier] = HoldOff(upstream.born_ms, until_s)

    def wait_s(self, upstream: RoutedUpstream, now_s: float) -> float:
        """Return how long an upstream wants no request from now on."""
        pause = self.pauses.get(upstream.identifier)
        if pause is None or pause.born_ms != upstream.born_ms:
            return 0.0
        return max(0.0, pause.until_s - now_s)

    def forget_ended(self, now_s: float) -> None:
        """Drop the pauses that are over."""
        for identifier, pause in list(self.pauses.items()):
            if pause.until_s <= now_s:
                del self.pauses[identifier]
