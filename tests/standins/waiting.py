"""A helper that waits until a condition holds."""

import asyncio
from collections.abc import Callable

LOOK_AGAIN_S = 0.005


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; a test that hangs is aborted."""
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(LOOK_AGAIN_S)
