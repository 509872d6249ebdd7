"""Routes and authenticates callers' requests, or refuses them."""

import asyncio
from typing import NamedTuple

from starlette.types import Receive, Scope, Send

from plantainsail.buffers import OverQuotaError
from plantainsail.entry.caller import (
    BodyTooLargeError,
    CallerDisconnectedError,
    CallerExchange,
)
from plantainsail.entry.dialect import parse_decimal
from plantainsail.entry.node import EntryNode
from plantainsail.entry.plain import PlainForwarder
from plantainsail.entry.request import RoutedRequest
from plantainsail.entry.streaming import StreamForwarder
from plantainsail.results import Code, Failure
from plantainsail.routing.homes import allowed_zones
from plantainsail.routing.model import (
    Organisation,
    RequestKind,
    Route,
    Service,
)
from plantainsail.routing.table import RoutingTable, draw_service

# Retry-After values by the reason of a refusal.
STARTING_RETRY_AFTER_S = 0.4
STALE_RETRY_AFTER_S = 0.6
DRAINING_RETRY_AFTER_S = 0.02
LARGE_BODIES_RETRY_AFTER_S = 0.5


class Admission(NamedTuple):
    """The route of a request, its organisation, and their table."""

    table: RoutingTable
    route: Route
    organisation: Organisation | None


class RequestHandler:
    """ASGI application that serves callers' routed requests."""

    def __init__(
        self, node: EntryNode, plain: PlainForwarder, stream: StreamForwarder
    ) -> None:
        self.node = node
        self.plain = plain
        self.stream = stream

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        with (
            self.node.running.count("request"),
            self.node.buffers.open_share() as buffers,
        ):
            caller = CallerExchange(scope, receive, send, buffers)
            caller.hold_connection()
            caller.closes_connection = self.node.is_leaving
            try:
                await self._serve(caller)
            except CallerDisconnectedError:
                self._log_disconnect(caller)
            finally:
                caller.stop_disconnect_watch()
                caller.release_connection()

    async def _serve(self, caller: CallerExchange) -> None:
        arrived_s = self.node.now_s()
        admission = self._route_and_authenticate(caller)
        body = await self._read_body(caller, admission)
        if isinstance(admission, Failure):
            await self._refuse(caller, admission)
            return
        if isinstance(body, Failure):
            await self._refuse(caller, body)
            return
        table, route, organisation = admission
        caller.watch_for_disconnect()
        service = self._draw_service(table, route)
        if service is None:
            failure = Failure(Code.NO_UPSTREAM, "the service is not listed")
            await self._refuse(caller, failure)
            return
        dialect = self.node.dialect
        deadline_ms = parse_decimal(caller.get(dialect.deadline_ms))
        timeout_s = route.timeout_s
        if deadline_ms is not None:
            timeout_s = min(timeout_s, deadline_ms / 1000)
        if self.node.is_too_late_for(arrived_s + timeout_s):
            caller.closes_connection = True
            failure = Failure(
                Code.DRAINING, "the daemon leaves soon", DRAINING_RETRY_AFTER_S
            )
            await self._refuse(caller, failure)
            return
        identifier = caller.get(dialect.request_id) or b""
        request = RoutedRequest(
            identifier.decode("latin-1"),
            caller,
            route,
            service,
            organisation,
            body,
            arrived_s,
            arrived_s + timeout_s,
            table.configuration.version,
            allowed_zones(
                route.regions,
                () if organisation is None else organisation.regions,
                self.node.settings.zone_regions,
            ),
        )
        if route.kind is not RequestKind.IDEMPOTENT:
            caller.protect_connection()
        await caller.cancel_on_disconnect(self._forward(request))

    async def _read_body(
        self, caller: CallerExchange, admission: Admission | Failure
    ) -> bytes | Failure:
        """Return a request's body, or why it is not read to its end."""
        limits = self.node.caller_limits()
        timeout_s = limits.idle_s
        if not isinstance(admission, Failure):
            timeout_s = admission.route.timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                return await caller.read_body(limits.body_bytes)
        except BodyTooLargeError:
            failure = Failure(Code.BODY_TOO_LARGE, "the body is too long")
        except TimeoutError:
            failure = Failure(Code.BODY_TIMEOUT, "the body came too slowly")
        except OverQuotaError as error:
            retry_after_s = LARGE_BODIES_RETRY_AFTER_S
            retry_after_s *= 1.0 + self.node.random.random()
            failure = Failure(Code.QUEUE_FULL, str(error), retry_after_s)
        caller.closes_connection = True
        return failure

    async def _forward(self, request: RoutedRequest) -> None:
        if request.route.kind is not RequestKind.STREAMING:
            await self.plain.forward(request)
            return
        await self.stream.forward(request)

    def _route_and_authenticate(
        self, caller: CallerExchange
    ) -> Admission | Failure:
        node = self.node
        table = node.in_force.table
        if table is None or node.registry.revision < 0:
            return Failure(
                Code.STARTING, "no configuration yet", STARTING_RETRY_AFTER_S
            )
        host = (caller.get(b"host") or b"").decode("latin-1")
        route = table.find_route(host, caller.path)
        if route is None:
            return self._unknown(Code.UNKNOWN_PATH, "no route fits")
        if node.is_leaving and route.kind is RequestKind.STREAMING:
            return Failure(Code.DRAINING, "leaving", DRAINING_RETRY_AFTER_S)
        if route.is_anonymous or not table.needs_keys:
            return Admission(table, route, None)
        if not node.may_use_keys():
            return Failure(
                Code.LISTS_STALE,
                "keys can't be checked against fresh lists",
                STALE_RETRY_AFTER_S,
            )
        key = self._bearer_key(caller)
        if key is None:
            return Failure(Code.MISSING_KEY, "the request carries no key")
        organisation = table.find_organisation(key)
        if organisation is None:
            return self._unknown(Code.UNKNOWN_KEY, "nobody holds the key")
        return Admission(table, route, organisation)

    def _unknown(self, code: Code, reason: str) -> Failure:
        """Return the refusal of an unknown route or key.

        A configuration that may be outdated can't tell that neither
        exists, so the caller may come back.
        """
        if self.node.may_lag_configuration():
            reason += " in a configuration that may be outdated"
            return Failure(Code.LISTS_STALE, reason, STALE_RETRY_AFTER_S)
        return Failure(code, reason)

    def _bearer_key(self, caller: CallerExchange) -> str | None:
        value = caller.get(b"authorization") or b""
        scheme, _, key = value.partition(b" ")
        if scheme.lower() != self.node.dialect.key_scheme:
            return None
        return key.strip().decode("latin-1")

    def _draw_service(
        self, table: RoutingTable, route: Route
    ) -> Service | None:
        name = draw_service(route, self.node.random.random())
        return table.services.get(name)

    async def _refuse(self, caller: CallerExchange, failure: Failure) -> None:
        node = self.node
        code = Code(failure.code)
        node.metrics.refusals.labels(code.name.lower()).inc()
        identifier = caller.get(node.dialect.request_id) or b""
        node.log.info(
            "request refused",
            request=identifier.decode("latin-1"),
            code=int(code),
            reason=failure.detail,
            path=caller.path,
            configuration=node.in_force.version,
            configuration_age_ms=node.in_force.age_ms(node.now_s()),
        )
        await caller.refuse(failure)

    def _log_disconnect(self, caller: CallerExchange) -> None:
        identifier = caller.get(self.node.dialect.request_id) or b""
        self.node.log.info(
            "caller disconnected",
            request=identifier.decode("latin-1"),
            path=caller.path,
            had_answer_begun=caller.is_answer_started,
        )
