"""Runs the soak from the command line."""

import argparse
import asyncio
import sys
import time

from soak.run import run_seed


def main() -> int:
    """Run the seeds one after the other; return 1 if any failed."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument(
        "--seed", type=int, help="the first seed (default: from the clock)"
    )
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--daemons", type=int, default=4)
    options = parser.parse_args()
    first = options.seed
    if first is None:
        first = time.time_ns() % 1_000_000
    failed = 0
    for seed in range(first, first + options.seeds):
        result = asyncio.run(run_seed(seed, options.seconds, options.daemons))
        failed += bool(result.problems)
        print(
            f"seed {seed}: {result.attempts} attempts, "
            f"{result.answered} answered, {dict(result.faults)}"
        )
        for problem in result.problems[:10]:
            print(f"  {problem}")
    print(f"{options.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
