"""Copies running requests between the platform's engines."""

from urllib.parse import quote

from plantainsail.entry.mover import NO_ANSWER, CopyResult, DepartureStatus
from plantainsail.logs import get_logger
from plantainsail.platform.calls import CallError, call
from plantainsail.routing.validity import is_name

COPY_TIMEOUT_S = 2.5
REPORT_TIMEOUT_S = 0.4
FREE_TIMEOUT_S = 0.4
# A report lists up to some hundred runs.
MAX_ENGINE_ANSWER_BYTES = 131_072
MAX_NOTICE_MS = 1e9
HTTP_OK = 200


class PlatformMover:
    """Asks a request's engine to copy the request's memory."""

    def __init__(self) -> None:
        self.log = get_logger("mover")

    async def copy_run(
        self, source: str, request: str, target: str, *, is_final: bool
    ) -> CopyResult:
        """Copy a run; see `EngineMover`."""
        body = {
            # The platform identifies a run by its request, not by its
            # engine.
            "Identifier": request,
            "Target": target,
            "IsFinal": is_final,
        }
        try:
            answer = await call(
                source,
                b"POST",
                "/plantainsail/kv-move",
                COPY_TIMEOUT_S,
                body,
                MAX_ENGINE_ANSWER_BYTES,
            )
        except CallError as error:
            self.log.info("copy failed", request=request, reason=str(error))
            return CopyResult(0, has_process_ended=error.is_refused)
        handle = ""
        if isinstance(answer.body, dict):
            handle = answer.body.get("KvHandle") or ""
        if handle and not is_name(handle):
            # No header could name the copy.
            self.log.info(
                "copy failed", request=request, reason="malformed handle"
            )
            return NO_ANSWER
        return CopyResult(answer.status, handle)

    async def free_copy(self, source: str, handle: str) -> None:
        """Free a copy; see `EngineMover`."""
        try:
            await call(
                source,
                b"DELETE",
                f"/plantainsail/kv-handle/{quote(handle, safe='')}",
                FREE_TIMEOUT_S,
                limit_bytes=MAX_ENGINE_ANSWER_BYTES,
            )
        except CallError as error:
            # The engine frees the copy by itself later.
            self.log.info("copy not freed", handle=handle, reason=str(error))

    async def departure_status(self, upstream: str) -> DepartureStatus | None:
        """Read an engine's report, which is several hundred ms old."""
        try:
            answer = await call(
                upstream,
                b"GET",
                "/plantainsail/report",
                REPORT_TIMEOUT_S,
                limit_bytes=MAX_ENGINE_ANSWER_BYTES,
            )
        except CallError as error:
            self.log.debug(
                "engine report not read", upstream=upstream, reason=str(error)
            )
            return None
        if answer.status != HTTP_OK or not isinstance(answer.body, dict):
            return None
        leaves_ms = answer.body.get("leaves_ms")
        leaves_in_s = None
        if isinstance(leaves_ms, int | float) and (
            0 <= leaves_ms <= MAX_NOTICE_MS
        ):
            leaves_in_s = leaves_ms / 1000
        return DepartureStatus(
            answer.body.get("State") == "draining", leaves_in_s
        )

    def continue_from_value(self, source: str, handle: str) -> bytes:
        """Return the header value that continues from a copy."""
        return f"{source}/{handle}".encode()
