"""Ensures that cancelling a call of the HTTP client ends its task.

The client waits with `asyncio.wait_for`, which in Python 3.11 swallows
a cancellation if the awaited result is ready in the same step of the
event loop.  A task that runs in a loop would then continue for ever,
and the code that cancelled it and awaits its end would hang.
"""

import asyncio
from types import TracebackType


class CancellationGuard:
    """Raises a cancellation that the code in its block swallowed.

    Use it directly around the client's calls, inside any handler that
    turns errors of all types into a result:

        with CancellationGuard():
            response = await client.get(url)
    """

    def __init__(self) -> None:
        self.cancel_count_before = 0

    def __enter__(self) -> "CancellationGuard":
        """Record how many cancellations were requested before."""
        self.cancel_count_before = _cancel_count()
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Raise `CancelledError` if the block swallowed it.

        An exception that is no `Exception`, such as `CancelledError`
        itself, is not replaced.
        """
        is_swallowed = error_type is None or issubclass(error_type, Exception)
        if is_swallowed and self.is_cancelled:
            raise asyncio.CancelledError

    @property
    def is_cancelled(self) -> bool:
        """Return whether the task was cancelled within the block."""
        return _cancel_count() > self.cancel_count_before


def _cancel_count() -> int:
    task = asyncio.current_task()
    return 0 if task is None else task.cancelling()
