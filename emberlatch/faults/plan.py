"""Plans: the parameters and the faults of a run, in a text format that can be edited and stored.

Each line of a plan is one of these:

- `seed`, `seconds`, `rate` or `forwarders`, with a number,
- `pushed 1`, if lists are pushed to an agent beside each forwarder,
- `fault FROM UNTIL WHAT WHOM [WITH]`: a fault with its start and end in seconds from the start of the run
  (`-` for no end), its kind, its target and an argument.

A `#` begins a comment.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum

PARTNERS = ("p1", "p2", "p3")
ZONES = ("east", "west")
ENDPOINTS = tuple(f"{partner}-{zone}" for partner in PARTNERS for zone in ZONES)
ALL_TARGETS = "all"
MAX_FORWARDERS = 16
DURATION_S = 32.0


class FaultKind(StrEnum):
    """Kinds of faults; the values are their names in plans."""

    # Faults of an endpoint (`p1-east`), a partner (`p1`) or a zone (`east`), see `standins.Condition`:
    HANG = "hang"
    SLOW = "slow"
    RESET = "reset"
    ERROR = "error"
    FULL = "full"
    REFUSING = "shut"
    GARBLED = "spoilt"
    TRUNCATED = "cut"
    ISOLATED = "silent"  # no packet leaves or reaches the endpoint's host

    # Faults of the directory, and of the receiver of notices (`REPORTS_DOWN`):
    DIRECTORY_DOWN = "directory-down"
    DIRECTORY_SILENT = "directory-silent"
    DIRECTORY_LATE = "directory-late"
    DIRECTORY_GARBLED = "directory-garbled"
    REPORTS_DOWN = "reports-down"

    # Faults of an overloaded directory, each with an argument:
    DIRECTORY_BUSY = "directory-busy"  # argument: seconds of work for each request
    DIRECTORY_LOSING = "directory-losing"  # argument n: every n-th answer is lost and its connection reset
    DIRECTORY_MUTE = "directory-mute"  # argument n: every n-th answer is lost, but its connection stays open

    # Faults of a forwarder (`f0`) and its disk, and operators' actions:
    DISK_FULL = "disk-full"
    DISK_FAILING = "disk-failing"
    DISK_SHORT = "disk-short"
    KILL = "kill"  # SIGKILL
    TERM = "term"  # SIGTERM
    MOVE_DIRECTORY = "move"  # the directory moves to another address, and SIGHUP announces it
    KILL_AT_DISK_CALL = "kill-at"  # argument: the number of disk calls until SIGKILL, and a `KillMoment`
    WALL_CLOCK_STEP = "wall"  # argument: seconds by which the wall clock jumps
    TAKEOVER = "takeover"  # argument: empty, or `kill-old` or `kill-new` and the seconds until the kill
    CLIENTS_LEAVE = "door"  # clients are asked to disconnect

    # Changes of an endpoint's entry in the directory's list:
    DRAIN = "drain"  # listed as draining, then as serving again
    REMOVE = "remove"  # removed, then listed again
    REPLACE = "replace"  # removed, and another endpoint listed in its place


ENDPOINT_FAULTS = (
    FaultKind.HANG,
    FaultKind.SLOW,
    FaultKind.RESET,
    FaultKind.ERROR,
    FaultKind.FULL,
    FaultKind.REFUSING,
    FaultKind.GARBLED,
    FaultKind.TRUNCATED,
    FaultKind.ISOLATED,
)
DIRECTORY_FAULTS = (
    FaultKind.DIRECTORY_DOWN,
    FaultKind.DIRECTORY_SILENT,
    FaultKind.DIRECTORY_LATE,
    FaultKind.DIRECTORY_GARBLED,
    FaultKind.REPORTS_DOWN,
)
DIRECTORY_LOAD_FAULTS = (
    FaultKind.DIRECTORY_BUSY,
    FaultKind.DIRECTORY_LOSING,
    FaultKind.DIRECTORY_MUTE,
)
DISK_FAULTS = (FaultKind.DISK_FULL, FaultKind.DISK_FAILING, FaultKind.DISK_SHORT)
PROCESS_FAULTS = (
    FaultKind.KILL,
    FaultKind.TERM,
    FaultKind.MOVE_DIRECTORY,
    FaultKind.KILL_AT_DISK_CALL,
    FaultKind.WALL_CLOCK_STEP,
)
OPERATOR_FAULTS = (FaultKind.TAKEOVER, FaultKind.CLIENTS_LEAVE)
LIST_FAULTS = (FaultKind.DRAIN, FaultKind.REMOVE, FaultKind.REPLACE)

NUMBER_KEYS = ("seed", "seconds", "rate", "forwarders", "pushed")


class PlanError(ValueError):
    """A plan can't be parsed; the text names the line and what is expected there."""


def partner_of(endpoint: str) -> str:
    """The partner of an endpoint: `p1` of `p1-east` or `p1-east.2`."""
    return endpoint.partition("-")[0]


def zone_of(endpoint: str) -> str:
    """The zone of an endpoint: `east` of `p1-east` or `p1-east.2`."""
    return endpoint.partition("-")[2].partition(".")[0]


def replacement_of(endpoint: str) -> str:
    """The name of the endpoint that replaces this one."""
    return f"{endpoint}.2"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; times are in seconds from the start of the run, `until` is None for a fault without end."""

    since: float
    until: float | None
    kind: FaultKind
    target: str
    argument: str = ""

    def __str__(self) -> str:
        end = "-" if self.until is None else f"{self.until:.3f}"
        argument = f" {self.argument}" if self.argument else ""
        return f"fault {self.since:.3f} {end} {self.kind} {self.target}{argument}"

    def has_target(self, name: str) -> bool:
        """Whether the fault applies to this forwarder, or to this endpoint or the one that it replaces.

        The target can be the name itself, or an endpoint's partner or zone.
        """
        return self.target in (name.partition(".")[0], partner_of(name), zone_of(name))


@dataclass(frozen=True, slots=True)
class Plan:
    """One run: its seed determines traffic, latencies and the partners' behaviour; its faults are listed.

    With `lists_are_pushed`, the checks assume that a forwarder knows each change in the directory at once.
    Otherwise the forwarder polls the directory.
    """

    seed: int
    faults: tuple[Fault, ...] = ()
    duration_s: float = DURATION_S
    rate_per_s: float = 4.0  # arrivals at each forwarder; an arrival has one or more messages
    forwarder_count: int = 1
    lists_are_pushed: bool = False

    def __str__(self) -> str:
        head = (
            f"seed {self.seed}\nseconds {self.duration_s:g}\nrate {self.rate_per_s:g}\n"
            f"forwarders {self.forwarder_count}\n"
        ) + "pushed 1\n" * self.lists_are_pushed
        return head + "".join(f"{fault}\n" for fault in self.faults)

    @property
    def last_fault_end_s(self) -> float:
        """The time when the last fault ends, in seconds from the start of the run."""
        return max([fault.until or fault.since for fault in self.faults], default=0.0)

    def without(self, dropped: Iterable[Fault]) -> Plan:
        """The same plan without some of its faults."""
        dropped_faults = set(dropped)
        return replace(self, faults=tuple(fault for fault in self.faults if fault not in dropped_faults))


def parse_plan(text: str) -> Plan:
    """Parse a plan; raises PlanError."""
    numbers: dict[str, float] = {}
    faults: list[Fault] = []
    for line_number, line in enumerate(text.splitlines(), 1):
        fields = line.partition("#")[0].split()
        try:
            match fields:
                case []:
                    continue
                case ["fault", *fault_fields]:
                    faults.append(_parse_fault(fault_fields))
                case [key, number] if key in NUMBER_KEYS:
                    numbers[key] = float(number)
                case _:
                    raise ValueError(
                        f"a line is {', '.join(NUMBER_KEYS)} and a number, or a fault; found {line.strip()!r}"
                    )
        except ValueError as error:
            raise PlanError(f"line {line_number}: {error}") from error
    if "seed" not in numbers:
        raise PlanError("no line names the seed; expected `seed NUMBER`")
    usual = Plan(0)
    return Plan(
        seed=int(numbers["seed"]),
        faults=tuple(faults),
        duration_s=numbers.get("seconds", usual.duration_s),
        rate_per_s=numbers.get("rate", usual.rate_per_s),
        forwarder_count=int(numbers.get("forwarders", usual.forwarder_count)),
        lists_are_pushed=bool(numbers.get("pushed", usual.lists_are_pushed)),
    )


def _parse_fault(fields: list[str]) -> Fault:
    if len(fields) < 4:
        raise ValueError(f"a fault is: fault FROM UNTIL WHAT WHOM [WITH]; found fault {' '.join(fields)}")
    since, until, kind, target, *argument = fields
    if kind not in list(FaultKind):
        raise ValueError(f"{kind!r} is no fault; expected one of {', '.join(FaultKind)}")
    known = (*ENDPOINTS, *PARTNERS, *ZONES, ALL_TARGETS)
    if target not in (*known, *(f"f{number}" for number in range(MAX_FORWARDERS))):
        raise ValueError(f"{target!r} is no target; expected one of {', '.join(known)}, f0, f1, ...")
    end = None if until == "-" else float(until)
    return Fault(float(since), end, FaultKind(kind), target, " ".join(argument))
