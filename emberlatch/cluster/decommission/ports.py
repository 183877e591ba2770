"""The interface by which a decommission uses the other stores."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from emberlatch.cluster.rpc import Peer


class StoreDirectory(Protocol):
    """Lists the other stores, and checks whether a set of stores is a quorum."""

    def satisfies_quorum(self, nodes: Iterable[str]) -> bool:
        """Whether a message on the disks of these machines survives the losses that the settings tolerate."""

    def counted_stores(self) -> dict[str, Peer]:
        """The other stores, by node, except those that were decommissioned or removed by agreement."""

    def writable_stores(self) -> list[Peer]:
        """The other stores that accept messages and replicas."""

    def has_confirmed_majority(self) -> bool:
        """Whether a majority of the voters answered a recent heartbeat."""
