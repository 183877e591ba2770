"""How fast runs are played, and where the time goes: `python -m benchmarks.faults [seeds]`.

Seeds a second of one core, without a profiler; then the shares of the time by part, of the functions own
time under cProfile (which makes calls dearer than they are: code of many small calls looks larger).
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
    """To which part a function counts."""
    text = file if file != "~" else name.replace("_", "")
    return next(
        (what for piece, what in PARTS if piece.replace("_", "") in text.replace("_", "")), "built-ins"
    )


def main(seeds: int) -> None:
    """Measure, and print the figures."""
    began = time.process_time()
    messages = sum(run_plan(draw_mixed(seed)).messages for seed in range(seeds))
    took = time.process_time() - began
    print(f"{seeds / took:.1f} seeds a second of one core, {messages / seeds:.0f} messages each")
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
    for what, own in shares.most_common():
        print(f"| {what} | {own / total:.0%} |")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 80)
