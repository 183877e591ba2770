"""Generates plans from seeds; the same seed always gives the same plan."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping

from emberlatch.faults.disk import KillMoment
from emberlatch.faults.plan import (
    ALL_TARGETS,
    DIRECTORY_FAULTS,
    DIRECTORY_LOAD_FAULTS,
    DISK_FAULTS,
    ENDPOINT_FAULTS,
    ENDPOINTS,
    LIST_FAULTS,
    PARTNERS,
    PROCESS_FAULTS,
    ZONES,
    Fault,
    FaultKind,
    Plan,
)

LAST_FAULT_END_S = 13.0  # latest end of a drawn fault; list changes in a release may end later
RELEASE_DURATION_S = 34.0  # long enough for lists that were lost in a release to count as received

MIXED_GROUPS = (ENDPOINT_FAULTS, DIRECTORY_FAULTS, DISK_FAULTS, PROCESS_FAULTS, LIST_FAULTS)
MIXED_WEIGHTS = (10, 3, 1, 5, 4)


def draw_mixed(seed: int) -> Plan:
    """Generate a plan with three to six faults.

    The first three overlap at one moment, except process faults, which have no duration.
    """
    rng = random.Random(f"plan {seed}")
    forwarder_count = rng.choice((1, 1, 2))
    overlap_at = rng.uniform(4.0, 9.0)
    faults = []
    for number in range(rng.randint(3, 6)):
        since = rng.uniform(1.0, overlap_at) if number < 3 else rng.uniform(1.0, LAST_FAULT_END_S - 2)
        least_until = overlap_at if number < 3 else since + 0.5
        until = rng.uniform(max(least_until, since + 0.3), LAST_FAULT_END_S)
        faults.append(_draw_fault(rng, since, until, forwarder_count))
    return Plan(seed, _in_order(faults), forwarder_count=forwarder_count)


def draw_release(seed: int) -> Plan:
    """Generate a release of endpoints with faults of the directory; the seed selects 1, 3 or 10 forwarders.

    Endpoints are drained or replaced within a few seconds. Around that time the directory has one or two
    faults, mostly overloads. In a quarter of the plans, a forwarder is also killed or terminated.
    """
    rng = random.Random(f"release {seed}")
    forwarder_count = (1, 3, 10)[seed % 3]
    first_change_s = rng.uniform(2.0, 5.0)
    faults = _draw_list_changes(rng, first_change_s)
    for _ in range(rng.randint(1, 2)):
        since = rng.uniform(0.5, first_change_s + 3.0)
        until = rng.uniform(since + 2.0, LAST_FAULT_END_S)
        kind = rng.choice(
            (
                *DIRECTORY_LOAD_FAULTS,
                *DIRECTORY_LOAD_FAULTS,
                FaultKind.DIRECTORY_DOWN,
                FaultKind.DIRECTORY_LATE,
                FaultKind.MOVE_DIRECTORY,
            )
        )
        argument = {  # all three are drawn for every kind, so that later draws do not depend on the kind
            FaultKind.DIRECTORY_BUSY: f"{rng.uniform(0.2, 1.0) / (forwarder_count + 1):.3f}",
            FaultKind.DIRECTORY_LOSING: f"{rng.randint(2, 4)}",
            FaultKind.DIRECTORY_MUTE: f"{rng.randint(3, 5)}",
        }.get(kind, "")
        target, end = ("f0", None) if kind is FaultKind.MOVE_DIRECTORY else (ALL_TARGETS, round(until, 3))
        faults.append(Fault(round(since, 3), end, kind, target, argument))
    if rng.random() < 0.25:
        at = round(rng.uniform(3.0, 9.0), 3)
        faults.append(Fault(at, None, rng.choice((FaultKind.KILL, FaultKind.TERM)), "f0"))
    rate_per_s = {1: 6.0, 3: 2.5, 10: 1.0}[forwarder_count]
    return Plan(seed, _in_order(faults), RELEASE_DURATION_S, rate_per_s, forwarder_count)


def draw_pushed_release(seed: int) -> Plan:
    """Generate a release of endpoints with pushed lists, while endpoints fail and forwarders restart."""
    rng = random.Random(f"pushed {seed}")
    forwarder_count = rng.choice((1, 2, 3))
    faults = _draw_list_changes(rng, rng.uniform(1.0, 4.0))
    for _ in range(rng.randint(1, 3)):
        since = rng.uniform(1.0, LAST_FAULT_END_S - 2)
        until = rng.uniform(since + 0.5, LAST_FAULT_END_S)
        faults.append(
            _draw_fault(rng, since, until, forwarder_count, (ENDPOINT_FAULTS, PROCESS_FAULTS), (3, 2))
        )
    rate_per_s = 6.0 / forwarder_count
    return Plan(
        seed, _in_order(faults), RELEASE_DURATION_S, rate_per_s, forwarder_count, lists_are_pushed=True
    )


def draw_takeovers(seed: int) -> Plan:
    """Generate two to four takeovers, in most of which one of the two processes is killed.

    The plan also has one to three other faults: of endpoints, of their list entries, of the receiver of
    notices or of a forwarder's process, or operators ask clients to disconnect.
    """
    rng = random.Random(f"takeover {seed}")
    forwarder_count = rng.choice((1, 1, 2))
    faults: list[Fault] = []
    for _ in range(rng.randint(2, 4)):
        since = rng.uniform(1.0, LAST_FAULT_END_S - 3.0)
        kill = rng.choice(("", "kill-old", "kill-old", "kill-new", "kill-new"))
        delay_s = rng.choice((rng.uniform(0.0, 0.03), rng.uniform(0.0, 0.2), rng.uniform(0.2, 2.5)))
        target, argument = f"f{rng.randrange(forwarder_count)}", f"{kill} {delay_s:.4f}" if kill else ""
        faults.append(Fault(round(since, 3), None, FaultKind.TAKEOVER, target, argument))
    other_kinds = (
        *ENDPOINT_FAULTS,
        FaultKind.CLIENTS_LEAVE,
        FaultKind.DRAIN,
        FaultKind.REPLACE,
        FaultKind.KILL,
        FaultKind.REPORTS_DOWN,
    )
    for _ in range(rng.randint(1, 3)):
        since = rng.uniform(1.0, LAST_FAULT_END_S - 2)
        until = rng.uniform(since + 0.5, LAST_FAULT_END_S)
        kind = rng.choice(other_kinds)
        target, end = rng.choice(ENDPOINTS), round(until, 3)
        if kind in (FaultKind.CLIENTS_LEAVE, FaultKind.KILL):
            target = f"f{rng.randrange(forwarder_count)}"
        elif kind is FaultKind.REPORTS_DOWN:
            target = ALL_TARGETS
        faults.append(Fault(round(since, 3), None if kind is FaultKind.KILL else end, kind, target))
    return Plan(seed, _in_order(faults), forwarder_count=forwarder_count)


PLAN_GENERATORS: Mapping[str, Callable[[int], Plan]] = {
    "mixed": draw_mixed,
    "release": draw_release,
    "pushed": draw_pushed_release,
    "takeover": draw_takeovers,
}
"""The generators of plans, by the names that `emberlatch faults run --plans` accepts."""


def _in_order(faults: Iterable[Fault]) -> tuple[Fault, ...]:
    return tuple(sorted(faults, key=lambda fault: (fault.since, fault.kind, fault.target)))


def _draw_list_changes(rng: random.Random, first_change_s: float) -> list[Fault]:
    """Draw endpoints that are drained or replaced within six seconds."""
    faults = []
    for endpoint in rng.sample(ENDPOINTS, rng.randint(3, len(ENDPOINTS))):
        since = first_change_s + rng.uniform(0.0, 6.0)
        kind = rng.choice((FaultKind.DRAIN, FaultKind.DRAIN, FaultKind.REPLACE))
        until = round(since + rng.uniform(2.0, 24.0), 3) if kind is FaultKind.DRAIN else None
        faults.append(Fault(round(since, 3), until, kind, endpoint))
    return faults


def _draw_fault(
    rng: random.Random,
    since: float,
    until: float,
    forwarder_count: int,
    groups: tuple[tuple[FaultKind, ...], ...] = MIXED_GROUPS,
    weights: tuple[int, ...] = MIXED_WEIGHTS,
) -> Fault:
    """Draw a fault of a random group; `until` is ignored for process faults, which have no end."""
    group = rng.choices(groups, weights)[0]
    kind = rng.choice(group)
    target, argument = ALL_TARGETS, ""
    if group is ENDPOINT_FAULTS:
        target = rng.choice(ENDPOINTS + PARTNERS * 2 + ZONES)
    elif group is LIST_FAULTS:
        target = rng.choice(ENDPOINTS)
    elif group is DISK_FAULTS or group is PROCESS_FAULTS:
        target = f"f{rng.randrange(forwarder_count)}"
    if kind is FaultKind.KILL_AT_DISK_CALL:
        argument = f"{rng.randint(1, 60)} {rng.choice(tuple(KillMoment)).value}"
    elif kind is FaultKind.WALL_CLOCK_STEP:
        argument = f"{rng.choice((-3600, -5, 5, 3600))}"
    end = None if group is PROCESS_FAULTS else round(until, 3)
    return Fault(round(since, 3), end, kind, target, argument)
