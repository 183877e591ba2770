"""The command `simulate`: runs simulated clusters. A day is one run with a random plan of load and faults."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, replace
from functools import partial

from emberlatch.cluster.cli.exit_code import ExitCode
from emberlatch.simulation import Plan, draw_plan, play

ACCEPTED = 202
START_OF_DAY_S = 1000  # time of the simulated clock at the start of a day


@dataclass(frozen=True, slots=True)
class DayOutcome:
    """Outcome of a day. `accepted` counts accepted messages; each line of `breaches` begins with a rule."""

    seed: int
    accepted: int
    breaches: list[str]


@dataclass(frozen=True, slots=True)
class SimulationOptions:
    """Selection of the simulated days.

    Attributes:
        seed: seed of the first day; each later day uses the next seed.
        days: number of days.
        jobs: number of processes.
        log: print the logs of the simulated processes.
        strange: plans contain more losses than the settings allow.
        large: plans contain large deployments.
        shrink: reduce the plan of the first failing day to the faults that break a rule.
    """

    seed: int
    days: int
    jobs: int
    log: bool
    strange: bool
    large: bool
    shrink: bool


def play_day(seed: int, strange: bool, large: bool) -> DayOutcome:
    """Simulate the day of this seed."""
    cluster, breaches = play(draw_plan(seed, strange, large))
    accepted = sum(sent.status == ACCEPTED for sent in cluster.history.sent.values())
    lines = [f"{b.rule} at {b.at - START_OF_DAY_S:.3f} s: {b.text}" for b in breaches]
    return DayOutcome(seed, accepted, lines)


def shrink_plan(plan: Plan, breaks: Callable[[Plan], bool]) -> Plan:
    """Remove each fault that is not needed to break a rule; `breaks` returns whether a plan breaks one."""
    index = 0
    while index < len(plan.faults):
        smaller = replace(plan, faults=plan.faults[:index] + plan.faults[index + 1 :])
        if breaks(smaller):
            plan = smaller
        else:
            index += 1
    return plan


@contextmanager
def _outcomes(options: SimulationOptions) -> Iterator[Iterable[DayOutcome]]:
    """Provide the outcomes of the days in the order of their seeds."""
    seeds = range(options.seed, options.seed + options.days)
    work = partial(play_day, strange=options.strange, large=options.large)
    if options.jobs == 1:
        yield map(work, seeds)
        return
    with ProcessPoolExecutor(options.jobs) as pool:
        yield pool.map(work, seeds)


def _first_breach(outcome: DayOutcome) -> str:
    others = len(outcome.breaches) - 1
    return f"seed {outcome.seed}: {outcome.breaches[0]}" + (f" (+{others})" if others else "")


def run(options: SimulationOptions) -> ExitCode:
    """Simulate the days, and print broken rules. Return FAILED if there are any."""
    logging.basicConfig(level=logging.INFO if options.log else logging.CRITICAL, format="%(message)s")
    broken_rules, accepted, failing_seeds = Counter[str](), 0, list[int]()
    with _outcomes(options) as outcomes:
        for outcome in outcomes:
            accepted += outcome.accepted
            broken_rules.update({line.split(" ", 1)[0] for line in outcome.breaches})
            if outcome.breaches:
                failing_seeds.append(outcome.seed)
                print(_first_breach(outcome))
    print(
        f"{options.days} days, {accepted} messages accepted, {len(failing_seeds)} days with a rule broken",
        dict(broken_rules) or "",
    )
    if options.shrink and failing_seeds:
        plan = draw_plan(failing_seeds[0], options.strange, options.large)
        print(shrink_plan(plan, lambda smaller: bool(play(smaller)[1])))
    return ExitCode.FAILED if failing_seeds else ExitCode.OK
