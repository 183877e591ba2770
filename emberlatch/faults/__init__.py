"""Fault simulation: runs the forwarder's real code on a virtual clock, network and disk, and checks rules.

Each run is deterministic: its seed determines the traffic, the faults and all latencies.
"""

from emberlatch.faults.checks import Breach, Rule
from emberlatch.faults.plan import Fault, FaultKind, Plan, PlanError, parse_plan
from emberlatch.faults.plan_generator import (
    PLAN_GENERATORS,
    draw_mixed,
    draw_pushed_release,
    draw_release,
    draw_takeovers,
)
from emberlatch.faults.run import Report, run_plan, shrink, trace_digest
from emberlatch.faults.seed_runs import SeedResult, run_seed, run_seeds
from emberlatch.faults.service_level import ServiceLevel
from emberlatch.faults.trace import TraceEntry, TraceEvent

__all__ = [
    "PLAN_GENERATORS",
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
    "draw_mixed",
    "draw_pushed_release",
    "draw_release",
    "draw_takeovers",
    "parse_plan",
    "run_plan",
    "run_seed",
    "run_seeds",
    "shrink",
    "trace_digest",
]
