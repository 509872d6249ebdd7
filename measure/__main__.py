"""Run a measurement: `python -m measure NAME --seed N`.

NAME is a scenario, `all` for every scenario, or a module of this
package that has a `main` function.
"""

import argparse
import importlib
import json
import sys
from pathlib import Path

from measure.scenarios import SCENARIOS
from measure.workloads import Figures

SEEDS = (1, 2, 3, 4, 5)


def print_figures(figures: Figures) -> None:
    """Print the figures of a scenario as one JSON line."""
    print(json.dumps(figures._asdict()), flush=True)


def main() -> int:
    """Run the named measurement and return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m measure")
    parser.add_argument("name")
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--report", type=Path)
    options, rest = parser.parse_known_args()
    seeds = options.seed or [SEEDS[0]]
    if options.name in SCENARIOS:
        for seed in seeds:
            print_figures(SCENARIOS[options.name](seed))
        return 0
    if options.name != "all":
        module = importlib.import_module(f"measure.{options.name}")
        sys.argv = [f"measure.{options.name}", *rest]
        if options.seed:
            sys.argv += ["--seed", str(options.seed[0])]
        return int(module.main() or 0)
    results: list[Figures] = []
    for seed in options.seed or SEEDS:
        for run_scenario in SCENARIOS.values():
            results.append(run_scenario(seed))
            print_figures(results[-1])
    if options.report is not None:
        from measure.report import write_report

        write_report(options.report, results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
