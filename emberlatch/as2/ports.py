"""The interfaces through which the AS2 parts use the rest of the gateway and each other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from emberlatch.as2.mime import Entity
from emberlatch.as2.profile import Partner
from emberlatch.core.interface import Target
from emberlatch.store import Files


class PartnerDirectory(Protocol):
    """Look-ups of partners and AS2 endpoints in the inventory."""

    def partner_of(self, target: Target) -> str | None:
        """Return the name of the partner that a target belongs to; None if the target is no AS2 endpoint."""

    def destination_number(self, partner: str) -> int | None:
        """Return the destination number of a partner; None if there is no such partner."""


class ReceiptHandler(Protocol):
    """Handles the asynchronous receipts that partners send."""

    async def on_receipt(self, partner: Partner, outer: Entity) -> None:
        """Handle one receipt.

        Raises As2Error if it can't be read, and OSError if it can't be recorded, so that the partner has to
        send it again.
        """


@dataclass(frozen=True, slots=True)
class StateFolders:
    """The two AS2 folders in a gateway's state folder; each process reads what the previous one wrote."""

    ledger: Files
    """The messages sent, and the receipts for them."""
    orders: Files
    """The orders received."""
