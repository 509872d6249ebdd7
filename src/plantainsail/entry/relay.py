"""Passes the events of one connection on to the caller.

An upstream that is silent is waited for as long as a rule says; without
one, until the stream has stalled.
"""

import asyncio
from collections.abc import Callable

from plantainsail.entry.caller_stream import CallerStream, MissingEventError
from plantainsail.entry.event_reader import EventReader, StalledError
from plantainsail.routing.event_frames import EventTooLongError, Frame
from plantainsail.routing.resumption import MIN_SILENCE_S
from plantainsail.upstreams.single_use import AnswerHead, SingleUseConnection

# Takes the time without an event, in seconds; returns how long to wait
# on, or 0 to leave the upstream.
WaitRule = Callable[[float], float]


class GenerationLostError(Exception):
    """The run can't be continued, or its answer can't be trusted."""


async def read_head(
    connection: SingleUseConnection, wait_rule: WaitRule | None
) -> AnswerHead:
    """Return the head of an answer whose request was just sent.

    Raises `CutShortError` if there is none, or if the upstream is left
    since it is silent.
    """
    if wait_rule is None:
        return await connection.read_head()
    loop = asyncio.get_running_loop()
    sent_s = loop.time()
    wait_s = MIN_SILENCE_S
    while wait_s > 0:
        try:
            async with asyncio.timeout(wait_s) as timeout:
                return await connection.read_head()
        except TimeoutError:
            if not timeout.expired():
                raise
            wait_s = wait_rule(loop.time() - sent_s)
    raise StalledError("silent")


class EventRelay:
    """The relay of one connection's events to a caller's stream.

    The stream has stalled `stall_limit_s` after its last event.
    `note_events` is called with the number of events that a frame
    completes, before they are passed on.
    """

    def __init__(
        self,
        stream: CallerStream,
        connection: SingleUseConnection,
        stall_limit_s: float,
        wait_rule: WaitRule | None,
        note_events: Callable[[int], None],
    ) -> None:
        self.stream = stream
        self.stall_limit_s = stall_limit_s
        self.wait_rule = wait_rule
        self.note_events = note_events
        first_limit_s = stall_limit_s
        if wait_rule is not None:
            first_limit_s = min(stall_limit_s, MIN_SILENCE_S)
        self.reader = EventReader(connection, first_limit_s)

    async def run(self) -> None:
        """Pass on complete events until the stream ends.

        Raises `CutShortError` if it breaks off or stalls, and
        `GenerationLostError` if its events can't be used.
        """
        positions = self.stream.positions
        while True:
            try:
                frames = await self._read_frames()
            except EventTooLongError as error:
                raise GenerationLostError(
                    "too much without an event"
                ) from error
            if frames is None:
                return
            count = positions.count
            await self._pass_on(frames)
            if positions.count > count:
                self.reader.note_progress()

    async def _read_frames(self) -> list[Frame] | None:
        """Return the next events, None at the end of the stream."""
        while True:
            try:
                return await self.reader.read()
            except StalledError:
                wait_s = self._wait_on_s()
                if wait_s <= 0:
                    raise
                self.reader.extend(wait_s)

    def _wait_on_s(self) -> float:
        """Return how long to wait for a silent upstream from now on."""
        if self.wait_rule is None:
            return 0.0
        silent_s = self.reader.silent_s
        if silent_s >= self.stall_limit_s:
            return 0.0
        return min(self.stall_limit_s - silent_s, self.wait_rule(silent_s))

    async def _pass_on(self, frames: list[Frame]) -> None:
        """Pass on the events before the first that can't be used."""
        accepted: list[bytes] = []
        fault: MissingEventError | None = None
        for frame in frames:
            count = self.stream.positions.count
            try:
                accepted.append(self.stream.accept(frame))
            except MissingEventError as error:
                fault = error
                break
            new_count = self.stream.positions.count - count
            if new_count:
                self.note_events(new_count)
        data = b"".join(accepted)
        if data:
            await self.stream.write(data)
        if fault is not None:
            raise GenerationLostError(str(fault)) from fault
