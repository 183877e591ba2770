"""Whole clusters of the real code in one process: simulated network, disks, clock, targets, clients, operators."""

from huts.weather.history import Breach, History
from huts.weather.mountain import Fault, Mountain, Plan
from huts.weather.play import draw, play

__all__ = ["Breach", "Fault", "History", "Mountain", "Plan", "draw", "play"]
