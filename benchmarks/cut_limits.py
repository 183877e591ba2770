"""A partner's limit through cuts: calls a second by side, refusals, and the time until all of it is used
again.

    python -m benchmarks.cut_limits [--seconds 24]

Real processes, each offered more than its part of a partner that takes 2 x 24 calls a second. `parts` are the
fleet's; `alone` is the same program without a fleet, each taking the limit for its own (what a forwarder
without a fleet is told)."""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from pathlib import Path

from emberlatch.storm import Fault, History, Plan, judge, play
from emberlatch.storm.partners import LIMIT

CUT, HEALED = 8.0, 16.0  # seconds
WHOLE = 2 * LIMIT  # calls a second, of both endpoints


def cut(size: int) -> tuple[Fault, ...]:
    """Three of five apart from two; of three one alone."""
    names = [f"f{number}" for number in range(size)]
    small = names[: size // 2]
    return (Fault(CUT, "cut", tuple(small), until=HEALED, to=tuple(names[size // 2 :]), both=True),)


def rows(history: History, size: int) -> list[str]:
    """What is told of one storm."""
    small = {f"f{number}" for number in range(size // 2)}
    calls = [(f.at, f.told["member"]) for f in history.of("call") if f.who.startswith("p1")]
    refused = sum(f.told["status"] in (429, 503) for f in history.of("answer") if f.who.startswith("p1"))
    calls.sort()
    most, first = 0, 0
    for n, (at, _) in enumerate(calls):
        while calls[first][0] <= at - 1.0:
            first += 1
        most = max(most, n - first + 1)

    def used(since: float, until: float, whom: set[str] | None = None) -> float:
        count = sum(since <= at < until and (whom is None or who in whom) for at, who in calls)
        return count / (until - since) / WHOLE

    again = next((t / 10 for t in range(160, 240) if used(t / 10, t / 10 + 1.0) >= 0.95 * used(4, 8)), None)
    minority = used(CUT + 4, HEALED, small)
    return [
        f"calls {len(calls)}, refused {refused}, most in any second {most} of {WHOLE:.0f}",
        f"used of the limit: before {used(4, 8):.2f}; cut {used(CUT + 4, HEALED):.2f},"
        f" of it the smaller side {minority:.2f}; after {used(20, 24):.2f}",
        f"95% of before again after {again - HEALED if again is not None else float('nan'):.1f} s;"
        f" breaches {len(judge(history))}",
    ]


def main() -> None:
    """Print a block for each size and way."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="3,5")
    for size in map(int, parser.parse_args().sizes.split(",")):
        for way in ("parts", "alone"):
            plan = Plan(1, size, 24.0, 60.0 * size, cut(size), fleet=way == "parts")
            with tempfile.TemporaryDirectory() as folder:
                history = asyncio.run(play(plan, Path(folder) / "fleet"))
            print(f"{size} members, {way}", *rows(history, size), sep="\n  ", flush=True)


if __name__ == "__main__":
    main()
