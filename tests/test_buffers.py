"""The memory that a daemon keeps for others' bytes, all at once.

An upstream in trouble, or callers with large bodies, may send to one
daemon on many connections at a time.  Limits for each of them are not
enough: a daemon that runs out of memory ends with all its requests.
"""

import asyncio
from collections.abc import AsyncIterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainsail.buffers import (
    FREE_BYTES,
    BufferQuota,
    BufferShare,
    OverQuotaError,
)
from plantainsail.daemon import Daemon
from plantainsail.entry.daemon import EntryDaemon
from plantainsail.routing.model import RequestKind
from tests.standins.platform import call
from tests.standins.routed import (
    ROUTES,
    SIGNATURE,
    ReceivedRequest,
    StandInCaller,
    StandInSource,
    StandInUpstream,
    answer,
    configuration,
    read_answer,
    route,
    start_entry,
)
from tests.standins.waiting import until

LIMIT_S = 30.0
LIMIT_BYTES = 1_000_000
CALLS = 24
BLOCK = b"x" * 16_384
UNFRAMED = b"HTTP/1.1 200 OK\r\n" + SIGNATURE + b"\r\n"


class RecordingQuota(BufferQuota):
    """Records the most bytes that were in use."""

    peak_bytes = 0

    def open_share(self) -> BufferShare:
        """Return a share; all shares report to this quota."""
        return RecordingShare(self)


class RecordingShare(BufferShare):
    """Records the use of its quota after each change."""

    def take(self, count: int) -> None:
        """Take bytes and record the peak."""
        super().take(count)
        assert isinstance(self.quota, RecordingQuota)
        used_bytes = self.quota.used_bytes
        self.quota.peak_bytes = max(self.quota.peak_bytes, used_bytes)


class Environment:
    """A daemon with a small quota, and an upstream that fails."""

    def __init__(self) -> None:
        self.upstream = StandInUpstream("u0", self._serve)
        self.quota = RecordingQuota(LIMIT_BYTES)
        self.open_answers = 0
        self.may_end = asyncio.Event()

    async def start(self) -> EntryDaemon:
        """Start all; return the daemon."""
        patient = route("/patient/", RequestKind.NON_IDEMPOTENT, timeout_s=60)
        published = configuration(routes=(*ROUTES, patient))
        source = StandInSource(published, (await self.upstream.start(),))
        self.daemon = await start_entry(source)
        self.daemon.node.buffers = self.quota
        await until(self.daemon.node.is_ready)
        self.caller = StandInCaller(self.daemon)
        return self.daemon

    async def _serve(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if not request.target.endswith("/endless"):
            writer.write(answer())
            await writer.drain()
            return
        self.open_answers += 1
        writer.write(UNFRAMED)
        while True:
            writer.write(BLOCK)
            await writer.drain()
            await asyncio.sleep(0)


@pytest.fixture
async def env() -> AsyncIterator[Environment]:
    env = Environment()
    daemon = await env.start()
    yield env
    await daemon.stop()
    env.upstream.stop()


async def test_endless_answers_at_once_stay_within_the_quota(
    env: Environment,
) -> None:
    """Each of them was within its limit, and all filled the memory."""
    async with asyncio.timeout(LIMIT_S):
        responses = await asyncio.gather(
            *(env.caller.call("/patient/endless") for _ in range(CALLS))
        )
        sound = await env.caller.call("/patient/sound")
    assert env.open_answers == CALLS
    assert {response.status for response in responses} == {502}
    assert 0 < env.quota.peak_bytes <= LIMIT_BYTES
    assert env.quota.used_bytes == 0
    assert (sound.status, sound.body) == (200, b"done")


async def test_small_answer_passes_while_the_quota_is_used_up(
    env: Environment,
) -> None:
    env.quota.used_bytes = LIMIT_BYTES
    sound = await env.caller.call("/patient/sound")
    assert sound.status == 200


async def test_large_bodies_at_once_are_refused_as_not_run(
    env: Environment,
) -> None:
    """Large bodies of several callers took a daemon to 157 MB."""
    # The last byte of each body is missing, so that all are held.
    headers = {"content-length": "400000"}
    body = b"x" * 399_999
    async with asyncio.timeout(LIMIT_S):
        calls = [
            await env.caller.open("/patient/x", headers, body)
            for _ in range(4)
        ]
        answers = [
            asyncio.ensure_future(read_answer(reader)) for reader, _ in calls
        ]
        done, waiting = await asyncio.wait(
            answers, return_when=asyncio.FIRST_COMPLETED
        )
        refused = done.pop().result()
        for one in waiting:
            one.cancel()
        for _, writer in calls:
            writer.close()
    assert refused.status == 429
    assert refused.headers["plantainsail-outcome"] == "not_run"
    assert float(refused.headers["retry-after"]) > 0


async def test_body_that_never_ends_is_refused_as_not_run(
    env: Environment,
) -> None:
    """A caller that stopped sending was waited for without a limit."""
    headers = {"content-length": "10"}
    async with asyncio.timeout(LIMIT_S):
        reader, writer = await env.caller.open("/short/x", headers, b"half")
        refused = await read_answer(reader)
        writer.close()
    assert refused.status == 408
    assert refused.headers["plantainsail-outcome"] == "not_run"


async def test_large_answer_reaches_a_slow_caller_whole(
    env: Environment,
) -> None:
    env.quota.limit_bytes = 10_000_000
    body = bytes(range(256)) * 12_000

    async def serve(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(body=body))
        await writer.drain()

    env.upstream.serve = serve
    async with asyncio.timeout(LIMIT_S):
        response = await env.caller.call("/patient/x")
    assert response.body == body


@given(
    steps=st.lists(
        st.tuples(st.integers(0, 3), st.integers(0, 400_000), st.booleans())
    )
)
def test_shares_never_exceed_their_quota(
    steps: list[tuple[int, int, bool]],
) -> None:
    quota = BufferQuota(LIMIT_BYTES)
    shares = [quota.open_share() for _ in range(4)]
    for number, count, is_taken in steps:
        share = shares[number]
        if not is_taken:
            share.release_to(min(count, share.held_bytes))
            continue
        before = share.held_bytes
        try:
            share.take(count)
        except OverQuotaError:
            assert share.held_bytes == before
        counted = sum(max(0, one.held_bytes - FREE_BYTES) for one in shares)
        assert quota.used_bytes == counted <= LIMIT_BYTES
    for share in shares:
        with share:
            pass
    assert quota.used_bytes == 0


async def test_large_body_at_the_other_daemon_is_refused_as_not_run(
    daemon: Daemon, address: str
) -> None:
    """Its bodies, each within a limit, had none all together."""
    daemon.node.buffers.used_bytes = daemon.node.buffers.limit_bytes
    body = b'{"prompt": "' + b"x" * 2 * FREE_BYTES + b'"}'
    refused = await call(address, "POST", "/v1/completions", body)
    assert refused.status == 429
    assert refused.headers["plantainsail-outcome"] == "not_run"
    small = await call(address, "POST", "/v1/completions", b"{}")
    assert small.status == 400
    assert daemon.node.buffers.used_bytes == daemon.node.buffers.limit_bytes
