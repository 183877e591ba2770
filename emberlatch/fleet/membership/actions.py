"""The actions that the membership machine requests. The caller carries them out in order."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from emberlatch.fleet.frames import AnyFrame
from emberlatch.fleet.log_events import FleetEvent


@dataclass(frozen=True, slots=True)
class SendFrame:
    """Send a frame to a member; the frame may be lost."""

    recipient: str
    frame: AnyFrame


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Log an event with its fields."""

    event: FleetEvent
    fields: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class IncarnationChanged:
    """Store the generation of a new `incarnation`, and announce the incarnation on each link."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class Halt:
    """End this process, because another process has this member's name."""

    reason: str


Action = SendFrame | LogEvent | IncarnationChanged | Halt


class Outbox:
    """Collects the actions that the parts of the machine request, in order."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Append an action."""
        self._actions.append(action)

    def send(self, recipient: str, frame: AnyFrame) -> None:
        """Append an action that sends a frame to a member."""
        self._actions.append(SendFrame(recipient, frame))

    def log(self, event: FleetEvent, **fields: object) -> None:
        """Append an action that logs an event."""
        self._actions.append(LogEvent(event, fields))

    def take(self) -> list[Action]:
        """Return and remove the collected actions."""
        actions, self._actions = self._actions, []
        return actions
