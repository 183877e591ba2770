"""Draws a day of the control plane: its machines, how they start, its links, operators and faults."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import Enum

from emberlatch.simulation.control_network import Weather


class FaultKind(Enum):
    """What goes wrong, or planned work."""

    KILL = "kill"
    POWER = "power"
    POWER_ALL = "power all"
    KILL_ALL = "kill all"
    LOSE_DISK = "lose disk"
    REPLACE = "replace"  # the machine is gone; another with an empty disk comes under another name
    ADD = "add"
    RETIRE = "retire"
    FREEZE = "freeze"
    CUT = "cut"
    CUT_ONE_WAY = "cut one way"
    CUT_ZONE = "cut zone"
    SPLIT = "split"
    STALL = "stall"
    FAIL_DISK = "fail disk"
    WEATHER = "weather"


class Closing(Enum):
    """What happens last, before the quiet end."""

    NOTHING = "nothing"
    POWER_ALL = "power all"
    KILL_ALL = "kill all"
    LOSE_DISK = "lose disk"
    LOSE_DISK_AND_POWER_ALL = "lose disk and power all"


WEIGHTS = {
    FaultKind.KILL: 5,
    FaultKind.POWER: 3,
    FaultKind.POWER_ALL: 2,
    FaultKind.KILL_ALL: 1,
    FaultKind.LOSE_DISK: 6,
    FaultKind.REPLACE: 3,
    FaultKind.ADD: 1,
    FaultKind.RETIRE: 2,
    FaultKind.FREEZE: 4,
    FaultKind.CUT: 4,
    FaultKind.CUT_ONE_WAY: 3,
    FaultKind.CUT_ZONE: 2,
    FaultKind.SPLIT: 3,
    FaultKind.STALL: 2,
    FaultKind.FAIL_DISK: 3,
    FaultKind.WEATHER: 2,
}
MACHINE_COUNTS = (3, 3, 3, 3, 4, 4, 5, 5, 5, 6, 7, 7, 9, 12, 18)
MAX_MACHINES = 18
LONGEST_CUT_S = 30.0
MOST_OPERATORS = 4
FAULT_PAUSES_S = (0.5, 1.5, 3.0)  # seconds between two faults, on average
MANY_CHANGES_FAULT_PAUSES_S = (2.0, 4.0, 8.0)


@dataclass(frozen=True)
class DayPlan:
    """What is drawn before a day begins; the rest is drawn as it goes, from the same seed.

    `starts` has the seconds after which each machine starts for the first time, None for one that never
    does. `used_disks` are machines whose disks have something on them from an earlier attempt to start.
    """

    seed: int
    machines: int
    zones: int
    seeds: int
    losses: int
    operators: int
    seconds: float
    changes: int
    starts: tuple[float | None, ...]
    used_disks: tuple[int, ...]
    weather: Weather
    fault_pause_s: float
    closing: Closing
    fault_kinds: tuple[FaultKind, ...] = tuple(WEIGHTS)


def draw_weather(chance: random.Random) -> Weather:
    """Links of a day, or of a part of it."""
    if chance.random() < 0.4:
        return Weather(chance.choice((0.001, 0.005)))
    return Weather(
        chance.choice((0.001, 0.004, 0.02)),
        lost=chance.choice((0.0, 0.01, 0.05, 0.2)),
        doubled=chance.choice((0.0, 0.02, 0.2)),
        late=chance.choice((0.0, 0.01, 0.1)),
    )


def draw_plan(seed: int, changes: int = 0) -> DayPlan:
    """The day of a seed; with at least so many changes confirmed, if that can be had."""
    chance = random.Random(f"control plane {seed}")
    machines = chance.choice(MACHINE_COUNTS)
    seeds = min(machines, chance.choice((3, 3, 3, 5)))
    weather = draw_weather(chance)
    if changes:  # so many get through in a day only if most frames do
        weather = replace(weather, lost=min(weather.lost, 0.01), late=min(weather.late, 0.01))
    return DayPlan(
        seed=seed,
        machines=machines,
        zones=chance.choice((1, 2, 3, 3)),
        seeds=seeds,
        losses=2 if machines >= 5 and chance.random() < 0.5 else 1,
        operators=MOST_OPERATORS if changes else chance.randrange(2, MOST_OPERATORS + 1),
        seconds=chance.uniform(6.0, 16.0),
        changes=changes,
        starts=_draw_starts(chance, machines, seeds),
        used_disks=(chance.randrange(machines),) if chance.random() < 0.15 else (),
        weather=weather,
        fault_pause_s=chance.choice(MANY_CHANGES_FAULT_PAUSES_S if changes else FAULT_PAUSES_S),
        closing=chance.choice(list(Closing)),
    )


def _draw_starts(chance: random.Random, machines: int, seeds: int) -> tuple[float | None, ...]:
    starts: list[float | None] = [chance.uniform(0.0, 2.0) for _ in range(machines)]
    kind = chance.random()
    if kind < 0.15:
        starts[chance.randrange(machines)] = chance.uniform(3.0, 9.0)
    elif kind < 0.25 and machines > 3:
        starts[chance.randrange(seeds)] = None
    return tuple(starts)


def draw_cut_seconds(chance: random.Random) -> float:
    """Most cuts are short, a few last long."""
    return chance.uniform(5.0, LONGEST_CUT_S) if chance.random() < 0.1 else chance.uniform(0.3, 6.0)
