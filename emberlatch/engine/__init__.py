"""A message's life, whatever front it came by and whatever carrier takes it on."""

from emberlatch.engine.carriers import Carriers
from emberlatch.engine.engine import Engine
from emberlatch.engine.machine import REAL, Listener, Machine
from emberlatch.engine.seams import (
    Address,
    Addresses,
    Answer,
    BadMessageError,
    Carrier,
    End,
    Front,
    Item,
    Membership,
    Notice,
    Submission,
    Taken,
)
from emberlatch.engine.tally import Tally
from emberlatch.engine.tasks import Tasks

__all__ = [
    "REAL",
    "Address",
    "Addresses",
    "Answer",
    "BadMessageError",
    "Carrier",
    "Carriers",
    "End",
    "Engine",
    "Front",
    "Item",
    "Listener",
    "Machine",
    "Membership",
    "Notice",
    "Submission",
    "Taken",
    "Tally",
    "Tasks",
]
