"""Measures the speed of fault simulation runs, and the parts that use the time.

    python -m benchmarks.faults [seeds]

Prints the seeds per second on one core, measured without a profiler, then the share of each part in the
functions' own time under cProfile. The profiler adds a cost to every call, which overstates the share of code
that makes many small calls.
"""

from __future__ import annotations

import cProfile
import pstats
import sys
import time
from collections import Counter

from emberlatch.faults import draw_mixed, run_plan

PARTS = (
    ("emberlatch/core", "decision module"),
    ("emberlatch/engine", "engine"),
    ("emberlatch/net", "HTTP"),
    ("emberlatch/store", "journal"),
    ("json", "journal"),
    ("dataclasses", "journal"),
    ("emberlatch/faults/checks", "checks"),
    ("emberlatch/faults/clients", "stand-ins"),
    ("emberlatch/faults/endpoint", "stand-ins"),
    ("emberlatch/faults/environment", "stand-ins"),
    ("emberlatch/faults/fault_injection", "stand-ins"),
    ("emberlatch/faults/forwarder", "stand-ins"),
    ("emberlatch/faults/trace", "stand-ins"),
    ("emberlatch/standins", "stand-ins"),
    ("emberlatch/faults", "virtual loop, network, disk"),
    ("asyncio", "virtual loop, network, disk"),
    ("heapq", "virtual loop, network, disk"),
    ("contextvars", "virtual loop, network, disk"),
)


def part(file: str, name: str) -> str:
    """Return the part to which a function belongs."""
    location = file if file != "~" else name.replace("_", "")
    return next(
        (
            part_name
            for fragment, part_name in PARTS
            if fragment.replace("_", "") in location.replace("_", "")
        ),
        "built-ins",
    )


def main(seeds: int) -> None:
    """Measure, and print the figures."""
    started_at = time.process_time()
    messages = sum(run_plan(draw_mixed(seed)).messages for seed in range(seeds))
    elapsed_s = time.process_time() - started_at
    print(f"{seeds / elapsed_s:.1f} seeds per second on one core, {messages / seeds:.0f} messages per seed")
    profile = cProfile.Profile()
    profile.enable()
    for seed in range(seeds // 4):
        run_plan(draw_mixed(seed))
    profile.disable()
    shares: Counter[str] = Counter()
    for (file, _, name), (_, _, own, _, _) in pstats.Stats(profile).stats.items():  # type: ignore[attr-defined]
        shares[part(file, name)] += own
    total = sum(shares.values())
    print("| part | share |\n| --- | --- |")
    for part_name, own in shares.most_common():
        print(f"| {part_name} | {own / total:.0%} |")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 80)
