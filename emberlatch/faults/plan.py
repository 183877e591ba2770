"""What befalls a universe: drawn from a seed, and written as text that can be edited and kept.

A plan is lines of words. `seed`, `seconds`, `rate` and `forwarders` say how large it is, `pushed 1` that
lists are pushed to an agent beside each forwarder; each line `fault FROM UNTIL WHAT WHOM [WITH]` is one
fault, its times in seconds from the start (`-` where it has no end).
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

PARTNERS = ("p1", "p2", "p3")
WINGS = ("east", "west")
ENDPOINTS = tuple(f"{partner}-{wing}" for partner in PARTNERS for wing in WINGS)
CALM_FROM = 13.0  # seconds: every drawn fault is over by then
SECONDS = 32.0

OF_ENDPOINTS = ("hang", "slow", "reset", "error", "full", "shut", "spoilt", "cut", "silent")
"""Faults of an endpoint (`p1-east`), a partner (`p1`) or a wing (`east`)."""

OF_DIRECTORY = ("directory-down", "directory-silent", "directory-late", "directory-garbled", "reports-down")
OF_SERVICE = ("directory-busy", "directory-losing", "directory-mute")
"""Of the directory as an overloaded service: seconds of work for each call, every so many answers lost with
their connection, every so many lost in silence."""

OF_DISK = ("disk-full", "disk-failing", "disk-short")
OF_PROCESS = ("kill", "term", "move", "kill-at", "wall")
"""Of a forwarder (`f0`): SIGKILL, SIGTERM, discovery at another address by SIGHUP, SIGKILL at a system call
of the disk (with how many calls from then, and where in it), a step of the wall clock (with seconds)."""

OF_OPERATORS = ("takeover", "door")
"""Of a forwarder: another process that takes over (with `kill-old` or `kill-new` and the seconds until then),
clients asked to leave."""

OF_LIST = ("drain", "remove", "replace")
"""Of an endpoint in the list: drained and back, removed and listed again, gone and another in its place."""

KINDS = (*OF_ENDPOINTS, *OF_DIRECTORY, *OF_SERVICE, *OF_DISK, *OF_PROCESS, *OF_OPERATORS, *OF_LIST)


class PlanError(ValueError):
    """A plan that can't be read; the text names the line and what would be right."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; `until` is None where it has no end."""

    since: float
    until: float | None
    what: str
    whom: str
    how: str = ""

    def __str__(self) -> str:
        end = "-" if self.until is None else f"{self.until:.3f}"
        return f"fault {self.since:.3f} {end} {self.what} {self.whom}" + (f" {self.how}" if self.how else "")


@dataclass(frozen=True, slots=True)
class Plan:
    """A universe: its seed draws traffic, latencies and partners; its faults are listed."""

    seed: int
    faults: tuple[Fault, ...] = ()
    seconds: float = SECONDS
    rate: float = 4.0  # messages a second to each forwarder
    forwarders: int = 1
    pushed: bool = False  # lists: what the directory has counts as told at once; else they are asked for

    def __str__(self) -> str:
        head = (
            f"seed {self.seed}\nseconds {self.seconds:g}\nrate {self.rate:g}\nforwarders {self.forwarders}\n"
        ) + "pushed 1\n" * self.pushed
        return head + "".join(f"{fault}\n" for fault in self.faults)

    @property
    def ends(self) -> float:
        """When the last fault is over, and what it broke has had its time to come back."""
        return max([fault.until or fault.since for fault in self.faults], default=0.0)

    def without(self, dropped: Iterable[Fault]) -> Plan:
        """The same universe with fewer faults."""
        gone = set(dropped)
        return replace(self, faults=tuple(fault for fault in self.faults if fault not in gone))


def parse(text: str) -> Plan:
    """Read a plan; raises PlanError."""
    values: dict[str, float] = {}
    faults: list[Fault] = []
    for number, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        try:
            if words[0] == "fault":
                faults.append(_fault(words[1:]))
            elif words[0] in ("seed", "seconds", "rate", "forwarders", "pushed") and len(words) == 2:
                values[words[0]] = float(words[1])
            else:
                raise ValueError(
                    "a line is seed, seconds, rate, forwarders or pushed and a number, or a fault"
                )
        except ValueError as error:
            raise PlanError(f"line {number}: {error}") from error
    if "seed" not in values:
        raise PlanError("no line names the seed")
    plan = Plan(int(values.pop("seed")), tuple(faults))
    forwarders, pushed = int(values.pop("forwarders", 1)), bool(values.pop("pushed", 0))
    return replace(plan, forwarders=forwarders, pushed=pushed, **values)  # type: ignore[arg-type]


def _fault(words: list[str]) -> Fault:
    if len(words) < 4:
        raise ValueError("a fault is: fault FROM UNTIL WHAT WHOM [WITH]")
    since, until, what, whom, *how = words
    if what not in KINDS:
        raise ValueError(f"{what!r} is no fault; known are {', '.join(KINDS)}")
    known = (*ENDPOINTS, *PARTNERS, *WINGS, "all", *(f"f{n}" for n in range(16)))
    if whom not in known:
        raise ValueError(f"{whom!r} is nobody; known are {', '.join(known[:12])}")
    return Fault(float(since), None if until == "-" else float(until), what, whom, " ".join(how))


def draw(seed: int) -> Plan:
    """The plan of a seed: three to six faults, the first three of which overlap at one moment."""
    chance = random.Random(f"plan {seed}")
    forwarders = chance.choice((1, 1, 2))
    meet = chance.uniform(4.0, 9.0)
    faults = []
    for number in range(chance.randint(3, 6)):
        since = chance.uniform(1.0, meet) if number < 3 else chance.uniform(1.0, CALM_FROM - 2)
        least = meet if number < 3 else since + 0.5
        until = chance.uniform(max(least, since + 0.3), CALM_FROM)
        faults.append(_drawn(chance, since, until, forwarders))
    return Plan(seed, tuple(sorted(faults, key=lambda f: (f.since, f.what, f.whom))), forwarders=forwarders)


def release(seed: int) -> Plan:
    """A release of endpoints while the directory is overloaded, at 1, 3 and 10 forwarders in turn.

    Endpoints are drained or replaced within a few seconds, and the service has one or two troubles meanwhile.
    It lasts until what was not heard then counts as told.
    """
    chance = random.Random(f"release {seed}")
    forwarders = (1, 3, 10)[seed % 3]
    faults: list[Fault] = []
    begins = chance.uniform(2.0, 5.0)
    faults += _released(chance, begins)
    for _ in range(chance.randint(1, 2)):
        since = chance.uniform(0.5, begins + 3.0)
        until = chance.uniform(since + 2.0, CALM_FROM)
        what = chance.choice((*OF_SERVICE, *OF_SERVICE, "directory-down", "directory-late", "move"))
        how = {
            "directory-busy": f"{chance.uniform(0.2, 1.0) / (forwarders + 1):.3f}",
            "directory-losing": f"{chance.randint(2, 4)}",
            "directory-mute": f"{chance.randint(3, 5)}",
        }.get(what, "")
        whom, end = ("f0", None) if what == "move" else ("all", round(until, 3))
        faults.append(Fault(round(since, 3), end, what, whom, how))
    if chance.random() < 0.25:
        faults.append(Fault(round(chance.uniform(3.0, 9.0), 3), None, chance.choice(("kill", "term")), "f0"))
    rate = {1: 6.0, 3: 2.5, 10: 1.0}[forwarders]
    return Plan(seed, tuple(sorted(faults, key=lambda f: (f.since, f.what, f.whom))), 34.0, rate, forwarders)


def pushed(seed: int) -> Plan:
    """A release of endpoints where lists are pushed, while endpoints fail and forwarders stop and start."""
    chance = random.Random(f"pushed {seed}")
    forwarders = chance.choice((1, 2, 3))
    faults = _released(chance, chance.uniform(1.0, 4.0))
    for _ in range(chance.randint(1, 3)):
        since = chance.uniform(1.0, CALM_FROM - 2)
        until = chance.uniform(since + 0.5, CALM_FROM)
        faults.append(_drawn(chance, since, until, forwarders, (OF_ENDPOINTS, OF_PROCESS), (3, 2)))
    faults.sort(key=lambda f: (f.since, f.what, f.whom))
    return Plan(seed, tuple(faults), 34.0, 6.0 / forwarders, forwarders, pushed=True)


def takeover(seed: int) -> Plan:
    """One process follows another again and again, either side is killed at any step, while partners and the
    directory are in trouble and the operators drain and take clients again."""
    chance = random.Random(f"takeover {seed}")
    forwarders = chance.choice((1, 1, 2))
    faults: list[Fault] = []
    for _ in range(chance.randint(2, 4)):
        since = chance.uniform(1.0, CALM_FROM - 3.0)
        kill = chance.choice(("", "kill-old", "kill-old", "kill-new", "kill-new"))
        after = chance.choice((chance.uniform(0.0, 0.03), chance.uniform(0.0, 0.2), chance.uniform(0.2, 2.5)))
        whom = f"f{chance.randrange(forwarders)}"
        faults.append(Fault(round(since, 3), None, "takeover", whom, f"{kill} {after:.4f}" if kill else ""))
    for _ in range(chance.randint(1, 3)):
        since = chance.uniform(1.0, CALM_FROM - 2)
        until = chance.uniform(since + 0.5, CALM_FROM)
        what = chance.choice((*OF_ENDPOINTS, "door", "drain", "replace", "kill", "reports-down"))
        whom, end = chance.choice(ENDPOINTS), round(until, 3)
        if what in ("door", "kill"):
            whom = f"f{chance.randrange(forwarders)}"
        elif what == "reports-down":
            whom = "all"
        faults.append(Fault(round(since, 3), None if what == "kill" else end, what, whom))
    faults.sort(key=lambda f: (f.since, f.what, f.whom))
    return Plan(seed, tuple(faults), forwarders=forwarders)


def _released(chance: random.Random, begins: float) -> list[Fault]:
    """Endpoints that are drained or replaced within six seconds."""
    faults = []
    for endpoint in chance.sample(ENDPOINTS, chance.randint(3, len(ENDPOINTS))):
        since = begins + chance.uniform(0.0, 6.0)
        what = chance.choice(("drain", "drain", "replace"))
        until = since + chance.uniform(2.0, 24.0) if what == "drain" else None
        faults.append(Fault(round(since, 3), until and round(until, 3), what, endpoint))
    return faults


DRAWS = {"mixed": draw, "release": release, "pushed": pushed, "takeover": takeover}
"""The ways to draw a plan from a seed, by name."""


FAMILIES = (OF_ENDPOINTS, OF_DIRECTORY, OF_DISK, OF_PROCESS, OF_LIST)


def _drawn(
    chance: random.Random,
    since: float,
    until: float,
    forwarders: int,
    families: tuple[tuple[str, ...], ...] = FAMILIES,
    weights: tuple[int, ...] = (10, 3, 1, 5, 4),
) -> Fault:
    family = chance.choices(families, weights)[0]
    what = chance.choice(family)
    whom, how = "all", ""
    if family is OF_ENDPOINTS:
        whom = chance.choice(ENDPOINTS + PARTNERS * 2 + WINGS)
    elif family is OF_LIST:
        whom = chance.choice(ENDPOINTS)
    elif family is OF_DISK or family is OF_PROCESS:
        whom = f"f{chance.randrange(forwarders)}"
    if what == "kill-at":
        how = f"{chance.randint(1, 60)} {chance.choice(('before', 'within', 'after'))}"
    elif what == "wall":
        how = f"{chance.choice((-3600, -5, 5, 3600))}"
    ends = family not in (OF_PROCESS,)
    return Fault(round(since, 3), round(until, 3) if ends else None, what, whom, how)
