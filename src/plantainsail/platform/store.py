"""Reads the platform's metadata store; nothing here writes to it."""

import base64
import binascii
from collections.abc import AsyncIterator
from typing import Any, NamedTuple
from urllib.parse import quote

from plantainsail.entry.source import (
    Changes,
    HistoryLostError,
    PublishedConfiguration,
    PublishedUpstreams,
    SourceError,
    UpstreamChange,
)
from plantainsail.logs import get_logger
from plantainsail.platform.calls import CallAnswer, CallError, call
from plantainsail.platform.decode import (
    UnreadableError,
    decode_configuration,
    decode_upstream,
)
from plantainsail.routing.model import RoutedUpstream, RoutingConfiguration
from plantainsail.routing.revisions import (
    COUNT_MASK,
    count_of,
    epoch_of,
    make_revision,
)
from plantainsail.routing.validity import is_name
from plantainsail.routing.zone_drains import PublishedOrders, ZoneOrder

CONFIGURATION_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"
# While such a key exists, the availability zone that it names is to be
# drained; its value has no meaning.
ZONE_ORDER_PREFIX = "op/evacuate/"
MAX_LOGGED_CHARACTERS = 100
# The platform calls the epoch an era.
EPOCH_HEADER = b"store-era"
# A revision must fit into messages between daemons with its epoch.
MAX_EPOCH_DIGITS = 6
READ_TIMEOUT_S = 1.5
WATCH_MARGIN_S = 1.5
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_GONE = 410


class Page(NamedTuple):
    """Some items of a prefix, and the revision of its first page.

    The pages are not a consistent snapshot.  A watch from the revision
    on repeats the changes that were made between the pages.
    """

    items: list[dict[str, Any]]
    revision: int


class StoreAnswer(NamedTuple):
    """An answer of the store, and the epoch in which it was given.

    The epoch rises by one each time the store is restored from a copy.
    """

    status: int
    body: Any
    epoch: int


class PlatformStore:
    """Reads configuration and upstreams from the store."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.log = get_logger("store")
        # The newest epoch in an answer; 0 for a store that names none.
        self.epoch = 0
        # Caches the last decoded configuration, because most reads
        # return the same revision again.
        self.last_revision: int | None = None
        self.last_configuration: RoutingConfiguration | None = None

    async def read_configuration(self) -> PublishedConfiguration:
        """Return the newest configuration."""
        target = f"/plantainsail/kv-key?Key={quote(CONFIGURATION_KEY)}"
        answer = await self._get(target, READ_TIMEOUT_S)
        configuration = None
        if answer.status != HTTP_NOT_FOUND:
            item = _checked_body(answer)
            configuration = self._configuration(item, answer.epoch)
        return PublishedConfiguration(
            configuration, answer.epoch, _revision_of_answer(answer)
        )

    async def list_upstreams(self) -> PublishedUpstreams:
        """Return all upstreams."""
        upstreams: list[RoutedUpstream] = []
        revision = -1
        async for page in self._pages(UPSTREAM_PREFIX):
            revision = page.revision
            for item in page.items:
                upstream = self._upstream(item)
                if upstream is not None:
                    upstreams.append(upstream)
        return PublishedUpstreams(tuple(upstreams), revision)

    async def list_zone_orders(self) -> PublishedOrders:
        """Return the availability zones that are to be drained."""
        orders: list[ZoneOrder] = []
        revision = -1
        async for page in self._pages(ZONE_ORDER_PREFIX):
            revision = page.revision
            for item in page.items:
                order = self._zone_order(item, revision)
                if order is not None:
                    orders.append(order)
        return PublishedOrders(tuple(orders), revision)

    async def _pages(self, prefix: str) -> AsyncIterator[Page]:
        """Read all items of a prefix, page by page."""
        revision: int | None = None
        after = ""
        while True:
            target = f"/plantainsail/kv-range?PathPrefix={prefix}"
            if after:
                target += f"&After={quote(after)}"
            answer = await self._get(target, READ_TIMEOUT_S)
            page = _checked_body(answer)
            entries = _items(page.get("Entries"))
            if revision is None:
                revision = _revision(answer.epoch, page.get("At"))
            if answer.epoch != epoch_of(revision):
                raise HistoryLostError("restored between two pages")
            yield Page(entries, revision)
            if not page.get("HasMore") or not entries:
                return
            after = entries[-1]["Key"]

    async def wait_for_changes(self, after: int, wait_s: float) -> Changes:
        """Wait for changes after a revision and return them.

        The history of an earlier epoch is lost, also where the store
        has given the same revision out again.
        """
        epoch = epoch_of(after)
        if self.epoch > epoch:
            raise HistoryLostError("restored before the watch")
        wait_ms = int(wait_s * 1000)
        target = (
            "/plantainsail/kv-watch?PathPrefix="
            f"&After={count_of(after)}&WaitTimeoutMs={wait_ms}"
        )
        answer = await self._get(target, wait_s + WATCH_MARGIN_S)
        if answer.epoch > epoch or answer.status == HTTP_GONE:
            raise HistoryLostError("not in the store's history")
        body = _checked_body(answer)
        configurations: list[RoutingConfiguration] = []
        upstreams: list[UpstreamChange] = []
        orders: list[ZoneOrder] = []
        revision = _revision(epoch, body.get("At"))
        for event in _items(body.get("events")):
            key = event["Key"]
            if key == CONFIGURATION_KEY and not event.get("Deleted"):
                configuration = self._configuration(event, epoch)
                if configuration is not None:
                    configurations.append(configuration)
            if key.startswith(UPSTREAM_PREFIX):
                upstreams.append(self._change(event, epoch))
            if key.startswith(ZONE_ORDER_PREFIX):
                order = self._zone_order(event, revision)
                if order is not None:
                    orders.append(order)
        return Changes(
            tuple(configurations),
            tuple(upstreams),
            revision,
            tuple(orders),
        )

    async def _get(self, target: str, timeout_s: float) -> StoreAnswer:
        try:
            answer = await call(self.address, b"GET", target, timeout_s)
        except CallError as error:
            raise SourceError(str(error)) from error
        return StoreAnswer(
            answer.status, answer.body, self._epoch_of_answer(answer)
        )

    def _epoch_of_answer(self, answer: CallAnswer) -> int:
        """Return an answer's epoch, and remember the newest one.

        Raises `SourceError` for an answer from before a restoration.
        """
        value = answer.get(EPOCH_HEADER)
        if value is None:
            return self.epoch
        if not value.isdigit() or len(value) > MAX_EPOCH_DIGITS:
            raise SourceError("the epoch is no small number")
        epoch = int(value)
        if epoch < self.epoch:
            raise SourceError("answer from before a restoration")
        self.epoch = epoch
        return epoch

    def _configuration(
        self, item: Any, epoch: int
    ) -> RoutingConfiguration | None:
        revision = _revision(epoch, item.get("Revision"))
        if revision == self.last_revision:
            return self.last_configuration
        try:
            self.last_configuration = decode_configuration(
                _decoded_value(item)
            )
        except UnreadableError as error:
            self.log.warning("configuration unreadable", reason=str(error))
            return None
        self.last_revision = revision
        return self.last_configuration

    def _upstream(self, item: Any) -> RoutedUpstream | None:
        identifier = item["Key"].removeprefix(UPSTREAM_PREFIX)
        try:
            return decode_upstream(identifier, _decoded_value(item))
        except UnreadableError as error:
            self.log.info(
                "upstream entry unreadable",
                upstream=identifier,
                reason=str(error),
            )
            return None

    def _zone_order(self, item: Any, at: int) -> ZoneOrder | None:
        """Return an order, or None if it names no availability zone.

        `at` is the revision of the answer, which holds for an order
        that names none.
        """
        zone = item["Key"].removeprefix(ZONE_ORDER_PREFIX)
        if not is_name(zone):
            self.log.warning(
                "zone order unreadable",
                availability_zone=zone[:MAX_LOGGED_CHARACTERS],
            )
            return None
        count = item.get("Revision", count_of(at))
        revision = _revision(epoch_of(at), count)
        return ZoneOrder(zone, revision, not item.get("Deleted"))

    def _change(self, event: Any, epoch: int) -> UpstreamChange:
        identifier = event["Key"].removeprefix(UPSTREAM_PREFIX)
        upstream = None
        if not event.get("Deleted"):
            upstream = self._upstream(event)
        revision = _revision(epoch, event.get("Revision"))
        return UpstreamChange(identifier, upstream, revision)


def _items(value: object) -> list[dict[str, Any]]:
    """Return the items of a list of the store."""
    if not isinstance(value, list):
        raise SourceError("an answer without its items")
    for item in value:
        if not isinstance(item, dict) or type(item.get("Key")) is not str:
            raise SourceError("an item without a key")
    return value


def _revision(epoch: int, count: object) -> int:
    if type(count) is not int or not 0 <= count <= COUNT_MASK:
        raise SourceError("a revision is no number in its range")
    return make_revision(epoch, count)


def _revision_of_answer(answer: StoreAnswer) -> int:
    """Return the store's revision at an answer, -1 if it names none."""
    count = answer.body.get("At") if isinstance(answer.body, dict) else None
    if type(count) is not int or not 0 <= count <= COUNT_MASK:
        return -1
    return make_revision(answer.epoch, count)


def _checked_body(answer: StoreAnswer) -> Any:
    if answer.status != HTTP_OK or not isinstance(answer.body, dict):
        raise SourceError(f"status {answer.status}")
    return answer.body


def _decoded_value(item: Any) -> bytes:
    try:
        return base64.b64decode(item["Value"], validate=True)
    except (binascii.Error, KeyError, TypeError, ValueError) as error:
        raise UnreadableError(f"value: {error!r}") from error
