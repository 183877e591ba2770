"""Orders received over AS2: recognizes repeated orders by sender and Message-ID, and builds receipts.

The module does no I/O; `OrderLog` stores the orders. An order is pending from just before it is submitted to
the engine until the engine accepts it, and accepted from then on.
"""

from __future__ import annotations

import hashlib
from collections.abc import Container, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from emberlatch.as2 import mdn
from emberlatch.as2.mdn import Disposition, Mdn

RECEIPT_TEXT = "The message is taken on; its end is told as agreed."
"""The human-readable text of each positive receipt.

It must never change: all receipts of an order must be equal, even if different versions of this program build
them.
"""


class Classification(Enum):
    """How a received order is to be handled."""

    NEW = "new"
    BUSY = "busy"  # the same order is being submitted
    DUPLICATE = "again"  # already accepted: gets the same answer, but no second asynchronous receipt
    CONFLICT = "other"  # a different content with a Message-ID that was already used


@dataclass(slots=True)
class Order:
    """One order; `received_at` is Unix time in seconds, `mic` hexadecimal digits."""

    message_id: str  # Message-ID without angle brackets
    partner: str
    id: str  # the id in the engine
    mic: str
    digest: str
    received_at: float
    accepted: bool = False
    disposition_type: str = "processed"  # part of the receipt's disposition, as are modifier and text
    modifier: str = ""
    text: str = ""
    receipt_digest: str = ""  # the digest of the receipt's signature; empty for an unsigned receipt
    receipt_pending: bool = False  # whether an asynchronous receipt is undelivered

    @property
    def storage_key(self) -> str:
        """The key under which the order is stored, see `make_storage_key`."""
        return make_storage_key(self.partner, self.message_id)

    def document(self) -> dict[str, object]:
        """Encode the order as it is stored."""
        return {key: getattr(self, name) for name, key in STORED_KEYS.items()}

    def receipt(self, recipient: str) -> Mdn:
        """Build the receipt of the order; each call returns an equal receipt."""
        disposition = Disposition(self.disposition_type, self.modifier, self.text)
        is_positive = disposition == mdn.PROCESSED
        mic = bytes.fromhex(self.mic) if is_positive else b""
        text = RECEIPT_TEXT if is_positive else disposition.short_form
        return Mdn(self.message_id, disposition, mic, self.digest if mic else "", recipient, text)


STORED_KEYS = {
    "message_id": "original",
    "partner": "partner",
    "id": "id",
    "mic": "mic",
    "digest": "digest",
    "received_at": "at",
    "accepted": "taken",
    "disposition_type": "said",
    "modifier": "modifier",
    "text": "text",
    "receipt_digest": "signed",
    "receipt_pending": "owed",
}
"""The key on disk of each field of an `Order`, in the order in which they are written."""
_FIELD_OF_KEY = {key: name for name, key in STORED_KEYS.items()}


def make_storage_key(partner: str, message_id: str) -> str:
    """Return the key under which an order is stored."""
    return f"{partner}\n{message_id}"


def submission_id(partner: str, message_id: str) -> str:
    """Return the id of an order in the engine; it depends on the sender and the Message-ID alone.

    Orders of different senders never have the same id.
    """
    return f"as2-{hashlib.sha256(make_storage_key(partner, message_id).encode()).hexdigest()[:32]}"


def read(document: Mapping[str, object]) -> Order:
    """Decode a stored order; raises TypeError."""
    try:
        values: dict[str, Any] = {_FIELD_OF_KEY[key]: value for key, value in document.items()}
    except KeyError as error:
        raise TypeError(f"order with an unknown key: {error}") from error
    return Order(**values)


def is_accepted(document: Mapping[str, object]) -> bool:
    """Whether the engine has accepted a stored order."""
    return bool(document[STORED_KEYS["accepted"]])


def has_pending_receipt(document: Mapping[str, object]) -> bool:
    """Whether an asynchronous receipt of a stored order is undelivered."""
    return bool(document[STORED_KEYS["receipt_pending"]])


def classify(known: Order | None, mic: str, digest: str, busy: bool) -> Classification:
    """Classify a received order by the stored order with the same key.

    `busy` says whether the stored order is being submitted.
    """
    if known is None or not (known.accepted or busy):
        return Classification.NEW
    if known.digest == digest and known.mic != mic:
        return Classification.CONFLICT
    return Classification.DUPLICATE if known.accepted else Classification.BUSY


def resolve_pending(order: Order, journaled: Container[str]) -> Order | None:
    """Return a stored order after a restart, or None if the engine did not accept the order.

    An order that was pending at a crash is set to accepted if the journal has its id.
    """
    if order.accepted:
        return order
    if order.id not in journaled:
        return None
    order.accepted = True
    return order


def is_expired(order: Order, now: float, retention_s: float) -> bool:
    """Whether an order may be deleted. A repetition of a deleted order is handled as a new order."""
    return now - order.received_at > retention_s
