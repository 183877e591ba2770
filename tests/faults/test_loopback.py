"""Runs on real loopback sockets, which must follow the same rules as the simulation."""

from __future__ import annotations

import asyncio

from emberlatch.faults import Fault, FaultKind, Plan, draw_mixed
from emberlatch.faults.loopback import loopback_plan, play_on_loopback
from emberlatch.faults.plan import PROCESS_FAULTS


def test_loopback_plan_omits_faults_that_need_a_simulation() -> None:
    for seed in range(50):
        plan = loopback_plan(draw_mixed(seed))
        assert plan.forwarder_count == 1
        assert not [
            f
            for f in plan.faults
            if f.kind in (*PROCESS_FAULTS, FaultKind.ISOLATED) or f.kind.startswith("disk")
        ]


def test_run_on_real_sockets_breaks_no_rule_and_records_a_trace() -> None:
    faults = (
        Fault(0.5, 2.0, FaultKind.RESET, "p2"),
        Fault(0.6, 1.8, FaultKind.FULL, "p1-east"),
        Fault(0.8, 2.2, FaultKind.DRAIN, "p3-east"),
    )
    environment = asyncio.run(play_on_loopback(Plan(77, faults, duration_s=4.0, rate_per_s=6.0)))
    assert not environment.breaches, environment.breaches[0]
    events = {entry.event for entry in environment.trace.entries}
    assert {"submit", "response", "call", "answer", "broken", "list-sent"} <= events
