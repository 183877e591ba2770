"""What AS2 takes of its process and its machine."""

from __future__ import annotations

from dataclasses import dataclass

from emberlatch.engine import Address

ASIDE = 14  # descriptors beside those of connections: the listener, books, receipts, the worker's pipes


@dataclass(frozen=True, slots=True)
class Places:
    """Where it listens, its connections, the seconds it remembers, and its room on disk in bytes."""

    listen: Address
    sockets: int = 256
    remember: float = 72 * 3600.0
    ledger: int = 64 * 2**20
    orders: int = 16 * 2**20

    @property
    def descriptors(self) -> int:
        """All that it takes of a process."""
        return self.sockets + ASIDE
