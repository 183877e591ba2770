"""Scripts for a stand-in AS2 partner, and its records of messages and receipts."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from emberlatch.as2.message import Opened


class ReceiptBehaviour(Enum):
    """How the partner handles a message and its receipt."""

    RECEIPT = "receipt"  # processed, with a receipt
    LATE = "late"  # processed, with a receipt after a long delay
    DROPPED = "dropped"  # processed, without any response or receipt
    EMPTY = "empty"  # processed, with status 200 and no receipt
    TWICE = "twice"  # processed, with the receipt twice
    CORRUPT = "corrupt"  # processed; one bit of the receipt is flipped
    MISSIGNED = "missigned"  # processed; the receipt is signed with another key
    UNSIGNED = "unsigned"  # processed; the receipt lacks the requested signature
    WRONG_MIC = "wrong-mic"
    OTHER_ENDS = "other-ends"  # processed; the MIC is computed over other line ends
    FOR_ANOTHER = "for-another"  # processed; the receipt is for a message that was never sent
    CONTRADICTS = "contradicts"  # processed, with a receipt and then a refusal
    UNEXPECTED = "unexpected"  # processed; the receipt reports an unexpected processing error
    STATUS = "status"  # processed; an intermediary answers 503
    RESET = "reset"  # processed; the connection is reset
    REFUSED = "refused"  # not processed; the receipt reports a decryption error
    BUSY = "busy"  # not processed; status 429


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
    """How the next message is handled; the delay of its receipt, and of a late receipt, in seconds."""

    behaviour: ReceiptBehaviour = ReceiptBehaviour.RECEIPT
    delay_s: float = 0.02
    late_delay_s: float = 1.0

    @property
    def first_delay_s(self) -> float:
        """The delay of the first receipt, in seconds."""
        return self.late_delay_s if self.behaviour is ReceiptBehaviour.LATE else self.delay_s


@dataclass(slots=True)
class DuplicateFilter:
    """The Message-IDs that a partner's endpoints in one wing have processed."""

    window_s: float = math.inf
    """How long a Message-ID is remembered, in seconds."""
    processed: dict[str, float] = field(default_factory=dict)
    """Message-ID -> time at which it was last processed."""
    effects: list[tuple[float, str]] = field(default_factory=list)
    """The time and the Message-ID of each processed message, in order."""

    def process(self, now: float, original: str) -> bool:
        """Process a message unless it was processed within the window; returns whether it was not."""
        if original in self.processed and now - self.processed[original] <= self.window_s:
            return False
        self.processed[original] = now
        self.effects.append((now, original))
        return True


@dataclass(frozen=True, slots=True)
class ReceivedMessage:
    """A received message and how it was handled; `opened` is None if it was not or could not be opened."""

    at: float
    original: str
    behaviour: ReceiptBehaviour
    processed: bool
    opened: Opened | None


@dataclass(frozen=True, slots=True)
class DeliveredReceipt:
    """A receipt that was posted, and that the forwarder confirmed."""

    at: float
    original: str
    behaviour: ReceiptBehaviour
