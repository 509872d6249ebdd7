"""Interface to engines that copy runs and report their departure.

An adapter implements `EngineMover` for its installation's engines.
"""

from typing import NamedTuple, Protocol


class CopyResult(NamedTuple):
    """Result of a copy.

    `handle` names the copy at its engine; it is empty without a copy.
    `has_process_ended` says that the source's host refused the
    connection, so that no process runs there any more.
    """

    status: int
    handle: str = ""
    has_process_ended: bool = False


NO_ANSWER = CopyResult(0)


class DepartureStatus(NamedTuple):
    """What an engine reports about its own departure.

    `leaves_in_s` is None if it doesn't leave or doesn't know when.
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
        answer came.  If the run was stopped, an answer with status 503
        names the memory that the source keeps.
        """

    async def free_copy(self, source: str, handle: str) -> None:
        """Free a copy that nobody will use, at both engines."""

    async def departure_status(self, upstream: str) -> DepartureStatus | None:
        """Ask an engine if it leaves; return None without an answer."""

    def continue_from_value(self, source: str, handle: str) -> bytes:
        """Return the header value that continues from a copy."""
