"""Limits what a daemon keeps of others' bytes at one time.

Each reader has a limit of its own, but many at once could still fill
the memory of a host, and all requests on it would end with the daemon.
A small body is always kept, so that readers of large ones do not stop
the others:

    quota = BufferQuota(limit_bytes=24_000_000)
    with quota.open_share() as share:
        share.take(len(piece))  # OverQuotaError if none is left
"""

from types import TracebackType

# Bodies up to this size do not count.
FREE_BYTES = 65_536
MAX_BUFFERED_BYTES = 25_165_824
MAX_TOTAL_BYTES = 41_943_040


class OverQuotaError(Exception):
    """All bodies together would exceed the quota."""


class BufferQuota:
    """The bytes of all large bodies that a daemon holds.

    `total_bytes` limits small and large bodies together.
    """

    def __init__(
        self,
        limit_bytes: int = MAX_BUFFERED_BYTES,
        total_bytes: int = MAX_TOTAL_BYTES,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = total_bytes
        self.used_bytes = 0
        self.held_bytes = 0

    def open_share(self) -> "BufferShare":
        """Return a share without any bytes."""
        return BufferShare(self)


class BufferShare:
    """The bytes that one request holds; released on leaving it."""

    def __init__(self, quota: BufferQuota) -> None:
        self.quota = quota
        self.held_bytes = 0

    def __enter__(self) -> "BufferShare":
        """Return the share itself."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Release all bytes."""
        self.release_to(0)

    def take(self, count: int) -> None:
        """Count more bytes; raise `OverQuotaError` if none are left."""
        held_bytes = self.held_bytes + count
        added_bytes = _counted(held_bytes) - _counted(self.held_bytes)
        if self.quota.used_bytes + added_bytes > self.quota.limit_bytes:
            raise OverQuotaError("too many large bodies at once")
        if self.quota.held_bytes + count > self.quota.total_bytes:
            raise OverQuotaError("too many bodies at once")
        self.quota.used_bytes += added_bytes
        self.quota.held_bytes += count
        self.held_bytes = held_bytes

    def release_to(self, held_bytes: int) -> None:
        """Release all but some bytes, as those of a failed attempt."""
        released_bytes = _counted(self.held_bytes) - _counted(held_bytes)
        self.quota.used_bytes -= released_bytes
        self.quota.held_bytes -= self.held_bytes - held_bytes
        self.held_bytes = held_bytes


def _counted(held_bytes: int) -> int:
    return max(0, held_bytes - FREE_BYTES)
