"""A leaving engine loses the answer of a stream that is to move."""

import asyncio

import bed as beds
import engines

EVENTS = 232
ATTEMPTS = ("9c41d07be2a35f68", "18d0ff961903d32e", "43227e6b9b553120")
NOTICE_S = 2.0
AT_WORK_S = 0.4


async def case(bed: beds.Bed) -> bool:
    """Return whether the rule was broken."""
    old = engines.Engine(bed, "i-old", EVENTS)
    new = engines.Engine(bed, "i-new", EVENTS)
    # It is one of the few that work on where a channel closes.
    old.drops_closed = False
    await old.start()
    await new.start()
    old.register()
    await bed.start(
        2,
        beds.desired_state(
            7, beds.route("reorder-letter", "streaming", "sail-draft")
        ),
    )
    streams = [engines.Stream(attempt) for attempt in ATTEMPTS]
    calls = [
        asyncio.create_task(stream.call(bed, "3000,928")) for stream in streams
    ]
    for stream in streams:
        await stream.has_events.wait()
    # The replacement starts first, then the old one drains.
    new.register()
    await asyncio.sleep(1.5)
    old.leave(NOTICE_S)
    lost = await first_copied(old)
    if beds.HAS_TROUBLE:
        assert lost.writer is not None
        beds.reset(lost.writer)
        bed.record.note(f"i-old loses the answer of {lost.attempt}: reset")
    await asyncio.sleep(NOTICE_S)
    for run in old.runs.values():
        run.is_stopped = True
    bed.record.note("i-old is gone")
    await asyncio.gather(*calls)
    return judge(bed, old, new)


async def first_copied(old: engines.Engine) -> engines.Run:
    """Return the run whose first copy was made first."""
    for _ in range(2_000):
        if old.moves:
            # The next first copies still occupy the link.
            await asyncio.sleep(0.02)
            return old.runs[next(iter(old.moves))]
        await asyncio.sleep(0.002)
    raise beds.NotRunError("no run was copied")


def judge(bed: beds.Bed, old: engines.Engine, new: engines.Engine) -> bool:
    """Return whether a request was worked on at both engines."""
    if not new.runs:
        raise beds.NotRunError("no request went on elsewhere")
    is_broken = False
    for attempt, run in new.runs.items():
        overlap_s = old.runs[attempt].worked_s - run.began_s
        bed.record.note(
            f"{attempt} goes on at i-new; i-old makes its last event for it "
            f"{overlap_s:+.3f} s later"
        )
        is_broken |= overlap_s >= AT_WORK_S
    return is_broken


if __name__ == "__main__":
    beds.main(__file__, case)
