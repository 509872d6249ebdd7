"""Sees to it that a cancelled call of the HTTP client ends its task.

The client waits through `asyncio.wait_for`, which in Python 3.11 keeps
a cancellation to itself if what it waited for is done in the same step
of the event loop.  A task that works in a loop then goes on for ever,
and whoever cancelled it waits as long.
"""

import asyncio
from types import TracebackType


class CancellationGuard:
    """Raises a cancellation that came within its block but was kept.

    It stands around the calls themselves, within a handler that turns
    errors of any type into a result:

        with Cancellation():
            response = await client.get(url)
    """

    def __init__(self) -> None:
        self.cancel_count_before = 0

    def __enter__(self) -> "CancellationGuard":
        """Note how often the task was cancelled before."""
        self.cancel_count_before = _cancel_count()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Raise `CancelledError` in place of anything but itself."""
        is_swallowed = kind is None or issubclass(kind, Exception)
        if is_swallowed and self.is_cancelled:
            raise asyncio.CancelledError

    @property
    def is_cancelled(self) -> bool:
        """Return whether the task was cancelled within the block."""
        return _cancel_count() > self.cancel_count_before


def _cancel_count() -> int:
    task = asyncio.current_task()
    return 0 if task is None else task.cancelling()
