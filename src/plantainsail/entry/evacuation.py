"""Moves running generations off engines that leave."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from plantainsail.entry.mover import CopyResult
from plantainsail.entry.node import EntryNode
from plantainsail.entry.run_stops import RunStops
from plantainsail.entry.views import view_service
from plantainsail.routing.evacuation import (
    COPY_RETRY_S,
    CUT_OVER,
    DEFAULT_NOTICE_S,
    WAIT,
    EvacuationStep,
    RefusedTargets,
    can_copy_finish,
    copy_time_s,
    next_step,
    will_end_before_engine,
)
from plantainsail.routing.fleet_loads import UpstreamLoad
from plantainsail.routing.homes import Zones
from plantainsail.routing.model import RoutedUpstream, Service
from plantainsail.routing.placement import (
    EngineView,
    GenerationNeed,
    choose_move_target,
)
from plantainsail.routing.run_ends import OrderedRun
from plantainsail.upstreams.single_use import (
    ConnectError,
    SingleUseConnection,
)

STEP_POLL_S = 0.01
TARGET_POLL_S = 0.04
CONNECT_TIMEOUT_S = 0.3
FIRST_COPY_PENDING = UpstreamLoad(first_copies=1)
# Assumed time per token of an engine whose speed isn't known yet.
DEFAULT_TOKEN_S = 0.009
# A final copy transfers little, so one that takes longer is queued
# behind other copies.
FINAL_COPY_TIMEOUT_S = 0.09
# Closing the connection doesn't end the run on every engine, so an
# engine whose run is cut over is asked to stop it.  This limit is too
# short to wait for the answer.
STOP_TIMEOUT_S = 0.02
HTTP_OK = 200
HTTP_NOT_FOUND = 404
TOO_LATE_TO_COPY = CopyResult(0)


class Continuation(NamedTuple):
    """The engine and the copy from which a generation continues.

    `value` is the header value that names the copy.  `connection` is
    set if it was opened in advance.  `source` is the engine that keeps
    the memory of the run that it stopped.
    """

    upstream: RoutedUpstream
    value: bytes
    connection: SingleUseConnection | None = None
    source: RoutedUpstream | None = None


class DepartingGeneration(NamedTuple):
    """A generation on an engine that leaves.

    `generated_tokens` counts its output tokens so far; `output_limit`
    is the most it can generate.  It may move within `zones` only.
    Engines stop work on it at `deadline_s`.
    """

    request: str
    source: RoutedUpstream
    service: Service
    need: GenerationNeed
    noticed_s: float
    generated_tokens: int
    output_limit: int
    deadline_s: float
    zones: Zones = None

    @property
    def held_tokens(self) -> int:
        """Return the memory that the run uses now."""
        return self.need.prompt_tokens + self.generated_tokens


class Evacuation:
    """Moves one generation off an engine that leaves.

    `continuation` is set once the generation can continue elsewhere.
    `close_source` closes the stream of the source, after which the
    generation resumes from `continuation`.  `has_run_ended` says that
    the source no longer knew the run when it was to stop it.
    """

    def __init__(
        self,
        node: EntryNode,
        stops: RunStops,
        departing: DepartingGeneration,
        close_source: Callable[[], None],
    ) -> None:
        self.node = node
        self.stops = stops
        self.mover = stops.mover
        self.departing = departing
        self.close_source = close_source
        self.continuation: Continuation | None = None
        self.reserved: tuple[str, UpstreamLoad] | None = None
        self.refused = RefusedTargets()
        self.is_stopping = False
        self.has_run_ended = False
        self.broken = asyncio.Event()
        self.result = "not begun"

    async def run(self) -> None:
        """Copy the run's memory while it goes on, then the rest."""
        try:
            await self._move()
        finally:
            self.node.metrics.moves.labels(self.result).inc()
            self._log()

    def note_break(self) -> bool:
        """Record that the stream of the source broke off.

        Returns whether the generation can continue from a copy.  Its
        run may go on at the source, which is then ordered to stop it
        at once, before it continues.
        """
        self.broken.set()
        return self.continuation is not None

    def take_continuation(self) -> Continuation | None:
        """Return the continuation, which can be used once."""
        continuation, self.continuation = self.continuation, None
        return continuation

    def release(self) -> None:
        """Release the load reserved at the target."""
        if self.reserved is not None:
            self.node.fleet_loads.subtract(*self.reserved)
            self.reserved = None
            self.node.load_changed.set()

    @property
    def gone_s(self) -> float:
        """Return when the source is expected to be gone."""
        departing = self.departing
        notice_s = self.node.notice_periods_s.get(
            departing.source.identifier, DEFAULT_NOTICE_S
        )
        return departing.noticed_s + notice_s

    async def _move(self) -> None:
        if self._ends_before_source():
            self.result = "ends by itself"
            return
        while True:
            target = await self._wait_for_target()
            if target is None:
                self.result = "no room elsewhere"
                return
            copied = await self._first_copy(target)
            if copied.status == HTTP_OK:
                if await self._finish(target, copied):
                    return
                self._give_up_target()
                if self.broken.is_set():
                    return
                continue
            self.release()
            self.result = f"first copy {copied.status}"
            if copied is TOO_LATE_TO_COPY:
                self.result = "too late"
                return
            if copied.status == HTTP_NOT_FOUND:
                # The run has not begun, or it is about to end, which
                # also ends this task.
                await asyncio.sleep(COPY_RETRY_S)
                continue
            self.refused.note_refusal(target.identifier, self.node.now_s())

    def _ends_before_source(self) -> bool:
        departing = self.departing
        now_s = self.node.now_s()
        token_s = DEFAULT_TOKEN_S
        pause_s = self.node.paces.usual_s(departing.source.identifier, now_s)
        if pause_s:
            token_s = pause_s / departing.service.traits.tokens_per_event
        remaining_tokens = max(
            1, departing.output_limit - departing.generated_tokens
        )
        return will_end_before_engine(
            remaining_tokens, token_s, self.gone_s, now_s
        )

    async def _wait_for_target(self) -> RoutedUpstream | None:
        while True:
            target = self._choose_target()
            if target is not None:
                return target
            if self.node.now_s() >= self.gone_s:
                return None
            await asyncio.sleep(TARGET_POLL_S)

    def _choose_target(self) -> RoutedUpstream | None:
        source = self.departing.source
        zone = source.availability_zone
        now_s = self.node.now_s()
        candidates: list[EngineView] = []
        departing = self.departing
        service = view_service(self.node, departing.service, departing.zones)
        for view in service.engines:
            identifier = view.upstream.identifier
            if identifier == source.identifier:
                continue
            if self.refused.is_avoided(identifier, now_s):
                continue
            is_near = view.upstream.availability_zone == zone
            candidates.append(view._replace(is_same_zone=is_near))
        return choose_move_target(candidates, self.departing.need)

    async def _first_copy(self, target: RoutedUpstream) -> CopyResult:
        departing = self.departing
        node = self.node
        traits = departing.service.traits
        copy_s = copy_time_s(
            departing.held_tokens,
            traits.token_bytes,
            traits.link_bytes_s,
            is_same_zone=target.availability_zone
            == departing.source.availability_zone,
        )
        if not can_copy_finish(copy_s, self.gone_s, node.now_s()):
            return TOO_LATE_TO_COPY
        self._reserve(target)
        source = departing.source.identifier
        node.fleet_loads.add(source, FIRST_COPY_PENDING)
        node.load_changed.set()
        try:
            return await self.mover.copy_run(
                departing.source.address,
                departing.request,
                target.address,
                is_final=False,
            )
        finally:
            node.fleet_loads.subtract(source, FIRST_COPY_PENDING)
            node.load_changed.set()

    def _reserve(self, target: RoutedUpstream) -> None:
        need = self.departing.need
        load = UpstreamLoad(
            running=1,
            long_running=int(need.is_long),
            memory_tokens=need.memory_tokens,
        )
        self.reserved = (target.identifier, load)
        self.node.fleet_loads.add(target.identifier, load)
        self.node.load_changed.set()

    async def _finish(
        self, target: RoutedUpstream, copied: CopyResult
    ) -> bool:
        """Move the run to its copy; return whether it was stopped.

        It goes on at its source if the availability zone of the target
        is to be drained meanwhile.
        """
        # If the stream is cut from now on, the generation continues
        # from this copy.
        self.continuation = self._make_continuation(
            target, copied.handle, None
        )
        connection = await self._connect(target)
        self.continuation = self._make_continuation(
            target, copied.handle, connection
        )
        step = await self._wait_until_movable(target)
        if self.node.registry.is_drained(target):
            return False
        self.is_stopping = True
        timeout_s = (
            STOP_TIMEOUT_S if step is CUT_OVER else FINAL_COPY_TIMEOUT_S
        )
        final = await self._final_copy(target, copied.handle, timeout_s)
        self.result = f"final copy {final.status}"
        if step is CUT_OVER:
            self.result = "cut over"
        if final.status == HTTP_OK:
            self.continuation = self._make_continuation(
                target, final.handle, connection
            )
        elif final.status == HTTP_NOT_FOUND:
            self.has_run_ended = True
        else:
            # The run was stopped, or its engine gave no answer, so only
            # the first copy can be used.  If it may go on, the order to
            # stop it is repeated meanwhile.
            self.close_source()
        return True

    def _give_up_target(self) -> None:
        """Forget the copy at a target that may not be used any more."""
        continuation = self.take_continuation()
        if continuation is not None and continuation.connection is not None:
            continuation.connection.abort()
        self.release()
        self.result = "target drained"

    async def _wait_until_movable(
        self, target: RoutedUpstream
    ) -> EvacuationStep:
        """Wait for the next step, or until the target is drained.

        A stream that broke off is cut over at once.
        """
        source = self.departing.source.identifier
        while True:
            if self.broken.is_set():
                return CUT_OVER
            now_s = self.node.now_s()
            load = self.node.fleet_loads.load_of(source, now_s)
            step = next_step(load.first_copies, self.gone_s, now_s)
            if step is not WAIT or self.node.registry.is_drained(target):
                return step
            try:
                async with asyncio.timeout(STEP_POLL_S):
                    await self.broken.wait()
            except TimeoutError:
                continue

    async def _final_copy(
        self, target: RoutedUpstream, first_handle: str, timeout_s: float
    ) -> CopyResult:
        """Stop the run and copy its rest within `timeout_s`.

        Without an answer by then, the order to stop it is repeated
        until the run has certainly ended.
        """
        departing = self.departing
        run = OrderedRun(
            departing.request, departing.source, departing.deadline_s
        )
        order = self.stops.start(run, target, first_handle)
        return await order.wait_for_answer(timeout_s)

    def _make_continuation(
        self,
        upstream: RoutedUpstream,
        handle: str,
        connection: SingleUseConnection | None,
    ) -> Continuation:
        source = self.departing.source
        value = self.mover.continue_from_value(source.address, handle)
        return Continuation(upstream, value, connection, source)

    async def _connect(
        self, target: RoutedUpstream
    ) -> SingleUseConnection | None:
        try:
            return await SingleUseConnection.open(
                target.address, CONNECT_TIMEOUT_S
            )
        except ConnectError:
            # The copy remains usable; the generation opens another
            # connection when it continues.
            self.node.log.info(
                "target not reached", upstream=target.identifier
            )
            return None

    def _log(self) -> None:
        departing = self.departing
        target = (
            None
            if self.continuation is None
            else self.continuation.upstream.identifier
        )
        now_s = self.node.now_s()
        self.node.log.info(
            "generation moved",
            request=departing.request,
            source=departing.source.identifier,
            target=target,
            result=self.result,
            notice_age_ms=int((now_s - departing.noticed_s) * 1000),
            gone_in_ms=int((self.gone_s - now_s) * 1000),
        )
