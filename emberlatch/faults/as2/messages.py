"""Submitted messages, each with the responses and notices that its client or partner has received."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple


class Completion(NamedTuple):
    """A completion notice; `at` is when it arrived, in seconds of the loop's clock."""

    at: float
    ref: int  # the number that the gateway gave the message
    result: str


@dataclass(slots=True)
class SubmittedMessage:
    """A message that a client submitted, or an order that a partner sent.

    Times are in seconds of the loop's clock; `accepted_at` is infinity until the message is accepted.
    """

    id: str
    category: str
    destination: int
    submitted_at: float
    accepted_at: float = math.inf
    is_rejected: bool = False
    completions: list[Completion] = field(default_factory=list)  # only the first notice is recorded


class ClientResponder:
    """Receives the response to a submission, even if the process that received the submission has died."""

    client_disconnected = False

    def __init__(self, message: SubmittedMessage, clock: Callable[[], float]) -> None:
        self._message, self._clock = message, clock

    def respond_accepted(self) -> None:
        """See `engine.SubmissionResponder`."""
        self._message.accepted_at = min(self._message.accepted_at, self._clock())

    def respond_rejected(self, retry_after: float) -> None:
        """See `engine.SubmissionResponder`."""
        self._message.is_rejected = True

    def respond_unavailable(self, retry_after: float | None = None) -> None:
        """See `engine.SubmissionResponder`."""
        self._message.is_rejected = True

    def respond_failed(self) -> None:
        """See `engine.SubmissionResponder`."""
        self._message.is_rejected = True
