"""Fault simulation: runs the forwarder's real code on a virtual clock, network and disk, and checks rules.

Each run is deterministic: its seed determines the traffic, the faults and all latencies.
"""

from emberlatch.faults.checks import Breach, Rule
from emberlatch.faults.plan import Fault, FaultKind, Plan, PlanError, parse
from emberlatch.faults.plan_generator import (
    DRAWS,
    draw_mixed,
    draw_pushed_release,
    draw_release,
    draw_takeovers,
)
from emberlatch.faults.run import Report, digest, play, shrink
from emberlatch.faults.seed_runs import SeedResult, play_seed, play_seeds
from emberlatch.faults.service_level import ServiceLevel
from emberlatch.faults.trace import TraceEntry, TraceEvent

__all__ = [
    "DRAWS",
    "Breach",
    "Fault",
    "FaultKind",
    "Plan",
    "PlanError",
    "Report",
    "Rule",
    "SeedResult",
    "ServiceLevel",
    "TraceEntry",
    "TraceEvent",
    "digest",
    "draw_mixed",
    "draw_pushed_release",
    "draw_release",
    "draw_takeovers",
    "parse",
    "play",
    "play_seed",
    "play_seeds",
    "shrink",
]
