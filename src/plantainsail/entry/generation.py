"""Runs one generation and reads its events.

When its engine leaves, the run continues on another engine from a copy
of its memory.  The caller sees one stream: every event once and in
order, or a connection that breaks off.
"""

import asyncio
from typing import NamedTuple, Protocol

from plantainsail.entry import limits, ramping, suspects
from plantainsail.entry.answer_headers import note_answer
from plantainsail.entry.caller_stream import CallerStream
from plantainsail.entry.evacuation import (
    Continuation,
    DepartingGeneration,
    Evacuation,
)
from plantainsail.entry.node import EntryNode
from plantainsail.entry.relay import (
    EventRelay,
    GenerationLostError,
    WaitRule,
    read_head,
)
from plantainsail.entry.request import (
    is_not_executed,
    is_valid_answer_head,
    make_upstream_request,
)
from plantainsail.entry.reservation import Reservation
from plantainsail.entry.run_stops import RunStops
from plantainsail.entry.send_results import ZONE_DRAINED
from plantainsail.policy.part_quarantine import SOUND_RUN_S
from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.placement import GenerationNeed
from plantainsail.routing.positions import EventPositions
from plantainsail.routing.run_ends import OrderedRun
from plantainsail.routing.urgency import stall_limit_s
from plantainsail.upstreams.probe import has_process_ended
from plantainsail.upstreams.single_use import (
    AnswerHead,
    ConnectError,
    CutShortError,
    Headers,
    SingleUseConnection,
)

CONNECT_TIMEOUT_S = 0.35
HTTP_OK = 200
# A stream that broke off waits at most this long for the final copy.
MOVE_TIMEOUT_S = 1.5


class NotRunError(Exception):
    """The engine did not run the request; the message is the reason."""


class ZoneDrainedError(Exception):
    """Nothing may be sent to the engine's availability zone."""


class ResumedStream(NamedTuple):
    """The engine on which a run continues, and its answer's head."""

    upstream: RoutedUpstream
    head: AnswerHead


class SilenceGuard(Protocol):
    """Decides how long to wait for a silent upstream."""

    def wait_more_s(self, generation: "Generation", silent_s: float) -> float:
        """Return how long to wait on, or 0 to leave the upstream."""


class Generation:
    """One run, and the relay of its events to the caller.

    `event_count` counts the events of this run that the caller got,
    and `expected_read_s` is the expected time until the first of them.
    `asked` are the upstreams that were sent the request; `unended` are
    those of them, by identifier, that may still work on it and were not
    ordered to stop.  `guard` is None if the stream can't go on at
    another upstream.
    """

    def __init__(
        self,
        node: EntryNode,
        stops: RunStops | None,
        stream: CallerStream,
        need: GenerationNeed,
        parts: tuple[str, ...] = (),
        guard: SilenceGuard | None = None,
    ) -> None:
        self.node = node
        self.stops = stops
        self.stream = stream
        self.request = stream.request
        self.need = need
        self.parts = parts
        self.guard = guard
        self.has_head = False
        self.is_proven_sound = False
        self.reservation = Reservation(node, need)
        self.asked: set[str] = set()
        self.unended: dict[str, RoutedUpstream] = {}
        self.connection: SingleUseConnection | None = None
        self.event_count = 0
        self.last_event_s = 0.0
        self.first_event_s = 0.0
        self.expected_read_s = 0.0
        self.evacuation: Evacuation | None = None
        self.evacuation_task: asyncio.Task[None] | None = None

    @property
    def has_begun(self) -> bool:
        """Return whether an event of this run has arrived."""
        return self.event_count > 0

    @property
    def upstream(self) -> RoutedUpstream | None:
        """Return the engine that runs it."""
        return self.reservation.upstream

    def unended_runs(self) -> tuple[OrderedRun, ...]:
        """Return the runs that may go on unless they are stopped."""
        runs: list[OrderedRun] = []
        for upstream in self.unended.values():
            is_current = upstream == self.upstream
            runs.append(
                OrderedRun(
                    self.request.identifier,
                    upstream,
                    self.request.deadline_s,
                    has_begun=is_current and self.has_begun,
                )
            )
        return tuple(runs)

    def note_run_ended(self) -> None:
        """Record that the engine's run ended or is ordered to stop."""
        assert self.upstream is not None
        self.unended.pop(self.upstream.identifier, None)

    @property
    def positions(self) -> EventPositions:
        """Return the positions of the caller's stream."""
        return self.stream.positions

    async def close(self) -> None:
        """End the move and the connection, and release the engines.

        The engines are released even if this is cancelled, as happens
        when the caller closes right after the last event.
        """
        try:
            if self.evacuation_task is not None:
                self.evacuation_task.cancel()
                await asyncio.wait((self.evacuation_task,))
        finally:
            self._release_all()
        if self.connection is not None:
            await self.connection.close()

    def _release_all(self) -> None:
        if self.connection is not None:
            self.connection.abort()
        self.reservation.release()
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
        `GenerationLostError` if it may have run.
        """
        assert self.upstream is not None
        try:
            self.connection = await SingleUseConnection.open(
                self.upstream.address, CONNECT_TIMEOUT_S
            )
        except ConnectError as error:
            raise NotRunError(error.problem) from error
        if self.node.registry.is_drained(self.upstream):
            raise NotRunError(ZONE_DRAINED)
        self.stream.join()
        extra = self._position_headers()
        head = await self._send(self.connection, self.upstream, extra)
        if is_not_executed(head, self.request, self.node.dialect):
            self.note_run_ended()
            raise NotRunError("refused")
        if not is_valid_answer_head(head, self.request, self.node.dialect):
            raise GenerationLostError("not its answer")
        self.has_head = True
        return head

    async def relay(self, head: AnswerHead) -> None:
        """Pass the whole stream on to the caller.

        Raises `GenerationLostError` if it breaks off and can't be
        resumed on another engine.
        """
        await self.stream.start(head)
        while True:
            reason = "ended while its engine stopped it"
            try:
                await self._relay_connection()
                await self._check_end(head)
                continuation = await self._leg_after_end(head)
                if continuation is None:
                    await self._end_whole(head)
                    return
            except CutShortError as error:
                reason = str(error)
                continuation = await self._leg_after_break()
                if continuation is None:
                    raise GenerationLostError(reason) from error
            head = await self._resume_on(continuation, reason)

    def start_evacuation(self, noticed_s: float) -> None:
        """Start to move the run off its engine, which will leave.

        `noticed_s` is when the engine's departure became known.
        """
        is_moving = self.evacuation_task is not None
        if self.stops is None or is_moving or not self.has_begun:
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
            self.stream.output_tokens,
            self.stream.output_limit,
            self.request.deadline_s,
            self.request.zones,
        )
        self.evacuation = Evacuation(
            self.node, self.stops, departing, self._abort_connection
        )
        self.evacuation_task = asyncio.create_task(self.evacuation.run())

    def _abort_connection(self) -> None:
        if self.connection is not None:
            self.connection.abort()

    async def _send(
        self,
        connection: SingleUseConnection,
        upstream: RoutedUpstream,
        extra: Headers,
    ) -> AnswerHead:
        self.asked.add(upstream.identifier)
        self.unended[upstream.identifier] = upstream
        if self.stops is not None:
            # An order to stop an earlier run would also stop this one.
            self.stops.withdraw(self.request.identifier, upstream)
        connection.send(
            make_upstream_request(
                self.request,
                self.node.dialect,
                upstream.identifier,
                self.node.now_s(),
                extra,
            )
        )
        try:
            head = await read_head(connection, self._wait_rule())
        except CutShortError as error:
            raise GenerationLostError(str(error)) from error
        note_answer(self.node, upstream, head, self.reservation.placed_s)
        return head

    def _position_headers(self) -> Headers:
        """Return the headers that name where a new run goes on."""
        if not self.positions.count:
            return []
        return [(self.node.dialect.last_event_id, self.positions.last_id)]

    def _wait_rule(self) -> WaitRule | None:
        """Return the rule that judges the silence of the upstream."""
        guard = self.guard
        if guard is None:
            return None
        return lambda silent_s: guard.wait_more_s(self, silent_s)

    async def _relay_connection(self) -> None:
        assert self.connection is not None
        route = self.request.route
        relay = EventRelay(
            self.stream,
            self.connection,
            stall_limit_s(route.objective_s, route.pause_s),
            self._wait_rule(),
            self._record_events,
        )
        await relay.run()

    def _record_events(self, count: int) -> None:
        now_s = self.node.now_s()
        self.stream.record_event(now_s)
        if not self.event_count:
            self.first_event_s = now_s
            self.reservation.record_first_event(now_s)
            assert self.upstream is not None
            ramping.note_first_event(
                self.node,
                self.upstream,
                self.reservation.unread_tokens_at_start,
                self.reservation.placed_s,
            )
        else:
            self._record_pause(now_s - self.last_event_s, now_s)
            if now_s - self.first_event_s >= SOUND_RUN_S:
                self._record_sound_run()
        self.event_count += count
        self.last_event_s = now_s
        if self.event_count == count:
            self._move_if_leaving()

    def _move_if_leaving(self) -> None:
        assert self.upstream is not None
        departure = self.node.registry.departures.get(self.upstream.identifier)
        if departure is not None:
            self.start_evacuation(departure.at_s)

    def _record_sound_run(self) -> None:
        """Record once that the request does not crash its engine."""
        if self.is_proven_sound or not self.has_begun:
            return
        self.is_proven_sound = True
        suspects.record_sound_run(self.node, self.parts, self.first_event_s)

    def _record_pause(self, pause_s: float, now_s: float) -> None:
        assert self.upstream is not None
        self.node.paces.add(self.upstream.identifier, pause_s, now_s)
        ramping.note_pause(self.node, self.upstream, pause_s, now_s)

    async def _end_whole(self, head: AnswerHead) -> None:
        if not head.ends_with_connection:
            self._record_sound_run()
        await self.stream.end()

    async def _check_end(self, head: AnswerHead) -> None:
        """Check the end of an answer that its connection ends.

        Raises `CutShortError` if its upstream's process ended as well,
        since then the answer may have ended early.  Streams that can't
        be resumed are not checked.
        """
        if self.guard is None or not head.ends_with_connection:
            return
        if self.stream.is_at_limit:
            return
        if self.evacuation is not None and self.evacuation.is_stopping:
            return
        assert self.upstream is not None
        if await has_process_ended(self.upstream.address):
            raise CutShortError("the process ended with the answer")

    async def _leg_after_end(self, head: AnswerHead) -> Continuation | None:
        """Return where a stream goes on that seems to have ended.

        An engine that stops a run for the final copy closes its stream,
        which without a length looks like its end.  The result of that
        copy tells which it was: the move has no continuation if the run
        had ended before.
        """
        evacuation = self.evacuation
        if evacuation is None or not evacuation.is_stopping:
            return None
        if not head.ends_with_connection:
            return None
        assert self.evacuation_task is not None
        await asyncio.wait((self.evacuation_task,), timeout=MOVE_TIMEOUT_S)
        if evacuation.has_run_ended:
            return None
        return evacuation.take_continuation()

    async def _leg_after_break(self) -> Continuation | None:
        """Return where a stream goes on that broke off.

        If there is a copy of its run, its engine is ordered to stop the
        run first: the end of the connection does not show that the run
        has ended.
        """
        evacuation = self.evacuation
        if evacuation is None or self.evacuation_task is None:
            return None
        if evacuation.note_break():
            await asyncio.wait((self.evacuation_task,), timeout=MOVE_TIMEOUT_S)
        else:
            self.evacuation_task.cancel()
            await asyncio.wait((self.evacuation_task,))
        return evacuation.take_continuation()

    async def _resume_on(
        self, continuation: Continuation, reason: str
    ) -> AnswerHead:
        """Continue the run elsewhere; return the new answer's head.

        `reason` is why the connection before ended.
        """
        self.stream.move_count += 1
        self.stream.may_have_run += 1
        # The move has ordered the engine before to stop.
        self.note_run_ended()
        resumed = await self._open_with_fallback(continuation)
        head = resumed.head
        if head.status != HTTP_OK:
            raise GenerationLostError(f"the copy was not taken: {head.status}")
        if not is_valid_answer_head(head, self.request, self.node.dialect):
            raise GenerationLostError("not its answer")
        self._transfer_reservation(resumed.upstream)
        self.node.log.info(
            "generation resumed",
            request=self.request.identifier,
            upstream=resumed.upstream.identifier,
            reason=reason,
            events=self.positions.count,
        )
        if not self.node.registry.is_staying(resumed.upstream.identifier):
            self.start_evacuation(self.node.now_s())
        return head

    async def _open_with_fallback(
        self, continuation: Continuation
    ) -> ResumedStream:
        """Continue the run on the move's target, or else on its source.

        The source keeps the memory of a run that it stopped.  It is
        asked only if the target surely does not run the request, that
        is, if the target reported so or its process has ended.  Neither
        is asked if its availability zone is to be drained.
        """
        try:
            head = await self._open_leg(continuation, continuation.upstream)
            is_refused = is_not_executed(head, self.request, self.node.dialect)
            if is_refused:
                self.unended.pop(continuation.upstream.identifier, None)
            if not is_refused or continuation.source is None:
                return ResumedStream(continuation.upstream, head)
        except ZoneDrainedError:
            return await self._open_on_source(continuation)
        except (ConnectError, GenerationLostError) as error:
            has_ended = await has_process_ended(continuation.upstream.address)
            if continuation.source is None or not has_ended:
                raise GenerationLostError(
                    "the copy can't be reached"
                ) from error
        return await self._open_on_source(continuation)

    async def _open_on_source(
        self, continuation: Continuation
    ) -> ResumedStream:
        """Continue the run on the engine that stopped it."""
        source = continuation.source
        if source is None:
            raise GenerationLostError("its availability zone is drained")
        if continuation.connection is not None:
            continuation.connection.abort()
        source_leg = continuation._replace(connection=None)
        try:
            return ResumedStream(
                source, await self._open_leg(source_leg, source)
            )
        except ConnectError as error:
            raise GenerationLostError(
                "no engine has the run any more"
            ) from error
        except ZoneDrainedError as error:
            raise GenerationLostError(
                "its availability zone is drained"
            ) from error

    def _check_drain(self, upstream: RoutedUpstream) -> None:
        if self.node.registry.is_drained(upstream):
            raise ZoneDrainedError

    def _transfer_reservation(self, upstream: RoutedUpstream) -> None:
        """Keep only the load of the engine that continues the run."""
        evacuation, self.evacuation = self.evacuation, None
        self.evacuation_task = None
        if evacuation is None or evacuation.reserved is None:
            return
        if evacuation.reserved[0] != upstream.identifier:
            # The run continues on its source, whose load is still held.
            evacuation.release()
            return
        self.reservation.transfer(upstream, evacuation.reserved[1])
        evacuation.reserved = None

    async def _open_leg(
        self, continuation: Continuation, upstream: RoutedUpstream
    ) -> AnswerHead:
        """Send the request on to an engine that has its memory.

        Raises `ZoneDrainedError` before that if nothing may be sent.
        """
        assert self.connection is not None
        await self.connection.close()
        connection = continuation.connection
        if connection is None:
            self._check_drain(upstream)
            connection = await SingleUseConnection.open(
                upstream.address, CONNECT_TIMEOUT_S
            )
        self.connection = connection
        self._check_drain(upstream)
        limits.note_sent(self.node, upstream.identifier)
        dialect = self.node.dialect
        if self.guard is not None:
            self.stream.join()
        extra = [
            (dialect.continue_from, continuation.value),
            (dialect.last_event_id, self.positions.last_id),
        ]
        return await self._send(connection, upstream, extra)
