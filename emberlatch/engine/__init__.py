"""The engine: handles a message from its submission to its completion, independent of network protocols."""

from emberlatch.engine.carrier_router import CarrierRouter
from emberlatch.engine.counters import Counters
from emberlatch.engine.durability import NO_DURABLE_CLASSES, DurableClasses
from emberlatch.engine.engine import Engine
from emberlatch.engine.machine import REAL_MACHINE, Listener, Machine
from emberlatch.engine.ports import (
    Address,
    Addresses,
    BadMessageError,
    CallItem,
    Carrier,
    CompletionNotice,
    CompletionNotifier,
    EnginePorts,
    EnginePortsError,
    Ingress,
    Membership,
    ReceivedHandover,
    Submission,
    SubmissionResponder,
)
from emberlatch.engine.tasks import Tasks

__all__ = [
    "NO_DURABLE_CLASSES",
    "REAL_MACHINE",
    "Address",
    "Addresses",
    "BadMessageError",
    "CallItem",
    "Carrier",
    "CarrierRouter",
    "CompletionNotice",
    "CompletionNotifier",
    "Counters",
    "DurableClasses",
    "Engine",
    "EnginePorts",
    "EnginePortsError",
    "Ingress",
    "Listener",
    "Machine",
    "Membership",
    "ReceivedHandover",
    "Submission",
    "SubmissionResponder",
    "Tasks",
]
