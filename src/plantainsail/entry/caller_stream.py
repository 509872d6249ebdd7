"""The stream of one request as its caller sees it.

It outlasts the runs at single upstreams: the caller gets one head and
every event once and in order.
"""

from plantainsail.entry.caller import remove_hop_by_hop
from plantainsail.entry.dialect import parse_token_counts
from plantainsail.entry.node import EntryNode
from plantainsail.entry.request import RoutedRequest
from plantainsail.routing.event_frames import Frame
from plantainsail.routing.positions import EventContinuity, EventPositions
from plantainsail.upstreams.single_use import AnswerHead


class MissingEventError(Exception):
    """An upstream left out an event, so its answer can't be used."""


class CallerStream:
    """Passes whole events on to a caller and keeps their positions.

    `may_have_run` counts the upstreams that may have run the request,
    `move_count` the moves of a run to another engine, and
    `resumption_count` the runs begun anew after a stream broke off.
    The caller took all events before `taken_s`, which is later than
    `last_event_s` if it reads slowly.  Times are 0 before the first
    event.
    """

    def __init__(self, node: EntryNode, request: RoutedRequest) -> None:
        self.node = node
        self.request = request
        self.positions = EventPositions(self._own_position())
        self.has_head = False
        self.first_event_s = 0.0
        self.last_event_s = 0.0
        self.taken_s = 0.0
        self.longest_pause_s = 0.0
        self.may_have_run = 0
        self.move_count = 0
        self.resumption_count = 0
        self.unproven_data = b""

    @property
    def has_begun(self) -> bool:
        """Return whether the caller was sent an event."""
        return self.positions.count > 0

    @property
    def output_tokens(self) -> int:
        """Return how many output tokens the caller was sent."""
        traits = self.request.service.traits
        return self.positions.count * traits.tokens_per_event

    @property
    def output_limit(self) -> int:
        """Return the most output tokens that the request allows."""
        dialect = self.node.dialect
        counts = parse_token_counts(self.request.caller.get(dialect.tokens))
        return counts.output_limit

    @property
    def is_at_limit(self) -> bool:
        """Return whether the caller has all that it asked for."""
        if self.request.caller.get(self.node.dialect.tokens) is None:
            return False
        return self.output_tokens >= self.output_limit

    async def start(self, head: AnswerHead) -> None:
        """Send the head of the first answer; keep it for later ones."""
        if self.has_head:
            return
        self.has_head = True
        await self.request.caller.start(
            head.status, remove_hop_by_hop(head.headers)
        )

    def join(self) -> None:
        """Prepare for the events of another upstream's run."""
        self.unproven_data = b""
        self.positions.join()

    def accept(self, frame: Frame) -> bytes:
        """Return the data to pass on for a frame, if any.

        Raises `MissingEventError` if it does not follow the events
        before it.
        """
        if frame.is_comment:
            return frame.data
        continuity = self.positions.classify(frame.event_id)
        if continuity is EventContinuity.REPEATED:
            return b""
        if continuity is EventContinuity.GAP:
            raise MissingEventError("an event is missing")
        if continuity is EventContinuity.UNPROVEN:
            self.unproven_data = frame.data
            return b""
        data, self.unproven_data = self.unproven_data + frame.data, b""
        return data

    def record_event(self, now_s: float) -> None:
        """Record that the caller gets an event now."""
        if not self.first_event_s:
            self.first_event_s = now_s
        else:
            pause_s = now_s - self.last_event_s
            self.node.metrics.pause.observe(pause_s)
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_s = now_s

    async def write(self, data: bytes) -> None:
        """Pass whole events on; record when the caller took them."""
        await self.request.caller.write(data)
        self.taken_s = self.node.now_s()

    async def end(self) -> None:
        """End the caller's answer as complete."""
        self.positions.accept_unproven()
        data, self.unproven_data = self.unproven_data, b""
        await self.request.caller.end(data)

    def _own_position(self) -> bytes:
        """Return the position that the caller itself asks for."""
        if not self.request.route.is_resumable:
            return b""
        dialect = self.node.dialect
        return self.request.caller.get(dialect.last_event_id) or b""
