"""The history of a storm: its plan, and its events with their times on the runner's clock.

A saved history is a file of JSON lines: the plan in the first line, then one event per line. `storm replay`
also reads files of earlier versions, so the names of kinds, sources and payload keys must not change.
The value of the key `life` is the number of the incarnation.

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
| the runner | process events: in `EventKind`, PROCESS_STARTED to DUPLICATED | member, life, status |
| the runner | FAULT_BEGAN, FAULT_ENDED | text |
| the runner | ALL_FAULTS_ENDED, RECOVERED, COMPLETED | |
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
"""The values of an event, of JSON types. Those of a logged event are as the member logged them."""

CLIENT = "client"
RUNNER = "rig"
"""The sources of events besides the names of members and endpoints."""

REQUEST = "wish"
"""The payload key whose value is the number of the client's request."""

DUPLICATE_SUFFIX = "'"
"""Appended to a member's name in events of a second process that runs with that name."""


class EventKind(StrEnum):
    """The kinds of events with their stored names. Of `FleetEvent`, only kinds that rules check are here."""

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
    ALL_FAULTS_ENDED = "calm"
    RECOVERED = "healed"
    COMPLETED = "settled"
    FAILURE = "failure"
    """An unhandled exception in the simulated fleet."""

    ERROR_LOGGED = "trouble"
    """A log line of a member at level error or critical."""
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
    """Adds an event with the current time to the history."""

    def __call__(self, source: str, kind: str, payload: Payload, /) -> None:
        """Record an event.

        `source` is a member, an endpoint, CLIENT or RUNNER; `kind` is an EventKind or the name of a logged
        event.
        """


class HistoryEvent(msgspec.Struct, frozen=True, rename={"source": "who", "kind": "what", "payload": "told"}):
    """One event; `at` is in seconds since the storm began."""

    at: float
    source: str
    kind: str
    payload: Payload = {}  # noqa: RUF012 (msgspec copies it)

    @property
    def member(self) -> str:
        """The member that the event concerns; raises KeyError if the payload names none."""
        return str(self.payload["member"])

    def __str__(self) -> str:
        payload = " ".join(f"{key}={value}" for key, value in self.payload.items())
        return f"{self.at:9.3f} {self.source:8} {self.kind} {payload}"


class History(msgspec.Struct):
    """A plan and the events of its storm; `sort` orders the events by time."""

    plan: Plan
    events: list[HistoryEvent] = []

    def of_kind(self, *kinds: str) -> Iterator[HistoryEvent]:
        """Return the events of the given kinds, in the order of the list."""
        return (event for event in self.events if event.kind in kinds)

    def last_time_of(self, kind: str, default: float) -> float:
        """Return the time of the last event of a kind, or `default` if there is none."""
        return max((event.at for event in self.of_kind(kind)), default=default)

    def sort(self) -> None:
        """Sort the events by time, because events of different sources may be recorded out of order."""
        self.events.sort(key=lambda event: event.at)

    def rebase(self, zero: float) -> None:
        """Subtract `zero` from the times of all events."""
        self.events[:] = [
            HistoryEvent(round(event.at - zero, 4), event.source, event.kind, event.payload)
            for event in self.events
        ]

    def save(self, path: Path) -> None:
        """Write the plan and the events to a file, one per line."""
        lines = [msgspec.json.encode(self.plan), *map(msgspec.json.encode, self.events)]
        path.write_bytes(b"\n".join(lines) + b"\n")


def read_history(path: Path) -> History:
    """Read a file that `History.save` wrote; raises OSError, or ValueError if the file is invalid."""
    first, *rest = path.read_bytes().splitlines()
    plan = msgspec.json.decode(first, type=Plan)
    return History(plan, [msgspec.json.decode(line, type=HistoryEvent) for line in rest])
