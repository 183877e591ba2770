"""Orders received over AS2, identified by sender and Message-ID: whether one is new, and its receipt.

Without I/O: states are plain values, stored by the front end. An order is pending from before it is submitted
to the engine until the engine has accepted it, and accepted from then on.
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
"""For people, in each positive receipt. Receipts of an order are alike over versions, so it never changes."""


class Classification(Enum):
    """How a received order is handled."""

    NEW = "new"
    BUSY = "busy"  # the same order is being accepted just now
    DUPLICATE = "again"  # it was accepted: answered as before, but an asynchronous receipt is not posted anew
    CONFLICT = "other"  # another content under a Message-ID that was used


@dataclass(slots=True)
class Order:
    """One order; `received_at` is Unix time in seconds, `mic` in hexadecimal digits."""

    message_id: str  # without angle brackets
    partner: str
    id: str  # its id in the engine
    mic: str
    digest: str
    received_at: float
    accepted: bool = False
    disposition_type: str = "processed"  # of its receipt, as are modifier and text
    modifier: str = ""
    text: str = ""
    receipt_digest: str = ""  # of the signature that the receipt is to have; empty for none
    receipt_pending: bool = False  # an asynchronous receipt that is not delivered yet

    @property
    def storage_key(self) -> str:
        """The key under which it is stored, see `key`."""
        return key(self.partner, self.message_id)

    def document(self) -> dict[str, object]:
        """The stored form, as plain values."""
        return {key: getattr(self, name) for name, key in STORED_KEYS.items()}

    def receipt(self, recipient: str) -> Mdn:
        """The receipt of the order: the same however often it is asked for."""
        disposition = Disposition(self.disposition_type, self.modifier, self.text)
        is_positive = disposition == mdn.PROCESSED
        mic = bytes.fromhex(self.mic) if is_positive else b""
        text = RECEIPT_TEXT if is_positive else disposition.plain
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


def key(partner: str, message_id: str) -> str:
    """The key under which an order is stored."""
    return f"{partner}\n{message_id}"


def submission_id(partner: str, message_id: str) -> str:
    """The id of an order in the engine: the same for the same order, and never that of another sender's."""
    return f"as2-{hashlib.sha256(key(partner, message_id).encode()).hexdigest()[:32]}"


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
    """Whether an asynchronous receipt of a stored order is not delivered yet."""
    return bool(document[STORED_KEYS["receipt_pending"]])


def classify(known: Order | None, mic: str, digest: str, busy: bool) -> Classification:
    """How to handle a received order, by what is known of the one with the same key."""
    if known is None or not (known.accepted or busy):
        return Classification.NEW
    if known.digest == digest and known.mic != mic:
        return Classification.CONFLICT
    return Classification.DUPLICATE if known.accepted else Classification.BUSY


def resolved(order: Order, journaled: Container[str]) -> Order | None:
    """An order that was pending at a crash, accepted if the journal holds its id; else None."""
    if order.accepted:
        return order
    if order.id not in journaled:
        return None
    order.accepted = True
    return order


def is_expired(order: Order, now: float, retention_s: float) -> bool:
    """Whether its Message-ID may be forgotten."""
    return now - order.received_at > retention_s
