"""The history of a storm: its plan and what happened, each event with its time on the runner's clock.

A kept history is a file of JSON lines: the plan, then an event a line. `storm replay` reads such files, also
of earlier versions: the names of the kinds, of the sources and of the payloads' keys are stored names.

| source | kind | payload |
| --- | --- | --- |
| client | SUBMITTED | id, REQUEST, kind (the class), key, partner, member, left (seconds) |
| client | SUBMISSION_ANSWERED | id, status, wait (seconds) |
| an endpoint | CALL_STARTED | member, number, ids, keys |
| an endpoint | CALL_ANSWERED | member, number, status, wait (seconds) |
| an endpoint | CALL_DISCONNECTED | member, number |
| an endpoint | EFFECTS | name (a key or an id), times |
| a member | OUTCOME | id, state, ref |
| a member | any event that it logs, by its name: `FleetEvent` and others | as logged |
| the runner | of a process: PROCESS_STARTED to DUPLICATED | member, life (its number), status |
| the runner | FAULT_BEGAN, FAULT_ENDED | text |
| the runner | FAULTS_OVER, RECOVERED, COMPLETED | |
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path
from typing import Any, Protocol, TypeAlias

import msgspec

from emberlatch.fleet.log_events import FleetEvent
from emberlatch.storm.plan import Plan

Payload: TypeAlias = dict[str, Any]
"""The values of an event, as JSON knows them. What members log comes as they log it."""

CLIENT = "client"
RUNNER = "rig"
"""The sources of events that are neither a member nor an endpoint."""

REQUEST = "wish"
"""The key of a payload under which a client's request is numbered."""

TWIN_SUFFIX = "'"
"""Appended to a member's name: a second process with that name."""


class EventKind(StrEnum):
    """Kinds of events by their stored names; of `FleetEvent` those that are checked."""

    SUBMITTED = "hand"
    SUBMISSION_ANSWERED = "heard"
    CALL_STARTED = "call"
    CALL_ANSWERED = "answer"
    CALL_DISCONNECTED = "broke"
    EFFECTS = "ran"
    OUTCOME = "end"

    PROCESS_STARTED = "start"
    SERVING = "up"
    PROCESS_EXITED = "dead"
    KILLED = "killed"
    TERMINATED = "term"
    SUSPENDED = "stopped"
    RESUMED = "continued"
    STATE_WIPED = "emptied"
    DUPLICATED = "twin"

    FAULT_BEGAN = "fault"
    FAULT_ENDED = "over"
    FAULTS_OVER = "calm"
    RECOVERED = "healed"
    COMPLETED = "settled"
    FAILURE = "failure"
    """An exception in the simulated fleet."""

    ERROR_LOGGED = "trouble"
    """Anything that a member logs as an error."""
    MEMBER_PROCESS_STARTED = FleetEvent.MEMBER_PROCESS_STARTED
    PEER_STATE_CHANGED = FleetEvent.PEER_STATE_CHANGED
    ISOLATED = FleetEvent.ISOLATED
    MAJORITY_REACHED = FleetEvent.MAJORITY_REACHED
    STALL_DETECTED = FleetEvent.STALL_DETECTED
    SUSPICION_REFUTED = FleetEvent.SUSPICION_REFUTED
    QUOTA_SHARE_CHANGED = FleetEvent.QUOTA_SHARE_CHANGED
    PEER_REACHED_DIRECTLY = FleetEvent.PEER_REACHED_DIRECTLY
    PEER_REACHED_INDIRECTLY = FleetEvent.PEER_REACHED_INDIRECTLY


class Recorder(Protocol):
    """Adds an event at this moment."""

    def __call__(self, source: str, kind: str, payload: Payload, /) -> None:
        """`source` is a member, an endpoint, CLIENT or RUNNER; `kind` an EventKind or a logged name."""


class HistoryEvent(msgspec.Struct, frozen=True, rename={"source": "who", "kind": "what", "payload": "told"}):
    """One event; `at` is in seconds since the storm began."""

    at: float
    source: str
    kind: str
    payload: Payload = {}  # noqa: RUF012 (msgspec copies it)

    @property
    def member(self) -> str:
        """The member that the event is about; raises KeyError if it is about none."""
        return str(self.payload["member"])

    def __str__(self) -> str:
        payload = " ".join(f"{key}={value}" for key, value in self.payload.items())
        return f"{self.at:9.3f} {self.source:8} {self.kind} {payload}"


class History(msgspec.Struct):
    """A plan and the events of its storm, in the order of their times once they are sorted."""

    plan: Plan
    events: list[HistoryEvent] = []

    def of_kind(self, *kinds: str) -> Iterator[HistoryEvent]:
        """The events of some kinds."""
        return (event for event in self.events if event.kind in kinds)

    def last_time_of(self, kind: str, default: float) -> float:
        """When the last event of a kind happened."""
        return max((event.at for event in self.of_kind(kind)), default=default)

    def sort(self) -> None:
        """Order the events by time: each source records in order, several together do not."""
        self.events.sort(key=lambda event: event.at)

    def rebase(self, zero: float) -> None:
        """Make `zero` the time 0 of all events."""
        self.events[:] = [
            HistoryEvent(round(event.at - zero, 4), event.source, event.kind, event.payload)
            for event in self.events
        ]

    def save(self, path: Path) -> None:
        """Write the plan and the events to a file, a line each."""
        lines = [msgspec.json.encode(self.plan), *map(msgspec.json.encode, self.events)]
        path.write_bytes(b"\n".join(lines) + b"\n")


def read_history(path: Path) -> History:
    """Read a file of `History.save`; raises OSError, or ValueError if it is invalid."""
    first, *rest = path.read_bytes().splitlines()
    plan = msgspec.json.decode(first, type=Plan)
    return History(plan, [msgspec.json.decode(line, type=HistoryEvent) for line in rest])
