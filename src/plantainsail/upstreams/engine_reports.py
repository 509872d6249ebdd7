"""Reads the reports of engines on their load and prefix cache."""

from typing import Annotated, NamedTuple, Protocol

import aiosonic
import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from plantainsail.decoding import UndecodableError, decode
from plantainsail.lists.model import HostEntry
from plantainsail.policy.load_reports import LoadReport
from plantainsail.policy.prefixes import CacheChange
from plantainsail.results import Code, Failure
from plantainsail.settings import TimeLimits
from plantainsail.upstreams.http import UpstreamRequest, fetch

MAX_REPORT_BYTES = 65_536
MAX_COUNT = 2**53
HTTP_OK = 200

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]


class CacheEventMessage(msgspec.Struct, frozen=True):
    """One change of a prefix cache in the JSON form of engines."""

    number: Count
    change: CacheChange
    prefix: Annotated[int, Meta(ge=0)]


class CacheEvents(msgspec.Struct, frozen=True):
    """Events after the requested number, and the latest number."""

    latest: Count
    events: list[CacheEventMessage]


class _LoadMessage(msgspec.Struct, frozen=True):
    running: Count
    waiting: Count
    kv_tokens_used: Count
    age_s: Annotated[float, Meta(ge=0.0)]


LOAD_DECODER = msgspec.json.Decoder(_LoadMessage)
CACHE_EVENTS_DECODER = msgspec.json.Decoder(CacheEvents)


def decode_load(engine: HostEntry, body: bytes) -> Result[LoadReport, Failure]:
    """Return the load in an answer, or a failure if it is invalid."""
    try:
        message = decode(LOAD_DECODER, body)
    except UndecodableError:
        return Error(_garbled_failure(engine))
    return Ok(
        LoadReport(
            message.running,
            message.waiting,
            message.kv_tokens_used,
            message.age_s,
        )
    )


def decode_cache_events(
    engine: HostEntry, body: bytes
) -> Result[CacheEvents, Failure]:
    """Return the events in an answer, or a failure if it is invalid."""
    try:
        return Ok(decode(CACHE_EVENTS_DECODER, body))
    except UndecodableError:
        return Error(_garbled_failure(engine))


class ReportClient(Protocol):
    """Reads the reports of engines."""

    async def load(self, engine: HostEntry) -> Result[LoadReport, Failure]:
        """Return the load that an engine reports."""

    async def cache_events(
        self, engine: HostEntry, after: int
    ) -> Result[CacheEvents, Failure]:
        """Return the cache events numbered above `after`."""


class _ReportAddress(NamedTuple):
    path: str
    engine: HostEntry


class HttpReportClient:
    """Reads reports over HTTP; the connect timeout limits a call."""

    def __init__(
        self, client: aiosonic.HTTPClient, time_limits: TimeLimits
    ) -> None:
        self.client = client
        self.timeout_s = time_limits.connect_s

    async def load(self, engine: HostEntry) -> Result[LoadReport, Failure]:
        """Return the load that an engine reports."""
        answer = await self._read(_ReportAddress("/v1/load", engine))
        if answer.is_error():
            return Error(answer.error)
        return decode_load(engine, answer.ok)

    async def cache_events(
        self, engine: HostEntry, after: int
    ) -> Result[CacheEvents, Failure]:
        """Return the cache events numbered above `after`."""
        report_address = _ReportAddress(
            f"/v1/cache/events?after={after}", engine
        )
        answer = await self._read(report_address)
        if answer.is_error():
            return Error(answer.error)
        return decode_cache_events(engine, answer.ok)

    async def _read(
        self, report_address: _ReportAddress
    ) -> Result[bytes, Failure]:
        answer = await fetch(
            self.client,
            UpstreamRequest(
                method="GET",
                url=f"http://{report_address.engine.address}{report_address.path}",
                upstream=report_address.engine.host,
                request="report",
            ),
            MAX_REPORT_BYTES,
            self.timeout_s,
            self.timeout_s,
        )
        if answer.is_error():
            return Error(answer.error)
        if answer.ok.status != HTTP_OK:
            return Error(
                Failure(
                    Code.UPSTREAM_ERROR,
                    f"{report_address.engine.host} gave no report",
                )
            )
        return Ok(answer.ok.body)


def _garbled_failure(engine: HostEntry) -> Failure:
    return Failure(
        Code.UPSTREAM_GARBLED, f"{engine.host} sent a garbled report"
    )
