"""Storms: fault-injection tests of a fleet, on real processes of the program or in a simulation."""

from emberlatch.storm.breach import Breach
from emberlatch.storm.checker import check_history
from emberlatch.storm.history import EventKind, History, HistoryEvent, read_history
from emberlatch.storm.plan import Fault, FaultKind, Plan, PlanError, parse_plan, validate_plan
from emberlatch.storm.plan_generator import generate_plan
from emberlatch.storm.runner import play_plan

__all__ = [
    "Breach",
    "EventKind",
    "Fault",
    "FaultKind",
    "History",
    "HistoryEvent",
    "Plan",
    "PlanError",
    "check_history",
    "generate_plan",
    "parse_plan",
    "play_plan",
    "read_history",
    "validate_plan",
]
