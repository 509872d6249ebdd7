"""Passes one stream of events from engines to its caller.

A stream has one run.  When its engine leaves, the run goes on at
another engine from a copy of its memory, and the caller sees one
stream: every event once and in order, or an end that looks cut.
"""

import asyncio
from typing import NamedTuple

from plantainsail.entry import deaths
from plantainsail.entry.caller import end_to_end
from plantainsail.entry.dialect import read_counts
from plantainsail.entry.evacuation import (
    Continuation,
    DepartingGeneration,
    Evacuation,
)
from plantainsail.entry.mover import EngineMover
from plantainsail.entry.node import EntryNode
from plantainsail.entry.request import (
    RoutedRequest,
    is_not_executed,
    is_sound_head,
    make_outgoing,
)
from plantainsail.routing.event_frames import EventFrames, Frame
from plantainsail.routing.fleet_loads import UpstreamLoad
from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.placement import GenerationNeed
from plantainsail.routing.positions import EventContinuity, EventPositions
from plantainsail.upstreams.single_use import (
    AnswerHead,
    ConnectError,
    CutShortError,
    Headers,
    SingleUseConnection,
)

CONNECT_S = 0.35
HTTP_OK = 200
MOVE_PATIENCE_S = 1.5


class NotRunError(Exception):
    """The engine did not run the request; `reason` says why."""


class LostError(Exception):
    """The run is lost, or its answer can't be trusted."""


class Taken(NamedTuple):
    """The engine that answered where a run should go on."""

    upstream: RoutedUpstream
    head: AnswerHead


class Generation:
    """One run and its caller."""

    def __init__(
        self,
        node: EntryNode,
        mover: EngineMover | None,
        request: RoutedRequest,
        need: GenerationNeed,
    ) -> None:
        self.node = node
        self.mover = mover
        self.request = request
        self.need = need
        self.upstream: RoutedUpstream | None = None
        self.load: UpstreamLoad | None = None
        self.connection: SingleUseConnection | None = None
        self.positions = EventPositions()
        self.last_event_s = 0.0
        self.first_event_s = 0.0
        self.longest_pause_s = 0.0
        self.legs = 0
        self.placed_s = 0.0
        self.unread_at_start = 0
        self.evacuation: Evacuation | None = None
        self.evacuation_task: asyncio.Task[None] | None = None

    @property
    def has_begun(self) -> bool:
        """Return whether an event has come."""
        return self.positions.count > 0

    def occupy(self, upstream: RoutedUpstream) -> None:
        """Take room on an engine in the fleet's picture."""
        self.upstream = upstream
        self.load = UpstreamLoad(
            running=1,
            long_running=int(self.need.is_long),
            memory_tokens=self.need.memory_tokens,
            unread_tokens=self.need.prompt_tokens,
        )
        self.node.fleet_loads.add(upstream.identifier, self.load)
        self.node.load_changed.set()
        now_s = self.node.now_s()
        load = self.node.fleet_loads.load_of(upstream.identifier, now_s)
        self.unread_at_start = load.unread_tokens
        self.placed_s = now_s

    def vacate(self) -> None:
        """Give the room back."""
        if self.upstream is None or self.load is None:
            return
        self.node.fleet_loads.subtract(self.upstream.identifier, self.load)
        self.load = None
        self.node.load_changed.set()

    async def close(self) -> None:
        """End whatever still runs for this generation.

        What it occupied is given back also where this is cancelled,
        as it is when the caller closes right after the last event.
        """
        try:
            if self.evacuation_task is not None:
                self.evacuation_task.cancel()
                await asyncio.wait((self.evacuation_task,))
        finally:
            self._give_back()

    def _give_back(self) -> None:
        if self.connection is not None:
            self.connection.abort()
        self.vacate()
        if self.evacuation is not None:
            self.evacuation.release()
            continuation = self.evacuation.continuation
            if (
                continuation is not None
                and continuation.connection is not None
            ):
                continuation.connection.abort()

    async def open(self) -> AnswerHead:
        """Send the request to its engine and return the answer's head.

        Raises `NotRunError` if the engine surely didn't run it, and
        `LostError` if that can't be known.
        """
        assert self.upstream is not None
        try:
            self.connection = await SingleUseConnection.open(
                self.upstream.address, CONNECT_S
            )
        except ConnectError as error:
            raise NotRunError("unreachable") from error
        head = await self._send(self.connection, self.upstream, [])
        if is_not_executed(head, self.node.dialect):
            raise NotRunError("refused")
        if not is_sound_head(head, self.request, self.node.dialect):
            raise LostError("not its answer")
        return head

    async def relay(self, head: AnswerHead) -> None:
        """Pass the whole stream on; raises `LostError` if it is cut."""
        caller = self.request.caller
        headers = end_to_end(head.headers)
        await caller.start(head.status, headers)
        while True:
            try:
                await self._relay_connection()
                await caller.end()
                return
            except CutShortError as error:
                continuation = await self._next_leg()
                if continuation is None:
                    raise LostError(str(error)) from error
                await self._continue_on(continuation)

    def leave(self, noticed_s: float) -> None:
        """Begin to move off the engine, which announced its leaving."""
        is_moving = self.evacuation_task is not None
        if self.mover is None or is_moving or not self.has_begun:
            return
        traits = self.request.service.traits
        if not traits.can_move:
            return
        assert self.upstream is not None
        departing = DepartingGeneration(
            self.request.identifier,
            self.upstream,
            self.request.service,
            self.need,
            noticed_s,
            self.tokens_made,
            self.output_limit,
        )
        self.evacuation = Evacuation(
            self.node, self.mover, departing, self._cut
        )
        self.evacuation_task = asyncio.create_task(self.evacuation.run())

    @property
    def tokens_made(self) -> int:
        """Return how many output tokens were passed on."""
        traits = self.request.service.traits
        return self.positions.count * traits.tokens_per_event

    @property
    def output_limit(self) -> int:
        """Return the most output tokens that the request allows."""
        dialect = self.node.dialect
        counts = read_counts(self.request.caller.get(dialect.tokens))
        return counts.output_limit

    def _cut(self) -> None:
        if self.connection is not None:
            self.connection.abort()

    async def _send(
        self,
        connection: SingleUseConnection,
        upstream: RoutedUpstream,
        extra: Headers,
    ) -> AnswerHead:
        connection.send(
            make_outgoing(
                self.request,
                self.node.dialect,
                upstream.identifier,
                self.node.now_s(),
                extra,
            )
        )
        try:
            return await connection.read_head()
        except CutShortError as error:
            raise LostError(str(error)) from error

    async def _relay_connection(self) -> None:
        assert self.connection is not None
        frames = EventFrames()
        while True:
            piece = await self.connection.read_piece()
            if piece is None:
                if frames.rest:
                    raise CutShortError("ended within an event")
                return
            whole = b""
            for frame in frames.feed(piece):
                whole += self._take(frame)
            if whole:
                await self.request.caller.write(whole)

    def _take(self, frame: Frame) -> bytes:
        verdict = self.positions.classify(frame.event_id)
        if verdict is EventContinuity.REPEATED:
            return b""
        if verdict is EventContinuity.GAP:
            raise LostError("an event is missing")
        now_s = self.node.now_s()
        if self.positions.count == 1:
            self._note_first(now_s)
        else:
            self._note_pause(now_s - self.last_event_s, now_s)
        self.last_event_s = now_s
        return frame.data

    def _note_first(self, now_s: float) -> None:
        self.first_event_s = now_s
        assert self.upstream is not None and self.load is not None
        read = UpstreamLoad(unread_tokens=self.load.unread_tokens)
        self.node.fleet_loads.subtract(self.upstream.identifier, read)
        self.load = self.load.minus(read)
        self.node.load_changed.set()
        self.node.registry.note_success(self.upstream.identifier)
        self.node.read_rates.record_first_event(
            self.upstream.identifier,
            self.unread_at_start,
            now_s - self.placed_s,
        )
        departure = self.node.registry.departures.get(self.upstream.identifier)
        if departure is not None:
            self.leave(departure.at_s)

    def _note_pause(self, pause_s: float, now_s: float) -> None:
        assert self.upstream is not None
        self.node.paces.add(self.upstream.identifier, pause_s, now_s)
        self.node.metrics.pause.observe(pause_s)
        self.longest_pause_s = max(self.longest_pause_s, pause_s)

    async def _next_leg(self) -> Continuation | None:
        evacuation = self.evacuation
        if evacuation is None or self.evacuation_task is None:
            return None
        if evacuation.is_stopping:
            await asyncio.wait(
                (self.evacuation_task,), timeout=MOVE_PATIENCE_S
            )
        else:
            self.evacuation_task.cancel()
            await asyncio.wait((self.evacuation_task,))
        continuation, evacuation.continuation = evacuation.continuation, None
        return continuation

    async def _continue_on(self, continuation: Continuation) -> None:
        assert self.connection is not None
        self.connection.abort()
        self.legs += 1
        taken = await self._take_up(continuation)
        head = taken.head
        if head.status != HTTP_OK:
            raise LostError(f"the copy was not taken: {head.status}")
        if not is_sound_head(head, self.request, self.node.dialect):
            raise LostError("not its answer")
        self._settle(taken.upstream)
        if not self.node.registry.is_usable(taken.upstream.identifier):
            self.leave(self.node.now_s())

    async def _take_up(self, continuation: Continuation) -> Taken:
        """Open the next leg at its target, or else at its source.

        The source keeps the memory of a run that it stopped.  It is
        asked only if the target surely does not run the request: it
        said so, or its process is gone.
        """
        try:
            head = await self._open_leg(continuation, continuation.upstream)
            is_refused = is_not_executed(head, self.node.dialect)
            if not is_refused or continuation.source is None:
                return Taken(continuation.upstream, head)
        except (ConnectError, LostError) as error:
            has_ended = await deaths.has_surely_ended(continuation.upstream)
            if continuation.source is None or not has_ended:
                raise LostError("the copy can't be reached") from error
        kept = continuation._replace(connection=None)
        try:
            return Taken(
                continuation.source,
                await self._open_leg(kept, continuation.source),
            )
        except ConnectError as error:
            raise LostError("no engine has the run any more") from error

    def _settle(self, upstream: RoutedUpstream) -> None:
        """Note on which engine the run goes on."""
        evacuation, self.evacuation = self.evacuation, None
        self.evacuation_task = None
        if evacuation is None or evacuation.reserved is None:
            return
        if evacuation.reserved[0] != upstream.identifier:
            # It goes on at its source, where its load still stands.
            evacuation.release()
            return
        self.vacate()
        self.upstream = upstream
        self.load = evacuation.reserved[1]
        evacuation.reserved = None

    async def _open_leg(
        self, continuation: Continuation, upstream: RoutedUpstream
    ) -> AnswerHead:
        connection = continuation.connection
        if connection is None:
            connection = await SingleUseConnection.open(
                upstream.address, CONNECT_S
            )
        self.connection = connection
        dialect = self.node.dialect
        extra = [
            (dialect.continue_from, continuation.value),
            (dialect.last_event_id, self.positions.last_id),
        ]
        return await self._send(connection, upstream, extra)
