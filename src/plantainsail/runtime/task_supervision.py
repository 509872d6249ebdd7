"""Restarts background tasks that fail.

Without this, one exception in a heartbeat, for example, would leave
the daemon serving without its peers until it is restarted.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from prometheus_client import Counter

from plantainsail.logs import get_logger

RESTART_DELAY_S = 0.2


class TaskMetrics(Protocol):
    """Metrics with a counter of failures, labelled by task."""

    task_failures: Counter


async def keep_running(
    name: str, run: Callable[[], Awaitable[None]], metrics: TaskMetrics
) -> None:
    """Run a function that should never end; restart it if it fails.

    Each failure is counted under `name` and logged with its traceback.
    Cancelling the task ends the loop.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            metrics.task_failures.labels(name).inc()
            get_logger("tasks").exception("task failed", task=name)
        await asyncio.sleep(RESTART_DELAY_S)
