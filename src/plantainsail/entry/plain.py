"""Forwards requests of plain services to upstreams, with retries.

A request that may run only once is sent again only if it surely was not
run.  An idempotent one is also sent again after a failure, within its
route's attempts and the fleet's retry budget.
"""

import asyncio

from plantainsail.entry import limits, ramping, suspects, zone_orders
from plantainsail.entry.answer_headers import note_answer
from plantainsail.entry.death_checks import BrokenRun, DeathChecks
from plantainsail.entry.failures import record_failure
from plantainsail.entry.node import EntryNode
from plantainsail.entry.request import (
    RoutedRequest,
    make_upstream_request,
)
from plantainsail.entry.send_results import (
    CUT_SHORT,
    FIRST_SERVER_ERROR_STATUS,
    ZONE_DRAINED,
    SendOutcome,
    SendResult,
    classify_answer,
)
from plantainsail.results import Code, Failure, Outcome
from plantainsail.routing.fleet_loads import UpstreamLoad
from plantainsail.routing.homes import Zones
from plantainsail.routing.model import RequestKind, RoutedUpstream, Service
from plantainsail.routing.placement import PlainView, choose_plain
from plantainsail.upstreams.single_use import (
    CONNECT_PROBLEMS,
    ConnectError,
    ConnectProblem,
    CutShortError,
    SingleUseConnection,
)

CONNECT_TIMEOUT_S = 0.35
MAX_ANSWER_BYTES = 8_388_608
ONE_RUNNING_REQUEST = UpstreamLoad(running=1)
# Each attempt of an idempotent request but the last gets this share of
# the time that remains, so that there is time for another upstream.
ATTEMPT_TIME_SHARE = 0.45
MIN_RETRY_AFTER_S = 0.1
MAX_NOT_RUN_ATTEMPTS = 3


def plain_views(
    node: EntryNode, service: Service, now_s: float, zones: Zones = None
) -> list[PlainView]:
    """Return the upstreams that may be sent to, in the list's order.

    Only those in `zones` are returned; if it is None, all may be.
    """
    zone = node.settings.availability_zone
    upstreams: list[RoutedUpstream] = []
    running: dict[str, int] = {}
    for upstream in node.upstreams_in(service.name, zones):
        if node.send_wait_s(upstream):
            continue
        upstreams.append(upstream)
        load = node.fleet_loads.load_of(upstream.identifier, now_s)
        running[upstream.identifier] = load.running
    ramps = ramping.plain_limits(node, service, running, now_s)
    views: list[PlainView] = []
    for upstream in upstreams:
        identifier = upstream.identifier
        views.append(
            PlainView(
                upstream,
                running[identifier],
                node.registry.is_suspect(identifier, now_s)
                or node.avoidance.is_avoided(identifier, now_s),
                upstream.availability_zone == zone,
                node.rate_limits.is_limited(identifier, now_s),
                ramps.get(identifier),
            )
        )
    return views


class PlainForwarder:
    """Forwards requests whose answers are buffered whole."""

    def __init__(self, node: EntryNode, death_checks: DeathChecks) -> None:
        self.node = node
        self.death_checks = death_checks

    async def forward(self, request: RoutedRequest) -> None:
        """Answer a request from an upstream or with a failure."""
        result = await self._send_with_retries(request)
        if isinstance(result, Failure):
            await self.refuse(request, result)
            return
        self._count(request, "answered")
        await request.caller.answer(result.status, result.headers, result.body)

    async def refuse(self, request: RoutedRequest, failure: Failure) -> None:
        """Count and log a failure and send it to the caller."""
        self._count(request, "failed")
        record_failure(self.node, request, failure)
        await request.caller.refuse(failure)

    async def _send_with_retries(
        self, request: RoutedRequest
    ) -> SendResult | Failure:
        node = self.node
        budget = node.repeat_budget(request.service.name)
        budget.note_request(node.now_s())
        parts = suspects.parts_of(request, node.dialect)
        tried: frozenset[str] = frozenset()
        attempts = 0
        not_run_attempts = 0
        last: SendResult | None = None
        while True:
            quarantined = suspects.refusal(node, request, parts)
            if quarantined is not None:
                return self._final_result(request, last, attempts, quarantined)
            upstream = self._choose_upstream(request, tried)
            if upstream is None:
                return self._final_result(request, last, attempts)
            if last is not None and not self._may_retry(request, last):
                return self._final_result(request, last, attempts)
            tried = tried | {upstream.identifier}
            started_s = node.now_s()
            last = await self._send_once(request, upstream, attempts)
            self._log_send(request, upstream, last)
            self._judge(request, upstream, parts, started_s, last)
            if (
                last.outcome is SendOutcome.ANSWERED
                and last.status < FIRST_SERVER_ERROR_STATUS
            ):
                return last
            if last.reason == ConnectProblem.NO_PROCESS:
                node.note_ended(upstream.identifier)
            elif last.reason == ZONE_DRAINED:
                # Nothing was sent, and no upstream there is chosen now.
                pass
            elif last.outcome is SendOutcome.NOT_RUN:
                not_run_attempts += 1
            else:
                attempts += 1
            if not_run_attempts >= MAX_NOT_RUN_ATTEMPTS or self._is_exhausted(
                request, attempts
            ):
                return self._final_result(request, last, attempts)

    def _is_exhausted(self, request: RoutedRequest, attempts: int) -> bool:
        if self.node.now_s() >= request.deadline_s:
            return True
        if not attempts:
            return False
        is_idempotent = request.route.kind is RequestKind.IDEMPOTENT
        return not is_idempotent or attempts >= request.route.max_attempts

    def _may_retry(self, request: RoutedRequest, last: SendResult) -> bool:
        if last.reason in CONNECT_PROBLEMS or last.reason == ZONE_DRAINED:
            return True
        node = self.node
        budget = node.repeat_budget(request.service.name)
        size = node.members.fleet_size()
        if not budget.take_repeat(node.now_s(), size):
            return False
        node.metrics.repeats.labels(last.reason).inc()
        return True

    def _judge(
        self,
        request: RoutedRequest,
        upstream: RoutedUpstream,
        parts: tuple[str, ...],
        started_s: float,
        result: SendResult,
    ) -> None:
        """Record whether the request may have crashed the upstream."""
        is_answered = result.outcome is SendOutcome.ANSWERED
        if is_answered and not result.ends_with_connection:
            if self.node.quarantine.has_records(parts):
                suspects.record_sound_run(self.node, parts, started_s)
            return
        if not is_answered and result.reason != CUT_SHORT:
            return
        ended_s = self.node.now_s()
        self.death_checks.start(
            BrokenRun(request.identifier, upstream, parts, started_s, ended_s)
        )

    def _final_result(
        self,
        request: RoutedRequest,
        last: SendResult | None,
        attempts: int,
        refusal: Failure | None = None,
    ) -> SendResult | Failure:
        """Return the best answer there is, or why there is none.

        `refusal` holds if no attempt may have run.
        """
        if last is not None and last.outcome is SendOutcome.ANSWERED:
            # No retry improved on the upstream's own error status.
            return last
        if attempts:
            if self.node.now_s() >= request.deadline_s:
                return Failure(
                    Code.UPSTREAM_TIMEOUT, "the upstream did not answer"
                )
            return Failure(Code.UPSTREAM_TRUNCATED, "the answer was lost")
        if refusal is not None:
            return refusal
        return self._no_upstream_failure(request)

    def _no_upstream_failure(self, request: RoutedRequest) -> Failure:
        """Return the failure of a request that no upstream ran.

        The callers refused for the same reason come back spread out.
        """
        drained = zone_orders.refusal(self.node, request.service.name)
        if drained is not None:
            return drained
        detail = "no upstream took the request"
        wait_s = self.node.shortest_wait_s(request.service.name, request.zones)
        if wait_s > 0:
            detail = "all upstreams want no request yet"
        retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
        return Failure(
            Code.NO_UPSTREAM,
            detail,
            retry_after_s * (1.0 + self.node.random.random()),
            outcome=Outcome.NOT_RUN,
        )

    def _choose_upstream(
        self, request: RoutedRequest, tried: frozenset[str]
    ) -> RoutedUpstream | None:
        node = self.node
        now_s = node.now_s()
        ramping.note_choice(node, request.service)
        views = plain_views(node, request.service, now_s, request.zones)
        node.random.shuffle(views)
        return choose_plain(views, tried)

    async def _send_once(
        self, request: RoutedRequest, upstream: RoutedUpstream, attempts: int
    ) -> SendResult:
        node = self.node
        timeout_s = request.deadline_s - node.now_s()
        is_idempotent = request.route.kind is RequestKind.IDEMPOTENT
        if is_idempotent and attempts + 1 < request.route.max_attempts:
            timeout_s *= ATTEMPT_TIME_SHARE
        node.fleet_loads.add_short_lived(
            upstream.identifier, ONE_RUNNING_REQUEST
        )
        limits.note_sent(node, upstream.identifier)
        sent_s = node.now_s()
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                result = await self._exchange(request, upstream)
        except TimeoutError:
            result = SendResult(SendOutcome.FAILED, reason="timeout")
        finally:
            node.fleet_loads.subtract_short_lived(
                upstream.identifier, ONE_RUNNING_REQUEST
            )
        if (
            result.outcome is SendOutcome.ANSWERED
            and result.status < FIRST_SERVER_ERROR_STATUS
        ):
            node.registry.note_success(upstream.identifier)
            ramping.note_plain_answer(node, upstream, sent_s)
        elif result.reason not in ("refused", ZONE_DRAINED):
            node.registry.note_failure(upstream.identifier, node.now_s())
        if result.outcome is not SendOutcome.ANSWERED:
            ramping.note_failed(node, upstream, sent_s, result.reason)
        return result

    async def _exchange(
        self, request: RoutedRequest, upstream: RoutedUpstream
    ) -> SendResult:
        node = self.node
        sent_s = node.now_s()
        buffers = request.caller.buffers
        # What an attempt before read of its answer is dropped.
        buffers.release_to(len(request.body))
        try:
            connection = await SingleUseConnection.open(
                upstream.address, CONNECT_TIMEOUT_S
            )
        except ConnectError as error:
            return SendResult(SendOutcome.NOT_RUN, reason=error.problem)
        try:
            if node.registry.is_drained(upstream):
                return SendResult(SendOutcome.NOT_RUN, reason=ZONE_DRAINED)
            connection.send(
                make_upstream_request(
                    request,
                    node.dialect,
                    upstream.identifier,
                    node.now_s(),
                    [],
                )
            )
            head = await connection.read_head()
            note_answer(node, upstream, head, sent_s)
            body = await connection.read_body(MAX_ANSWER_BYTES, buffers)
        except CutShortError as error:
            return SendResult(
                SendOutcome.FAILED, reason=CUT_SHORT, detail=str(error)
            )
        finally:
            connection.abort()
        return classify_answer(head, body, request, node)

    def _log_send(
        self,
        request: RoutedRequest,
        upstream: RoutedUpstream,
        result: SendResult,
    ) -> None:
        node = self.node
        suspect = node.registry.failures.get(upstream.identifier, 0)
        if result.outcome is not SendOutcome.ANSWERED:
            node.log.info(
                "send failed",
                request=request.identifier,
                upstream=upstream.identifier,
                reason=result.reason,
                detail=result.detail,
                outcome=result.outcome.name.lower(),
                suspect=suspect,
            )
            return
        load = node.fleet_loads.load_of(upstream.identifier, node.now_s())
        node.log.info(
            "send answered",
            request=request.identifier,
            upstream=upstream.identifier,
            status=result.status,
            named_limit=result.named_limit,
            running=load.running,
            suspect=suspect,
            after_ms=int((node.now_s() - request.arrived_s) * 1000),
            configuration=request.configuration_version,
        )

    def _count(self, request: RoutedRequest, outcome: str) -> None:
        metrics = self.node.metrics
        kind = request.route.kind.value
        metrics.requests.labels(kind, outcome).inc()
        latency_s = self.node.now_s() - request.arrived_s
        metrics.latency.labels(kind).observe(latency_s)
