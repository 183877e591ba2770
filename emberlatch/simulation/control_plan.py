"""Draws random days of the control plane: its machines, how they start, its links, operators and faults."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import Enum

from emberlatch.simulation.control_network import LinkConditions


class FaultKind(Enum):
    """Kinds of faults and of planned work."""

    KILL = "kill"
    POWER_OFF = "power"
    POWER_OFF_ALL = "power all"
    KILL_ALL = "kill all"
    LOSE_DISK = "lose disk"
    REPLACE_MACHINE = "replace"  # a machine is removed, and one with another name and an empty disk is added
    ADD_MACHINE = "add"
    DECOMMISSION = "retire"
    FREEZE = "freeze"
    ISOLATE = "cut"
    ISOLATE_ONE_WAY = "cut one way"
    ISOLATE_ZONE = "cut zone"
    PARTITION = "split"
    STALL_DISK = "stall"
    FAIL_DISK = "fail disk"
    CHANGE_LINK_CONDITIONS = "link conditions"


class ClosingFault(Enum):
    """The last fault of a day, before all faults are healed."""

    NOTHING = "nothing"
    POWER_OFF_ALL = "power all"
    KILL_ALL = "kill all"
    LOSE_DISK = "lose disk"
    LOSE_DISK_AND_POWER_OFF_ALL = "lose disk and power all"


FAULT_WEIGHTS = {
    FaultKind.KILL: 5,
    FaultKind.POWER_OFF: 3,
    FaultKind.POWER_OFF_ALL: 2,
    FaultKind.KILL_ALL: 1,
    FaultKind.LOSE_DISK: 6,
    FaultKind.REPLACE_MACHINE: 3,
    FaultKind.ADD_MACHINE: 1,
    FaultKind.DECOMMISSION: 2,
    FaultKind.FREEZE: 4,
    FaultKind.ISOLATE: 4,
    FaultKind.ISOLATE_ONE_WAY: 3,
    FaultKind.ISOLATE_ZONE: 2,
    FaultKind.PARTITION: 3,
    FaultKind.STALL_DISK: 2,
    FaultKind.FAIL_DISK: 3,
    FaultKind.CHANGE_LINK_CONDITIONS: 2,
}
MACHINE_COUNTS = (3, 3, 3, 3, 4, 4, 5, 5, 5, 6, 7, 7, 9, 12, 18)
MAX_MACHINES = 18
MAX_CUT_S = 30.0
MAX_OPERATORS = 4
FAULT_PAUSES_S = (0.5, 1.5, 3.0)  # choices for the mean number of seconds between two faults
MANY_CHANGES_FAULT_PAUSES_S = (2.0, 4.0, 8.0)  # choices on a day with a required number of changes


@dataclass(frozen=True)
class DayPlan:
    """What is drawn before a day begins; everything else is drawn during the day, from the same seed.

    `starts` has the seconds after which each machine starts for the first time, None for one that never
    does. `used_disks` are the numbers of machines whose disks have files of an earlier, failed start.
    With `changes`, the day lasts until that many are confirmed, within a time limit.
    """

    seed: int
    machines: int
    zones: int
    seeds: int
    tolerated_losses: int
    operators: int
    duration_s: float
    changes: int
    starts: tuple[float | None, ...]
    used_disks: tuple[int, ...]
    link_conditions: LinkConditions
    fault_pause_s: float
    closing_fault: ClosingFault
    fault_kinds: tuple[FaultKind, ...] = tuple(FAULT_WEIGHTS)


def draw_link_conditions(rng: random.Random) -> LinkConditions:
    """Draw the conditions of the links for a day or a part of it."""
    if rng.random() < 0.4:
        return LinkConditions(rng.choice((0.001, 0.005)))
    return LinkConditions(
        rng.choice((0.001, 0.004, 0.02)),
        loss_share=rng.choice((0.0, 0.01, 0.05, 0.2)),
        duplicate_share=rng.choice((0.0, 0.02, 0.2)),
        late_share=rng.choice((0.0, 0.01, 0.1)),
    )


def draw_plan(seed: int, changes: int = 0) -> DayPlan:
    """Draw the plan of a seed; `changes` is the required number of confirmed changes, or 0."""
    rng = random.Random(f"control plane {seed}")
    machines = rng.choice(MACHINE_COUNTS)
    seeds = min(machines, rng.choice((3, 3, 3, 5)))
    link_conditions = draw_link_conditions(rng)
    if changes:  # so many changes are confirmed within a day only if most frames arrive
        link_conditions = replace(
            link_conditions,
            loss_share=min(link_conditions.loss_share, 0.01),
            late_share=min(link_conditions.late_share, 0.01),
        )
    return DayPlan(
        seed=seed,
        machines=machines,
        zones=rng.choice((1, 2, 3, 3)),
        seeds=seeds,
        tolerated_losses=2 if machines >= 5 and rng.random() < 0.5 else 1,
        operators=MAX_OPERATORS if changes else rng.randrange(2, MAX_OPERATORS + 1),
        duration_s=rng.uniform(6.0, 16.0),
        changes=changes,
        starts=_draw_starts(rng, machines, seeds),
        used_disks=(rng.randrange(machines),) if rng.random() < 0.15 else (),
        link_conditions=link_conditions,
        fault_pause_s=rng.choice(MANY_CHANGES_FAULT_PAUSES_S if changes else FAULT_PAUSES_S),
        closing_fault=rng.choice(list(ClosingFault)),
    )


def _draw_starts(rng: random.Random, machines: int, seeds: int) -> tuple[float | None, ...]:
    starts: list[float | None] = [rng.uniform(0.0, 2.0) for _ in range(machines)]
    kind = rng.random()
    if kind < 0.15:
        starts[rng.randrange(machines)] = rng.uniform(3.0, 9.0)
    elif kind < 0.25 and machines > 3:
        starts[rng.randrange(seeds)] = None
    return tuple(starts)


def draw_cut_duration(rng: random.Random) -> float:
    """Draw the duration of a cut in seconds: most are short, one in ten lasts up to `MAX_CUT_S`."""
    return rng.uniform(5.0, MAX_CUT_S) if rng.random() < 0.1 else rng.uniform(0.3, 6.0)
