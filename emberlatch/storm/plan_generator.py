"""Generates the plan of a storm from a seed: three to eight members, and faults that may overlap.

A seed must give the same plan in every version of the program, so the order of the random draws must not
change.
"""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass

from emberlatch.storm.plan import (
    ENDPOINT_FAULTS,
    ENDPOINTS,
    PARTNERS,
    WINGS,
    Fault,
    FaultKind,
    Plan,
    validate_plan,
)

FAULT_FREE_S = 1.0  # duration of the fault-free spans at the beginning and at the end of a storm
MIN_FAULT_FREE_TAIL_S = 2.0  # shortest time from the start of a fault to the fault-free span at the end
PARTITION_SHAPES = ("halves", "bridge", "alone", "ring", "one way")


@dataclass(frozen=True, slots=True)
class _FaultSlot:
    """The members, and the span of a storm in seconds, for which one or more faults are generated."""

    rng: random.Random
    members: list[str]
    at: float
    until: float

    def draw_members(self) -> tuple[str, ...]:
        """Draw one member or several; most draws include at most half of the members."""
        rng, count = self.rng, len(self.members)
        maximum = count if rng.random() < 0.15 else max(1, count // 2)
        return tuple(sorted(rng.sample(self.members, rng.randint(1, maximum) if rng.random() < 0.4 else 1)))


def generate_plan(seed: int, members: int = 0, seconds: float = 20.0) -> Plan:
    """Generate the plan of a seed; with 0 `members` their number is drawn from the seed."""
    rng = random.Random(f"storm {seed}")
    count = members or rng.choice((3, 3, 4, 5, 5, 6, 8))
    names = [f"f{number}" for number in range(count)]
    faults: list[Fault] = []
    for _ in range(rng.randint(3, 6)):
        at = rng.uniform(FAULT_FREE_S, seconds - FAULT_FREE_S - MIN_FAULT_FREE_TAIL_S)
        until = min(seconds - FAULT_FREE_S, at + rng.uniform(0.5, seconds / 2))
        generators = (_process_faults, _partition_faults, _link_faults, _endpoint_faults, _clock_faults)
        generate = rng.choices(generators, (6, 4, 4, 2, 1))[0]
        faults += generate(_FaultSlot(rng, names, round(at, 2), round(until, 2)))
    faults.sort(key=lambda fault: (fault.at, fault.kind, fault.subjects))
    rate = round(rng.uniform(6.0, 16.0), 1)
    return validate_plan(Plan(seed, count, seconds, messages_per_s=rate, faults=tuple(faults)))


def _process_faults(slot: _FaultSlot) -> list[Fault]:
    rng, at, subjects = slot.rng, slot.at, slot.draw_members()
    frequent = (FaultKind.KILL, FaultKind.SUSPEND) * 3
    rare = (
        FaultKind.TERMINATE,
        FaultKind.LEAVE,
        FaultKind.WIPE,
        FaultKind.DUPLICATE,
        FaultKind.GARBAGE,
    )
    kind = rng.choice((*frequent, *rare))
    match kind:
        case FaultKind.SUSPEND:
            end = round(at + rng.choice((0.3, 1.0, 2.0, 6.0)), 2)
            return [Fault(at, kind, subjects, until=min(slot.until, end))]
        case FaultKind.DUPLICATE:  # always the first member, because it dials all the others
            return [Fault(at, kind, (slot.members[0],))]
        case FaultKind.TERMINATE:
            return [Fault(at, kind, subjects)]
        case FaultKind.LEAVE:
            return [Fault(at, kind, subjects[:1])]
        case FaultKind.GARBAGE:
            return [Fault(at, kind, subjects[:1], until=slot.until)]
        case FaultKind.WIPE:
            return [Fault(at, kind, subjects[:1], amount=0.3)]
    faults = [Fault(at, kind, subjects, amount=rng.choice((0.0, 0.05, 0.5, 2.0)))]
    if rng.random() < 0.2:
        faults.append(Fault(at, FaultKind.SLOW_START, subjects, amount=1.0))
    return faults


def _partition_faults(slot: _FaultSlot) -> list[Fault]:
    """Partition the members in a drawn shape, once or repeatedly."""
    rng, at, until = slot.rng, slot.at, slot.until
    pairs, bidirectional = _draw_partition(rng, rng.sample(slot.members, len(slot.members)))
    spans = [(at, until)]
    if rng.random() < 0.25:  # a partition that begins and ends four times
        step = (until - at) / 8
        spans = [(round(at + 2 * n * step, 2), round(at + (2 * n + 1) * step, 2)) for n in range(4)]
    return [
        Fault(
            begin,
            FaultKind.PARTITION,
            tuple(one),
            until=end,
            destinations=tuple(other),
            bidirectional=bidirectional,
        )
        for begin, end in spans
        for one, other in pairs
        if one and other
    ]


def _draw_partition(
    rng: random.Random, shuffled: list[str]
) -> tuple[list[tuple[list[str], list[str]]], bool]:
    """Return pairs of sides that cannot reach each other, and whether both directions are blocked.

    If only one direction is blocked, the first side of a pair cannot reach the second.
    """
    size = len(shuffled)
    one_half, other_half = shuffled[: size // 2], shuffled[size // 2 :]
    match rng.choice(PARTITION_SHAPES):
        case "halves":
            return [(one_half, other_half)], True
        case "alone":
            return [(shuffled[:1], shuffled[1:])], True
        case "bridge":  # the last member reaches both sides
            return [(one_half, other_half[:-1])], True
        case "one way":
            return [(shuffled[:1], shuffled[1 : 1 + rng.randint(1, size - 1)])], False
        case _:  # a ring: each member reaches only its two neighbours
            return [
                ([shuffled[a]], [shuffled[b]])
                for a, b in itertools.combinations(range(size), 2)
                if (b - a) % size not in (1, size - 1)
            ], True


def _link_faults(slot: _FaultSlot) -> list[Fault]:
    rng, subjects = slot.rng, slot.draw_members()
    others = tuple(name for name in slot.members if name not in subjects)
    destinations = others or tuple(slot.members)
    if rng.random() < 0.3:
        destinations = (rng.choice(ENDPOINTS),)
    kind = rng.choice(
        (
            FaultKind.DELAY,
            FaultKind.LOSS,
            FaultKind.THROTTLE,
            FaultKind.BLACKHOLE,
            FaultKind.DISCONNECT,
        )
    )
    amounts = {
        FaultKind.DELAY: rng.choice((0.02, 0.1, 0.4)),  # seconds
        FaultKind.LOSS: rng.choice((0.05, 0.2)),  # probability
        FaultKind.THROTTLE: 4000.0,  # bytes per second
    }
    return [
        Fault(
            slot.at,
            kind,
            subjects,
            until=0.0 if kind is FaultKind.DISCONNECT else slot.until,
            destinations=destinations,
            amount=amounts.get(kind, 0.0),
            bidirectional=rng.random() < 0.7,
        )
    ]


def _endpoint_faults(slot: _FaultSlot) -> list[Fault]:
    rng = slot.rng
    partner, wing = rng.choice(PARTNERS), rng.choice(WINGS)
    subjects: tuple[str, ...] = (f"{partner}-{wing}",)
    if rng.random() < 0.3:
        subjects = tuple(name for name in ENDPOINTS if partner in name or wing in name)
    return [Fault(slot.at, rng.choice(ENDPOINT_FAULTS), subjects, until=slot.until)]


def _clock_faults(slot: _FaultSlot) -> list[Fault]:
    rng = slot.rng
    subjects = (rng.choice(slot.members),)
    if rng.random() < 0.5:
        return [Fault(0.0, FaultKind.CLOCK_RATE, subjects, amount=rng.choice((0.98, 1.02)))]
    return [
        Fault(0.0, FaultKind.WALL_OFFSET, subjects, amount=rng.choice((-3600.0, 3600.0))),
        Fault(slot.at, FaultKind.KILL, subjects, amount=0.3),  # the restarted process has the offset too
    ]
