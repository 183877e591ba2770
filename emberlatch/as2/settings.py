"""The settings of the AS2 parts: the front end's address, and limits on connections, time and disk space."""

from __future__ import annotations

from dataclasses import dataclass

from emberlatch.engine import Address

OTHER_DESCRIPTORS = 14  # file descriptors of the listener, ledger, orders, receipts and worker's pipes


@dataclass(frozen=True, slots=True)
class As2Settings:
    """The settings of one gateway's AS2 parts; those agreed with a partner are in `profile.Partner`."""

    listen: Address
    max_connections: int = 256  # half for connections from partners, half for connections to partners
    retention_s: float = 72 * 3600.0  # retention of orders, receipts and unconfirmed messages
    ledger_bytes: int = 64 * 2**20  # disk space for the ledger and the receipts
    orders_bytes: int = 16 * 2**20  # disk space for the orders

    @property
    def max_client_connections(self) -> int:
        """The limit of connections from partners to the front end."""
        return self.max_connections // 2

    @property
    def max_calls(self) -> int:
        """The limit of connections from the carrier to partners."""
        return self.max_connections // 2

    @property
    def descriptors(self) -> int:
        """The number of file descriptors that AS2 needs in the gateway's process."""
        return self.max_connections + OTHER_DESCRIPTORS
