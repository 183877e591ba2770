"""Simulated clusters: the production code in one process, on a simulated network, disk and clock.

Nothing in this package is part of the service. Each simulated day runs a cluster with traffic and faults, and
checks what clients, targets and operators observed against the rules of the user documentation.
"""

from emberlatch.simulation.cluster import SimulatedCluster
from emberlatch.simulation.history import Breach, History
from emberlatch.simulation.plan import Fault, FaultKind, Plan
from emberlatch.simulation.plan_generator import draw_plan
from emberlatch.simulation.scenario import play

__all__ = [
    "Breach",
    "Fault",
    "FaultKind",
    "History",
    "Plan",
    "SimulatedCluster",
    "draw_plan",
    "play",
]
