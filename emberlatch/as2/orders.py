"""Orders that came by AS2, known by sender and Message-ID: whether one is new, and what its receipt says.

Without I/O: states are plain values, kept in a book by the front. An order is `coming` from before it is
handed to the engine until the engine has taken it, and `taken` from then on.
"""

from __future__ import annotations

import hashlib
from collections.abc import Container, Mapping
from dataclasses import dataclass, fields
from enum import Enum
from typing import Any

from emberlatch.as2 import mdn
from emberlatch.as2.mdn import Disposition, Mdn

TAKEN_ON = "The message is taken on; its end is told as agreed."


class Fate(Enum):
    """What is to be done with an order."""

    NEW = "new"
    BUSY = "busy"  # the same is being taken on just now
    AGAIN = "again"  # it was taken on: the same receipt once more
    OTHER = "other"  # another content under an id that was used


@dataclass(slots=True)
class Order:
    """One order; `at` is Unix time in seconds, `mic` in hexadecimal digits."""

    original: str  # its Message-ID
    partner: str
    id: str  # under which the engine has it
    mic: str
    digest: str
    at: float
    taken: bool = False
    said: str = "processed"  # disposition type, modifier and text of its receipt
    modifier: str = ""
    text: str = ""
    signed: str = ""  # digest of the signature that the receipt is to have; empty for none
    owed: bool = False  # a receipt on a connection of its own that is not delivered

    def document(self) -> dict[str, Any]:
        """As plain values."""
        return {name: getattr(self, name) for name in _FIELDS}

    def receipt(self, recipient: str) -> Mdn:
        """The receipt for it: the same however often it is asked for."""
        told = Disposition(self.said, self.modifier, self.text)
        mic = bytes.fromhex(self.mic) if told == mdn.PROCESSED else b""
        human = TAKEN_ON if told == mdn.PROCESSED else told.plain
        return Mdn(self.original, told, mic, self.digest if mic else "", recipient, human)


_FIELDS = tuple(each.name for each in fields(Order))


def key(partner: str, original: str) -> str:
    """Under which an order is kept."""
    return f"{partner}\n{original}"


def submission_id(partner: str, original: str) -> str:
    """The id of an order in the engine: the same for the same order, and never that of another sender's."""
    return f"as2-{hashlib.sha256(key(partner, original).encode()).hexdigest()[:32]}"


def read(document: Mapping[str, Any]) -> Order:
    """From plain values; raises TypeError."""
    return Order(**document)


def fate(known: Order | None, mic: str, digest: str, busy: bool) -> Fate:
    """What an order that has come is, by what is known of the one with the same key."""
    if known is None or not (known.taken or busy):
        return Fate.NEW
    if known.digest == digest and known.mic != mic:
        return Fate.OTHER
    return Fate.AGAIN if known.taken else Fate.BUSY


def resolved(order: Order, held: Container[str]) -> Order | None:
    """An order that was coming when the process before ended: the journal tells whether it was taken."""
    if order.taken:
        return order
    if order.id not in held:
        return None
    order.taken = True
    return order


def over(order: Order, now: float, remember: float) -> bool:
    """Whether its Message-ID may be forgotten."""
    return now - order.at > remember
