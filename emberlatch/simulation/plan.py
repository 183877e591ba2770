"""The plan of a simulated day: the size of the deployment, its traffic and its faults. Performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class FaultKind(StrEnum):
    """Kinds of faults and of planned work."""

    KILL = "kill"
    TERMINATE = "term"
    POWER_OFF = "power"
    POWER_OFF_AND_WIPE = "wipe"
    FREEZE = "freeze"
    PARTITION = "cut"
    REPLACE_MACHINE = "replace"
    ADD_STORE = "add"
    DECOMMISSION = "retire"
    STALL_DISK = "stall"
    DISK_FULL = "disk full"
    DISK_SYNC_FAILS = "sync fails"
    ALL_DISKS_FULL = "all disks full"
    KILL_ALL = "all kill"
    POWER_OFF_ALL = "all power"
    POWER_OFF_ALL_AND_WIPE_ONE = "wipe and power"
    POWER_OFF_STORES = "stores power"
    CONFIGURE = "configuration"
    CONFIGURE_CONCURRENTLY = "race"
    CONFIGURE_INVALID = "bad configuration"
    LOSE_ANSWERS = "lose answers"
    TARGET_CRASH = "target crash"
    TARGET_LEAVE = "target leave"
    TARGET_ADDRESS_REUSE = "target reuse"


PLANNED_WORK = frozenset(
    {
        FaultKind.TERMINATE,
        FaultKind.CONFIGURE,
        FaultKind.CONFIGURE_INVALID,
        FaultKind.CONFIGURE_CONCURRENTLY,
        FaultKind.TARGET_LEAVE,
        FaultKind.ADD_STORE,
        FaultKind.DECOMMISSION,
    }
)
"""Kinds whose effects on clients are not excused: clients must not notice them."""

NODE_FAULTS = frozenset(
    {
        FaultKind.KILL,
        FaultKind.TERMINATE,
        FaultKind.POWER_OFF,
        FaultKind.POWER_OFF_AND_WIPE,
        FaultKind.FREEZE,
        FaultKind.PARTITION,
        FaultKind.REPLACE_MACHINE,
        FaultKind.DECOMMISSION,
        FaultKind.STALL_DISK,
        FaultKind.DISK_FULL,
        FaultKind.DISK_SYNC_FAILS,
    }
)
"""Kinds that affect one machine, which the fault names."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault or piece of planned work: `at_s` seconds after the start, for `duration_s` seconds.

    `node` names the affected machine, or the wiped one of POWER_OFF_ALL_AND_WIPE_ONE. Other kinds ignore it.
    """

    at_s: float
    kind: FaultKind
    node: str = ""
    duration_s: float = 0.0


@dataclass(frozen=True)
class Plan:
    """A deployment and its day. All random numbers drawn while it is played derive from `seed`."""

    seed: int
    zones: int = 3
    forwarders: int = 3
    stores: int = 3
    targets: int = 6
    messages_per_s: float = 40.0
    duration_s: float = 12.0
    forced_failure_share: float = 0.02  # share of messages of which every run fails
    tolerated_losses: int = 1  # number of machines with a disk that may be lost at the same time
    rate_limit_per_s: float = 0.0  # limit of the service with a fixed endpoint; 0: no such service
    faults: tuple[Fault, ...] = ()
