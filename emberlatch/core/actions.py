"""Actions that a forwarder returns for its caller to execute in order. Durations are in seconds."""

from __future__ import annotations

from dataclasses import dataclass

from emberlatch.core.events import Target


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a target. With a `timeout` of 0 the attempt may last until the message's deadline."""

    ref: int
    target: Target
    timeout: float = 0.0


@dataclass(frozen=True, slots=True)
class Reject:
    """End a message that was not executed; the client may safely submit it again."""

    ref: int
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """End a message that may have been executed."""

    ref: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    ref: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerFired` event at or after the time `at`."""

    at: float
    token: int = 0


@dataclass(frozen=True, slots=True)
class Probe:
    """Check a target's health without sending a message."""

    target: Target


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to a target."""

    target: Target


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send bytes to the forwarder numbered `peer`, or to all other forwarders if `peer` is None."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a line to the operators' log."""

    text: str


@dataclass(frozen=True, slots=True)
class SetDirectoryWatch:
    """Subscribe to directory changes if `active`, otherwise unsubscribe."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class RequestDirectoryList:
    """Request the complete endpoint list from the directory once."""


Action = (
    Send
    | Reject
    | Fail
    | Cancel
    | SetTimer
    | Probe
    | CloseIdle
    | SendToPeer
    | LogLine
    | SetDirectoryWatch
    | RequestDirectoryList
)
