"""The state of each message and of the calls that carried it, as the checks need it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple


class AttemptOutcome(StrEnum):
    """What the sender of a call can know about whether the partner executed the call."""

    IN_FLIGHT = "in flight"
    EXECUTED = "executed"
    NOT_EXECUTED = "not executed"
    UNKNOWN = "unknown"


class CallKey(NamedTuple):
    """Identifies a call by its endpoint and its number at that endpoint."""

    endpoint: str
    number: int


@dataclass(slots=True)
class CallAttempt:
    """A call that carried a message to an endpoint, where it arrived at the time `at` (seconds)."""

    at: float
    call: CallKey
    outcome: AttemptOutcome = AttemptOutcome.IN_FLIGHT


@dataclass(slots=True)
class CheckedMessage:
    """One submitted message. Times are in seconds; the time of an event that has not happened is infinity.

    `effect` is `safe`, `keyed` or `unsafe`; the message must be completed by `deadline`; `notices` maps each
    reported result to the time of its first notice.
    """

    id: str
    forwarder: str
    effect: str
    deadline: float
    accepted_at: float = math.inf
    delivered_at: float = math.inf
    given_up_at: float = math.inf
    attempts: list[CallAttempt] = field(default_factory=list)
    notices: dict[str, float] = field(default_factory=dict)
    is_delivery_uncertain: bool = False  # its forwarder may not have received the answer

    @property
    def completed_at(self) -> float:
        """The time of the delivery or of the first notice, whichever is earlier."""
        return min([self.delivered_at, *self.notices.values()])

    @property
    def may_have_run(self) -> bool:
        """Whether at least one attempt may have executed the message."""
        return any(attempt.outcome is not AttemptOutcome.NOT_EXECUTED for attempt in self.attempts)
