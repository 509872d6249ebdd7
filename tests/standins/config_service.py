"""A stand-in for the platform's read-and-watch configuration service.

It serves values by key and lets a reader watch for a newer revision.
It counts all calls, and a watch as one call however long it waits.
Tests can take it down, publish older values and limit the number of
calls that it answers.
"""

import asyncio
from collections import Counter
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from tests.standins.listener import StandInListener

# The time for the answers to waiting watches to be sent.
CLOSING_S = 0.02


class ConfigService:
    """Holds published values and serves them."""

    def __init__(self) -> None:
        self.values: dict[str, dict[str, Any]] = {}
        self.calls = 0
        self.reads: Counter[str] = Counter()
        # The watches of each key; `told` counts those answered before
        # their timeout.
        self.watches: Counter[str] = Counter()
        self.told: Counter[str] = Counter()
        self.waiting: Counter[str] = Counter()
        self.is_down = False
        # The number of calls still to be answered; None is no limit.
        self.calls_left: int | None = None
        self.refused = 0
        self.changed = asyncio.Event()
        self.app = Starlette(
            routes=[
                Route("/v1/values/{key:path}", self.get_value),
                Route("/v1/watch/{key:path}", self.watch_value),
            ]
        )
        self.listener = StandInListener(self.app)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.listener.address}"

    async def stop(self) -> None:
        """Answer the waiting watches and close the listener."""
        self.is_down = True
        self.changed.set()
        await asyncio.sleep(CLOSING_S)
        await self.listener.stop()

    def publish(self, key: str, value: dict[str, Any]) -> None:
        """Set the value of a key and wake the watches."""
        self.values[key] = value
        self.changed.set()
        self.changed = asyncio.Event()

    def publish_family(
        self, family: str, revision: int, parts: dict[str, dict[str, Any]]
    ) -> None:
        """Publish the parts of a family, then its index."""
        for name, part in parts.items():
            self.publish(f"{family}/{name}", {"revision": revision} | part)
        known = self.values.get(f"{family}/index", {"parts": {}})["parts"]
        self.publish(
            f"{family}/index",
            {
                "revision": revision,
                "parts": known | dict.fromkeys(parts, revision),
                "daemons": _count_daemons(parts),
            },
        )

    async def get_value(self, request: Request) -> Response:
        """Answer a read of one value."""
        if not self._takes_call():
            return Response(status_code=429)
        self.reads[request.path_params["key"]] += 1
        return self._answer(request.path_params["key"])

    async def watch_value(self, request: Request) -> Response:
        """Answer once the value's revision is above `after`.

        The answer has status 304 if that takes longer than the timeout.
        """
        if not self._takes_call():
            return Response(status_code=429)
        key = request.path_params["key"]
        self.watches[key] += 1
        after = int(request.query_params.get("after", "0"))
        timeout_s = float(request.query_params.get("timeout_s", "30"))
        self.waiting[key] += 1
        try:
            async with asyncio.timeout(timeout_s):
                while self._revision(key) <= after and not self.is_down:
                    await self.changed.wait()
        except TimeoutError:
            return Response(status_code=304)
        finally:
            self.waiting[key] -= 1
        self.told[key] += 1
        return self._answer(key)

    def _takes_call(self) -> bool:
        self.calls += 1
        if self.calls_left is None:
            return True
        if self.calls_left == 0:
            self.refused += 1
            return False
        self.calls_left -= 1
        return True

    def _revision(self, key: str) -> int:
        return int(self.values.get(key, {}).get("revision", 0))

    def _answer(self, key: str) -> Response:
        if self.is_down:
            return Response(status_code=503)
        if key not in self.values:
            return Response(status_code=404)
        return JSONResponse(self.values[key])


def _count_daemons(parts: dict[str, dict[str, Any]]) -> int:
    hosts = [host for part in parts.values() for host in part.get("hosts", [])]
    daemons = [host for host in hosts if host["role"] == "entry"]
    return max(1, len(daemons))
