"""How many seeds it takes to catch each planted bug: `python -m benchmarks.planted [most seeds] [jobs]`."""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor

from emberlatch.faults import draw, play
from tests.faults.mutations import MUTATIONS


def catch(name: str, most: int) -> tuple[str, int, str]:
    """The first seed that catches a bug (-1: none of so many), and the rule that it broke."""
    with MUTATIONS[name]():
        for seed in range(most):
            if breaches := play(draw(seed)).breaches:
                return name, seed, breaches[0].rule
    return name, -1, ""


def main(most: int, jobs: int) -> None:
    """A line for each."""
    print("| planted bug | first seed | rule |\n| --- | --- | --- |")
    with ProcessPoolExecutor(jobs) as pool:
        for name, seed, rule in pool.map(catch, MUTATIONS, [most] * len(MUTATIONS)):
            print(f"| {name.replace('_', ' ')} | {seed} | {rule} |", flush=True)


if __name__ == "__main__":
    main(*(int(word) for word in [*sys.argv[1:], *("2000", "8")[len(sys.argv) - 1 :]]))
