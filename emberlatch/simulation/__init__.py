"""Whole clusters of the real code in one process, on a simulated network, disk and clock."""

from emberlatch.simulation.cluster import Fault, Plan, SimulatedCluster
from emberlatch.simulation.history import Breach, History
from emberlatch.simulation.scenario import draw, play

__all__ = ["Breach", "Fault", "History", "Plan", "SimulatedCluster", "draw", "play"]
