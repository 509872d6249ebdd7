"""Copies runs between the platform's engines."""

from plantainsail.entry.mover import CopyEnd
from plantainsail.logs import get_logger
from plantainsail.platform.calls import CallError, call

COPY_TIMEOUT_S = 2.5


class PlatformMover:
    """Asks the engine that runs a request to copy its memory."""

    def __init__(self) -> None:
        self.log = get_logger("mover")

    async def copy_run(
        self, source: str, request: str, target: str, *, is_final: bool
    ) -> CopyEnd:
        """Copy a run; see `EngineMover`."""
        body = {
            # The platform names the run by its request, not the engine.
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
            )
        except CallError as error:
            self.log.info("copy failed", request=request, reason=str(error))
            return CopyEnd(0)
        handle = ""
        if isinstance(answer.body, dict):
            handle = str(answer.body.get("KvHandle") or "")
        return CopyEnd(answer.status, handle)

    def continue_value(self, source: str, handle: str) -> bytes:
        """Return the value that names a copy."""
        return f"{source}/{handle}".encode()
