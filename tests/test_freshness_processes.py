"""A daemon process is stopped by SIGSTOP while the lists change.

Calls queue in its sockets meanwhile.  When it continues it reads them
before it has noticed its pause or the new lists, and must not act on a
grant that was withdrawn.
"""

import asyncio
import json
import signal

from tests.standins.platform import Platform, call, plan_part
from tests.test_drain_rolling_restart import (
    CHAT_BODY,
    LIMIT_S,
    STEP_S,
    Process,
    processes,
)

__all__ = ["processes"]

CALLERS = 4
# Long enough for the daemon to detect a pause.
STOPPED_S = 1.5


async def revision_of(process: Process) -> float:
    answer = await call(process.operator, "GET", "/metrics")
    for line in answer.body.decode().splitlines():
        if line.startswith("plantainsail_lists_revision "):
            return float(line.split()[-1])
    return 0.0


async def test_a_continued_daemon_does_not_use_a_withdrawn_grant(
    processes: list[Process], platform: Platform
) -> None:
    paused_process, other, _ = processes
    paused_process.signal(signal.SIGSTOP)
    part = plan_part()
    for grant in part["grants"]:
        grant["models"] = []
    platform.config.publish_family("lists", 2, {"plans/0": part})
    async with asyncio.timeout(LIMIT_S):
        while await revision_of(other) < 2:  # noqa: ASYNC110
            await asyncio.sleep(STEP_S)
    calls = [
        asyncio.create_task(
            call(
                paused_process.caller,
                "POST",
                "/v1/chat/completions",
                CHAT_BODY,
            )
        )
        for _ in range(CALLERS)
    ]
    await asyncio.sleep(STOPPED_S)
    paused_process.signal(signal.SIGCONT)
    async with asyncio.timeout(LIMIT_S):
        answers = await asyncio.gather(*calls)
    codes = {json.loads(a.body)["error"]["code"] for a in answers}
    assert codes <= {"unsure", "model_not_granted"}
    assert [e.received for e in platform.engines] == [[], []]
