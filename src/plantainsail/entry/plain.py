"""Passes a request of a plain service to one upstream or, rarely, more.

A request that may run once is sent again only after a word that it was
not run.  An idempotent one is sent again also after a failure, within
its route's attempts and the fleet's budget.
"""

import asyncio
from enum import Enum, auto
from typing import NamedTuple

from plantainsail.entry.node import EntryNode
from plantainsail.entry.request import (
    RoutedRequest,
    is_not_executed,
    is_sound_head,
    make_outgoing,
)
from plantainsail.results import Code, Failure, Outcome
from plantainsail.routing.fleet_loads import UpstreamLoad
from plantainsail.routing.model import RequestKind, RoutedUpstream
from plantainsail.routing.placement import PlainView, choose_plain
from plantainsail.upstreams.single_use import (
    AnswerHead,
    ConnectError,
    CutShortError,
    Headers,
    SingleUseConnection,
)

CONNECT_S = 0.35
WHOLE_ANSWER_BYTES = 8_388_608
ONE_RUNNING = UpstreamLoad(running=1)
# An idempotent request goes to another upstream after this part of the
# time that was left.
PATIENCE_PART = 0.45
RETRY_AFTER_S = 0.1
MAX_REFUSALS = 3
SERVER_ERROR = 500


class Ending(Enum):
    """How one send ended."""

    ANSWERED = auto()
    NOT_RUN = auto()
    FAILED = auto()


class Sent(NamedTuple):
    """What came of one send."""

    ending: Ending
    status: int = 0
    headers: Headers = []
    body: bytes = b""
    reason: str = ""


class PlainForwarder:
    """Forwards requests whose answers are read whole."""

    def __init__(self, node: EntryNode) -> None:
        self.node = node

    async def forward(self, request: RoutedRequest) -> None:
        """Answer a request."""
        sent = await self._send_until_answered(request)
        if isinstance(sent, Failure):
            await self.refuse(request, sent)
            return
        self._count(request, "answered")
        await request.caller.answer(sent.status, sent.headers, sent.body)

    async def refuse(self, request: RoutedRequest, failure: Failure) -> None:
        """Give a failure to the caller, counted and logged."""
        self._count(request, "failed")
        refuse_line(self.node, request, failure)
        await request.caller.refuse(failure)

    async def _send_until_answered(
        self, request: RoutedRequest
    ) -> Sent | Failure:
        node = self.node
        budget = node.repeat_budget(request.service.name)
        budget.note_request(node.now_s())
        tried: frozenset[str] = frozenset()
        attempts = 0
        refusals = 0
        last: Sent | None = None
        while True:
            upstream = self._choose(request, tried)
            if upstream is None:
                return self._give_up(request, last, attempts)
            if last is not None and not self._may_repeat(request, last):
                return self._give_up(request, last, attempts)
            tried = tried | {upstream.identifier}
            last = await self._send_once(request, upstream, attempts)
            self._log_send(request, upstream, last)
            if last.ending is Ending.ANSWERED and last.status < SERVER_ERROR:
                return last
            if last.ending is Ending.NOT_RUN:
                refusals += 1
            else:
                attempts += 1
            if refusals >= MAX_REFUSALS or self._is_over(request, attempts):
                return self._give_up(request, last, attempts)

    def _is_over(self, request: RoutedRequest, attempts: int) -> bool:
        if self.node.now_s() >= request.deadline_s:
            return True
        if not attempts:
            return False
        is_idempotent = request.route.kind is RequestKind.IDEMPOTENT
        return not is_idempotent or attempts >= request.route.max_attempts

    def _may_repeat(self, request: RoutedRequest, last: Sent) -> bool:
        if last.reason == "unreachable":
            return True
        node = self.node
        budget = node.repeat_budget(request.service.name)
        size = node.members.fleet_size()
        if not budget.take_repeat(node.now_s(), size):
            return False
        node.metrics.repeats.labels(last.reason).inc()
        return True

    def _give_up(
        self, request: RoutedRequest, last: Sent | None, attempts: int
    ) -> Sent | Failure:
        if last is not None and last.ending is Ending.ANSWERED:
            # An error of the upstream's own, which nothing bettered.
            return last
        if attempts:
            if self.node.now_s() >= request.deadline_s:
                return Failure(
                    Code.UPSTREAM_TIMEOUT, "the upstream did not answer"
                )
            return Failure(Code.UPSTREAM_TRUNCATED, "the answer was lost")
        detail = "no upstream took the request"
        return Failure(
            Code.NO_UPSTREAM,
            detail,
            RETRY_AFTER_S * (1.0 + self.node.random.random()),
            outcome=Outcome.NOT_RUN,
        )

    def _choose(
        self, request: RoutedRequest, tried: frozenset[str]
    ) -> RoutedUpstream | None:
        node = self.node
        now_s = node.now_s()
        zone = node.settings.availability_zone
        views = [
            PlainView(
                upstream,
                node.fleet_loads.load_of(upstream.identifier, now_s).running,
                node.registry.is_suspect(upstream.identifier, now_s),
                upstream.availability_zone == zone,
            )
            for upstream in node.registry.usable_upstreams(
                request.service.name
            )
        ]
        node.random.shuffle(views)
        return choose_plain(views, tried)

    async def _send_once(
        self, request: RoutedRequest, upstream: RoutedUpstream, attempts: int
    ) -> Sent:
        node = self.node
        left_s = request.deadline_s - node.now_s()
        is_idempotent = request.route.kind is RequestKind.IDEMPOTENT
        if is_idempotent and attempts + 1 < request.route.max_attempts:
            left_s *= PATIENCE_PART
        node.fleet_loads.add_short_lived(upstream.identifier, ONE_RUNNING)
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                sent = await self._exchange(request, upstream)
        except TimeoutError:
            sent = Sent(Ending.FAILED, reason="timeout")
        finally:
            node.fleet_loads.subtract_short_lived(
                upstream.identifier, ONE_RUNNING
            )
        if sent.ending is Ending.ANSWERED and sent.status < SERVER_ERROR:
            node.registry.note_success(upstream.identifier)
        elif sent.reason != "refused":
            node.registry.note_failure(upstream.identifier, node.now_s())
        return sent

    async def _exchange(
        self, request: RoutedRequest, upstream: RoutedUpstream
    ) -> Sent:
        node = self.node
        try:
            connection = await SingleUseConnection.open(
                upstream.address, CONNECT_S
            )
        except ConnectError:
            return Sent(Ending.NOT_RUN, reason="unreachable")
        try:
            connection.send(
                make_outgoing(
                    request,
                    node.dialect,
                    upstream.identifier,
                    node.now_s(),
                    [],
                )
            )
            head = await connection.read_head()
            body = await read_whole(connection)
        except CutShortError:
            return Sent(Ending.FAILED, reason="cut short")
        finally:
            connection.abort()
        return judge_answer(head, body, request, node)

    def _log_send(
        self, request: RoutedRequest, upstream: RoutedUpstream, sent: Sent
    ) -> None:
        node = self.node
        suspect = node.registry.failures.get(upstream.identifier, 0)
        if sent.ending is not Ending.ANSWERED:
            node.log.info(
                "send failed",
                request=request.identifier,
                upstream=upstream.identifier,
                reason=sent.reason,
                outcome=sent.ending.name.lower(),
                suspect=suspect,
            )
            return
        load = node.fleet_loads.load_of(upstream.identifier, node.now_s())
        node.log.info(
            "send answered",
            request=request.identifier,
            upstream=upstream.identifier,
            status=sent.status,
            running=load.running,
            suspect=suspect,
            after_ms=int((node.now_s() - request.arrived_s) * 1000),
            configuration=request.configuration_version,
        )

    def _count(self, request: RoutedRequest, outcome: str) -> None:
        metrics = self.node.metrics
        kind = request.route.kind.value
        metrics.requests.labels(kind, outcome).inc()
        passed_s = self.node.now_s() - request.arrived_s
        metrics.latency.labels(kind).observe(passed_s)


def judge_answer(
    head: AnswerHead, body: bytes, request: RoutedRequest, node: EntryNode
) -> Sent:
    """Return what a whole answer means."""
    if is_not_executed(head, node.dialect):
        return Sent(Ending.NOT_RUN, reason="refused")
    if not is_sound_head(head, request, node.dialect):
        return Sent(Ending.FAILED, reason="not its answer")
    return Sent(
        Ending.ANSWERED,
        head.status,
        head.headers,
        body,
        "error status" if head.status >= SERVER_ERROR else "",
    )


async def read_whole(connection: SingleUseConnection) -> bytes:
    """Return the whole body of an answer."""
    body = bytearray()
    while True:
        piece = await connection.read_piece()
        if piece is None:
            return bytes(body)
        body += piece
        if len(body) > WHOLE_ANSWER_BYTES:
            raise CutShortError("the answer is too long")


def refuse_line(
    node: EntryNode, request: RoutedRequest, failure: Failure
) -> None:
    """Count a failure and log it with what it rests on."""
    code = Code(failure.code)
    node.metrics.refusals.labels(code.name.lower()).inc()
    node.log.info(
        "request failed",
        request=request.identifier,
        code=int(code),
        reason=failure.detail,
        kind=request.route.kind.value,
        route=request.route.name,
        service=request.service.name,
        after_ms=int((node.now_s() - request.arrived_s) * 1000),
        configuration=request.configuration_version,
        configuration_age_ms=node.in_force.age_ms(node.now_s()),
    )
