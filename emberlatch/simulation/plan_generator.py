"""Draws plans of simulated days from seeds; a seed always gives the same plan. Performs no I/O."""

from __future__ import annotations

import random

from emberlatch.simulation.plan import Fault, FaultKind, Plan

STORE_FAULTS = (
    FaultKind.KILL,
    FaultKind.TERMINATE,
    FaultKind.POWER_OFF,
    FaultKind.POWER_OFF_AND_WIPE,
    FaultKind.FREEZE,
    FaultKind.PARTITION,
    FaultKind.REPLACE_MACHINE,
    FaultKind.ADD_STORE,
    FaultKind.DECOMMISSION,
    FaultKind.STALL_DISK,
)
FORWARDER_FAULTS = (FaultKind.KILL, FaultKind.TERMINATE, FaultKind.POWER_OFF)
TARGET_FAULTS = (
    FaultKind.TARGET_CRASH,
    FaultKind.TARGET_LEAVE,
    FaultKind.TARGET_ADDRESS_REUSE,
    FaultKind.LOSE_ANSWERS,
)
CONFIGURATION_CHANGES = (FaultKind.CONFIGURE, FaultKind.CONFIGURE, FaultKind.CONFIGURE_CONCURRENTLY)
CLOSING_FAULTS = (
    None,
    None,
    FaultKind.KILL_ALL,
    FaultKind.POWER_OFF_ALL,
    FaultKind.POWER_OFF_STORES,
    FaultKind.POWER_OFF_ALL_AND_WIPE_ONE,
)
# These do not count as the loss of a store: every store still has its disk afterwards.
HARMLESS_STORE_FAULTS = (FaultKind.TERMINATE, FaultKind.ADD_STORE)
# Seconds until the next fault after the loss of a store: only one may be lost at a time, and it counts as
# lost until its repair is complete.
STORE_LOSS_INTERVAL_S = 9.0
HARMLESS_INTERVAL_S = 2.5  # seconds until the next fault after a harmless one
REPAIR_S = 6.0  # seconds until a store that was down has all records again
FORWARDER_FAULT_S = 2.0


def draw_plan(seed: int, beyond_tolerance: bool = False, large: bool = False) -> Plan:
    """Draw a deployment and its day.

    With `beyond_tolerance`, stores are lost faster than the settings tolerate. With `large`, the deployment
    has at least 12 stores and 16 forwarders.
    """
    rng = random.Random(f"plan {seed}")
    stores = rng.choice((12, 15, 18) if large else (3, 3, 3, 4, 5, 7, 9))
    forwarders = rng.randrange(16, 41) if large else rng.randrange(2, 7)
    duration_s = rng.uniform(8.0, 16.0)
    faults = _draw_faults(rng, stores, forwarders, duration_s, beyond_tolerance)
    faults += _draw_closing_fault(rng, faults, stores, duration_s, beyond_tolerance)
    return Plan(
        seed,
        zones=rng.choice((3, 4) if large else (1, 2, 3)),
        forwarders=forwarders,
        stores=stores,
        targets=rng.randrange(8, 30) if large else rng.randrange(2, 9),
        messages_per_s=rng.uniform(10, 50),
        duration_s=duration_s,
        forced_failure_share=rng.choice((0.0, 0.02, 0.1)),
        tolerated_losses=2 if stores >= 5 and rng.random() < 0.5 else 1,
        rate_limit_per_s=rng.choice((0.0, 0.0, 6.0, 20.0)),
        faults=tuple(faults),
    )


def _draw_faults(
    rng: random.Random, stores: int, forwarders: int, duration_s: float, beyond_tolerance: bool
) -> list[Fault]:
    faults, at_s = list[Fault](), 1.0
    while at_s < duration_s - 1:
        share = rng.random()
        if share < 0.4:
            fault = _draw_store_fault(rng, at_s, stores)
            faults.append(fault)
            if fault.kind in HARMLESS_STORE_FAULTS or beyond_tolerance:
                at_s += HARMLESS_INTERVAL_S
            else:
                at_s += STORE_LOSS_INTERVAL_S + max(0.0, fault.duration_s - 3.0)
            continue
        if share < 0.6:
            kind = rng.choice(FORWARDER_FAULTS)
            faults.append(Fault(at_s, kind, f"f{rng.randrange(forwarders)}", FORWARDER_FAULT_S))
        elif share < 0.75:
            faults.append(Fault(at_s, rng.choice(TARGET_FAULTS), "", 2.0))
        elif share < 0.9:
            faults.append(Fault(at_s, rng.choice(CONFIGURATION_CHANGES)))
        else:
            faults.append(Fault(at_s, FaultKind.CONFIGURE_INVALID))
        at_s += rng.uniform(0.2, 2.0)
    return faults


def _draw_store_fault(rng: random.Random, at_s: float, stores: int) -> Fault:
    kind = rng.choice(STORE_FAULTS)
    duration_s = rng.uniform(0.5, 7.0 if kind is FaultKind.PARTITION else 3.0)
    return Fault(at_s, kind, f"s{rng.randrange(stores)}", duration_s)


def _draw_closing_fault(
    rng: random.Random, faults: list[Fault], stores: int, duration_s: float, beyond_tolerance: bool
) -> list[Fault]:
    """Draw at most one fault of all nodes or all stores, which begins just before the traffic ends."""
    kind = rng.choice(CLOSING_FAULTS)
    if kind is None:
        return []
    store_faults_end_s = max((f.at_s + f.duration_s for f in faults if f.node.startswith("s")), default=-9.0)
    if kind is FaultKind.POWER_OFF_ALL_AND_WIPE_ONE:
        # Only one loss at a time is tolerated, and a loss lasts until the machine's repair is complete.
        still_repairing = store_faults_end_s + REPAIR_S > duration_s
        if still_repairing and not beyond_tolerance:
            kind = FaultKind.POWER_OFF_ALL
    return [Fault(duration_s - 0.5, kind, f"s{rng.randrange(stores)}", rng.uniform(0.5, 1.5))]
