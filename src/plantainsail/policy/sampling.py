"""Which of many engines one round of decisions looks at."""

import random
from collections import deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from plantainsail.policy.slices import SliceBook

MAX_CANDIDATES = 24
MAX_SAMPLED = 8
MAX_RECENTLY_FREED = 8


class _Group(NamedTuple):
    """The engines of a model, and those with a slice of this daemon."""

    hosts: Sequence[str]
    members: frozenset[str]
    hosts_with_slice: Sequence[str]


class EngineSampler:
    """Bounds the engines that a decision looks at.

    Of many, these are the ones that had room lately, those with
    borrowed room and a sample of those with an own slice.
    """

    def __init__(self, source: random.Random, slices: SliceBook) -> None:
        self.random = source
        self.slices = slices
        self.groups: dict[str, _Group] = {}
        self.recently_freed: deque[str] = deque(maxlen=MAX_RECENTLY_FREED)

    def configure(self, engines: Mapping[str, Sequence[str]]) -> None:
        """Put the engines of each model in force."""
        self.groups = {
            model: _Group(
                hosts,
                frozenset(hosts),
                [host for host in hosts if self.slices.is_holder(host)],
            )
            for model, hosts in engines.items()
        }

    def record_freed(self, host: str) -> None:
        """Note that a generation ended on an engine."""
        self.recently_freed.append(host)

    def candidate_hosts(self, model: str) -> Sequence[str]:
        """Return the engines for one round of decisions."""
        group = self.groups[model]
        if len(group.hosts) <= MAX_CANDIDATES:
            return group.hosts
        known = (*self.recently_freed, *self.slices.borrowed)
        recent = [host for host in known if host in group.members]
        fillable = group.hosts_with_slice or group.hosts
        count = min(MAX_SAMPLED, len(fillable))
        sample = self.random.sample(fillable, count)
        return list(dict.fromkeys([*recent, *sample]))
