"""Storms: real processes of the program, or the same code on a virtual clock, under a schedule of faults."""

from emberlatch.storm.checks import Breach
from emberlatch.storm.draw import draw
from emberlatch.storm.history import Fact, History, read
from emberlatch.storm.judge import judge
from emberlatch.storm.plan import Fault, Plan, PlanError, checked, parse
from emberlatch.storm.rig import play

__all__ = [
    "Breach",
    "Fact",
    "Fault",
    "History",
    "Plan",
    "PlanError",
    "checked",
    "draw",
    "judge",
    "parse",
    "play",
    "read",
]
