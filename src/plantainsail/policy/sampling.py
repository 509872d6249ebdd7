"""Chooses the engines that one round of decisions considers."""

import random
from collections import deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from plantainsail.policy.slices import SliceBook

# A model with at most this many engines is not sampled.
MAX_CANDIDATES = 24
# The random engines, and those where a generation ended recently, that
# are candidates for one model.
MAX_SAMPLED = 8
MAX_RECENTLY_FREED = 8


class _ModelEngines(NamedTuple):
    """The hosts of a model, and those where this daemon has a slice."""

    hosts: Sequence[str]
    host_set: frozenset[str]
    hosts_with_slice: Sequence[str]


class EngineSampler:
    """Limits the engines that a round of decisions considers.

    If a model has many engines, the candidates are those where a
    generation ended recently, those where this daemon borrows memory,
    and a random sample of those where it has a slice.
    """

    def __init__(self, rng: random.Random, slices: SliceBook) -> None:
        self.random = rng
        self.slices = slices
        self.groups: dict[str, _ModelEngines] = {}
        self.recently_freed: deque[str] = deque(maxlen=MAX_RECENTLY_FREED)

    def configure(self, engines: Mapping[str, Sequence[str]]) -> None:
        """Set the engines of each model."""
        self.groups = {
            model: _ModelEngines(
                hosts,
                frozenset(hosts),
                [host for host in hosts if self.slices.is_holder(host)],
            )
            for model, hosts in engines.items()
        }

    def record_freed(self, host: str) -> None:
        """Record that a generation ended on an engine."""
        self.recently_freed.append(host)

    def candidate_hosts(self, model: str) -> Sequence[str]:
        """Return the hosts to consider in one round of decisions."""
        group = self.groups[model]
        if len(group.hosts) <= MAX_CANDIDATES:
            return group.hosts
        extra_hosts = (*self.recently_freed, *self.slices.borrowed)
        recent = [host for host in extra_hosts if host in group.host_set]
        sampled_from = group.hosts_with_slice or group.hosts
        count = min(MAX_SAMPLED, len(sampled_from))
        sample = self.random.sample(sampled_from, count)
        return list(dict.fromkeys([*recent, *sample]))
