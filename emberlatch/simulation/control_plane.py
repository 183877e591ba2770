"""Plays random days of the control plane: `python -m emberlatch.simulation.control_plane --days N`.

A day depends on its seed alone: `--days 1 --from SEED --trace` plays one again and prints its faults.
"""

from __future__ import annotations

import argparse
import multiprocessing
import sys
import time
from collections.abc import Iterable, Iterator

from emberlatch.faults.loop import DeadlockError
from emberlatch.simulation.control_day import DayResult, play
from emberlatch.simulation.control_plan import DayPlan, draw_plan

SEEDS_PER_CHUNK = 4  # number of seeds that a worker process gets at a time


def play_plan(plan: DayPlan) -> DayResult:
    """Play one day; it has failed if it comes to a deadlock."""
    try:
        return play(plan)
    except DeadlockError as error:
        return DayResult(plan.seed, (f"stuck: {error}",), 0, 0, 0, 0.0, 0, ())


def play_seed(seed: int, changes: int = 0) -> DayResult:
    """Play the day of a seed."""
    return play_plan(draw_plan(seed, changes))


def _play_job(job: tuple[int, int]) -> DayResult:
    return play_seed(*job)


def play_days(seeds: Iterable[int], changes: int, jobs: int) -> Iterator[DayResult]:
    """Play the days of the seeds in `jobs` processes; yield the results in the order of the seeds."""
    work = [(seed, changes) for seed in seeds]
    if jobs == 1:
        yield from map(_play_job, work)
        return
    with multiprocessing.Pool(jobs) as pool:
        yield from pool.imap(_play_job, work, SEEDS_PER_CHUNK)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="emberlatch.simulation.control_plane", description=__doc__)
    parser.add_argument("--days", type=int, default=100)
    parser.add_argument("--from", dest="first", type=int, default=1, metavar="SEED")
    parser.add_argument("--jobs", type=int, default=1, help="number of worker processes")
    parser.add_argument(
        "--changes", type=int, default=0, help="number of confirmed changes until which each day lasts"
    )
    parser.add_argument("--trace", action="store_true", help="print the faults of each day")
    return parser


def _print_result(result: DayResult, trace: bool) -> None:
    if trace:
        print(f"seed {result.seed}: {result.steps} steps, {result.seconds:.3f} s, version {result.version}")
        print("\n".join(result.trace))
    if result.failures:
        print(f"BROKEN seed {result.seed}: {result.failures[0]} ({len(result.failures)} in all)", flush=True)


def main(arguments: list[str] | None = None) -> int:
    """Play the days; return 1 if any failed."""
    options = _parser().parse_args(arguments)
    started_at = time.monotonic()
    days = failed = confirmed = days_with_changes = withheld_disk_losses = 0
    seeds = range(options.first, options.first + options.days)
    for result in play_days(seeds, options.changes, options.jobs):
        _print_result(result, options.trace)
        days += 1
        failed += bool(result.failures)
        confirmed += result.confirmed
        days_with_changes += result.confirmed >= max(1, options.changes)
        withheld_disk_losses += result.withheld_disk_losses
    duration_s = time.monotonic() - started_at
    print(f"{days} days played, {failed} broken, {days / duration_s:.2f} days a second")
    print(f"{confirmed} changes confirmed; {days_with_changes} days with {max(1, options.changes)} or more")
    print(f"{withheld_disk_losses} losses of disks withheld, because the group was not complete in time")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
