"""The trace of a run: its events in order, identical for every run of the same plan."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple


class TraceEvent(StrEnum):
    """Kinds of entries; the values are printed in traces (docs/operators/faults.md)."""

    READY = "ready"
    DOWN = "down"
    PREDECESSOR_EXITED = "left"
    SUCCESSOR_STARTED = "successor"
    TOOK_OVER = "took-over"
    SUBMITTED = "submit"
    RESPONSE = "response"
    CALL = "call"
    ANSWER = "answer"
    DISCONNECTED = "broken"
    POLL = "poll"
    LIST_SENT = "list-sent"
    LIST_LOST = "list-lost"
    LISTED = "listed"
    NOTICE = "notice"
    FAULT = "fault"
    FAULT_ENDED = "fault-over"


class TraceEntry(NamedTuple):
    """One event; `at` is in seconds from the start of the run, `details` depend on the kind of event."""

    at: float
    event: TraceEvent
    details: tuple[object, ...]

    def __str__(self) -> str:
        return f"{self.at:.6f} {' '.join(map(str, (self.event, *self.details)))}"


class Trace:
    """Collects the entries of a run, with times that count from the creation of the trace."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.entries: list[TraceEntry] = []
        self._clock, self._started_at = clock, clock()

    @property
    def now(self) -> float:
        """The time since the start of the run, in seconds."""
        return self._clock() - self._started_at

    def since_start(self, time: float) -> float:
        """Convert a time of the clock into seconds since the start of the run."""
        return time - self._started_at

    def record(self, event: TraceEvent, *details: object) -> None:
        """Add an entry with the current time."""
        self.entries.append(TraceEntry(self.now, event, details))
