"""The HTTP client for plain services."""

import aiosonic
from expression import Error, Ok, Result

from plantainsail.buffers import BufferQuota
from plantainsail.lists.model import HostEntry
from plantainsail.results import Code, Failure
from plantainsail.upstreams.http import (
    DEADLINE_HEADER,
    UpstreamRequest,
    fetch,
)
from plantainsail.upstreams.protocols import ServiceAnswer, ServiceCall

TICKET_HEADER = "x-ticket"
HTTP_DRAINING = 503
MS_PER_S = 1_000


class HttpServiceClient:
    """Calls plain services over HTTP; no call is sent twice.

    A non-idempotent call opens its own connection, so it certainly did
    not run if the connection is refused.
    """

    def __init__(
        self,
        client: aiosonic.HTTPClient,
        pooled_client: aiosonic.HTTPClient,
        connect_s: float,
        answer_bytes: int,
        quota: BufferQuota,
    ) -> None:
        self.client = client
        self.pooled_client = pooled_client
        self.connect_s = connect_s
        self.answer_bytes = answer_bytes
        self.quota = quota

    async def call(
        self, service: HostEntry, call: ServiceCall, timeout_s: float
    ) -> Result[ServiceAnswer, Failure]:
        """Send a call once and return its complete answer.

        `UPSTREAM_UNREACHABLE` means that the call did not run, and
        `UPSTREAM_DRAINING` that the service reports not to have run
        it.  After any other failure the call may have run.
        """
        headers = {
            "content-type": "application/json",
            DEADLINE_HEADER: str(max(0, int(timeout_s * MS_PER_S))),
        }
        if call.ticket is not None:
            headers[TICKET_HEADER] = call.ticket
        request = UpstreamRequest(
            method="POST",
            url=f"http://{service.address}/v1/operations/{call.operation}",
            upstream=service.host,
            request=call.request,
            body=call.body,
            headers=headers,
        )
        answer = await fetch(
            self.pooled_client if call.is_idempotent else self.client,
            request,
            self.answer_bytes,
            self.connect_s,
            timeout_s,
            quota=self.quota,
        )
        if answer.is_error():
            return Error(answer.error)
        if answer.ok.status == HTTP_DRAINING:
            return Error(
                Failure(
                    Code.UPSTREAM_DRAINING,
                    f"{service.host} takes no new work",
                )
            )
        return Ok(ServiceAnswer(answer.ok.status, answer.ok.body))
