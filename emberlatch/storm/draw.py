"""Draws a storm from a seed: three to eight members, and faults that overlap."""

from __future__ import annotations

import itertools
import random

from emberlatch.storm.plan import ENDPOINTS, OF_PARTNERS, PARTNERS, WINGS, Fault, Plan, checked

CALM = 1.0  # seconds at the beginning in which nothing is struck, and at the end
SHAPES = ("halves", "bridge", "alone", "ring", "one way")


def draw(seed: int, members: int = 0, seconds: float = 20.0) -> Plan:
    """The plan of a seed; of so many members if that is named."""
    chance = random.Random(f"storm {seed}")
    count = members or chance.choice((3, 3, 4, 5, 5, 6, 8))
    names = [f"f{number}" for number in range(count)]
    faults: list[Fault] = []
    for _ in range(chance.randint(3, 6)):
        at = chance.uniform(CALM, seconds - CALM - 2.0)
        until = min(seconds - CALM, at + chance.uniform(0.5, seconds / 2))
        family = chance.choices((_process, _partition, _links, _partner, _clock), (6, 4, 4, 2, 1))[0]
        faults += family(chance, names, round(at, 2), round(until, 2))
    faults.sort(key=lambda fault: (fault.at, fault.what, fault.whom))
    return checked(Plan(seed, count, seconds, rate=round(chance.uniform(6.0, 16.0), 1), fault=tuple(faults)))


def _some(chance: random.Random, names: list[str]) -> tuple[str, ...]:
    """One member, or several at one instant, now and then all."""
    most = len(names) if chance.random() < 0.15 else max(1, len(names) // 2)
    return tuple(sorted(chance.sample(names, chance.randint(1, most) if chance.random() < 0.4 else 1)))


def _process(chance: random.Random, names: list[str], at: float, until: float) -> list[Fault]:
    whom = _some(chance, names)
    what = chance.choice((*("kill", "stop") * 3, "term", "leave", "wipe", "twin", "rubbish"))
    if what == "stop":
        return [Fault(at, what, whom, until=min(until, round(at + chance.choice((0.3, 1.0, 2.0, 6.0)), 2)))]
    if what == "twin":  # it reaches those whose names come later
        return [Fault(at, what, (names[0],))]
    if what in ("term", "leave"):
        return [Fault(at, what, whom if what == "term" else whom[:1])]
    if what == "rubbish":
        return [Fault(at, what, whom[:1], until=until)]
    if what == "wipe":
        return [Fault(at, what, whom[:1], amount=0.3)]
    faults = [Fault(at, what, whom, amount=chance.choice((0.0, 0.05, 0.5, 2.0)))]
    if chance.random() < 0.2:
        faults.append(Fault(at, "slow-start", whom, amount=1.0))
    return faults


def _partition(chance: random.Random, names: list[str], at: float, until: float) -> list[Fault]:
    """The members parted in one of several shapes."""
    mixed = chance.sample(names, len(names))
    half = mixed[: len(mixed) // 2], mixed[len(mixed) // 2 :]
    match chance.choice(SHAPES):
        case "halves":
            pairs, both = [half], True
        case "alone":
            pairs, both = [(mixed[:1], mixed[1:])], True
        case "bridge":  # the last one hears both sides
            pairs, both = [(half[0], half[1][:-1])], True
        case "one way":
            pairs, both = [(mixed[:1], mixed[1 : 1 + chance.randint(1, len(mixed) - 1)])], False
        case _:  # each hears its two neighbours alone
            size = len(mixed)
            far = [
                (a, b)
                for a, b in itertools.combinations(range(size), 2)
                if (b - a) % size not in (1, size - 1)
            ]
            pairs, both = [([mixed[a]], [mixed[b]]) for a, b in far], True
    spans = [(at, until)]
    if chance.random() < 0.25:  # it flaps
        step = (until - at) / 8
        spans = [(round(at + 2 * n * step, 2), round(at + (2 * n + 1) * step, 2)) for n in range(4)]
    return [
        Fault(since, "cut", tuple(one), until=end, to=tuple(other), both=both)
        for since, end in spans
        for one, other in pairs
        if one and other
    ]


def _links(chance: random.Random, names: list[str], at: float, until: float) -> list[Fault]:
    whom = _some(chance, names)
    to = tuple(name for name in names if name not in whom) or tuple(names)
    if chance.random() < 0.3:
        to = (chance.choice(ENDPOINTS),)
    what = chance.choice(("delay", "stalls", "throttle", "mute", "break"))
    amount = {
        "delay": chance.choice((0.02, 0.1, 0.4)),
        "stalls": chance.choice((0.05, 0.2)),
        "throttle": 4000.0,
    }
    until = 0.0 if what == "break" else until
    return [
        Fault(at, what, whom, until=until, to=to, amount=amount.get(what, 0.0), both=chance.random() < 0.7)
    ]


def _partner(chance: random.Random, names: list[str], at: float, until: float) -> list[Fault]:
    partner, wing = chance.choice(PARTNERS), chance.choice(WINGS)
    whom = (
        tuple(name for name in ENDPOINTS if partner in name or wing in name) if chance.random() < 0.3 else ()
    )
    return [Fault(at, chance.choice(OF_PARTNERS), whom or (f"{partner}-{wing}",), until=until)]


def _clock(chance: random.Random, names: list[str], at: float, until: float) -> list[Fault]:
    whom = (chance.choice(names),)
    if chance.random() < 0.5:
        return [Fault(0.0, "rate", whom, amount=chance.choice((0.98, 1.02)))]
    return [
        Fault(0.0, "wall", whom, amount=chance.choice((-3600.0, 3600.0))),
        Fault(at, "kill", whom, amount=0.3),
    ]
