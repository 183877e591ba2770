"""Runs the plans of many seeds on several processes."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from multiprocessing import get_context

from emberlatch.faults.checks import Breach
from emberlatch.faults.plan_generator import PLAN_GENERATORS
from emberlatch.faults.run import run_plan, trace_digest

SHOWN_EVENTS = 8  # number of trace events that are kept with a breach
SEEDS_PER_JOB = 20


@dataclass(frozen=True, slots=True)
class SeedResult:
    """The result of a seed's run; `last_events` has the last trace events up to the first breach."""

    seed: int
    breaches: tuple[Breach, ...]
    last_events: tuple[str, ...]
    steps: int
    messages: int
    digest: str


def run_seed(seed: int, kind: str = "mixed") -> SeedResult:
    """Run the plan that a generator of `PLAN_GENERATORS` draws from a seed."""
    report = run_plan(PLAN_GENERATORS[kind](seed))
    last_events: deque[str] = deque(maxlen=SHOWN_EVENTS)
    if report.breaches:
        until = report.breaches[0].at
        last_events.extend(str(entry) for entry in report.trace if round(entry.at, 6) <= until)
    return SeedResult(
        seed, report.breaches, tuple(last_events), report.steps, report.messages, trace_digest(report)
    )


def run_seeds(seeds: Sequence[int], jobs: int, kind: str = "mixed") -> Iterator[SeedResult]:
    """Run many seeds on `jobs` processes, and yield each result when it is available."""
    if jobs == 1:
        yield from _run_chunk(seeds, kind)
        return
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        running = [
            pool.submit(_run_chunk, seeds[start : start + SEEDS_PER_JOB], kind)
            for start in range(0, len(seeds), SEEDS_PER_JOB)
        ]
        for done in as_completed(running):
            yield from done.result()


def _run_chunk(seeds: Sequence[int], kind: str) -> list[SeedResult]:
    return [run_seed(seed, kind) for seed in seeds]
