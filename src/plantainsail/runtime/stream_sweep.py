"""Ends the streams that have had no reader for too long."""

import asyncio

from plantainsail.peers.stream_service import is_relayed_by_peer
from plantainsail.results import Code, Failure
from plantainsail.runtime.generation_endings import cancel_at_engine
from plantainsail.runtime.live_streams import LiveStream
from plantainsail.runtime.node import Node
from plantainsail.streams.lifetime import (
    SweepAction,
    choose_sweep_action,
    was_paused_before_tick,
)

SWEEP_INTERVAL_S = 0.1
DRAIN_POLL_S = 0.05


class StreamSweep:
    """Periodically ends or drops streams without a reader."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.last_sweep_s = node.now_s()

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            await self.sweep()

    async def sweep(self) -> None:
        """Choose and carry out an action for each stream."""
        now_s = self.node.now_s()
        if was_paused_before_tick(self.last_sweep_s, now_s, SWEEP_INTERVAL_S):
            self._mark_paused()
        self.last_sweep_s = now_s
        for stream in list(self.node.streams.by_request.values()):
            action = choose_sweep_action(
                stream.lifetime,
                now_s,
                self.node.settings.time_limits.caller_grace_s,
                self.node.is_sure(),
                stream.engine is not None and stream.engine.checks_fencing,
            )
            self._carry_out(stream, action)

    def _mark_paused(self) -> None:
        for stream in self.node.streams.running():
            stream.lifetime = stream.lifetime._replace(was_paused=True)

    def _carry_out(self, stream: LiveStream, action: SweepAction) -> None:
        if action is SweepAction.KEEP or stream.is_cancelled:
            return
        if action is SweepAction.FORGET:
            self.node.streams.forget(stream)
            return
        stream.is_cancelled = True
        self.node.hold_task_reference(
            asyncio.create_task(self._end_stream(stream, action))
        )

    async def _end_stream(
        self, stream: LiveStream, action: SweepAction
    ) -> None:
        if action is SweepAction.ASK:
            action = await self._ask_peers(stream)
        if action is SweepAction.KEEP:
            stream.is_cancelled = False
            return
        if stream.task is not None:
            stream.task.cancel()
        self.node.streams.forget(stream)
        stream.end(
            Failure(Code.STREAM_NOT_FOUND, "the caller was away too long"),
            self.node.now_s(),
        )
        if action is SweepAction.ABANDON:
            self.node.metrics.streams.labels("abandoned").inc()
            return
        if stream.relay is not None and stream.engine is not None:
            await cancel_at_engine(self.node, stream.engine, stream.relay)

    async def _ask_peers(self, stream: LiveStream) -> SweepAction:
        """Ask the peers about a stream and return its final action."""
        if stream.relay is None:
            return SweepAction.CANCEL
        is_taken_over = await is_relayed_by_peer(self.node, stream.relay)
        if stream.lifetime.unread_since_s is None:
            return SweepAction.KEEP
        return (
            SweepAction.CANCEL
            if is_taken_over is False
            else SweepAction.ABANDON
        )


async def wait_until_idle(node: Node) -> None:
    """Wait until no stream runs or the drain's time limit is over."""
    limit_s = node.settings.time_limits.drain_s
    try:
        async with asyncio.timeout(limit_s):
            while node.streams.running():  # noqa: ASYNC110
                await asyncio.sleep(DRAIN_POLL_S)
    except TimeoutError:
        return
