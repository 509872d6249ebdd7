"""Requests that were routed, and checks of their upstreams' answers."""

from typing import NamedTuple

from plantainsail.entry.caller import CallerExchange
from plantainsail.entry.dialect import Dialect
from plantainsail.routing.homes import Zones
from plantainsail.routing.model import Organisation, Route, Service
from plantainsail.upstreams.single_use import (
    AnswerHead,
    Headers,
    OutgoingRequest,
)

CONTENT_LENGTH = b"content-length"
# Callers conclude from these statuses that the request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
METHODS_WITHOUT_BODY = (b"GET", b"HEAD", b"DELETE", b"OPTIONS")


class RoutedRequest(NamedTuple):
    """A caller's request with its route, service and organisation.

    `deadline_s` is a time on the daemon's clock: the earlier of the
    caller's deadline and the end of the route's timeout.  Only
    upstreams in `zones` may get the request; if it is None, all may.
    """

    identifier: str
    caller: CallerExchange
    route: Route
    service: Service
    organisation: Organisation | None
    body: bytes
    arrived_s: float
    deadline_s: float
    configuration_version: int
    zones: Zones = None

    @property
    def priority(self) -> int:
        """Return the organisation's priority, or else the route's.

        0 is the most urgent.
        """
        organisation = self.organisation
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
        return self.route.priority


def make_upstream_request(
    request: RoutedRequest,
    dialect: Dialect,
    upstream: str,
    now_s: float,
    extra: Headers,
) -> OutgoingRequest:
    """Return the request that is sent to an upstream.

    The daemon's own internal headers and deadline replace the caller's,
    and so do the `extra` headers.  The key is left out if it identified
    an organisation; otherwise it is meant for the upstream.
    """
    dropped = dialect.internal | {b"authorization", dialect.deadline_ms}
    if request.organisation is None:
        dropped = dropped - {b"authorization"}
    dropped = dropped | {name for name, _ in extra}
    headers: Headers = []
    for name, value in request.caller.end_to_end_headers():
        if name not in dropped:
            headers.append((name, value))
    timeout_ms = max(1, int((request.deadline_s - now_s) * 1000))
    headers.append((dialect.deadline_ms, b"%d" % timeout_ms))
    headers.append((dialect.expected_upstream, upstream.encode()))
    if request.organisation is not None:
        name = request.organisation.name.encode()
        headers.append((dialect.organisation, name))
    headers += extra
    method = request.caller.method
    if request.body or method not in METHODS_WITHOUT_BODY:
        headers.append((CONTENT_LENGTH, b"%d" % len(request.body)))
    return OutgoingRequest(
        method, request.caller.target, headers, request.body
    )


def is_valid_answer_head(
    head: AnswerHead, request: RoutedRequest, dialect: Dialect
) -> bool:
    """Return whether an answer may be passed on to the caller.

    It must belong to this request, have no content encoding, and carry
    the signature if it is a success.  A status that means "not run" is
    invalid here: the upstream did not mark the request as not executed,
    but the caller would conclude that it did not run.
    """
    if head.status in NOT_RUN_STATUSES:
        return False
    if is_of_another_request(head, request, dialect):
        return False
    encoding = head.get(b"content-encoding")
    if encoding not in (None, b"identity"):
        return False
    is_success = 200 <= head.status < 300
    return not is_success or head.get(dialect.signature) is not None


def is_of_another_request(
    head: AnswerHead, request: RoutedRequest, dialect: Dialect
) -> bool:
    """Return whether an answer names another request as its own."""
    echoed = head.get(dialect.request_id)
    if echoed is None:
        return False
    return echoed.decode("latin-1") != request.identifier


def is_not_executed(
    head: AnswerHead, request: RoutedRequest, dialect: Dialect
) -> bool:
    """Return whether an upstream reports that it ran nothing.

    A faulty one may repeat what it reported of an earlier request.
    """
    if is_of_another_request(head, request, dialect):
        return False
    if head.status == 421:
        return True
    return head.get(dialect.not_executed) is not None
