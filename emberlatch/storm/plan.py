"""What befalls a fleet: written down in TOML, or drawn from a seed (`draw`). The real rig and the virtual
world play the same plans.

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

Times are seconds from the start. `whom` names members (`f0`...), or endpoints of partners (`p1-east`); a
fault of links also has `to`, members or endpoints, and holds for what is said from `whom` to `to`, with
`both` also back.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator

import msgspec

PARTNERS = ("p1", "p2")
WINGS = ("east", "west")
ENDPOINTS = tuple(f"{partner}-{wing}" for partner in PARTNERS for wing in WINGS)
MOST_MEMBERS = 64

OF_PROCESS = ("kill", "stop", "term", "leave", "wipe", "twin", "slow-start", "rubbish")
"""SIGKILL, and started again after `amount` seconds (0: at the end of the storm); SIGSTOP until `until`;
SIGTERM and started again; told to leave, and started again; killed and started on an empty folder; a second
process of the same name; the next start takes `amount` seconds longer; strangers on the fleet's port send
rubbish."""

OF_LINKS = ("cut", "delay", "stalls", "throttle", "mute", "break")
"""Nothing arrives until the end, and then what was held does; `amount` seconds later each way, drawn up to
twice as much; each piece is held for a retransmission with a chance of `amount`, again and again; `amount`
bytes a second; accepted, and nothing is passed on; the connection ends in the middle of what is being
sent."""

OF_CLOCKS = ("wall", "rate")
"""The wall clock of a process is off by `amount` seconds, its other clock runs at `amount` of the true rate:
from its next start on, or from the beginning if `at` is 0."""

OF_PARTNERS = ("hang", "slow", "reset", "error", "full", "shut")
"""What an endpoint does until `until`."""

KINDS = (*OF_PROCESS, *OF_LINKS, *OF_CLOCKS, *OF_PARTNERS)
LASTING = ("stop", "cut", "delay", "stalls", "throttle", "mute", "rubbish", *OF_PARTNERS)
NEED_AMOUNT = ("delay", "stalls", "throttle", "wall", "rate", "slow-start")


class PlanError(ValueError):
    """A plan that can't be played; the text names the key and what would be right."""


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One fault."""

    at: float
    what: str
    whom: tuple[str, ...]
    until: float = 0.0
    to: tuple[str, ...] = ()
    amount: float = 0.0
    both: bool = False

    @property
    def ends(self) -> float:
        """When it is over; of one without an end, when it struck."""
        return max(self.at, self.until)

    def ways(self) -> Iterator[tuple[str, str]]:
        """The directions that a fault of links is about."""
        for one in self.whom:
            for other in self.to:
                if one != other:
                    yield one, other
                    if self.both:
                        yield other, one

    def __str__(self) -> str:
        end = f"-{self.until:.2f}" if self.until else ""
        other = f" {'<->' if self.both else '->'} {','.join(self.to)}" if self.to else ""
        amount = f" {self.amount:g}" if self.amount else ""
        return f"{self.at:.2f}{end} {self.what} {','.join(self.whom)}{other}{amount}"


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A storm: its seed draws traffic and what partners do; its faults are listed."""

    seed: int
    members: int = 3
    seconds: float = 20.0
    rate: float = 12.0  # messages a second to the whole fleet
    fault: tuple[Fault, ...] = ()
    fleet: bool = True  # members know each other; else each is alone

    @property
    def names(self) -> tuple[str, ...]:
        """The members."""
        return tuple(f"f{number}" for number in range(self.members))

    def of(self, *kinds: str) -> list[Fault]:
        """The faults of some kinds."""
        return [fault for fault in self.fault if fault.what in kinds]

    def text(self) -> str:
        """The plan as TOML."""
        head = f"seed = {self.seed}\nmembers = {self.members}\nseconds = {self.seconds}\nrate = {self.rate}\n"
        head += f"fleet = {str(self.fleet).lower()}\n"
        return head + "".join(f"\n[[fault]]\n{_toml(fault)}" for fault in self.fault)


def _toml(fault: Fault) -> str:
    lines = []
    for key, value in msgspec.to_builtins(fault).items():
        told = str(value).lower() if isinstance(value, bool) else msgspec.json.encode(value).decode()
        lines.append(f"{key} = {told}\n")
    return "".join(lines)


def parse(text: str) -> Plan:
    """Read a plan; raises PlanError."""
    try:
        plan = msgspec.convert(tomllib.loads(text), Plan, strict=False)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise PlanError(str(error)) from error
    return checked(plan)


def checked(plan: Plan) -> Plan:
    """The plan, if it can be played; raises PlanError."""
    if not 1 <= plan.members <= MOST_MEMBERS:
        raise PlanError(f"members: 1 to {MOST_MEMBERS}")
    if not 0 < plan.seconds <= 3600 or not 0 <= plan.rate <= 10_000:
        raise PlanError("seconds: over 0, at most 3600; rate: 0 to 10000")
    for number, fault in enumerate(plan.fault):
        if wrong := _wrong(plan, fault):
            raise PlanError(f"fault[{number}].{wrong}")
    return plan


def _wrong(plan: Plan, fault: Fault) -> str:
    if fault.what not in KINDS:
        return f"what: {fault.what!r} is no fault; known are {', '.join(KINDS)}"
    known = set(ENDPOINTS) if fault.what in OF_PARTNERS else set(plan.names)
    if not fault.whom or set(fault.whom) - known:
        return f"whom: names of {', '.join(sorted(known))}"
    if (fault.what in OF_LINKS) != bool(fault.to):
        return "to: a fault of links has it, and no other"
    if set(fault.to) - {*plan.names, *ENDPOINTS}:
        return f"to: names of {', '.join([*plan.names, *ENDPOINTS])}"
    if not 0 <= fault.at <= plan.seconds or (fault.until and fault.until < fault.at):
        return "at: from 0 to the plan's seconds, and not after until"
    if (fault.what in LASTING) != bool(fault.until):
        return f"until: {', '.join(LASTING)} have it, and no other"
    if (fault.what in NEED_AMOUNT) != bool(fault.amount) and fault.what not in ("kill", "wipe"):
        return f"amount: {', '.join(NEED_AMOUNT)} need it, kill and wipe may have it, and no other"
    return ""
