"""Plans of storms: read from TOML, or generated from a seed (`plan_generator`).

The same plan can be played on real processes (`runner`) or in a simulation (`virtual_fleet`).

    seed = 7
    members = 5
    seconds = 20.0

    [[fault]]
    at = 3.0
    until = 6.0
    what = "cut"
    whom = ["f0", "f1"]
    to = ["f2", "f3", "f4"]
    both = true

Times are in seconds from the start of the storm. `whom` lists members (`f0`...) or endpoints of partners
(`p1-east`). A link fault also has `to`, which lists members or endpoints; it affects data sent from `whom` to
`to`, and with `both` also data in the opposite direction. Some fields of `Plan` and `Fault` have other names
than the keys of the file; `rename` maps them.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from enum import StrEnum

import msgspec

PARTNERS = ("p1", "p2")
WINGS = ("east", "west")
ENDPOINTS = tuple(f"{partner}-{wing}" for partner in PARTNERS for wing in WINGS)
MAX_MEMBERS = 64
MAX_DURATION_S = 3600
MAX_MESSAGES_PER_S = 10_000


class FaultKind(StrEnum):
    """The kinds of faults, by their names in plan files."""

    # Faults of processes.
    KILL = "kill"
    """SIGKILL; the process restarts after `amount` seconds, or if `amount` is 0, at the end of the storm."""
    SUSPEND = "stop"
    """SIGSTOP, and SIGCONT at the end of the fault."""
    TERMINATE = "term"
    """SIGTERM; the process is restarted when it has exited."""
    LEAVE = "leave"
    """The process is asked to leave the fleet, and is restarted when it has exited."""
    WIPE = "wipe"
    """The process is killed, and is restarted on an empty state folder after `amount` seconds."""
    DUPLICATE = "twin"
    """A second process is started with the name of the member, on a state folder of its own."""
    SLOW_START = "slow-start"
    """The next start takes `amount` seconds longer."""
    GARBAGE = "rubbish"
    """Unknown clients send invalid data to the member's fleet port."""

    # Faults of links; each direction is impaired independently.
    PARTITION = "cut"
    """Nothing is delivered until the fault ends; then all data that was sent arrives in order."""
    DELAY = "delay"
    """Each chunk of data is delayed by a drawn time, from `amount` to twice `amount` seconds."""
    LOSS = "stalls"
    """Each time a chunk is sent, it is lost with probability `amount`. A lost chunk is sent again later."""
    THROTTLE = "throttle"
    """`amount` bytes per second are forwarded."""
    BLACKHOLE = "mute"
    """New connections are accepted, but nothing is forwarded on them until the fault ends."""
    DISCONNECT = "break"
    """The connection ends in the middle of the next chunk."""

    # Faults of clocks; they take effect at the next start of the process, or at its first start if `at` is 0.
    WALL_OFFSET = "wall"
    """The wall clock is off by `amount` seconds."""
    CLOCK_RATE = "rate"
    """The monotonic clock runs at `amount` times the true rate."""

    # Conditions of a partner's endpoint; see `emberlatch.standins`.
    ENDPOINT_HANG = "hang"
    ENDPOINT_SLOW = "slow"
    ENDPOINT_RESET = "reset"
    ENDPOINT_ERROR = "error"
    ENDPOINT_FULL = "full"
    ENDPOINT_SHUT = "shut"


PROCESS_FAULTS = (
    FaultKind.KILL,
    FaultKind.SUSPEND,
    FaultKind.TERMINATE,
    FaultKind.LEAVE,
    FaultKind.WIPE,
    FaultKind.DUPLICATE,
    FaultKind.SLOW_START,
    FaultKind.GARBAGE,
)
LINK_FAULTS = (
    FaultKind.PARTITION,
    FaultKind.DELAY,
    FaultKind.LOSS,
    FaultKind.THROTTLE,
    FaultKind.BLACKHOLE,
    FaultKind.DISCONNECT,
)
CLOCK_FAULTS = (FaultKind.WALL_OFFSET, FaultKind.CLOCK_RATE)
ENDPOINT_FAULTS = (
    FaultKind.ENDPOINT_HANG,
    FaultKind.ENDPOINT_SLOW,
    FaultKind.ENDPOINT_RESET,
    FaultKind.ENDPOINT_ERROR,
    FaultKind.ENDPOINT_FULL,
    FaultKind.ENDPOINT_SHUT,
)
FAULT_KINDS = (*PROCESS_FAULTS, *LINK_FAULTS, *CLOCK_FAULTS, *ENDPOINT_FAULTS)
LASTING_FAULTS = (
    FaultKind.SUSPEND,
    FaultKind.PARTITION,
    FaultKind.DELAY,
    FaultKind.LOSS,
    FaultKind.THROTTLE,
    FaultKind.BLACKHOLE,
    FaultKind.GARBAGE,
    *ENDPOINT_FAULTS,
)
FAULTS_WITH_AMOUNT = (
    FaultKind.DELAY,
    FaultKind.LOSS,
    FaultKind.THROTTLE,
    FaultKind.WALL_OFFSET,
    FaultKind.CLOCK_RATE,
    FaultKind.SLOW_START,
)
FAULTS_WITH_OPTIONAL_AMOUNT = (FaultKind.KILL, FaultKind.WIPE)


class PlanError(ValueError):
    """Raised for an invalid plan; the text names the key and the valid values."""


class Fault(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
    rename={
        "kind": "what",
        "subjects": "whom",
        "destinations": "to",
        "bidirectional": "both",
    },
):
    """One fault. Times are in seconds from the start of the storm; the unit of `amount` depends on `kind`."""

    at: float
    kind: str
    subjects: tuple[str, ...]
    until: float = 0.0
    destinations: tuple[str, ...] = ()
    amount: float = 0.0
    bidirectional: bool = False

    @property
    def end(self) -> float:
        """The time at which the fault ends; for a fault without an end, the time at which it begins."""
        return max(self.at, self.until)

    def directions(self) -> Iterator[tuple[str, str]]:
        """Return the pairs of sender and receiver that a link fault affects."""
        for sender in self.subjects:
            for receiver in self.destinations:
                if sender != receiver:
                    yield sender, receiver
                    if self.bidirectional:
                        yield receiver, sender

    def __str__(self) -> str:
        end = f"-{self.until:.2f}" if self.until else ""
        arrow = "<->" if self.bidirectional else "->"
        destinations = f" {arrow} {','.join(self.destinations)}" if self.destinations else ""
        amount = f" {self.amount:g}" if self.amount else ""
        return f"{self.at:.2f}{end} {self.kind} {','.join(self.subjects)}{destinations}{amount}"


class Plan(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "member_count": "members",
        "duration_s": "seconds",
        "messages_per_s": "rate",
        "faults": "fault",
        "fleet_enabled": "fleet",
    },
):
    """The plan of a storm. The seed determines the traffic and the partners' behaviour, not the faults."""

    seed: int
    member_count: int = 3
    duration_s: float = 20.0
    messages_per_s: float = 12.0  # rate of submissions to all members together
    faults: tuple[Fault, ...] = ()
    fleet_enabled: bool = True  # whether the members form a fleet; otherwise each runs alone

    @property
    def member_names(self) -> tuple[str, ...]:
        """The names of the members, `f0` first."""
        return tuple(f"f{number}" for number in range(self.member_count))

    def faults_of(self, *kinds: str) -> list[Fault]:
        """Return the faults of the given kinds, in the order of the plan."""
        return [fault for fault in self.faults if fault.kind in kinds]

    def to_toml(self) -> str:
        """Return the text of a plan file with this plan."""
        head = (
            f"seed = {self.seed}\n"
            f"members = {self.member_count}\n"
            f"seconds = {self.duration_s}\n"
            f"rate = {self.messages_per_s}\n"
            f"fleet = {str(self.fleet_enabled).lower()}\n"
        )
        return head + "".join(f"\n[[fault]]\n{_fault_to_toml(fault)}" for fault in self.faults)


def _fault_to_toml(fault: Fault) -> str:
    lines = []
    for key, value in msgspec.to_builtins(fault).items():
        rendered = str(value).lower() if isinstance(value, bool) else msgspec.json.encode(value).decode()
        lines.append(f"{key} = {rendered}\n")
    return "".join(lines)


def parse_plan(text: str) -> Plan:
    """Parse the text of a plan file; raises PlanError if the text or the plan is invalid."""
    try:
        plan = msgspec.convert(tomllib.loads(text), Plan, strict=False)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise PlanError(str(error)) from error
    return validate_plan(plan)


def validate_plan(plan: Plan) -> Plan:
    """Return the plan if it is valid; raises PlanError if not."""
    if not 1 <= plan.member_count <= MAX_MEMBERS:
        raise PlanError(f"members: expected 1 to {MAX_MEMBERS}, got {plan.member_count}")
    if not 0 < plan.duration_s <= MAX_DURATION_S or not 0 <= plan.messages_per_s <= MAX_MESSAGES_PER_S:
        raise PlanError(
            f"seconds: expected more than 0 and at most {MAX_DURATION_S}, got {plan.duration_s:g}; "
            f"rate: expected 0 to {MAX_MESSAGES_PER_S}, got {plan.messages_per_s:g}",
        )
    for number, fault in enumerate(plan.faults):
        if problem := _find_problem(plan, fault):
            raise PlanError(f"fault[{number}].{problem}")
    return plan


def _find_problem(plan: Plan, fault: Fault) -> str:
    """Return the first invalid key of a fault with the valid values; empty if the fault is valid."""
    if fault.kind not in FAULT_KINDS:
        return f"what: {fault.kind!r} is no fault; expected one of {', '.join(FAULT_KINDS)}"
    members = plan.member_names
    known = set(ENDPOINTS) if fault.kind in ENDPOINT_FAULTS else set(members)
    if not fault.subjects or set(fault.subjects) - known:
        found = ", ".join(fault.subjects) or "none"
        return f"whom: expected names of {', '.join(sorted(known))}; got {found}"
    if (fault.kind in LINK_FAULTS) != bool(fault.destinations):
        found = f"{fault.kind} with {len(fault.destinations)} names"
        return f"to: required by {', '.join(LINK_FAULTS)}, invalid for all others; got {found}"
    if set(fault.destinations) - {*members, *ENDPOINTS}:
        found = ", ".join(fault.destinations)
        return f"to: expected names of {', '.join([*members, *ENDPOINTS])}; got {found}"
    if not 0 <= fault.at <= plan.duration_s or (fault.until and fault.until < fault.at):
        found = f"at {fault.at:g}, until {fault.until:g}"
        return f"at: expected 0 to {plan.duration_s:g} (the plan's seconds), and not after until; got {found}"
    if (fault.kind in LASTING_FAULTS) != bool(fault.until):
        found = f"{fault.kind} with until {fault.until:g}"
        return f"until: required by {', '.join(LASTING_FAULTS)}, invalid for all others; got {found}"
    amount_optional = fault.kind in FAULTS_WITH_OPTIONAL_AMOUNT
    if (fault.kind in FAULTS_WITH_AMOUNT) != bool(fault.amount) and not amount_optional:
        required = ", ".join(FAULTS_WITH_AMOUNT)
        return (
            f"amount: required by {required}, optional for {', '.join(FAULTS_WITH_OPTIONAL_AMOUNT)}, "
            f"invalid for all others; got {fault.kind} with amount {fault.amount:g}"
        )
    return ""
