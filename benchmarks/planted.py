"""Finds the first seed that detects each planted bug.

python -m benchmarks.planted [max seeds] [jobs] [draw]
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor

from emberlatch.faults import PLAN_GENERATORS, run_plan
from tests.faults.planted_bugs import PLANTED_BUGS


def first_detecting_seed(name: str, max_seeds: int, draw: str) -> tuple[str, int, str]:
    """Return the bug, the first seed that detects it (-1 if none does), and the rule that was violated."""
    with PLANTED_BUGS[name]():
        for seed in range(max_seeds):
            if breaches := run_plan(PLAN_GENERATORS[draw](seed)).breaches:
                return name, seed, breaches[0].rule
    return name, -1, ""


def main(max_seeds: int, jobs: int, draw: str = "mixed") -> None:
    """Print a table row for each planted bug."""
    print("| planted bug | first seed | rule |\n| --- | --- | --- |")
    with ProcessPoolExecutor(jobs) as pool:
        for name, seed, rule in pool.map(
            first_detecting_seed, PLANTED_BUGS, [max_seeds] * len(PLANTED_BUGS), [draw] * len(PLANTED_BUGS)
        ):
            print(f"| {name.replace('_', ' ')} | {seed} | {rule} |", flush=True)


if __name__ == "__main__":
    max_seeds, jobs, draw = [*sys.argv[1:], *("2000", "8", "mixed")[len(sys.argv) - 1 :]]
    main(int(max_seeds), int(jobs), draw)
