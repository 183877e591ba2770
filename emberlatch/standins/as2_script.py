"""Scripts for a stand-in AS2 partner, and its records of messages and receipts."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from emberlatch.as2.message import Opened


class ReceiptBehaviour(Enum):
    """How the partner handles a message and its receipt.

    A synchronous receipt is the HTTP response; others follow on a new connection, after a response with 202.
    """

    RECEIPT = "receipt"  # processed, with a receipt
    LATE = "late"  # processed, with a receipt after a long delay
    DROPPED = "dropped"  # processed, without a receipt; also without a response if the receipt is synchronous
    EMPTY = "empty"  # processed, without a receipt; the response has status 200 if the receipt is synchronous
    TWICE = "twice"  # processed, with the receipt twice; a synchronous receipt is sent once
    CORRUPT = "corrupt"  # processed; one bit of the receipt is flipped
    MISSIGNED = "missigned"  # processed; the receipt is signed with another key
    UNSIGNED = "unsigned"  # processed; the receipt lacks the requested signature
    WRONG_MIC = "wrong-mic"
    OTHER_ENDS = "other-ends"  # processed; the MIC is computed after CRLF is replaced by LF
    FOR_ANOTHER = "for-another"  # processed; the receipt is for a message that was never sent
    CONTRADICTS = "contradicts"  # processed, with a receipt and then a refusal (none if synchronous)
    UNEXPECTED = "unexpected"  # processed; the receipt reports an unexpected processing error
    STATUS = "status"  # processed; an intermediary answers 503
    RESET = "reset"  # processed; the connection is reset
    REFUSED = "refused"  # not processed; the receipt reports a decryption error
    BUSY = "busy"  # not processed; the response has status 429


NOT_EXECUTED = frozenset({ReceiptBehaviour.REFUSED, ReceiptBehaviour.BUSY})
CONFIRMING = frozenset(
    {
        ReceiptBehaviour.RECEIPT,
        ReceiptBehaviour.LATE,
        ReceiptBehaviour.TWICE,
        ReceiptBehaviour.CONTRADICTS,
    }
)
"""Behaviours with a receipt that proves that the message was processed."""
WITHOUT_RECEIPT = frozenset(
    {
        ReceiptBehaviour.DROPPED,
        ReceiptBehaviour.EMPTY,
        ReceiptBehaviour.STATUS,
        ReceiptBehaviour.RESET,
        ReceiptBehaviour.BUSY,
    }
)


@dataclass(frozen=True, slots=True)
class Script:
    """How the next message is handled, with the delays of its receipt and of a late receipt."""

    behaviour: ReceiptBehaviour = ReceiptBehaviour.RECEIPT
    delay_s: float = 0.02
    late_delay_s: float = 1.0

    @property
    def first_delay_s(self) -> float:
        """The delay of the first receipt, in seconds."""
        return self.late_delay_s if self.behaviour is ReceiptBehaviour.LATE else self.delay_s


@dataclass(slots=True)
class DuplicateFilter:
    """The Message-IDs that a partner's endpoints in one zone have processed."""

    window_s: float = math.inf
    """How long a Message-ID is remembered, in seconds."""
    processed: dict[str, float] = field(default_factory=dict)
    """The time at which each Message-ID was last processed."""
    effects: list[tuple[float, str]] = field(default_factory=list)
    """The time and the Message-ID of each processed message, in order."""

    def process(self, now: float, original: str) -> bool:
        """Process a message, unless it was processed within the window; returns whether it does so now."""
        if original in self.processed and now - self.processed[original] <= self.window_s:
            return False
        self.processed[original] = now
        self.effects.append((now, original))
        return True


@dataclass(frozen=True, slots=True)
class ReceivedMessage:
    """A received message and how it was handled; `opened` is None if no attempt to open it succeeded."""

    at: float
    original: str
    behaviour: ReceiptBehaviour
    processed: bool
    opened: Opened | None


@dataclass(frozen=True, slots=True)
class DeliveredReceipt:
    """A receipt that was sent on a connection of its own, and that the forwarder confirmed."""

    at: float
    original: str
    behaviour: ReceiptBehaviour
