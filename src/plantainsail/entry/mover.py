"""Takes running generations off engines that leave.

`EngineMover` is the call by which an installation's engines copy the
memory of a run to another engine; an adapter implements it.
"""

import asyncio
from typing import NamedTuple, Protocol

from plantainsail.entry.node import EntryNode
from plantainsail.entry.views import engine_views
from plantainsail.routing.evacuation import (
    EvacuationState,
    is_first_copy_worth_it,
    is_worth_moving,
    may_make_last_copy,
)
from plantainsail.routing.model import RoutedUpstream, Service
from plantainsail.routing.picture import UpstreamLoad
from plantainsail.routing.placement import GenerationNeed, choose_engine
from plantainsail.upstreams.single_use import (
    ConnectError,
    SingleUseConnection,
)

LOOK_AGAIN_S = 0.01
CONNECT_S = 0.3
FIRST_COPY_PENDING = UpstreamLoad(first_copies=1)
# Seconds to a token where an engine's pace isn't known.
USUAL_TOKEN_S = 0.009
MAX_TARGETS = 2


class CopyEnd(NamedTuple):
    """How a copy ended: `handle` names it, or is empty."""

    status: int
    handle: str = ""


class EngineMover(Protocol):
    """Copies the memory of runs between engines."""

    async def copy_run(
        self, source: str, request: str, target: str, *, is_final: bool
    ) -> CopyEnd:
        """Copy a run; stop it first if the copy is the final one.

        Status 200 means copied, 404 that there is no such run, 503
        that the target has no room or can't be reached, 0 that no
        answer came.
        """

    def continue_value(self, source: str, handle: str) -> bytes:
        """Return the header value that continues from a copy."""


class Leg(NamedTuple):
    """Where a generation goes on.

    `connection` may have been opened ahead; `fallback` is the source
    itself, which keeps the memory of a run that it stopped.
    """

    upstream: RoutedUpstream
    value: bytes
    connection: SingleUseConnection | None = None
    source: RoutedUpstream | None = None


class Departing(NamedTuple):
    """A generation on an engine that leaves."""

    request: str
    source: RoutedUpstream
    service: Service
    need: GenerationNeed
    noticed_s: float
    output_left: int


class Evacuation:
    """Moves one generation; `leg` is set once it may go on."""

    def __init__(
        self, node: EntryNode, mover: EngineMover, departing: Departing
    ) -> None:
        self.node = node
        self.mover = mover
        self.departing = departing
        self.leg: Leg | None = None
        self.reserved: tuple[str, UpstreamLoad] | None = None
        self.is_stopping = False
        self.result = "not begun"
        self.done = asyncio.Event()

    async def run(self) -> None:
        """Copy the run while it goes on, then its rest."""
        try:
            await self._move()
        finally:
            self.done.set()
            self.node.metrics.moves.labels(self.result).inc()
            self.node.log.info(
                "generation moved",
                request=self.departing.request,
                source=self.departing.source.identifier,
                target=None
                if self.leg is None
                else self.leg.upstream.identifier,
                result=self.result,
                notice_age_ms=int(
                    (self.node.now_s() - self.departing.noticed_s) * 1000
                ),
            )

    def release(self) -> None:
        """Give back the room kept at the target."""
        if self.reserved is not None:
            self.node.picture.subtract(*self.reserved)
            self.reserved = None
            self.node.load_changed.set()

    async def _move(self) -> None:
        departing = self.departing
        node = self.node
        usual_s = node.paces.usual_s(
            departing.source.identifier, node.now_s()
        )
        engine = departing.service.engine
        assert engine is not None
        token_s = USUAL_TOKEN_S
        if usual_s:
            token_s = usual_s / engine.tokens_per_event
        if not is_worth_moving(
            departing.output_left,
            token_s,
            departing.noticed_s,
            node.now_s(),
        ):
            self.result = "ends by itself"
            return
        avoided: set[str] = {departing.source.identifier}
        for _ in range(MAX_TARGETS):
            target = self._choose_target(avoided)
            if target is None:
                self.result = "no room elsewhere"
                return
            avoided.add(target.identifier)
            copied = await self._first_copy(target)
            if copied.status == 200:
                await self._last_copy(target, copied)
                return
            self.release()
            self.result = f"first copy {copied.status}"
            if copied.status == 404:
                return

    def _choose_target(self, avoided: set[str]) -> RoutedUpstream | None:
        departing = self.departing
        views = [
            view
            for view in engine_views(self.node, departing.service)
            if view.upstream.identifier not in avoided
        ]
        near = [
            view._replace(
                is_same_zone=view.upstream.availability_zone
                == departing.source.availability_zone
            )
            for view in views
        ]
        # Nothing is left to be read there, only memory is taken.
        choice = choose_engine(near, departing.need, float("inf"))
        return None if choice is None else choice.upstream

    async def _first_copy(self, target: RoutedUpstream) -> CopyEnd:
        departing = self.departing
        engine = departing.service.engine
        assert engine is not None
        node = self.node
        if not is_first_copy_worth_it(
            departing.need.memory_tokens,
            engine.token_bytes,
            engine.link_bytes_s,
            departing.noticed_s,
            node.now_s(),
        ):
            return CopyEnd(404)
        load = UpstreamLoad(
            running=1,
            long_running=int(departing.need.is_long),
            memory_tokens=departing.need.memory_tokens,
        )
        self.reserved = (target.identifier, load)
        node.picture.add(target.identifier, load)
        source = departing.source.identifier
        node.picture.add(source, FIRST_COPY_PENDING)
        node.load_changed.set()
        try:
            return await self.mover.copy_run(
                departing.source.address,
                departing.request,
                target.address,
                is_final=False,
            )
        finally:
            node.picture.subtract(source, FIRST_COPY_PENDING)
            node.load_changed.set()

    async def _last_copy(
        self, target: RoutedUpstream, copied: CopyEnd
    ) -> None:
        departing = self.departing
        node = self.node
        # Should the source be cut from now on, this copy is used.
        self.leg = self._make_leg(target, copied.handle, None)
        connection = await self._connect(target)
        while not may_make_last_copy(self._state(), node.now_s()):
            await asyncio.sleep(LOOK_AGAIN_S)
        self.is_stopping = True
        final = await self.mover.copy_run(
            departing.source.address,
            departing.request,
            target.address,
            is_final=True,
        )
        self.result = f"final copy {final.status}"
        if final.status == 200:
            self.leg = self._make_leg(target, final.handle, connection)
            return
        if connection is not None:
            connection.abort()
        if final.status == 404:
            self.leg = None
        elif final.handle:
            source = departing.source
            self.leg = self._make_leg(source, final.handle, None)

    def _make_leg(
        self,
        upstream: RoutedUpstream,
        handle: str,
        connection: SingleUseConnection | None,
    ) -> Leg:
        source = self.departing.source
        value = self.mover.continue_value(source.address, handle)
        return Leg(upstream, value, connection, source)

    async def _connect(
        self, target: RoutedUpstream
    ) -> SingleUseConnection | None:
        try:
            return await SingleUseConnection.open(target.address, CONNECT_S)
        except ConnectError:
            # The copy may still be used later; the leg connects anew.
            self.node.log.info(
                "target not reached", upstream=target.identifier
            )
            return None

    def _state(self) -> EvacuationState:
        source = self.departing.source.identifier
        load = self.node.picture.load_of(source, self.node.now_s())
        return EvacuationState(self.departing.noticed_s, load.first_copies)
