"""Reads list families from the configuration service."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import aiosonic
from expression import Error, Ok, Result

from plantainsail.lists.parse import Index
from plantainsail.lists.service_read import (
    INDEX_NAME,
    Refusal,
    RefusalReason,
    ServiceRead,
    read_index,
)
from plantainsail.lists.snapshot import Family
from plantainsail.lists.store import ListStore
from plantainsail.upstreams.cancellation import CancellationGuard
from plantainsail.upstreams.http import call_timeouts

READ_TIMEOUT_S = 2.0
WATCH_MARGIN_S = 2.0
MAX_VALUE_BYTES = 1_048_576
HTTP_OK = 200

WaitTurn = Callable[[], Awaitable[None]]
Announce = Callable[[Family, int], Awaitable[None]]


class ReadValue(NamedTuple):
    """A value from the service and the time of the request."""

    body: bytes
    sent_at_s: float


class ListReader:
    """Reads list families and puts their revisions in force.

    `announce` is awaited before a revision comes in force; it tells
    other daemons of it.
    """

    def __init__(
        self,
        base_url: str,
        http: aiosonic.HTTPClient,
        store: ListStore,
        now_s: Callable[[], float],
        announce: Announce,
    ) -> None:
        self.announce = announce
        self.base_url = base_url
        self.http = http
        self.store = store
        self.now_s = now_s
        self.daemons = 0
        self.indexes: dict[Family, dict[str, Index]] = {
            family: {} for family in Family
        }

    async def read(self, key: str) -> ReadValue | None:
        """Return the value of a key, or None if it cannot be read."""
        return await self._get(f"/v1/values/{key}", READ_TIMEOUT_S)

    async def watch(
        self, family: Family, after: int, timeout_s: float
    ) -> ReadValue | None:
        """Return the index once its revision is above `after`."""
        return await self._get(
            f"/v1/watch/{family.value}/{INDEX_NAME}"
            f"?after={after}&timeout_s={timeout_s}",
            timeout_s + WATCH_MARGIN_S,
        )

    async def _get(self, path: str, total_s: float) -> ReadValue | None:
        """Return the response body, or None on any failure.

        The HTTP library raises exceptions of many types, so all are
        caught here.
        """
        sent_at_s = self.now_s()
        try:
            with CancellationGuard():
                response = await self.http.get(
                    f"{self.base_url}{path}",
                    timeouts=call_timeouts(READ_TIMEOUT_S, total_s),
                )
                body = await response.content()
        except Exception:
            return None
        if response.status_code != HTTP_OK or len(body) > MAX_VALUE_BYTES:
            return None
        return ReadValue(body, sent_at_s)

    async def read_family(
        self,
        family: Family,
        wait_turn: WaitTurn,
        root: ReadValue | None = None,
    ) -> Result[int, Refusal]:
        """Put the service's revision of a family in force.

        `root` is the index if a watch has already returned it;
        `wait_turn` is awaited before each call.  Returns the revision
        that is then in force.
        """
        key = f"{family.value}/{INDEX_NAME}"
        if root is None:
            await wait_turn()
            root = await self.read(key)
        if root is None:
            return Error(_unreadable(family, 0, key))
        index = read_index(family, root.body, key)
        if index.is_error():
            return Error(index.error)
        self.daemons = max(self.daemons, index.ok.daemons)
        revision = index.ok.revision
        if revision < self.store.revision(family):
            return Error(_older(family, revision))
        if revision > self.store.revision(family):
            refusal = await self._read_parts(family, index.ok, wait_turn)
            if refusal is not None:
                return Error(refusal)
        self.store.confirm(root.sent_at_s, family, revision)
        self.store.clear_refusal(family)
        return Ok(revision)

    async def _read_parts(
        self, family: Family, root: Index, wait_turn: WaitTurn
    ) -> Refusal | None:
        read = ServiceRead(
            family, root, self.store.snapshots[family], self.indexes[family]
        )
        while keys := read.next_keys():
            for key in keys:
                await wait_turn()
                if self.store.revision(family) >= root.revision:
                    # A peer has delivered this revision meanwhile.
                    return None
                value = await self.read(key)
                if value is None:
                    return _unreadable(family, root.revision, key)
                refusal = read.add_value(key, value.body)
                if refusal is not None:
                    return refusal
        prepared = self.store.prepare(family, read.snapshot())
        if prepared.is_error():
            return prepared.error
        await self.announce(family, root.revision)
        self.store.commit(prepared.ok)
        self.indexes[family] = read.indexes
        return None


def _unreadable(family: Family, revision: int, key: str) -> Refusal:
    return Refusal(
        family, revision, RefusalReason.UNREADABLE, f"{key} cannot be read"
    )


def _older(family: Family, revision: int) -> Refusal:
    return Refusal(
        family,
        revision,
        RefusalReason.OLDER,
        "the service has an older revision than is in force here",
    )
