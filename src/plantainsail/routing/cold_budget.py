"""The budget of a cold upstream, and who shares it."""

from functools import lru_cache
from typing import NamedTuple

# The share of the budget that is used on average.
USED_SHARE = 0.95
# The turns of all daemons together, as a multiple of the requests that
# the upstream may get.  Even daemons that don't know of each other's
# requests send no more than that.
TURNS_PER_REQUEST = 1.4
# The bucket of the whole fleet holds at most this many tokens, but at
# most this part of the bound in any second.
BURST = 5.0
BURST_SHARE = 0.12
# The part of the bound in any second that is kept for requests which
# daemons send before they hear of each other's.
RESERVED_SHARE = 0.3
# Keeps the rate above zero, whatever the bound is.
MIN_RATE_PER_S = 0.001
# A daemon that hears no peer uses this part of its share, since the
# requests of such daemons coincide by chance.
ALONE_SHARE = 0.6


class ColdBudget(NamedTuple):
    """The requests a second that a cold upstream gets.

    It bears `per_s` on average, and at most `most` in any one second.
    """

    per_s: float
    most: float

    @property
    def rate_per_s(self) -> float:
        """Return how many tokens come in a second.

        The rate, the burst and the reserve stay below the bound.
        """
        within_bound = self.most * (1.0 - RESERVED_SHARE) - self.burst
        usual = USED_SHARE * self.per_s
        return max(MIN_RATE_PER_S, min(usual, within_bound))

    @property
    def most_owed(self) -> float:
        """Return the debt of the bucket at most, which is the reserve.

        A daemon that was frozen receives reports of long ago at once.
        """
        return max(1.0, self.most - self.rate_per_s)

    @property
    def burst(self) -> float:
        """Return how many tokens the bucket of the fleet holds."""
        return min(BURST, BURST_SHARE * self.most)


class FleetShare(NamedTuple):
    """The daemons that hear each other, of all that are known.

    A partition may go unnoticed for `notice_s`.
    """

    heard: int
    known: int
    notice_s: float = 0.0

    @property
    def ratio(self) -> float:
        """Return the share of the budget that these daemons use."""
        share = min(1.0, self.heard / max(1, self.known))
        return share * ALONE_SHARE if self.is_alone else share

    @property
    def turns_ratio(self) -> float:
        """Return the turns of all known daemons for each request."""
        return ALONE_SHARE if self.is_alone else TURNS_PER_REQUEST

    @property
    def is_alone(self) -> bool:
        """Return whether a daemon hears none of the others."""
        return self.heard == 1 < self.known


class GroupBudget(NamedTuple):
    """What the daemons that hear each other use of a budget.

    Their bucket gets `per_s` tokens a second and holds `most_tokens`.
    All known daemons together have `turns_per_s` turns.
    """

    per_s: float
    most_tokens: float
    turns_per_s: float


@lru_cache(maxsize=64)
def group_budget(budget: ColdBudget, share: FleetShare) -> GroupBudget:
    """Return the part of a budget that some daemons use.

    It is kept, as a decision needs it for each cold upstream.
    """
    return GroupBudget(
        budget.rate_per_s * share.ratio,
        max(1.0, budget.burst * share.ratio),
        budget.rate_per_s * share.turns_ratio,
    )
