"""The calls by which engines copy runs and speak of their leaving.

An adapter implements `EngineMover` for its installation's engines.
"""

from typing import NamedTuple, Protocol


class CopyResult(NamedTuple):
    """How a copy ended: `handle` names it, or is empty."""

    status: int
    handle: str = ""


class DepartureStatus(NamedTuple):
    """What an engine says of its own leaving.

    `leaves_in_s` is None where it does not leave or does not know.
    """

    is_draining: bool
    leaves_in_s: float | None


class EngineMover(Protocol):
    """Copies the memory of runs between engines."""

    async def copy_run(
        self, source: str, request: str, target: str, *, is_final: bool
    ) -> CopyResult:
        """Copy a run; stop it first if the copy is the final one.

        Status 200 means copied, 404 that there is no such run, 503
        that the target has no room or can't be reached, 0 that no
        answer came.
        """

    async def departure_status(self, upstream: str) -> DepartureStatus | None:
        """Ask an engine whether it leaves; None without an answer."""

    def continue_from_value(self, source: str, handle: str) -> bytes:
        """Return the header value that continues from a copy."""
