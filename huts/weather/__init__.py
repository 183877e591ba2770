"""Whole clusters of the real code in one process, on a simulated network, disk and clock."""

from huts.weather.history import Breach, History
from huts.weather.mountain import Fault, Mountain, Plan
from huts.weather.play import draw, play

__all__ = ["Breach", "Fault", "History", "Mountain", "Plan", "draw", "play"]
