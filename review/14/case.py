"""A request makes each replica that runs it go dark, and comes again.

The replicas go dark as they begin to run it.  After the third one, no
more of them may be lost to this request.
"""

from pathlib import Path

from bench3 import Fleet, Record, run_case
from deadly import Crash, play_deadly

FOLDER = Path(__file__).resolve().parent

CRASH = Crash(after_s=0.0, is_silent=True)


async def play(fleet: Fleet, record: Record, *, has_trouble: bool) -> int:
    """Play the deadly request among others."""
    return await play_deadly(fleet, record, CRASH, has_trouble)


if __name__ == "__main__":
    run_case(FOLDER, play)
