"""Keeps the tasks running that a daemon can't do without.

A fault in one heartbeat, say, must not leave a daemon that serves on
without its peers until it is restarted.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from prometheus_client import Counter

from plantainsail.logs import get_logger

RESTART_DELAY_S = 0.2


class TaskMetrics(Protocol):
    """Metrics with a counter of failed tasks, by task."""

    task_failures: Counter


async def keep_running(
    name: str, run: Callable[[], Awaitable[None]], metrics: TaskMetrics
) -> None:
    """Run something that should never end; begin again if it fails.

    Each failure is counted under the name, and logged with its
    traceback.  Cancelling ends it.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            metrics.task_failures.labels(name).inc()
            get_logger("tasks").exception("task failed", task=name)
        await asyncio.sleep(RESTART_DELAY_S)
