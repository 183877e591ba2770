"""The data that the journal stores for one message. `journal_records` defines the stored form."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

MAX_BODY_BYTES = 64 * 1024  # maximum size of a message's body, in bytes


@dataclass(slots=True)
class UnknownOutcome:
    """An attempt that may have been executed.

    Attributes:
        attempt: number of the attempt, counted from 0.
        target: the endpoint that it was sent to.
        zone: number of the endpoint's zone.
        sent: time of sending on the journal's clock, in seconds since the epoch.
    """

    attempt: int
    target: str
    zone: int
    sent: float


@dataclass(slots=True)
class Entry:
    """A message that was accepted and is not yet removed from the journal.

    Attributes:
        ref: number that this forwarder assigned to the message; it is never reused.
        id, key: the request id and the idempotency key from the client.
        deadline: time on the journal's clock, in seconds since the epoch.
        attempts: number of attempts made.
        unknown_outcomes: the attempts that may have been executed.
        notice: completion notice that is not yet confirmed; None while the message is open.
        terms: the terms under which the message was accepted, as text; empty if an older journal has none.
    """

    ref: int
    id: str
    key: str
    category: str
    tenant: str
    destination: int
    deadline: float
    body: bytes = b""
    attempts: int = 0
    unknown_outcomes: list[UnknownOutcome] = field(default_factory=list)
    notice: dict[str, Any] | None = None
    terms: str = ""
