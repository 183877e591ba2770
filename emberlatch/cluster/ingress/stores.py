"""The interface by which the front finds the stores."""

from __future__ import annotations

from typing import Protocol

from emberlatch.cluster.rpc import Peer


class Stores(Protocol):
    """The stores that accept messages and answer queries."""

    def nearest_stores(self, key: str = "") -> list[Peer]:
        """The writable stores, the nearest first. The service `key` decides between equally near stores."""

    def reachable_stores(self) -> list[Peer]:
        """All stores that can be reached."""

    def stores(self) -> dict[str, Peer]:
        """All known stores, by node."""
