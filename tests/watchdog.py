"""Prints the tasks of a hanging test before pytest ends it.

The stack of a thread that runs an event loop shows only the loop.  The
stacks of the loop's tasks show which call does not return.
"""

import asyncio
import os
import threading
from collections.abc import Generator
from typing import TextIO

import pytest

# Shorter than `faulthandler_timeout`, which ends the process.
REPORT_AFTER_S = 90.0


class Watchdog:
    """Prints the task stacks of a test that runs too long."""

    def __init__(self) -> None:
        """Copy standard error before pytest captures it."""
        self.output: TextIO = os.fdopen(os.dup(2), "w")

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_protocol(
        self, item: pytest.Item
    ) -> Generator[None, object, object]:
        """Start the report timer for a test and its fixtures."""
        timer = threading.Timer(REPORT_AFTER_S, self.report, [item.nodeid])
        timer.daemon = True
        timer.start()
        try:
            return (yield)
        finally:
            timer.cancel()

    def report(self, name: str) -> None:
        """Print the stacks of all tasks that are not done."""
        print(f"{name} hangs; its unfinished tasks:", file=self.output)
        all_tasks = asyncio.tasks._all_tasks  # type: ignore[attr-defined]
        for task in list(all_tasks):
            if not task.done():
                task.print_stack(file=self.output)
        self.output.flush()
