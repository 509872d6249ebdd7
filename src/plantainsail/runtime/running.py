"""Counts the running work, so that the daemon stops only after it."""

import asyncio
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager


class RunningWork:
    """The work that must end before the daemon may stop.

    `idle` is set while no work runs.  Example:

    with node.running.count("ticket"):
        await run_ticket()
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.idle = asyncio.Event()
        self.idle.set()

    @contextmanager
    def count(self, kind: str) -> Iterator[None]:
        """Count one piece of work while the context lasts."""
        self._begin(kind)
        try:
            yield
        finally:
            self._end(kind)

    def count_task(self, kind: str, task: asyncio.Task[None]) -> None:
        """Count the work of a task until the task is done."""
        self._begin(kind)
        task.add_done_callback(lambda _: self._end(kind))

    def total(self) -> int:
        """Return the number of pieces of work that run now."""
        return self.counts.total()

    def by_kind(self) -> dict[str, int]:
        """Return the number of running pieces of work by kind."""
        return {kind: n for kind, n in self.counts.items() if n > 0}

    def _begin(self, kind: str) -> None:
        self.counts[kind] += 1
        self.idle.clear()

    def _end(self, kind: str) -> None:
        self.counts[kind] -= 1
        if self.total() == 0:
            self.idle.set()
