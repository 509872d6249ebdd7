"""A stand-in for the platform's metadata store, on loopback."""

import asyncio
import base64
import json
from typing import Any

from standins.http import Request, json_answer, read_request

PAGE_ITEMS = 500
PREFIX = "/plantainsail/"


class Store:
    """Keeps items by key, with revisions, pages and watches."""

    def __init__(self) -> None:
        """Set the attributes."""
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.changed = asyncio.Condition()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    async def put(self, key: str, value: Any) -> None:
        """Write an item; bytes are stored as they are."""
        data = value
        if not isinstance(value, bytes):
            data = json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        created = known["CreatedAt"] if known else self.revision
        item = {
            "Key": key,
            "Value": base64.b64encode(data).decode(),
            "Revision": self.revision,
            "CreatedAt": created,
            "Lease": 0,
        }
        self.items[key] = item
        await self._publish(item)

    async def delete(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        event = {"Key": key, "Revision": self.revision, "Deleted": True}
        await self._publish(event)

    async def _publish(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                status, value = await self._answer(request)
                writer.write(json_answer(status, value, {"Store-Era": "1"}))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request) -> tuple[int, Any]:
        call = request.path.removeprefix(PREFIX)
        if call == "kv-key":
            item = self.items.get(request.query("Key"))
            if item is None:
                return 404, {}
            return 200, item | {"At": self.revision}
        if call == "kv-range":
            return 200, self._page(request)
        if call == "kv-watch":
            return 200, await self._watch(request)
        return 404, {}

    def _page(self, request: Request) -> dict[str, Any]:
        prefix, after = request.query("PathPrefix"), request.query("After")
        keys = [
            key
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        entries = [self.items[key] for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return {"Entries": entries, "HasMore": has_more, "At": self.revision}

    async def _watch(self, request: Request) -> dict[str, Any]:
        prefix = request.query("PathPrefix")
        after = int(request.query("After", "0"))
        wait_s = int(request.query("WaitTimeoutMs", "0")) / 1000

        def found() -> list[dict[str, Any]]:
            return [
                event
                for event in self.events
                if event["Revision"] > after
                and event["Key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: bool(found()))
        except TimeoutError:
            pass
        return {"events": found(), "At": self.revision}
